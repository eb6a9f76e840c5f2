//! Specification of settings: accepted versions, settings leases and replies to operators.
//!
//! The production node views communicate with the production logic of two controllers, one of which leads at a time.
//! Messages may be delayed, reordered or lost; a leader may lose its quorum and be replaced by the other controller; a
//! node may restart from outdated saved state; operators submit concurrent changes and resend them. Time advances in
//! whole seconds.
//!
//! Invariants checked in every state:
//! - a node uses no version that was superseded longer ago than the duration of a lease;
//! - a node never uses a version older than one it used before, even across restarts;
//! - a change reported as accepted is committed as the reported version, and a change reported as rejected is never
//!   committed;
//! - after `wait` has confirmed that a version is in force on all nodes, no node uses an older one.

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

/// Search limit; larger than the state space of any scenario.
const STATE_LIMIT: u64 = 60_000;

/// Checks every scenario, without and with injected defects.
pub fn check_all() -> Vec<ModelReport> {
    scenario::all().into_iter().map(check).collect()
}

fn check(scenario: Scenario) -> ModelReport {
    let found = run(&scenario, Defect::None);
    let variants = scenario.defects.iter().map(|defect| BrokenVariant {
        name: defect.description().to_owned(),
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
