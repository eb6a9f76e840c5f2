//! Replica sets and quorum sizes.

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

/// A replica of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordMember {
    /// The node that hosts it.
    pub node: NodeId,
    /// Incarnation of the disk: a node with a wiped disk is a different member.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: String,
    /// Whether the replica counts towards quorums; a replica that is still catching up does not.
    pub active: bool,
}

/// The replica set of a partition. Each change increments the epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordView {
    /// Incremented by each change.
    pub epoch: u64,
    /// Current replicas, active or catching up.
    pub members: Vec<RecordMember>,
    /// Replicas whose replacement has not caught up yet. They do not count towards quorums but
    /// remain valid sources for catch-up.
    #[serde(default)]
    pub former: Vec<RecordMember>,
    /// The region that all present and future members lie in; none without such a promise. Once
    /// set, it never changes, because records may have been stored on account of it.
    #[serde(default)]
    pub home_region: Option<String>,
}

impl RecordView {
    /// Quorum size: a majority of all members, of which only active ones may vote.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Number of sources a joining replica must read to intersect every quorum of an earlier view.
    #[must_use]
    pub fn sources_needed(&self) -> usize {
        self.members.len() - self.quorum() + 1
    }

    /// The member on a node.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&RecordMember> {
        self.members.iter().find(|member| member.node == node)
    }

    /// Members that count towards quorums.
    pub fn active(&self) -> impl Iterator<Item = &RecordMember> {
        self.members.iter().filter(|member| member.active)
    }

    /// Replicas that a joining replica may catch up from.
    pub fn sources(&self) -> impl Iterator<Item = &RecordMember> {
        self.active().chain(&self.former)
    }

    /// Whether the view has members and all of them are active.
    #[must_use]
    pub fn is_fully_active(&self) -> bool {
        !self.members.is_empty() && self.members.iter().all(|member| member.active)
    }

    /// Whether a node is a member, or a former member whose records may still be needed.
    #[must_use]
    pub fn needs(&self, node: NodeId) -> bool {
        self.member(node).is_some() || self.former.iter().any(|former| former.node == node)
    }

    /// Whether this incarnation of a node's disk is an active member.
    #[must_use]
    pub fn is_active(&self, node: NodeId, incarnation: u64) -> bool {
        self.member(node)
            .is_some_and(|member| member.active && member.incarnation == incarnation)
    }

    /// The next view, in which a joining member becomes active; `None` if it is not joining.
    #[must_use]
    pub fn activate(&self, node: NodeId, incarnation: u64) -> Option<Self> {
        let mut next = self.next_epoch();
        let member = next.members.iter_mut().find(|member| member.node == node)?;
        if member.active || member.incarnation != incarnation {
            return None;
        }
        member.active = true;
        if next.members.iter().all(|member| member.active) {
            next.former.clear();
        }
        Some(next)
    }

    pub(crate) fn next_epoch(&self) -> Self {
        let mut next = self.clone();
        next.epoch += 1;
        next
    }
}
