//! The binary `courseshed-emulator`: one kind of stand-in a process.

mod commands;

use std::process::ExitCode;

/// Exit code of wrong options.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command: commands::Command = argh::from_env();
    if let Err(error) = start_logging() {
        eprintln!("courseshed-emulator: can't log: {error}");
        return ExitCode::FAILURE;
    }
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("courseshed-emulator: {error}");
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
        .level_for("courseshed_emulator", log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()
}
