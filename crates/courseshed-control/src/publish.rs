//! The newest policy and member map, with a change log for computing deltas.
//!
//! Controllers and relays record which entries each recent revision changed. A delta from a requester's position
//! contains the current values of all entries changed since. A position older than the change log receives the full
//! policy or map. Versions and epochs never decrease.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use courseshed_types::{
    BranchPath, BranchPolicy, EngineId, MapEpoch, NodeId, PolicySnapshot, SettingsVersion, ShardId,
    control::{ControlPosition, ControlUpdate, MemberMap},
    delta::{MapDelta, PolicyDelta},
    dispatch::EngineMember,
};
use serde::{Deserialize, Serialize};

/// Maximum number of revisions in the change log; a revision covers one or several changes received together.
const MAX_REVISIONS: usize = 512;
/// Maximum number of changed entries in the change log over all revisions.
const MAX_CHANGED_ENTRIES: usize = 8_192;

/// The entries changed by each recent revision.
#[derive(Debug, Clone)]
struct ChangeLog<K> {
    revisions: VecDeque<Revision<K>>,
    entries: usize,
    /// The oldest version from which a delta can be computed.
    oldest_base: u64,
}

#[derive(Debug, Clone)]
struct Revision<K> {
    to: u64,
    changed: Vec<K>,
}

impl<K: Ord + Clone> ChangeLog<K> {
    fn with_base(version: u64) -> ChangeLog<K> {
        ChangeLog {
            revisions: VecDeque::new(),
            entries: 0,
            oldest_base: version,
        }
    }

    fn push(&mut self, to: u64, changed: Vec<K>) {
        self.entries += changed.len();
        self.revisions.push_back(Revision { to, changed });
        while self.revisions.len() > MAX_REVISIONS || self.entries > MAX_CHANGED_ENTRIES {
            let Some(evicted) = self.revisions.pop_front() else {
                return;
            };
            self.entries -= evicted.changed.len();
            self.oldest_base = evicted.to;
        }
    }

    fn changed_since(&self, version: u64) -> Option<BTreeSet<K>> {
        if version < self.oldest_base {
            return None;
        }
        let revisions = self
            .revisions
            .iter()
            .filter(|revision| revision.to > version);
        Some(
            revisions
                .flat_map(|revision| revision.changed.iter().cloned())
                .collect(),
        )
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum MapKey {
    Member(NodeId),
    Shard(ShardId),
    Engine(EngineId),
}

/// The parts of an update that were accepted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Accepted {
    /// The policy was replaced by a newer one.
    pub policy: bool,
    /// The member map was replaced by a newer one.
    pub map: bool,
}

/// The newest policy and member map with their change logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "PublishedParts", into = "PublishedParts")]
pub struct Published {
    policy: Arc<PolicySnapshot>,
    map: Arc<MemberMap>,
    policy_log: ChangeLog<BranchPath>,
    map_log: ChangeLog<MapKey>,
}

#[derive(Serialize, Deserialize)]
struct PublishedParts {
    policy: Arc<PolicySnapshot>,
    map: Arc<MemberMap>,
}

impl From<PublishedParts> for Published {
    fn from(parts: PublishedParts) -> Published {
        Published::new(parts.policy, parts.map)
    }
}

impl From<Published> for PublishedParts {
    fn from(published: Published) -> PublishedParts {
        PublishedParts {
            policy: published.policy,
            map: published.map,
        }
    }
}

impl Default for Published {
    fn default() -> Published {
        let mut policy = PolicySnapshot::default();
        policy
            .branches
            .insert(BranchPath::root(), BranchPolicy::default());
        Published::new(Arc::new(policy), Arc::new(MemberMap::default()))
    }
}

impl Published {
    /// Creates the published state from a policy and a map, with empty change logs.
    pub fn new(policy: Arc<PolicySnapshot>, map: Arc<MemberMap>) -> Published {
        Published {
            policy_log: ChangeLog::with_base(policy.version.0),
            map_log: ChangeLog::with_base(map.epoch.0),
            policy,
            map,
        }
    }

    /// The newest policy.
    pub fn policy(&self) -> &Arc<PolicySnapshot> {
        &self.policy
    }

    /// The newest member map.
    pub fn map(&self) -> &Arc<MemberMap> {
        &self.map
    }

    /// The published version and epoch.
    pub fn position(&self) -> ControlPosition {
        ControlPosition {
            settings: self.policy.version,
            map: self.map.epoch,
        }
    }

    /// Replaces the policy if the given one is newer; returns whether it was.
    pub fn set_policy(&mut self, policy: Arc<PolicySnapshot>) -> bool {
        if policy.version <= self.policy.version {
            return false;
        }
        let changed_keys = changed_branches(&self.policy, &policy);
        self.policy_log.push(policy.version.0, changed_keys);
        self.policy = policy;
        true
    }

    /// Replaces the member map if the given one is newer; returns whether it was.
    pub fn set_map(&mut self, map: Arc<MemberMap>) -> bool {
        if map.epoch <= self.map.epoch {
            return false;
        }
        let changed_keys = changed_entries(&self.map, &map);
        self.map_log.push(map.epoch.0, changed_keys);
        self.map = map;
        true
    }

    /// Applies an update; parts that are not newer and deltas from another base are ignored.
    ///
    /// If the policy delta can't be applied, the map is rejected too, so that both reflect the same log position.
    pub fn accept(&mut self, update: &ControlUpdate) -> Accepted {
        let from_delta = || {
            let delta = update.policy_delta.as_ref()?;
            delta.apply_to(&self.policy).map(Arc::new)
        };
        let policy = update.policy.clone().or_else(from_delta);
        let map_from_delta = || {
            let delta = update.map_delta.as_ref()?;
            delta.apply_to(&self.map).map(Arc::new)
        };
        let map = update.map.clone().or_else(map_from_delta);
        if policy.is_none() && update.policy_delta.is_some() {
            return Accepted::default();
        }
        Accepted {
            policy: policy.is_some_and(|policy| self.set_policy(policy)),
            map: map.is_some_and(|map| self.set_map(map)),
        }
    }

    /// Returns the changes since a position.
    pub fn update_since(&self, position: ControlPosition, lease: Duration) -> ControlUpdate {
        let mut update = ControlUpdate {
            position: self.position(),
            policy: None,
            policy_delta: None,
            map: None,
            map_delta: None,
            settings_lease: lease,
        };
        if position.settings < self.policy.version {
            update.policy_delta = self.policy_delta(position.settings);
            if update.policy_delta.is_none() {
                update.policy = Some(Arc::clone(&self.policy));
            }
        }
        if position.map < self.map.epoch {
            update.map_delta = self.map_delta(position.map);
            if update.map_delta.is_none() {
                update.map = Some(Arc::clone(&self.map));
            }
        }
        update
    }

    fn policy_delta(&self, from: SettingsVersion) -> Option<PolicyDelta> {
        let changed_keys = self.policy_log.changed_since(from.0)?;
        let mut delta = PolicyDelta {
            from,
            to: self.policy.version,
            operator_key_digests: self.policy.operator_key_digests.clone(),
            models: self.policy.models.clone(),
            ..PolicyDelta::default()
        };
        for path in changed_keys {
            match self.policy.branches.get(&path) {
                Some(policy) => {
                    delta.changed.insert(path, policy.clone());
                }
                None => delta.removed.push(path),
            }
        }
        Some(delta)
    }

    fn map_delta(&self, from: MapEpoch) -> Option<MapDelta> {
        let changed_keys = self.map_log.changed_since(from.0)?;
        let mut delta = MapDelta {
            from,
            to: self.map.epoch,
            engines_epoch: self.map.engines.epoch,
            ..MapDelta::default()
        };
        for key in changed_keys {
            self.add_entry(&mut delta, key);
        }
        Some(delta)
    }

    fn add_entry(&self, delta: &mut MapDelta, key: MapKey) {
        match key {
            MapKey::Member(node) => match self.map.members.get(&node) {
                Some(member) => delta.members.push(member.clone()),
                None => delta.removed_members.push(node),
            },
            MapKey::Shard(shard) => match self.map.shards.get(&shard) {
                Some(placement) => delta.shards.push(placement.clone()),
                None => delta.removed_shards.push(shard),
            },
            MapKey::Engine(engine) => match find_engine(&self.map, &engine) {
                Some(found) => delta.engines.push(found.clone()),
                None => delta.removed_engines.push(engine),
            },
        }
    }
}

fn find_engine<'a>(map: &'a MemberMap, engine: &EngineId) -> Option<&'a EngineMember> {
    let mut engines = map.engines.engines.iter();
    engines.find(|member| &member.engine == engine)
}

fn changed_branches(old: &PolicySnapshot, new: &PolicySnapshot) -> Vec<BranchPath> {
    let changed = new
        .branches
        .iter()
        .filter(|(path, policy)| old.branches.get(*path) != Some(*policy));
    let removed = old
        .branches
        .iter()
        .filter(|(path, _)| !new.branches.contains_key(*path));
    changed
        .chain(removed)
        .map(|(path, _)| path.clone())
        .collect()
}

fn changed_entries(old: &MemberMap, new: &MemberMap) -> Vec<MapKey> {
    let members = old.members.keys().chain(new.members.keys());
    let members = members.filter(|node| old.members.get(*node) != new.members.get(*node));
    let shards = old.shards.keys().chain(new.shards.keys());
    let shards = shards.filter(|shard| old.shards.get(*shard) != new.shards.get(*shard));
    let mut changed_keys: BTreeSet<MapKey> = members.map(|node| MapKey::Member(*node)).collect();
    changed_keys.extend(shards.map(|shard| MapKey::Shard(*shard)));
    if old.engines != new.engines {
        changed_keys.extend(changed_engines(old, new));
    }
    changed_keys.into_iter().collect()
}

fn changed_engines(old: &MemberMap, new: &MemberMap) -> BTreeSet<MapKey> {
    let by_id = |map: &MemberMap| -> std::collections::BTreeMap<EngineId, EngineMember> {
        let engines = map.engines.engines.iter();
        engines
            .map(|member| (member.engine.clone(), member.clone()))
            .collect()
    };
    let (old, new) = (by_id(old), by_id(new));
    let ids = old.keys().chain(new.keys());
    ids.filter(|id| old.get(*id) != new.get(*id))
        .map(|id| MapKey::Engine(id.clone()))
        .collect()
}
