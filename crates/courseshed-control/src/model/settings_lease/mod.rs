//! The specification of settings: accepted versions, leases on them, and what operators are told.
//!
//! The real views of nodes talk to the real logic of two controllers, of which one leads at a time. Messages are
//! delivered in any order, late or never; a leader may lose its quorum and be followed by the other, a node may
//! restart from what it saved long ago, operators race and send changes again. Time goes on in whole seconds.
//!
//! Promises checked in every state:
//! - a node acts on no version that was superseded longer ago than a lease lasts;
//! - no start of a node acts on a version older than it, or an earlier start, has acted on;
//! - a change told to be accepted is committed as that version, and one told to be refused never is;
//! - after `wait` has said that a version is in force everywhere, no node acts on an older one.

mod controllers;
mod node;
mod scenario;
mod world;

use courseshed_programs::model::search::{Exploration, explore};
use courseshed_types::model_report::{BrokenVariant, ModelReport};

use self::{
    scenario::{Defect, Scenario},
    world::SettingsWorld,
};

/// More states than any scenario has.
const STATE_LIMIT: u64 = 60_000;

/// Checks every scenario and every broken variant of it.
pub fn check_all() -> Vec<ModelReport> {
    scenario::all().into_iter().map(check).collect()
}

fn check(scenario: Scenario) -> ModelReport {
    let found = run(&scenario, Defect::None);
    let variants = scenario.defects.iter().map(|defect| BrokenVariant {
        name: defect.describe().to_owned(),
        caught: run(&scenario, *defect).counterexample,
    });
    ModelReport {
        name: format!("settings lease: {}", scenario.name),
        bounds: scenario.bounds(),
        states: found.states,
        violation: found.counterexample,
        broken_variants: variants.collect(),
    }
}

fn run(scenario: &Scenario, defect: Defect) -> Exploration {
    explore(SettingsWorld::new(scenario, defect), STATE_LIMIT)
}
