//! The commands, one module for each thing they speak of.

mod engines;
mod nodes;
mod programs;
mod settings;
mod tree_file;

use crate::arguments::Command;
use crate::client::AdminClient;
use crate::error::{CliError, Exit};
use crate::output::Printer;

/// Carries out a command and says how it ended.
pub(crate) async fn run(
    command: Command,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    match command {
        Command::Settings(command) => settings::run(command.action, client, printer).await,
        Command::Programs(command) => programs::run(command.action, client, printer).await,
        Command::Engines(command) => engines::run(command.action, client, printer).await,
        Command::Nodes(command) => nodes::run(command.action, client, printer).await,
        Command::Status(_) => nodes::status(client, printer).await,
        Command::Explain(command) => programs::explain(command.program, client, printer).await,
    }
}
