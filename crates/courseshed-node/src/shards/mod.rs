//! The program-shard role: replicas, the driver that steps them, and the client that finds their leaders.
//!
//! Each replica stands under its own lock; whichever thread brings an input steps it and sends what comes of
//! it before the lock is released, so that messages of one shard leave in the order they were decided.

mod client;
mod machine;
mod recovery;
mod replica;
mod retry_budget;
mod table;
mod ticker;

pub use client::{ShardClient, ShardPatience};
pub use recovery::{EngineQuestion, find_attempt, give_finding};
pub use replica::{PendingReply, ReplicaStart, ShardInput, StepTime};
pub use table::ShardTable;
pub use ticker::ShardTicker;
