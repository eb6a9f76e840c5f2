//! The program-shard role: replicas, the driver that steps them, and the client that finds their leaders.
//!
//! Each replica stands under its own lock; whichever thread brings an input steps it and sends what comes of
//! it before the lock is released, so that messages of one shard leave in the order they were decided.
//!
//! `FollowedMap::follow` makes the node's replicas those that a member map wants.

mod client;
mod follow;
mod handover;
mod held;
mod input;
mod leader_watch;
mod machine;
mod members;
mod plan;
#[cfg(test)]
mod plan_tests;
mod recovery;
mod replica;
mod reports;
mod retry_budget;
mod slot;
mod table;
mod ticker;

pub use client::{ShardClient, ShardPatience};
pub use follow::FollowedMap;
pub use handover::hand_over_while;
pub use input::{PendingReply, ReplicaStart, ShardAction, ShardInput, StepTime};
pub use plan::{
    KnownReplica, NewReplica, ReplicaChange, ReplicaTarget, WantedReplica, plan_replicas,
};
pub use recovery::{EngineQuestion, find_attempt, give_finding};
pub use replica::ShardReplica;
pub use table::ShardTable;
pub use ticker::ShardTicker;
