//! What controllers agree on for gateways: the routing table in force, the servers that announced
//! themselves, and which machines hold the records of programs.
//!
//! [`FleetState`] is a deterministic state machine in the controllers' replicated log. Ordinary
//! heartbeats don't enter the log; a new server, a server that leaves, and a change of any fact do.
//! [`Liveness`] is the leader's soft knowledge of who was heard lately. The crate does no I/O.
//!
//! Invariants:
//! - The version of the routing table in force never falls.
//! - A server that drains or left never becomes ready again under the same id.
//! - An older announcement of a server never replaces a newer one, and an ended life never a later one.

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

pub use avoidance::{Avoidance, AvoidanceChange, ProbeTurn, Standing, advance_service};
pub use command::{Command, Outcome};
pub use freshness::CommitFreshness;
pub use liveness::{Liveness, LivenessSettings};
pub use load::{LoadBoard, LoadReport, ServerFailures, ServerLoad, pause_after_reports};
pub use outcomes::{FadingCounts, OutcomeCounts, ServerOutcome, failing_servers};
pub use proof::{Confirmations, ProofKeeper, RoutingProof};
pub use server::{Registration, Server, ServerState};
pub use server_list::{ListChange, ServerChanges, ServerList, ServersKnown};
pub use state::{EvacuatedZones, FleetState, FleetUpdate, Known, Retirement, RoutingInForce};
