//! The controller: settings versions, member map, shard placement and budget grants.
//!
//! Three parts, all free of I/O:
//!
//! - [`state::ControlState`] is the replicated state machine; every controller applies the same commands to it.
//! - [`leader::ControlLeader`] is the soft logic of the controller that leads: it hears nodes, proposes commands
//!   and answers requests.
//! - [`node::NodeControlView`] is what every node runs: it keeps the newest settings and member map, holds the
//!   settings lease, and relays for its zone.
//!
//! The promises: an accepted version never goes down, on no node, over no restart; a node whose settings lease has
//! run out starts nothing new unless the branch says to go on; the sum of grants never exceeds a budget.

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

/// Entries that controllers keep in memory behind a snapshot of their log, for followers that are a little late.
///
/// A change of settings carries the whole tree and policy, hundreds of kilobytes at the size the project is designed
/// for, so a memory of many entries would weigh hundreds of megabytes. A follower that lacks more gets the snapshot.
pub const LOG_ENTRIES_RETAINED: u64 = 64;
