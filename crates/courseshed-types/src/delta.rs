//! What changed between two versions of the policy or two epochs of the member map.
//!
//! At the size courseshed is designed for, a whole policy or map is some hundred kilobytes while a change touches a
//! few entries. A delta carries only the entries that differ. It names the version it starts from: on any other
//! version it does not apply, and the receiver asks for the whole instead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    control::{Member, MemberMap, ShardPlacement},
    dispatch::EngineMember,
    ids::{EngineId, MapEpoch, ModelName, NodeId, SettingsVersion, ShardId},
    policy::{BranchPolicy, PolicySnapshot},
};

/// The branches that differ between two versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyDelta {
    /// The version it applies to; the receiver may have any version from here up to `to`.
    pub from: SettingsVersion,
    /// The version it leads to.
    pub to: SettingsVersion,
    /// Branches new or different, as they are at `to`.
    pub changed: BTreeMap<BranchPath, BranchPolicy>,
    /// Branches gone.
    pub removed: Vec<BranchPath>,
    /// Digests of the operators' keys at `to`.
    pub operator_key_digests: Vec<String>,
    /// Models declared at the root at `to`.
    pub models: Vec<ModelName>,
}

impl PolicyDelta {
    /// The policy at `to`, or none if `base` is older than `from` or newer than `to`.
    pub fn apply_to(&self, base: &PolicySnapshot) -> Option<PolicySnapshot> {
        if base.version < self.from || base.version > self.to {
            return None;
        }
        let mut branches = base.branches.clone();
        for path in &self.removed {
            branches.remove(path);
        }
        for (path, policy) in &self.changed {
            branches.insert(path.clone(), policy.clone());
        }
        Some(PolicySnapshot {
            version: self.to,
            branches,
            operator_key_digests: self.operator_key_digests.clone(),
            models: self.models.clone(),
        })
    }
}

/// The entries of the member map that differ between two epochs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MapDelta {
    /// The epoch it applies to; the receiver may have any epoch from here up to `to`.
    pub from: MapEpoch,
    /// The epoch it leads to.
    pub to: MapEpoch,
    /// Nodes new or different.
    pub members: Vec<Member>,
    /// Nodes gone.
    pub removed_members: Vec<NodeId>,
    /// Shards new or placed differently.
    pub shards: Vec<ShardPlacement>,
    /// Shards gone.
    pub removed_shards: Vec<ShardId>,
    /// Engines new or different.
    pub engines: Vec<EngineMember>,
    /// Engines gone.
    pub removed_engines: Vec<EngineId>,
    /// The epoch of the engine directory at `to`.
    pub engines_epoch: MapEpoch,
}

impl MapDelta {
    /// The map at `to`, or none if `base` is older than `from` or newer than `to`.
    pub fn apply_to(&self, base: &MemberMap) -> Option<MemberMap> {
        if base.epoch < self.from || base.epoch > self.to {
            return None;
        }
        let mut map = base.clone();
        map.epoch = self.to;
        self.apply_members(&mut map);
        self.apply_shards(&mut map);
        self.apply_engines(&mut map);
        Some(map)
    }

    fn apply_members(&self, map: &mut MemberMap) {
        for node in &self.removed_members {
            map.members.remove(node);
        }
        for member in &self.members {
            map.members.insert(member.node, member.clone());
        }
    }

    fn apply_shards(&self, map: &mut MemberMap) {
        for shard in &self.removed_shards {
            map.shards.remove(shard);
        }
        for placement in &self.shards {
            map.shards.insert(placement.shard, placement.clone());
        }
    }

    fn apply_engines(&self, map: &mut MemberMap) {
        let directory = &mut map.engines;
        directory.epoch = self.engines_epoch;
        let replaced = |engine: &EngineId| {
            self.removed_engines.contains(engine)
                || self.engines.iter().any(|changed| &changed.engine == engine)
        };
        directory.engines.retain(|kept| !replaced(&kept.engine));
        directory.engines.extend(self.engines.iter().cloned());
        directory
            .engines
            .sort_by(|left, right| left.engine.cmp(&right.engine));
    }
}
