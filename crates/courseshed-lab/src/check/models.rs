//! Every model there is, under one report type.

use courseshed_consensus::model as log_model;
use courseshed_types::model_report::{BrokenVariant, Counterexample, ModelReport};

/// Checks every model.
pub fn check_all() -> Vec<ModelReport> {
    let mut reports: Vec<ModelReport> = log_model::check_all()
        .into_iter()
        .map(from_log_report)
        .collect();
    reports.extend(courseshed_programs::model::check_all());
    reports.extend(courseshed_control::model::check_all());
    reports
}

fn from_log_report(report: log_model::ModelReport) -> ModelReport {
    let never_reached = report.states_at_goal == 0;
    let unreached_goal = || Counterexample {
        property: "the scenario's goal lies within its bounds".to_string(),
        steps: Vec::new(),
    };
    ModelReport {
        name: format!("replicated log: {}", report.name),
        bounds: report.bounds,
        states: report.states as u64,
        violation: report
            .violation
            .map(from_log_counterexample)
            .or_else(|| never_reached.then(unreached_goal)),
        broken_variants: report
            .broken_variants
            .into_iter()
            .map(|variant| BrokenVariant {
                name: variant.name.to_string(),
                caught: variant.counterexample.map(from_log_counterexample),
            })
            .collect(),
    }
}

fn from_log_counterexample(found: log_model::Counterexample) -> Counterexample {
    Counterexample {
        property: found.promise,
        steps: found.steps,
    }
}
