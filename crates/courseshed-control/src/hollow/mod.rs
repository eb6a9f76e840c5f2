//! A hollow fleet: the real control code of hundreds of nodes in one process, over virtual links in virtual time.
//!
//! Nothing but callers and engines is left out of a node: each runs the real [`NodeControlView`], each controller
//! also the real replicated log with [`ControlState`] in it and the real [`ControlLeader`]. Every message is really
//! encoded and decoded, so bytes are counted as they would be sent, and the processor time of each node's steps is
//! measured, with a clock that the caller passes in.
//!
//! The fleet also watches promises from outside, see [`Violation`]: settings never go back on any node over any
//! restart, and a node with a valid lease never lags behind an accepted version by more than the lease.
//!
//! [`NodeControlView`]: crate::NodeControlView
//! [`ControlState`]: crate::ControlState
//! [`ControlLeader`]: crate::ControlLeader

mod controller;
mod disk;
mod fleet;
mod grants;
mod layout;
mod machine;
mod network;
mod node;
mod operator;
mod options;
mod report;
mod spread;
mod tenants;
mod traffic;
mod watch;
mod wire;

pub use fleet::HollowFleet;
pub use operator::{ChangeAnswer, QuestionId};
pub use options::{HollowOptions, LinkOptions};
pub use report::{FleetReport, LatencySummary, MechanismReport, RoleReport};
pub use spread::SpreadRecord;
pub use tenants::tenant_tree;
pub use traffic::{CpuClock, Mechanism, NodeRoleName};
pub use watch::Violation;

#[cfg(test)]
mod tests;
