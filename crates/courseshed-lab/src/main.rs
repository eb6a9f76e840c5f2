//! The binary `courseshed-lab`.

use std::process::ExitCode;

use courseshed_lab::commands::{Arguments, EXIT_USAGE};

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Err(error) = start_logging() {
        eprintln!("courseshed-lab: can't log: {error}");
        return ExitCode::FAILURE;
    }
    match arguments.run() {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("courseshed-lab: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn start_logging() -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {}: {message}",
                record.level(),
                record.target()
            ));
        })
        .level(log::LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()
}
