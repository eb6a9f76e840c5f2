//! The commands, one module for each thing they speak of.

mod engines;
mod nodes;
mod programs;
mod settings;
mod timeline;
mod tree_file;

use crate::arguments::{Arguments, Command};
use crate::client::AdminClient;
use crate::error::{CliError, Exit};
use crate::output::Printer;

/// Carries out a command and says how it ended.
pub(crate) async fn run(arguments: Arguments, printer: &mut Printer<'_>) -> Result<Exit, CliError> {
    let client = AdminClient::new(&arguments);
    match arguments.command {
        Command::Settings(command) => settings::run(command.action, &client?, printer).await,
        Command::Programs(command) => programs::run(command.action, &client?, printer).await,
        Command::Engines(command) => engines::run(command.action, &client?, printer).await,
        Command::Nodes(command) => nodes::run(command.action, &client?, printer).await,
        Command::Status(_) => nodes::status(&client?, printer).await,
        Command::Explain(command) => programs::explain(command.program, &client?, printer).await,
        // Reads local files only, so that a faulty URL does not matter.
        Command::Timeline(command) => timeline::run(command, printer),
    }
}
