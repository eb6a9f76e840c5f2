//! The specification of a call's life.
//!
//! Promises checked in every state: a call that is not repeatable runs at most once; a call of which "not run"
//! was said does not run; a call starts only after the one before it is settled; an outcome never changes and is
//! one the engine gave; an attempt is sent by one order only.

mod actions;
mod gateway;
mod observer;
mod scenario;
mod world;

use courseshed_types::model_report::{BrokenVariant, ModelReport};

use self::{
    scenario::{Defect, Scenario},
    world::CallWorld,
};
use super::search::{Exploration, explore};

/// More states than any scenario has.
const STATE_LIMIT: u64 = 400_000;

pub(super) fn check_all() -> Vec<ModelReport> {
    scenario::all().into_iter().map(check).collect()
}

fn check(scenario: Scenario) -> ModelReport {
    let found = run(&scenario, Defect::None);
    let defects = scenario.defects.iter();
    ModelReport {
        name: format!("call life: {}", scenario.name),
        bounds: scenario.bounds(),
        states: found.states,
        violation: found.counterexample,
        broken_variants: defects
            .map(|defect| check_variant(&scenario, *defect))
            .collect(),
    }
}

fn check_variant(scenario: &Scenario, defect: Defect) -> BrokenVariant {
    BrokenVariant {
        name: defect.describe().to_owned(),
        caught: run(scenario, defect).counterexample,
    }
}

fn run(scenario: &Scenario, defect: Defect) -> Exploration {
    explore(CallWorld::new(scenario, defect), STATE_LIMIT)
}
