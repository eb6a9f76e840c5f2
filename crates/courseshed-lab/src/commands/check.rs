//! `courseshed-lab check`: proves the protocols within stated bounds.

use argh::FromArgs;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
};
use crate::check::CheckReport;

/// Check the protocols: every model, and its variants broken on purpose.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// check only models whose name contains this
    #[argh(option)]
    model: Option<String>,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl CheckArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let report = CheckReport::of_models(self.model.as_deref());
        if report.models.is_empty() {
            return Err(CommandError::Option {
                option: "--model",
                reason: "no model has this in its name; run without it to see them all".into(),
            });
        }
        match self.output {
            OutputFormat::Text => print_text(&report.to_string())?,
            OutputFormat::Json => print_json(&report)?,
        }
        if report.passed() {
            Ok(CommandOutcome::Held)
        } else {
            Ok(CommandOutcome::Violated)
        }
    }
}
