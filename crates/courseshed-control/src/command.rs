//! The commands of the controller's replicated log.

use std::sync::Arc;

use courseshed_types::{
    EngineId, Incarnation, NodeId, PolicySnapshot, Timestamp,
    control::{GrantRequest, GrantReturn, Member, SettingsChange, ShardVoters},
    dispatch::EngineMember,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::state::FleetOptions;

/// A command could not be written or read.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// It could not be written.
    #[snafu(display("the control command can't be encoded: {source}"))]
    Encode {
        /// What MessagePack says.
        source: rmp_serde::encode::Error,
    },
    /// It could not be read.
    #[snafu(display("the control command can't be decoded: {source}"))]
    Decode {
        /// What MessagePack says.
        source: rmp_serde::decode::Error,
    },
}

/// Who proposed a command, so that the proposer finds its answer when the command is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandOrigin {
    /// The controller that proposed.
    pub node: NodeId,
    /// Its number for the proposal, unique over its restarts.
    pub serial: u64,
}

/// One entry of the controller's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlCommand {
    /// When the leader proposed it; the only clock the state machine knows.
    pub at: Timestamp,
    /// Who proposed it.
    pub origin: CommandOrigin,
    /// What changes.
    pub body: CommandBody,
}

/// What a command changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Sets how shards are placed.
    Configure(FleetOptions),
    /// Changes the settings tree.
    ApplySettings {
        /// The change asked for.
        change: SettingsChange,
        /// The tree compiled by the proposer, at the version that follows the expected one.
        policy: Arc<PolicySnapshot>,
    },
    /// A node is new, restarted, changed or heard again.
    RegisterNode(Member),
    /// A node was silent for longer than the failure timeout.
    NodeDown {
        /// The node.
        node: NodeId,
        /// The start that was silent; a later start is not meant.
        incarnation: Incarnation,
    },
    /// A node hands over and stops, until it starts again.
    NodeLeaving(NodeId),
    /// An operator marks a node leaving, over its restarts, or live again.
    DrainNode {
        /// The node.
        node: NodeId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A node that has been down for long is forgotten.
    NodeGone(NodeId),
    /// Who votes in a shard's log.
    ReportVoters(ShardVoters),
    /// The engines that exist now.
    SetEngines(Vec<EngineMember>),
    /// An operator marks an engine leaving, whatever the list of engines says, or live again.
    DrainEngine {
        /// The engine.
        engine: EngineId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A fence for an order to an engine.
    TakeFence(EngineId),
    /// Escrow for a shard.
    Grant(GrantRequest),
    /// Unspent escrow comes back.
    ReturnGrant(GrantReturn),
}

impl ControlCommand {
    /// The bytes for the log.
    pub fn encode(&self) -> Result<Vec<u8>, CommandError> {
        rmp_serde::to_vec(self).context(EncodeSnafu)
    }

    /// Reads the bytes of the log.
    pub fn decode(bytes: &[u8]) -> Result<ControlCommand, CommandError> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}
