//! The node settings file and the settings tree: parsing, inheritance and checks.
//!
//! Two texts steer a fleet. The [node settings file](node) is read once by each
//! daemon when it starts. The [settings tree](tree) is edited by operators while
//! the fleet runs, is accepted by the controllers, and is compiled into the
//! policy that every node follows.
//!
//! Both are TOML, both report all their faults at once, and neither does any
//! I/O besides reading the node's own file.

mod digest;
mod names;
pub mod node;
mod problem;
mod reader;
pub mod tree;
mod units;

pub use digest::{DigestError, KeyDigest};
pub use node::{NodeSettings, Overrides, SettingsError};
pub use problem::Problem;
pub use tree::SettingsTree;
