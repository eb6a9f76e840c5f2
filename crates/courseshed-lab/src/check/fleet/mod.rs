//! Simulation of the whole path: callers, gateways, shards, a dispatcher, engines and the budget ledger, in virtual
//! time, with everything failing that may.
//!
//! The replicas of the shard are the daemon's own [`courseshed_node::shards::ShardReplica`] with its log and its
//! logic, the dispatcher is [`courseshed_dispatch::Dispatcher`], the ledger is the controllers' own state machine, and
//! engines compute by [`courseshed_engine_model::EngineModel`]. Gateways, callers and the engines' protocol are actors
//! of the simulation that follow the same rules as the real ones, since those are bound to sockets.
//!
//! The observer sees only what callers sent and got and what engines ran, never what the system believes.

mod caller;
mod caller_script;
mod delivery;
mod engine;
mod engine_requests;
mod events;
mod faults;
mod gateway;
mod gateway_streams;
mod ledger;
mod links;
mod node;
mod observer;
mod options;
mod report;
mod wire;
mod world;

pub use options::{FleetOptions, FleetVariant};
pub use report::{FleetFault, FleetPromise, FleetReport, FleetViolation};

use world::World;

/// Runs one seed: a time with faults, then one without in which all programs end, then the checks.
pub fn run_seed(seed: u64, options: &FleetOptions) -> FleetReport {
    let mut world = World::new(seed, *options);
    world.run();
    world.into_report()
}
