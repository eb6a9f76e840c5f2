//! `courseshed-lab experiment`: every policy, load and seed of an experiment file.

use std::path::PathBuf;

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use snafu::ResultExt;

use super::{CommandError, CommandOutcome, ExperimentSnafu, output::print_text};
use crate::experiment::{
    Experiment, calibrate, kind_table, policy_table, run_all, surge_table, write_lines,
};

/// Threads used where none are asked for.
const DEFAULT_THREADS: usize = 4;

/// Run an experiment file: every policy at every load on every seed, in virtual time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArguments {
    /// the experiment file, such as experiments/guild.toml
    #[argh(positional)]
    file: PathBuf,
    /// write one JSON line for each run here (default: NAME.jsonl in the current folder)
    #[argh(option)]
    results: Option<PathBuf>,
    /// threads (default 4)
    #[argh(option, default = "DEFAULT_THREADS")]
    threads: usize,
    /// also print a table by kind of program
    #[argh(switch)]
    kinds: bool,
}

impl ExperimentArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let experiment = Experiment::load(&self.file).context(ExperimentSnafu)?;
        let calibration = calibrate(&experiment, self.threads).context(ExperimentSnafu)?;
        let capacity = calibration.programs_per_second;
        let progress = progress_bar(experiment.runs().len() as u64);
        let results = run_all(&experiment, capacity, self.threads, || progress.inc(1))
            .context(ExperimentSnafu)?;
        progress.finish_and_clear();
        let path = self
            .results
            .clone()
            .unwrap_or_else(|| self.default_results());
        write_lines(&path, &results).context(ExperimentSnafu)?;
        let source = if calibration.measured {
            "measured"
        } else {
            "stated by the file"
        };
        print_text(&format!(
            "capacity {capacity:.2} programs/s ({source}), {} seeds, {} runs; mean ± standard deviation over seeds\n\n",
            experiment.file.seeds.len(),
            results.len(),
        ))?;
        print_text(&format!("{}\n", policy_table(&results, false)))?;
        if !experiment.file.surges.is_empty() {
            print_text(&format!(
                "\nwith surges\n\n{}\n",
                policy_table(&results, true)
            ))?;
            print_text(&format!("\n{}\n", surge_table(&results)))?;
        }
        if self.kinds {
            print_text(&format!("\n{}\n", kind_table(&results)))?;
        }
        print_text(&format!("\nresults: {}\n", path.display()))?;
        Ok(CommandOutcome::Held)
    }

    fn default_results(&self) -> PathBuf {
        let name = self.file.file_stem().unwrap_or_default();
        PathBuf::from(name).with_extension("jsonl")
    }
}

fn progress_bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{pos}/{len} runs {wide_bar} {eta}")
        .expect("the template is a constant");
    ProgressBar::new(length).with_style(style)
}
