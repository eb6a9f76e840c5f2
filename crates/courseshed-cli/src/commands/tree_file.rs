//! Local files that hold a settings tree.

use std::fs;

use courseshed_settings::{Problem, SettingsTree};
use snafu::ResultExt;

use crate::error::{CliError, UnreadableSnafu};

/// Reads and checks the tree in `file`.
pub(super) fn read(file: &str) -> Result<SettingsTree, CliError> {
    let text = fs::read_to_string(file).context(UnreadableSnafu { path: file })?;
    parse(&text, file)
}

/// Checks the tree `text` that came from `origin`.
pub(super) fn parse(text: &str, origin: &str) -> Result<SettingsTree, CliError> {
    SettingsTree::parse(text).map_err(|problems| faulty(&problems, origin))
}

fn faulty(problems: &[Problem], origin: &str) -> CliError {
    let lines = problems
        .iter()
        .map(|problem| format!("{origin}: {problem}"));
    CliError::FaultyTree {
        lines: lines.collect::<Vec<_>>().join("\ncourseshed: "),
    }
}
