//! Failure detection, shard placement, and dispatcher and relay selection.
//!
//! Everything here is deterministic: the same member map yields the same dispatcher, relay and placement on every
//! node, and the same heartbeats at the same times yield the same liveness.

pub mod damping;
pub mod detector;
pub mod migration;
pub mod placement;
pub mod rendezvous;
pub mod selection;
pub mod tenant_shards;
#[cfg(test)]
mod tenant_shards_tests;

pub use damping::{DampingOptions, FlapDamper};
pub use detector::{DetectorOptions, FailureDetector, Liveness};
pub use migration::{ReplicaSet, ReplicaStep, plan_replica_changes};
pub use placement::{PlacementOptions, place_shards};
pub use selection::{dispatcher_for, dispatcher_for_reachable, relay_for, relays_for};
pub use tenant_shards::{SHARDS_OF_TENANT, shards_of_tenant};
