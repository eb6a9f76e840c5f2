//! The commands of `courseshed-lab`: arguments in, a printed result and an exit code out.
//!
//! Results go to standard output, progress and logs to standard error.

mod bench;
mod check;
mod experiment;
mod hollow;
mod load;
mod output;
mod progress;
mod quickstart;
mod report;
mod simulate;

use std::process::ExitCode;

use argh::FromArgs;
use snafu::Snafu;

pub use output::OutputFormat;

/// Exit code when a check found a violation.
pub const EXIT_VIOLATION: u8 = 1;
/// Exit code of wrong options or unreadable files.
pub const EXIT_USAGE: u8 = 2;

/// Measures and checks courseshed: model checks, simulations, experiments and load.
///
/// Exit codes: 0 all held, 1 a promise was broken, 2 wrong options or files.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Bench(bench::BenchArguments),
    Check(check::CheckArguments),
    Hollow(hollow::HollowArguments),
    Experiment(experiment::ExperimentArguments),
    Report(report::ReportArguments),
    Simulate(simulate::SimulateArguments),
    Load(load::LoadArguments),
    Quickstart(quickstart::QuickstartArguments),
}

/// What a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// All that was checked held.
    Held,
    /// A promise was broken.
    Violated,
}

/// Why a command can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A result can't be printed.
    #[snafu(display("cannot write the result: {source}"))]
    Write {
        /// Why.
        source: std::io::Error,
    },
    /// A result can't be written as JSON.
    #[snafu(display("cannot write the result as JSON: {source}"))]
    Encode {
        /// Why.
        source: serde_json::Error,
    },
    /// An experiment can't be run.
    #[snafu(display("{source}"))]
    Experiment {
        /// Why.
        source: crate::experiment::ExperimentError,
    },
    /// What the command runs can't be started.
    #[snafu(display("{reason}"))]
    Run {
        /// Why.
        reason: String,
    },
    /// An option has a value that can't be used.
    #[snafu(display("{option}: {reason}"))]
    Option {
        /// The option, with its dashes.
        option: &'static str,
        /// What is wrong and what would do.
        reason: String,
    },
}

impl Arguments {
    /// Runs the command asked for.
    ///
    /// # Errors
    /// When options are wrong or a result can't be written.
    pub fn run(self) -> Result<CommandOutcome, CommandError> {
        match self.command {
            Command::Bench(arguments) => arguments.run(),
            Command::Check(arguments) => arguments.run(),
            Command::Hollow(arguments) => arguments.run(),
            Command::Experiment(arguments) => arguments.run(),
            Command::Report(arguments) => arguments.run(),
            Command::Simulate(arguments) => arguments.run(),
            Command::Load(arguments) => arguments.run(),
            Command::Quickstart(arguments) => arguments.run(),
        }
    }
}

impl CommandOutcome {
    /// The outcome of checks that held, or did not.
    pub fn of(held: bool) -> CommandOutcome {
        match held {
            true => CommandOutcome::Held,
            false => CommandOutcome::Violated,
        }
    }
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> ExitCode {
        match outcome {
            CommandOutcome::Held => ExitCode::SUCCESS,
            CommandOutcome::Violated => ExitCode::from(EXIT_VIOLATION),
        }
    }
}
