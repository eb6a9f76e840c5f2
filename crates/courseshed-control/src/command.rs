//! Commands of the controllers' replicated log.

use std::sync::Arc;

use courseshed_types::{
    EngineId, Incarnation, NodeId, PolicySnapshot, Timestamp,
    control::{GrantRequest, GrantReturn, Member, SettingsChange, ShardVoters},
    dispatch::EngineMember,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::state::FleetOptions;

/// A command could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// Encoding failed.
    #[snafu(display("the control command can't be encoded: {source}"))]
    Encode {
        /// The MessagePack error.
        source: rmp_serde::encode::Error,
    },
    /// Decoding failed.
    #[snafu(display("the control command can't be decoded: {source}"))]
    Decode {
        /// The MessagePack error.
        source: rmp_serde::decode::Error,
    },
}

/// Identifies a proposal, so that the proposer can answer its request when the command is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandOrigin {
    /// The proposing controller.
    pub node: NodeId,
    /// Proposal number, unique across restarts of the controller.
    pub serial: u64,
}

/// An entry of the controllers' log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlCommand {
    /// Time of the proposal; the state machine uses no other clock.
    pub at: Timestamp,
    /// The proposal that created the entry.
    pub origin: CommandOrigin,
    /// The change to apply.
    pub body: CommandBody,
}

/// The change made by a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Sets the fleet options.
    Configure(FleetOptions),
    /// Changes the settings tree.
    ApplySettings {
        /// The requested change.
        change: SettingsChange,
        /// The policy compiled by the proposer, at the version after the expected one.
        policy: Arc<PolicySnapshot>,
    },
    /// Registers a node that is new, restarted, changed or reachable again.
    RegisterNode(Member),
    /// Marks a node down that was silent for longer than the failure timeout.
    NodeDown {
        /// The node.
        node: NodeId,
        /// The silent incarnation; the command does not apply to later ones.
        incarnation: Incarnation,
    },
    /// Marks a node leaving while it shuts down, until it restarts.
    NodeLeaving(NodeId),
    /// Starts or ends an operator's drain of a node; a drain persists across restarts of the node.
    DrainNode {
        /// The node.
        node: NodeId,
        /// `true` to drain, `false` to end the drain.
        leaving: bool,
    },
    /// Removes a node that has been down for a long time.
    NodeGone(NodeId),
    /// Updates the voters of a shard's log.
    ReportVoters(ShardVoters),
    /// Replaces the list of engines.
    SetEngines(Vec<EngineMember>),
    /// Starts or ends an operator's drain of an engine; a drain overrides the list of engines.
    DrainEngine {
        /// The engine.
        engine: EngineId,
        /// `true` to drain, `false` to end the drain.
        leaving: bool,
    },
    /// Issues a fencing token for a command to an engine.
    TakeFence(EngineId),
    /// Grants budget escrow to a shard.
    Grant(GrantRequest),
    /// Returns unspent escrow.
    ReturnGrant(GrantReturn),
}

impl ControlCommand {
    /// Encodes the command as a log entry.
    pub fn encode(&self) -> Result<Vec<u8>, CommandError> {
        rmp_serde::to_vec(self).context(EncodeSnafu)
    }

    /// Decodes a log entry.
    pub fn decode(bytes: &[u8]) -> Result<ControlCommand, CommandError> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}
