//! Reads results back.

use std::{fs, path::Path};

use snafu::ResultExt;

use crate::{
    experiment::{ExperimentError, ReadSnafu, ResultSnafu},
    simulation::RunResult,
};

/// Reads a file of JSON lines, one result a line.
pub fn read_lines(path: &Path) -> Result<Vec<RunResult>, ExperimentError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            let line_number = index + 1;
            serde_json::from_str(line).context(ResultSnafu {
                path,
                line: line_number,
            })
        })
        .collect()
}
