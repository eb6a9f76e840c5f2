//! Failure detection, and the rules that turn the member map into choices every node makes alike.
//!
//! Everything here is a pure function of its arguments: the same member map gives the same dispatcher, relay and
//! placement on every node, and the same heartbeats at the same times give the same verdict on who is down.

pub mod damping;
pub mod detector;
pub mod migration;
pub mod placement;
pub mod rendezvous;
pub mod selection;
pub mod spread;
#[cfg(test)]
mod spread_tests;

pub use damping::{DampingOptions, FlapDamper};
pub use detector::{DetectorOptions, FailureDetector, Liveness};
pub use migration::{ReplicaSet, ReplicaStep, plan_replica_changes};
pub use placement::{PlacementOptions, place_shards};
pub use selection::{dispatcher_for, dispatcher_for_reachable, relay_for, relays_for};
pub use spread::{SHARDS_OF_TENANT, shards_of_tenant};
