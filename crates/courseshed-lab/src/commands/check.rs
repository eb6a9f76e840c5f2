//! `courseshed-lab check`: proves the protocols within stated bounds, and simulates them over many seeds.

use argh::FromArgs;

use super::{
    CommandError, CommandOutcome,
    output::{OutputFormat, print_json, print_text},
};
use crate::check::{CheckReport, Simulation, SimulationSummary};

/// Seeds of each simulation unless asked for otherwise.
const DEFAULT_SEEDS: u64 = 200;

/// Check the protocols: every model, every simulation, and their variants broken on purpose.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// check only models whose name contains this, and no simulation unless --seeds is given
    #[argh(option)]
    model: Option<String>,
    /// run only this simulation, and no model: log or fleet
    #[argh(option)]
    simulation: Option<String>,
    /// seeds of each simulation (default 200; 1 shows one seed alone, without broken variants)
    #[argh(option)]
    seeds: Option<u64>,
    /// first seed (default 0)
    #[argh(option, default = "0")]
    first_seed: u64,
    /// threads for seeds (default 1)
    #[argh(option, default = "1")]
    threads: usize,
    /// text (default) or json
    #[argh(option, default = "OutputFormat::Text")]
    output: OutputFormat,
}

impl CheckArguments {
    pub(super) fn run(self) -> Result<CommandOutcome, CommandError> {
        let simulations = self.simulations()?;
        let mut report = match self.simulation {
            Some(_) => CheckReport::of_simulations(Vec::new()),
            None => CheckReport::of_models(self.model.as_deref()),
        };
        if report.models.is_empty() && self.simulation.is_none() {
            return Err(CommandError::Option {
                option: "--model",
                reason: "no model has this in its name; run without it to see them all".into(),
            });
        }
        report.simulations = simulations
            .into_iter()
            .map(|simulation| self.simulate(simulation))
            .collect();
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

    /// The simulations asked for.
    fn simulations(&self) -> Result<Vec<Simulation>, CommandError> {
        match &self.simulation {
            Some(name) => match Simulation::from_name(name) {
                Some(simulation) => Ok(vec![simulation]),
                None => Err(CommandError::Option {
                    option: "--simulation",
                    reason: format!("'{name}' is none of: log, fleet"),
                }),
            },
            None if self.model.is_some() && self.seeds.is_none() => Ok(Vec::new()),
            None => Ok(Simulation::ALL.to_vec()),
        }
    }

    fn simulate(&self, simulation: Simulation) -> SimulationSummary {
        let seeds = self.seeds.unwrap_or(DEFAULT_SEEDS);
        let range = self.first_seed..self.first_seed.saturating_add(seeds);
        let with_variants = seeds > 1;
        SimulationSummary::of_seeds(simulation, range, with_variants, self.threads)
    }
}
