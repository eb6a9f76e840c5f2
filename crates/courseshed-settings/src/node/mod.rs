//! The node settings file: what one daemon must know before it can join its fleet.
//!
//! Everything here is fixed for the life of the process. What may change while
//! the fleet runs stands in the settings tree instead.

mod check;
mod limits;
mod load;
mod overrides;
mod read;
mod timeouts;

use std::net::SocketAddr;
use std::path::PathBuf;

use courseshed_types::control::NodeRole;
use courseshed_types::{EngineId, ModelName, NodeId, RegionName, ZoneName};

use crate::KeyDigest;

pub use limits::NodeLimits;
pub use load::SettingsError;
pub use overrides::Overrides;
pub use timeouts::NodeTimeouts;

/// The checked settings of one node: the file, its defaults, and the flags over it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Number of the node, unique in the fleet.
    pub node_id: NodeId,
    /// Region the node stands in.
    pub region: RegionName,
    /// Zone the node stands in; zones fail apart from each other.
    pub zone: ZoneName,
    /// Address for callers and operators (HTTP).
    pub listen: SocketAddr,
    /// Address for the other nodes of the fleet.
    pub peer_listen: SocketAddr,
    /// Folder of the node's durable state; without one its replicas are volatile.
    pub data_dir: Option<PathBuf>,
    /// Roles the node plays, without repetition, in the order of [`NodeRole`].
    pub roles: Vec<NodeRole>,
    /// Nodes to join through; the node itself may be among them.
    pub seeds: Vec<Seed>,
    /// Digests of the operators' bearer keys that this node takes before any tree is accepted.
    pub operator_keys: Vec<KeyDigest>,
    /// Engines known from the file.
    pub engines: Vec<EngineEntry>,
    /// URL of the platform's list of live and leaving engines.
    pub members_url: Option<String>,
    /// Bounds on what the node takes in at once.
    pub limits: NodeLimits,
    /// How long the node waits for others.
    pub timeouts: NodeTimeouts,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
}

/// A node to join through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Number of the node.
    pub node_id: NodeId,
    /// Its address for other nodes.
    pub peer: SocketAddr,
    /// Roles it plays.
    pub roles: Vec<NodeRole>,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
}

/// An engine named by the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// Name of the engine, unique in the fleet.
    pub id: EngineId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Models it serves at first; empty if it is to be asked.
    pub models: Vec<ModelName>,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
}

/// Severity below which log lines are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Also what was survived.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single decisions.
    Debug,
    /// Also single messages.
    Trace,
}
