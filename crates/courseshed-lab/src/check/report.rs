//! What a check found.

use std::fmt;

use courseshed_types::model_report::ModelReport;
use serde::Serialize;

use super::{models, simulations::SimulationSummary};

/// The results of a check.
#[derive(Debug, Clone, Serialize)]
pub struct CheckReport {
    /// The models explored.
    pub models: Vec<ModelReport>,
    /// The simulations run.
    pub simulations: Vec<SimulationSummary>,
}

impl CheckReport {
    /// Checks the models whose name contains a text, or all.
    pub fn of_models(name_part: Option<&str>) -> CheckReport {
        let mut models = models::check_all();
        if let Some(part) = name_part {
            models.retain(|report| report.name.contains(part));
        }
        CheckReport {
            models,
            simulations: Vec::new(),
        }
    }

    /// The results of simulations alone.
    pub fn of_simulations(simulations: Vec<SimulationSummary>) -> CheckReport {
        CheckReport {
            models: Vec::new(),
            simulations,
        }
    }

    /// Whether all holds and every broken variant was caught.
    pub fn passed(&self) -> bool {
        let models = self.models.iter().all(ModelReport::passed);
        let simulations = self.simulations.iter().all(SimulationSummary::passed);
        models && simulations
    }

    /// Properties found broken.
    pub fn violations(&self) -> usize {
        let broken = |report: &&ModelReport| report.violation.is_some();
        let in_models = self.models.iter().filter(broken).count();
        let seen = |summary: &SimulationSummary| summary.violations_seen.len();
        let in_simulations: usize = self.simulations.iter().map(seen).sum();
        in_models + in_simulations
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.models {
            write_model(formatter, report)?;
        }
        for summary in &self.simulations {
            write!(formatter, "{summary}")?;
        }
        writeln!(formatter, "violations: {}", self.violations())
    }
}

fn write_model(formatter: &mut fmt::Formatter<'_>, report: &ModelReport) -> fmt::Result {
    writeln!(formatter, "{}", report.name)?;
    writeln!(formatter, "  bounds: {}", report.bounds)?;
    writeln!(formatter, "  states explored: {}", report.states)?;
    if let Some(violation) = &report.violation {
        writeln!(formatter, "  VIOLATION\n{violation}")?;
    }
    for variant in &report.broken_variants {
        match &variant.caught {
            Some(found) => writeln!(
                formatter,
                "  broken on purpose, caught after {} steps: {}",
                found.steps.len(),
                variant.name
            )?,
            None => writeln!(
                formatter,
                "  broken on purpose, NOT CAUGHT: {}",
                variant.name
            )?,
        }
    }
    Ok(())
}
