//! The specification of escrow: the controllers' ledger and the accounts of shards, together.
//!
//! Messages between them are delivered in any order, late, twice or not at all, so a region cut off for a while is
//! one of the delays explored. Leaders of shards change at any point, and a shard may lose all its replicas and be
//! founded again, empty.
//!
//! Promises checked in every state:
//! - what shards have spent and may still spend never exceeds what the ledger counts as held;
//! - the ledger never grants beyond the budget in force;
//! - what engines counted never exceeds the highest budget there was;
//! - once nothing is under way, the ledger counts no more than what the shards hold, and what lost shards held.

mod scenario;
mod shard;
mod world;

use courseshed_programs::model::search::{Exploration, explore};
use courseshed_types::model_report::{BrokenVariant, ModelReport};

use self::{
    scenario::{Defect, Scenario},
    world::EscrowWorld,
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
        name: format!("budget escrow: {}", scenario.name),
        bounds: scenario.bounds(),
        states: found.states,
        violation: found.counterexample,
        broken_variants: variants.collect(),
    }
}

fn run(scenario: &Scenario, defect: Defect) -> Exploration {
    explore(EscrowWorld::new(scenario, defect), STATE_LIMIT)
}
