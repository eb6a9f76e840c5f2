//! What the node has in force: policy, member map and settings lease, read without locks.
//!
//! Invariant: neither the policy's version nor the map's epoch ever goes down.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use courseshed_types::{
    BranchPath, NodeId, PolicySnapshot, SettingsVersion, Timestamp,
    control::{ControlPosition, MemberMap, NodeState},
};

/// No controller leads, as far as known.
const NO_LEADER: u64 = u64::MAX;

/// A policy with the index by which callers' keys are found.
#[derive(Debug, Clone, Default)]
pub struct PolicyView {
    /// The policy.
    pub snapshot: Arc<PolicySnapshot>,
    /// The branch each key's digest belongs to.
    pub keys: BTreeMap<String, BranchPath>,
}

impl PolicyView {
    /// Indexes a policy.
    pub fn new(snapshot: Arc<PolicySnapshot>) -> PolicyView {
        let mut keys = BTreeMap::new();
        for (branch, policy) in &snapshot.branches {
            for digest in &policy.key_digests {
                keys.insert(digest.clone(), branch.clone());
            }
        }
        PolicyView { snapshot, keys }
    }
}

/// What the node has in force.
#[derive(Debug)]
pub struct NodeView {
    policy: ArcSwap<PolicyView>,
    map: ArcSwap<MemberMap>,
    lease_until: AtomicU64,
    control_leader: AtomicU64,
}

impl NodeView {
    /// Nothing in force yet.
    pub fn new() -> NodeView {
        NodeView {
            policy: ArcSwap::default(),
            map: ArcSwap::default(),
            lease_until: AtomicU64::new(0),
            control_leader: AtomicU64::new(NO_LEADER),
        }
    }

    /// The policy in force.
    pub fn policy(&self) -> Arc<PolicyView> {
        self.policy.load_full()
    }

    /// Whether an accepted settings tree is in force. Version 0 is the empty one that a new fleet has.
    pub fn has_settings(&self) -> bool {
        self.policy.load().snapshot.version > SettingsVersion(0)
    }

    /// The member map in force.
    pub fn map(&self) -> Arc<MemberMap> {
        self.map.load_full()
    }

    /// Whether the map says that a node leaves, because it stops or an operator drains it.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        let map = self.map.load();
        let member = map.members.get(&node);
        member.is_some_and(|member| member.state == NodeState::Leaving)
    }

    /// Versions in force.
    pub fn position(&self) -> ControlPosition {
        ControlPosition {
            settings: self.policy.load().snapshot.version,
            map: self.map.load().epoch,
        }
    }

    /// Until when the settings may be relied on.
    pub fn lease_until(&self) -> Timestamp {
        Timestamp(self.lease_until.load(Ordering::Acquire))
    }

    /// Whether the settings may be relied on.
    pub fn lease_valid(&self, now: Timestamp) -> bool {
        now <= self.lease_until()
    }

    /// The controller that leads, as last heard.
    pub fn control_leader(&self) -> Option<NodeId> {
        let leader = self.control_leader.load(Ordering::Acquire);
        u32::try_from(leader).ok().map(NodeId)
    }

    /// Puts a policy in force; false if it is not newer.
    pub fn set_policy(&self, snapshot: Arc<PolicySnapshot>) -> bool {
        let known = self.policy.load();
        let is_first = known.snapshot.branches.is_empty();
        if !is_first && snapshot.version <= known.snapshot.version {
            return false;
        }
        self.policy.store(Arc::new(PolicyView::new(snapshot)));
        true
    }

    /// Puts a member map in force; false if it is not newer.
    pub fn set_map(&self, map: Arc<MemberMap>) -> bool {
        if map.epoch <= self.map.load().epoch {
            return false;
        }
        self.map.store(map);
        true
    }

    /// Extends the settings lease.
    pub fn extend_lease(&self, until: Timestamp) {
        self.lease_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Notes the controller that leads.
    pub fn set_control_leader(&self, leader: Option<NodeId>) {
        let value = leader.map_or(NO_LEADER, |node| u64::from(node.0));
        self.control_leader.store(value, Ordering::Release);
    }
}

impl Default for NodeView {
    fn default() -> NodeView {
        NodeView::new()
    }
}
