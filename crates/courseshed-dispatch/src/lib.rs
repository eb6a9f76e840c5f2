//! The dispatcher: tables and systems that decide whose call runs on which engine.
//!
//! One [`Dispatcher`] decides for one pool: the engines of a region that serve one model. It is free of I/O and
//! deterministic; the daemon and the simulator drive the same code. Its state is soft: shard leaders announce their
//! calls to a new dispatcher, engines report their load, and what can't be known is left for late corrections.
//!
//! - `tables`: branches, calls, engines, programs, shards, timers;
//! - `systems`: intake of messages, fair sharing, order inside a branch, choice of engine, assignment, pauses and
//!   leases, the view of caches, engine health, shedding, expiry;
//! - `learn`: distributions learned online;
//! - `baselines`: what each policy kind is made of;
//! - [`placement`]: which models, adapters and roles engines hold.
//!
//! Safety does not rest here: an assignment takes effect only when the shard has committed it, and a call that is
//! refused here was never sent to an engine by this dispatcher's word.

mod baselines;
mod config;
mod dispatcher;
mod explain;
#[cfg(test)]
mod invariants;
mod learn;
mod output;
pub mod placement;
mod state;
mod systems;
mod tables;
mod units;

pub use config::{DispatcherConfig, PolicyKind};
pub use dispatcher::Dispatcher;
pub use output::{
    BranchStats, DispatchCounters, DispatchOutput, DispatcherStats, EngineStats, PoolDemand,
    ShardLeader, Waste,
};
pub use units::Service;
