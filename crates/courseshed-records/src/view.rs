//! Which machines hold the records, and how many make a quorum.

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

/// One replica of the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordMember {
    /// The machine.
    pub node: NodeId,
    /// The life of its disk: an emptied disk is another member.
    pub incarnation: u64,
    /// Where it stands.
    pub zone: String,
    /// Whether it counts; one that is still reading from the others does not.
    pub active: bool,
}

/// The replicas at one moment. Each change has a higher epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordView {
    /// Grows by one with each change.
    pub epoch: u64,
    /// The replicas, active or joining.
    pub members: Vec<RecordMember>,
    /// Replicas whose place another took that is still joining. They count for nothing, but what
    /// they have on disk is as good a source for whoever joins as that of a member.
    #[serde(default)]
    pub former: Vec<RecordMember>,
}

impl RecordView {
    /// Replicas that make a quorum: a majority of all members, counted among the active ones.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How many active replicas a joining one reads from: any quorum of an earlier view meets them.
    #[must_use]
    pub fn sources_needed(&self) -> usize {
        self.members.len() - self.quorum() + 1
    }

    /// The member on a machine.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&RecordMember> {
        self.members.iter().find(|member| member.node == node)
    }

    /// The members that count.
    pub fn active(&self) -> impl Iterator<Item = &RecordMember> {
        self.members.iter().filter(|member| member.active)
    }

    /// Whom a joining replica may read from.
    pub fn sources(&self) -> impl Iterator<Item = &RecordMember> {
        self.active().chain(&self.former)
    }

    /// Whether there are members and all of them count.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        !self.members.is_empty() && self.members.iter().all(|member| member.active)
    }

    /// Whether a machine is a member, or was one whose records a joining member may still need.
    #[must_use]
    pub fn needs(&self, node: NodeId) -> bool {
        self.member(node).is_some() || self.former.iter().any(|former| former.node == node)
    }

    /// Whether this very life of a machine's disk counts.
    #[must_use]
    pub fn is_active(&self, node: NodeId, incarnation: u64) -> bool {
        self.member(node)
            .is_some_and(|member| member.active && member.incarnation == incarnation)
    }

    /// The next view, with a member that has caught up made active; none if it isn't joining.
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
