//! The controller: settings versions, member map, shard placement and budget grants.
//!
//! The crate has three main components, all free of I/O:
//!
//! - [`state::ControlState`] is the replicated state machine; every controller applies the same commands to it.
//! - [`leader::ControlLeader`] implements the leading controller: it processes heartbeats, proposes commands and
//!   answers requests. Its state is not replicated.
//! - [`node::NodeControlView`] runs on every node: it stores the newest settings and member map, holds the settings
//!   lease, and relays control traffic for its zone.
//!
//! Guarantees: the settings version in force on a node never decreases, even across restarts; a node whose settings
//! lease has expired starts no new work unless the branch allows it; the sum of grants never exceeds a budget.

pub mod command;
pub mod compiler;
pub mod hollow;
pub mod leader;
pub mod model;
pub mod node;
pub mod publish;
pub mod state;

pub use command::{CommandBody, CommandOrigin, ControlCommand};
pub use compiler::TreeCompiler;
pub use leader::{ControlLeader, LeaderOptions, LeaderOutput, LeaderRole, RequestToken};
pub use node::{ControlTarget, ControllerSeed, NodeControlView, ViewOptions, ViewOutput};
pub use state::{Applied, ApplyOutcome, ControlState, FleetOptions};

/// Log entries that controllers retain in memory before the latest snapshot, for followers that lag slightly.
///
/// Kept small because every settings change contains the whole tree and policy. Followers that lag further receive
/// the snapshot.
pub const LOG_ENTRIES_RETAINED: u64 = 64;
