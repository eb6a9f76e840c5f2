//! `courseshed-lab quickstart`: a whole fleet in one process, and its promises checked from outside.

use argh::FromArgs;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
    progress::ProgramBar,
};
use crate::quickstart::{self, QuickstartOptions};

/// Run a small fleet in this process with a few dozen programs, and check every promise.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "quickstart")]
pub struct QuickstartArguments {
    /// seed of all that is drawn (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// programs to run (default 60)
    #[argh(option, default = "60")]
    programs: usize,
    /// leave out what goes wrong: engines that crash, leave or are slow, and a node that stops
    #[argh(switch)]
    no_faults: bool,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl QuickstartArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        if self.programs == 0 {
            return Err(CommandError::Option {
                option: "--programs",
                reason: "at least one program is needed".into(),
            });
        }
        let options = QuickstartOptions {
            seed: self.seed,
            programs: self.programs,
            faults: !self.no_faults,
            ..QuickstartOptions::default()
        };
        let bar = ProgramBar::new("starting a fleet in this process");
        let on_progress = bar.reporter();
        let ran = actix_rt::System::new().block_on(quickstart::run(&options, on_progress));
        bar.finish();
        let report = ran.map_err(|error| CommandError::Run {
            reason: error.to_string(),
        })?;
        match self.output {
            OutputFormat::Text => print_text(&report.to_string())?,
            OutputFormat::Json => print_json(&report)?,
        }
        Ok(CommandOutcome::of(report.held()))
    }
}
