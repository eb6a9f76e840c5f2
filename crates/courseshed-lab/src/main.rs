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

/// Names the least severe log lines that are printed; embedded nodes warn of every failure that is brought about.
const LOG_VARIABLE: &str = "COURSESHED_LAB_LOG";

fn start_logging() -> Result<(), log::SetLoggerError> {
    let asked = std::env::var(LOG_VARIABLE).ok();
    let level = asked.and_then(|level| level.parse().ok());
    let level = level.unwrap_or(log::LevelFilter::Error);
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {}: {message}",
                record.level(),
                record.target()
            ));
        })
        .level(level)
        // Connections that break off are what the laboratory brings about.
        .level_for("actix_http", log::LevelFilter::Off)
        .chain(std::io::stderr())
        .apply()
}
