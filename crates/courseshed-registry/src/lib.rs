//! State that controllers replicate and provide to gateways: the routing table, the registered
//! servers, and the stores that hold the records of programs.
//!
//! [`FleetState`] is a deterministic state machine driven by the controllers' replicated log.
//! Heartbeats without changes are not logged; registrations, deregistrations and changes are.
//! [`Liveness`] is the leader's volatile record of heartbeats. This crate performs no I/O.
//!
//! Invariants:
//! - The version of the active routing table never decreases.
//! - A draining or deregistered server never becomes ready again under the same id.
//! - An older registration never replaces a newer one, and an ended incarnation of a server never
//!   replaces a later one.

mod avoidance;
mod command;
mod freshness;
mod liveness;
mod load;
mod outcomes;
mod proof;
mod server;
mod server_list;
mod state;
mod suspects;

pub use avoidance::{Avoidance, AvoidanceChange, ProbeTurn, ServerAvailability, advance_service};
pub use command::{Command, Outcome};
pub use freshness::CommitFreshness;
pub use liveness::{Liveness, LivenessSettings};
pub use load::{LoadAggregator, LoadReport, ServerFailures, ServerLoad, report_interval};
pub use outcomes::{DecayingCounts, OutcomeCounts, ServerOutcome, failing_servers};
pub use proof::{Confirmations, LatestProof, RoutingProof};
pub use server::{Registration, Server, ServerState};
pub use server_list::{ListChange, ServerChanges, ServerList, ServerListRevision};
pub use state::{
    ActiveRouting, EvacuatedZones, FleetState, FleetUpdate, FollowerRevisions, Retirement,
    SuspectRevision,
};
pub use suspects::{
    EndedServer, MAX_ENDED_SERVERS, SuspectChanges, SuspectReport, SuspectRequests, SuspectState,
    SuspectVerdict, may_send_suspect,
};
