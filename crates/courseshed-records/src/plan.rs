//! The next view, decided from what the leader of the controllers knows. Pure.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::{RecordMember, RecordView};

/// A machine with a disk for records, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMachine {
    /// The operator's name for it.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// The life of its disk.
    pub incarnation: u64,
}

/// What the plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct ViewPlan<'a> {
    /// The view in force.
    pub view: &'a RecordView,
    /// All machines that announced themselves.
    pub stores: &'a BTreeMap<NodeId, StoreMachine>,
    /// Machines not heard for so long that another may take their place.
    pub silent: &'a BTreeSet<NodeId>,
    /// Machines that are to be emptied.
    pub retiring: &'a BTreeSet<NodeId>,
    /// Replicas wanted: twice the lost disks to be borne, and one.
    pub wanted: usize,
}

/// The next view, if a change is due. One change at a time, so that quorums of consecutive views meet.
#[must_use]
pub fn plan_view(plan: &ViewPlan<'_>) -> Option<RecordView> {
    plan.emptied_disk()
        .or_else(|| plan.substitute())
        .or_else(|| plan.retire())
        .or_else(|| plan.grow())
}

impl ViewPlan<'_> {
    /// A member came back with an empty disk: its new life joins in place of the old one.
    fn emptied_disk(&self) -> Option<RecordView> {
        let position = self.view.members.iter().position(|member| {
            let store = self.stores.get(&member.node);
            store.is_some_and(|store| store.incarnation != member.incarnation)
        })?;
        let mut next = self.view.next_epoch();
        let node = next.members[position].node;
        next.members[position] = self.joining(node)?;
        next.former.retain(|former| former.node != node);
        Some(next)
    }

    /// A member is silent and another machine is there: it takes the place.
    fn substitute(&self) -> Option<RecordView> {
        let position = self
            .view
            .members
            .iter()
            .position(|member| self.silent.contains(&member.node))?;
        let heard_active = self
            .view
            .active()
            .filter(|member| !self.silent.contains(&member.node))
            .count();
        if heard_active < self.view.sources_needed() {
            return None;
        }
        let spare = self.spare()?;
        let mut next = self.view.next_epoch();
        let replaced = std::mem::replace(&mut next.members[position], self.joining(spare)?);
        if replaced.active {
            next.former.push(replaced);
        }
        Some(next)
    }

    /// A machine is to be emptied: first another joins, then it leaves.
    fn retire(&self) -> Option<RecordView> {
        if !self.all_active() {
            return None;
        }
        let position = self
            .view
            .members
            .iter()
            .position(|member| self.retiring.contains(&member.node))?;
        let mut next = self.view.next_epoch();
        if self.view.members.len() > self.wanted {
            next.members.remove(position);
        } else {
            next.members.push(self.joining(self.spare()?)?);
        }
        Some(next)
    }

    /// Fewer replicas than wanted.
    fn grow(&self) -> Option<RecordView> {
        if self.view.members.len() >= self.wanted || !self.all_active() {
            return None;
        }
        let mut next = self.view.next_epoch();
        let mut member = self.joining(self.spare()?)?;
        // Nothing was ever recorded in a view without members.
        member.active = self.view.members.is_empty();
        next.members.push(member);
        Some(next)
    }

    fn all_active(&self) -> bool {
        self.view.members.iter().all(|member| member.active)
    }

    fn joining(&self, node: NodeId) -> Option<RecordMember> {
        let store = self.stores.get(&node)?;
        Some(RecordMember {
            node,
            incarnation: store.incarnation,
            zone: store.zone.clone(),
            active: false,
        })
    }

    /// A machine that may join, best of the zone with the fewest members.
    fn spare(&self) -> Option<NodeId> {
        let in_zone = |zone: &str| {
            let members = self.view.members.iter();
            members
                .filter(|member| member.zone == zone && !self.silent.contains(&member.node))
                .count()
        };
        self.stores
            .iter()
            .filter(|(node, _)| self.view.member(**node).is_none())
            .filter(|(node, _)| !self.view.former.iter().any(|former| former.node == **node))
            .filter(|(node, _)| !self.silent.contains(node) && !self.retiring.contains(node))
            .min_by_key(|(_, store)| in_zone(&store.zone))
            .map(|(node, _)| *node)
    }
}
