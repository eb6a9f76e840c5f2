//! The JSON shapes of the operators' HTTP interface.
//!
//! | request | answer |
//! |---|---|
//! | `GET /v1/admin/status` | [`ClusterStatus`] |
//! | `GET /v1/admin/settings[?version=N]` | [`SettingsDocument`] |
//! | `GET /v1/admin/settings/effective?branch=B` | [`EffectiveDocument`] |
//! | `POST /v1/admin/settings` with [`ApplySettings`] | [`SettingsDocument`], 409 on a stale version |
//! | `GET /v1/admin/settings/history?limit=N` | list of [`SettingsSummary`] |
//! | `GET /v1/admin/settings/lagging?version=N` | [`LaggingNodes`] |
//! | `GET /v1/admin/programs?branch=B&after=P&limit=N&ended=true` | list of [`ProgramSummary`] |
//! | `GET /v1/admin/programs/{id}` | [`ProgramSummary`] |
//! | `DELETE /v1/admin/programs/{id}` | [`ProgramSummary`] |
//! | `GET /v1/admin/programs/{id}/explain` | [`ProgramExplanation`] |
//! | `GET /v1/admin/engines` | list of [`EngineSummary`] |
//! | `POST /v1/admin/engines/{id}/drain` with [`DrainOrder`] | [`EngineSummary`] |
//! | `POST /v1/admin/engines/{id}/orders` with [`ModelOrder`] | [`ModelOrderResult`] |
//! | `GET /v1/admin/nodes` | list of [`NodeSummary`] |
//! | `POST /v1/admin/nodes/{id}/drain` with [`DrainOrder`] | [`NodeSummary`] |
//!
//! Errors have the shape [`ErrorDocument`], the same as for callers.

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    control::{NodeRole, NodeState},
    dispatch::EngineState,
    engine::EngineRole,
    ids::{
        ChangeId, EngineId, MapEpoch, ModelName, NodeId, ProgramId, RegionName, SettingsVersion,
        ZoneName,
    },
    program::ProgramPhase,
    verdict::Verdict,
};

/// An error, in the shape OpenAI clients expect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorDocument {
    /// The error.
    pub error: ErrorBody,
}

/// The body of an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// One sentence for people.
    pub message: String,
    /// The class of error in OpenAI's terms.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code of courseshed, see `ErrorCode`.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The parameter at fault, if one is.
    pub param: Option<String>,
}

/// Asks for a change of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplySettings {
    /// The version the change was made against.
    pub expected_version: SettingsVersion,
    /// The operator's name for the change.
    pub change_id: ChangeId,
    /// The whole tree, TOML.
    pub tree: String,
    /// Who asks.
    #[serde(default)]
    pub author: String,
}

/// A version of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsDocument {
    /// The version.
    pub version: SettingsVersion,
    /// The change that made it.
    pub change_id: ChangeId,
    /// Who asked for it.
    pub author: String,
    /// When it was accepted, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The whole tree, TOML.
    pub tree: String,
}

/// A version of the settings tree without its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsSummary {
    /// The version.
    pub version: SettingsVersion,
    /// The change that made it.
    pub change_id: ChangeId,
    /// Who asked for it.
    pub author: String,
    /// When it was accepted, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
}

/// One effective value of a branch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The setting.
    pub key: String,
    /// Its value, as TOML.
    pub value: String,
    /// The branch that sets it; none where it is the built-in default.
    pub from: Option<BranchPath>,
}

/// The effective values of a branch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveDocument {
    /// The version.
    pub version: SettingsVersion,
    /// The branch.
    pub branch: BranchPath,
    /// Its values, by key.
    pub values: Vec<EffectiveValue>,
}

/// The nodes that don't have a version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNodes {
    /// The version.
    pub version: SettingsVersion,
    /// Nodes that lag; empty when the version is in force everywhere.
    pub nodes: Vec<NodeId>,
}

/// A program for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramSummary {
    /// Its id.
    pub id: ProgramId,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Its kind.
    pub kind: Option<String>,
    /// Its parent.
    pub parent: Option<ProgramId>,
    /// What it is doing.
    pub phase: ProgramPhase,
    /// Calls settled.
    pub calls: u64,
    /// Tokens of history.
    pub history_tokens: u64,
    /// Tokens spent.
    pub spent_tokens: u64,
    /// Tokens it may spend.
    pub budget_tokens: Option<u64>,
    /// Milliseconds since its first call.
    pub age_ms: u64,
    /// Aim for its latency in milliseconds.
    pub aim_ms: Option<u64>,
}

/// Why a program runs or waits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramExplanation {
    /// The program.
    pub program: ProgramSummary,
    /// The engine its call runs on, or that holds its prefix.
    pub engine: Option<EngineId>,
    /// Its place in its pool's order, from 0, if it waits.
    pub position: Option<u32>,
    /// Calls waiting in its pool.
    pub pool_waiting: Option<u32>,
    /// Its branch's part of the pool by shares.
    pub entitled_share: Option<f64>,
    /// Its branch's part of the service given lately.
    pub attained_share: Option<f64>,
    /// One sentence.
    pub reason: String,
}

/// An engine for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSummary {
    /// Its id.
    pub engine: EngineId,
    /// HTTP address, `ip:port`.
    pub address: String,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Models it serves.
    pub models: Vec<ModelName>,
    /// Whether it takes work.
    pub state: EngineState,
    /// Calls running on it, as last reported.
    pub running: Option<u32>,
    /// Part of its KV memory in use (0 to 1), as last reported.
    pub memory_used: Option<f64>,
}

/// Asks an engine or node to leave, or to take work again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Whether it leaves.
    pub leaving: bool,
}

/// Asks an engine to load or drop a model, or to change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum ModelOrder {
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelName,
    },
    /// Drop a model.
    DropModel {
        /// The model.
        model: ModelName,
    },
    /// Change what the engine computes.
    SetRole {
        /// The role.
        role: EngineRole,
    },
}

/// What became of a model order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelOrderResult {
    /// The engine.
    pub engine: EngineId,
    /// The fence the order carried.
    pub fence: u64,
    /// Whether the engine took it.
    pub accepted: bool,
    /// One sentence.
    pub message: String,
}

/// A node for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// Its id.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Parts it plays.
    pub roles: Vec<NodeRole>,
    /// Whether it takes part.
    pub state: NodeState,
    /// Address for callers and operators, `ip:port`.
    pub http_address: String,
    /// The settings version it has in force, as last heard.
    pub settings_version: Option<SettingsVersion>,
    /// Shards it keeps replicas of.
    pub shards: u32,
}

/// The fleet in short.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The node that answers.
    pub node: NodeId,
    /// The controller that leads, if known.
    pub control_leader: Option<NodeId>,
    /// The settings version in force at the answering node.
    pub settings_version: SettingsVersion,
    /// Whether its settings lease holds.
    pub settings_lease_valid: bool,
    /// The epoch of the member map.
    pub map_epoch: MapEpoch,
    /// Live nodes.
    pub nodes_live: u32,
    /// All nodes known.
    pub nodes_known: u32,
    /// Live engines.
    pub engines_live: u32,
    /// All engines known.
    pub engines_known: u32,
    /// Program shards.
    pub shards: u32,
    /// Shards whose leader the node knows.
    pub shards_with_leader: u32,
}
