//! `courseshed-lab simulate`: one run of an experiment.

use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt;

use super::{
    CommandError, CommandOutcome, ExperimentSnafu,
    output::{OutputFormat, print_json, print_text},
};
use crate::experiment::{
    Experiment, PolicyName, RunKey, calibrate, kind_table, policy_table, run_one,
};

/// Run one policy at one load on one seed in virtual time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "simulate")]
pub struct SimulateArguments {
    /// the experiment file, such as experiments/guild.toml
    #[argh(positional)]
    file: PathBuf,
    /// courseshed (default), first-come-least-load, prefix-affinity or per-call-fair
    #[argh(option, default = "PolicyName::Courseshed")]
    policy: PolicyName,
    /// load as a part of the fleet's capacity (default 0.9)
    #[argh(option, default = "0.9")]
    load: f64,
    /// programs per second, in place of a load
    #[argh(option)]
    rate: Option<f64>,
    /// seed (default 1000)
    #[argh(option, default = "1000")]
    seed: u64,
    /// let the surges of the file take place
    #[argh(switch)]
    surges: bool,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl SimulateArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if !is_positive(self.load) || !self.rate.is_none_or(is_positive) {
            return Err(CommandError::Option {
                option: "--load, --rate",
                reason: "must be above 0".into(),
            });
        }
        let experiment = Experiment::load(&self.file).context(ExperimentSnafu)?;
        let run = RunKey {
            policy: self.policy,
            load: self.rate.map_or(self.load, |_| 1.0),
            seed: self.seed,
            with_surges: self.surges,
        };
        let capacity = match self.rate {
            Some(rate) => rate,
            None => {
                let calibration = calibrate(&experiment, 2).context(ExperimentSnafu)?;
                calibration.programs_per_second
            }
        };
        let result = run_one(&experiment, &run, capacity).context(ExperimentSnafu)?;
        match self.output {
            OutputFormat::Json => print_json(&result)?,
            OutputFormat::Text => {
                let results = [result];
                let kinds = kind_table(&results);
                print_text(&format!(
                    "{}\n\n{kinds}\n",
                    policy_table(&results, self.surges)
                ))?;
            }
        }
        Ok(CommandOutcome::Held)
    }
}
