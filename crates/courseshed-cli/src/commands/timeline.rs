//! `courseshed timeline`.

use std::collections::BTreeSet;
use std::fs;

use snafu::{ResultExt, ensure};

use crate::arguments::TimelineCommand;
use crate::error::{CliError, Exit, UnreadableSnafu, UsageSnafu};
use crate::output::Printer;
use crate::timeline::LogLines;

/// Carries out `courseshed timeline`.
pub(super) fn run(command: TimelineCommand, printer: &mut Printer<'_>) -> Result<Exit, CliError> {
    ensure!(
        !command.files.is_empty(),
        UsageSnafu {
            reason: "timeline: give the log files of the nodes"
        }
    );
    let mut lines = LogLines::default();
    // A file that is named twice would count its calls twice.
    for file in command.files.into_iter().collect::<BTreeSet<_>>() {
        let text = fs::read(&file).context(UnreadableSnafu { path: &file })?;
        lines.add(&file, &text);
    }
    let gap_ms = u64::try_from(command.gap.as_millis()).unwrap_or(u64::MAX);
    printer.print(&lines.timeline(gap_ms, command.nodes))?;
    Ok(Exit::Done)
}
