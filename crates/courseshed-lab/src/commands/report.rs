//! `courseshed-lab report`: the results of an experiment as one HTML page.

use std::{fs, path::PathBuf};

use argh::FromArgs;
use snafu::ResultExt;

use super::{CommandError, CommandOutcome, ExperimentSnafu, output::print_text};
use crate::{
    experiment::WriteSnafu,
    report::{read_lines, render},
};

/// Render the results of an experiment as one self-contained HTML page.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArguments {
    /// the results, as JSON lines
    #[argh(positional)]
    results: PathBuf,
    /// the page (default: the results' name with .html)
    #[argh(option)]
    page: Option<PathBuf>,
    /// the page's title (default: the results' name)
    #[argh(option)]
    title: Option<String>,
}

impl ReportArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let results = read_lines(&self.results).context(ExperimentSnafu)?;
        if results.is_empty() {
            return Err(CommandError::Option {
                option: "RESULTS",
                reason: format!("{} holds no results", self.results.display()),
            });
        }
        let name = self.results.file_stem().unwrap_or_default();
        let title = self
            .title
            .unwrap_or_else(|| name.to_string_lossy().into_owned());
        let page = render(&title, &results).context(ExperimentSnafu)?;
        let path = self
            .page
            .unwrap_or_else(|| self.results.with_extension("html"));
        fs::write(&path, page)
            .context(WriteSnafu { path: &path })
            .context(ExperimentSnafu)?;
        print_text(&format!("{}\n", path.display()))?;
        Ok(CommandOutcome::Held)
    }
}
