//! What nodes and operators say to the controller, and the member map it commits.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    delta::{MapDelta, PolicyDelta},
    dispatch::EngineMember,
    engine::EngineDirectory,
    errors::CallError,
    ids::{
        ChangeId, EngineId, Incarnation, MapEpoch, NodeId, RegionName, SettingsVersion, ShardId,
        ZoneName,
    },
    policy::PolicySnapshot,
    time::Timestamp,
    tokens::Tokens,
};

/// A part a node plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    Gateway,
    /// Keeps replicas of program shards.
    Shard,
    /// Decides for pools.
    Dispatcher,
    /// Keeps settings, member map and grants.
    Controller,
}

/// Whether a node takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Takes part.
    Live,
    /// Hands its work over and takes nothing new.
    Leaving,
    /// Has not been heard of for longer than the failure timeout.
    Down,
}

/// A node in the member map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub node: NodeId,
    /// Its start; grows with every restart.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address for other nodes, `ip:port`.
    pub peer_address: String,
    /// Address for callers and operators, `ip:port`.
    pub http_address: String,
    /// Parts it plays.
    pub roles: Vec<NodeRole>,
    /// Whether it takes part.
    pub state: NodeState,
}

impl Member {
    /// Whether the node plays the part and takes work.
    pub fn serves(&self, role: NodeRole) -> bool {
        self.state == NodeState::Live && self.roles.contains(&role)
    }
}

/// Where a shard's replicas are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPlacement {
    /// The shard.
    pub shard: ShardId,
    /// Its region.
    pub region: RegionName,
    /// The nodes that keep it, in distinct zones where there are enough; the first is preferred as leader.
    pub replicas: Vec<NodeId>,
    /// Counts how often the shard was founded; replicas of an older generation have lost all they held.
    #[serde(default)]
    pub generation: u32,
    /// The replicas that vote, as the shard's leader reported last; those that found the generation until then.
    #[serde(default)]
    pub voters: Vec<ShardVoter>,
}

/// One start of a node that votes in a shard's log; a later start of it has forgotten everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardVoter {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// A shard's leader reports who votes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardVoters {
    /// The shard.
    pub shard: ShardId,
    /// Its generation.
    pub generation: u32,
    /// The replicas that vote.
    pub voters: Vec<ShardVoter>,
}

/// The committed member map. Immutable; a newer epoch replaces an older one whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberMap {
    /// Grows with every committed change.
    pub epoch: MapEpoch,
    /// Nodes by id.
    pub members: BTreeMap<NodeId, Member>,
    /// Shards by id.
    pub shards: BTreeMap<ShardId, ShardPlacement>,
    /// Engines.
    pub engines: EngineDirectory,
}

/// A change of the settings tree that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// The version the change was made against.
    pub expected_version: SettingsVersion,
    /// The operator's name for the change; the same id again gets the first answer.
    pub change_id: ChangeId,
    /// The whole tree, TOML.
    pub tree: String,
    /// Who asks, for the history.
    pub author: String,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsRecord {
    /// The version it made.
    pub version: SettingsVersion,
    /// The operator's name for it.
    pub change_id: ChangeId,
    /// Who asked.
    pub author: String,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// The whole tree, TOML.
    pub tree: Arc<str>,
}

/// A request to the controller's leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A node that starts or lives: membership heartbeat. Answer: `Heard`.
    Heartbeat(NodeHeartbeat),
    /// A relay reports the heartbeats of its zone at once. Answer: `Heard`.
    ZoneHeartbeats(Vec<NodeHeartbeat>),
    /// A relay reports its zone in short. Answer: `Heard`.
    ZoneReport(ZoneReport),
    /// A node leaves. Answer: `Done`.
    Leave(NodeId),
    /// Change the settings. Answer: `Settings` or an error with `VersionConflict`.
    ApplySettings(SettingsChange),
    /// The settings in force, or an older version. Answer: `Settings`.
    GetSettings(Option<SettingsVersion>),
    /// The latest accepted changes, newest first. Answer: `SettingsHistory`.
    SettingsHistory {
        /// At most so many.
        limit: u32,
    },
    /// Which nodes don't have a version in force yet. Answer: `Lagging`.
    Lagging(SettingsVersion),
    /// What the nodes heard of lately have in force. Answer: `HeardNodes`.
    HeardNodes,
    /// Settings and map newer than these. Answer: `Update`.
    Pull(ControlPosition),
    /// Escrow of a branch's budget for a shard. Answer: `Granted`.
    RequestGrant(GrantRequest),
    /// Give unspent escrow back. Answer: `Done`.
    ReturnGrant(GrantReturn),
    /// The engines that exist now, as the platform's list or the settings file names them. Answer: `Done`.
    SetEngines(Vec<EngineMember>),
    /// A fence for the next order to an engine; larger than any given before. Answer: `Fence`.
    TakeFence(EngineId),
    /// Who votes in a shard's log. Answer: `Done`.
    ReportVoters(ShardVoters),
    /// Mark an engine leaving, or live again. Answer: `Done`.
    SetEngineLeaving {
        /// The engine.
        engine: EngineId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// Mark a node leaving, or live again. Answer: `Done`.
    SetNodeLeaving {
        /// The node.
        node: NodeId,
        /// Whether it leaves.
        leaving: bool,
    },
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// The node as it is.
    pub member: Member,
    /// What it has in force.
    pub position: ControlPosition,
}

/// A node as its relay heard of it; the controller knows the rest from the member map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardNode {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// What it has in force.
    pub position: ControlPosition,
}

/// What a relay heard since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The node that speaks; it stands in one of the lists too.
    pub from: NodeId,
    /// Nodes that are as the member map says.
    pub heard: Vec<HeardNode>,
    /// Nodes that are new, restarted or otherwise differ from the member map.
    pub changed: Vec<NodeHeartbeat>,
}

impl ZoneReport {
    /// Which start of the sender speaks; none if the sender is missing from its own report.
    pub fn sender_incarnation(&self) -> Option<Incarnation> {
        let heard = self
            .heard
            .iter()
            .map(|entry| (entry.node, entry.incarnation));
        let changed = self.changed.iter().map(|entry| &entry.member);
        let changed = changed.map(|member| (member.node, member.incarnation));
        heard
            .chain(changed)
            .find(|(node, _)| *node == self.from)
            .map(|(_, incarnation)| incarnation)
    }
}

/// The settings version and map epoch a node has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlPosition {
    /// Settings.
    pub settings: SettingsVersion,
    /// Member map.
    pub map: MapEpoch,
}

/// A shard leader asks for escrow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The shard.
    pub shard: ShardId,
    /// The generation of the shard; a new one has forgotten what was granted before and numbers afresh.
    #[serde(default)]
    pub generation: u32,
    /// Numbers the shard's requests for this branch and period; the same number again gets the same grant.
    pub number: u64,
    /// The branch whose budget it is.
    pub branch: BranchPath,
    /// The period, counted since the epoch.
    pub period: u64,
    /// Tokens wanted.
    pub wanted: Tokens,
    /// Tokens without which the call that waits can't start; beyond them a request gets only a part of what is left.
    #[serde(default)]
    pub needed: Tokens,
}

/// A shard leader gives unspent escrow back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReturn {
    /// The shard.
    pub shard: ShardId,
    /// The generation of the shard that held the tokens.
    #[serde(default)]
    pub generation: u32,
    /// Numbers the shard's returns for this branch and period.
    pub number: u64,
    /// The branch.
    pub branch: BranchPath,
    /// The period.
    pub period: u64,
    /// Tokens given back.
    pub returned: Tokens,
}

/// Escrow granted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request it answers.
    pub request: GrantRequest,
    /// Tokens granted; may be less than wanted, or zero.
    pub granted: Tokens,
}

/// The controller's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Heard; the position the controller has.
    Heard {
        /// The newest position.
        position: ControlPosition,
        /// How long the node may rely on the settings it has once they are as new as `position`.
        settings_lease: Duration,
    },
    /// Settings and map newer than asked for.
    Update(Box<ControlUpdate>),
    /// Settings.
    Settings(SettingsRecord),
    /// Settings, newest first.
    SettingsHistory(Vec<SettingsRecord>),
    /// Nodes that don't have the version in force.
    Lagging(Vec<NodeId>),
    /// Nodes with what they had in force when last heard.
    HeardNodes(Vec<HeardNode>),
    /// Escrow.
    Granted(Grant),
    /// The fence to put into an order.
    Fence(u64),
    /// Done.
    Done,
    /// This node does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Refused.
    Error(CallError),
}

/// What changed since a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// The newest position.
    pub position: ControlPosition,
    /// The policy, if newer and no delta is known.
    pub policy: Option<Arc<PolicySnapshot>>,
    /// What changed in the policy, if newer.
    pub policy_delta: Option<PolicyDelta>,
    /// The member map, if newer and no delta is known.
    pub map: Option<Arc<MemberMap>>,
    /// What changed in the member map, if newer.
    pub map_delta: Option<MapDelta>,
    /// How long the settings may be relied on, from when the request was sent; zero leaves the lease as it was.
    pub settings_lease: Duration,
}
