//! Specification of escrow: the controllers' ledger and the escrow accounts of shards.
//!
//! Messages may be delayed, reordered, duplicated or lost, which includes temporary partitions of a region. Shard
//! leaders may change at any point, and a shard may lose all replicas and be bootstrapped again without data.
//!
//! Invariants checked in every state:
//! - tokens spent or spendable by shards never exceed the tokens that the ledger counts as held;
//! - the ledger never grants beyond the budget in force;
//! - tokens consumed on engines never exceed the highest budget so far;
//! - without pending messages, and if no shard was lost, the ledger counts as held only what shards hold or have been
//!   granted without applying it.

mod scenario;
mod shard;
mod world;

use courseshed_programs::model::search::{Exploration, explore};
use courseshed_types::model_report::{BrokenVariant, ModelReport};

use self::{
    scenario::{Defect, Scenario},
    world::EscrowWorld,
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
