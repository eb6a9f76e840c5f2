//! What a check found.

use std::fmt;

use courseshed_types::model_report::ModelReport;
use serde::Serialize;

use super::models;

/// The results of a check.
#[derive(Debug, Clone, Serialize)]
pub struct CheckReport {
    /// The models explored.
    pub models: Vec<ModelReport>,
}

impl CheckReport {
    /// Checks the models whose name contains a text, or all.
    pub fn of_models(name_part: Option<&str>) -> CheckReport {
        let mut models = models::check_all();
        if let Some(part) = name_part {
            models.retain(|report| report.name.contains(part));
        }
        CheckReport { models }
    }

    /// Whether all holds and every broken variant was caught.
    pub fn passed(&self) -> bool {
        self.models.iter().all(ModelReport::passed)
    }

    /// Properties found broken.
    pub fn violations(&self) -> usize {
        self.models
            .iter()
            .filter(|report| report.violation.is_some())
            .count()
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.models {
            write_model(formatter, report)?;
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
