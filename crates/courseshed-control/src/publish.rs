//! The newest policy and member map, and what is needed to tell others only what changed.
//!
//! Controllers and relays publish alike: each remembers which entries its latest steps touched, and makes a delta
//! from the asker's position by collecting the touched entries since then and taking their present values. A
//! position older than the memory gets the whole. Versions and epochs never go down here.

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

/// Steps remembered for deltas; a step is one change seen, or several that came at once.
const STEPS_REMEMBERED: usize = 512;
/// Entries over all steps beyond which the oldest steps are forgotten.
const ENTRIES_REMEMBERED: usize = 8_192;

/// Which entries each of the latest steps touched.
#[derive(Debug, Clone)]
struct ChangeLog<K> {
    steps: VecDeque<Step<K>>,
    entries: usize,
    /// The oldest version from which a delta can be made.
    known_from: u64,
}

#[derive(Debug, Clone)]
struct Step<K> {
    to: u64,
    touched: Vec<K>,
}

impl<K: Ord + Clone> ChangeLog<K> {
    fn starting_at(version: u64) -> ChangeLog<K> {
        ChangeLog {
            steps: VecDeque::new(),
            entries: 0,
            known_from: version,
        }
    }

    fn push(&mut self, to: u64, touched: Vec<K>) {
        self.entries += touched.len();
        self.steps.push_back(Step { to, touched });
        while self.steps.len() > STEPS_REMEMBERED || self.entries > ENTRIES_REMEMBERED {
            let Some(forgotten) = self.steps.pop_front() else {
                return;
            };
            self.entries -= forgotten.touched.len();
            self.known_from = forgotten.to;
        }
    }

    fn touched_since(&self, version: u64) -> Option<BTreeSet<K>> {
        if version < self.known_from {
            return None;
        }
        let steps = self.steps.iter().filter(|step| step.to > version);
        Some(
            steps
                .flat_map(|step| step.touched.iter().cloned())
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

/// What came of an update.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Accepted {
    /// The policy is newer than before.
    pub policy: bool,
    /// The member map is newer than before.
    pub map: bool,
}

/// The newest policy and member map with the memory of their latest changes.
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
    /// Starts from a policy and a map, without memory of what led to them.
    pub fn new(policy: Arc<PolicySnapshot>, map: Arc<MemberMap>) -> Published {
        Published {
            policy_log: ChangeLog::starting_at(policy.version.0),
            map_log: ChangeLog::starting_at(map.epoch.0),
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

    /// The version and epoch of what is published.
    pub fn position(&self) -> ControlPosition {
        ControlPosition {
            settings: self.policy.version,
            map: self.map.epoch,
        }
    }

    /// Takes a policy if it is newer; whether it was.
    pub fn set_policy(&mut self, policy: Arc<PolicySnapshot>) -> bool {
        if policy.version <= self.policy.version {
            return false;
        }
        let touched = touched_branches(&self.policy, &policy);
        self.policy_log.push(policy.version.0, touched);
        self.policy = policy;
        true
    }

    /// Takes a member map if it is newer; whether it was.
    pub fn set_map(&mut self, map: Arc<MemberMap>) -> bool {
        if map.epoch <= self.map.epoch {
            return false;
        }
        let touched = touched_entries(&self.map, &map);
        self.map_log.push(map.epoch.0, touched);
        self.map = map;
        true
    }

    /// Takes what an update holds; parts that are not newer, or deltas that do not fit, change nothing.
    ///
    /// A map is never taken without the policy that came with it, so that the two stay of one moment of the log.
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

    /// What changed since a position.
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
        let touched = self.policy_log.touched_since(from.0)?;
        let mut delta = PolicyDelta {
            from,
            to: self.policy.version,
            operator_key_digests: self.policy.operator_key_digests.clone(),
            models: self.policy.models.clone(),
            ..PolicyDelta::default()
        };
        for path in touched {
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
        let touched = self.map_log.touched_since(from.0)?;
        let mut delta = MapDelta {
            from,
            to: self.map.epoch,
            engines_epoch: self.map.engines.epoch,
            ..MapDelta::default()
        };
        for key in touched {
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

fn touched_branches(old: &PolicySnapshot, new: &PolicySnapshot) -> Vec<BranchPath> {
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

fn touched_entries(old: &MemberMap, new: &MemberMap) -> Vec<MapKey> {
    let members = old.members.keys().chain(new.members.keys());
    let members = members.filter(|node| old.members.get(*node) != new.members.get(*node));
    let shards = old.shards.keys().chain(new.shards.keys());
    let shards = shards.filter(|shard| old.shards.get(*shard) != new.shards.get(*shard));
    let mut touched: BTreeSet<MapKey> = members.map(|node| MapKey::Member(*node)).collect();
    touched.extend(shards.map(|shard| MapKey::Shard(*shard)));
    if old.engines != new.engines {
        touched.extend(touched_engines(old, new));
    }
    touched.into_iter().collect()
}

fn touched_engines(old: &MemberMap, new: &MemberMap) -> BTreeSet<MapKey> {
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
