//! Request dispatcher: decides which engine runs each queued call.
//!
//! A [`Dispatcher`] schedules one pool, that is, the engines of a region that serve one model. It
//! performs no I/O and is deterministic; the daemon and the simulator drive the same code. Its
//! state is soft: after a restart it is rebuilt from the announcements of shard leaders and the
//! load reports of engines, and estimates are corrected as usage is reported.
//!
//! - `tables`: branches, calls, engines, programs, shards, timers;
//! - `systems`: message handling, fair sharing, ordering within a branch, engine selection,
//!   assignment, pauses and leases, prefix cache tracking, engine health, load shedding, timers;
//! - `estimates`: rates and distributions estimated online;
//! - `strategy`: the components of each policy kind;
//! - [`placement`]: which models, adapters and roles each engine holds.
//!
//! Correctness does not depend on the dispatcher: an assignment takes effect only once the shard
//! has committed it, and the dispatcher rejects a call only while it has not assigned it to an
//! engine.

mod config;
mod dispatcher;
mod estimates;
mod explain;
#[cfg(test)]
mod invariants;
mod output;
pub mod placement;
mod state;
mod strategy;
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
