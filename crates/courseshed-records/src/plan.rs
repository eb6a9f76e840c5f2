//! The next views, decided from what the leader of the controllers knows. Pure.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{NodeId, ZoneMap};
use serde::{Deserialize, Serialize};

use crate::{PartitionId, PartitionMap, RecordMember, RecordView, ViewChange};

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
    /// How many partitions each machine is a replica of, so that the least used one is taken.
    pub replicas: &'a BTreeMap<NodeId, usize>,
    /// The region that replicas are to be in as far as it has machines; none if any will do.
    pub home: Option<HomeRegion<'a>>,
}

/// The region where a partition's replicas are.
#[derive(Clone, Copy, Debug)]
pub struct HomeRegion<'a> {
    /// Its name.
    pub region: &'a str,
    /// The regions of zones.
    pub zones: &'a ZoneMap,
    /// Whether replicas must stay there.
    pub is_binding: bool,
}

/// Which losses of whole places replicas must survive, and so how they are spread.
///
/// Replicas of a partition in two regions make every write cross the link between them, which all traffic
/// shares: at 295 kept turns a second of 17 KB with half of five replicas across, 12 MB/s where a link has
/// 7.5 MB/s each way. So each partition has a home region, and only what that lacks machines for is elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct Spread<'a> {
    /// The regions of zones.
    pub zones: &'a ZoneMap,
    /// Zones that may be lost at once.
    pub zones_borne: usize,
    /// Regions that may be lost at once.
    pub regions_borne: usize,
    /// Whether replicas must stay in the home region of their partition, since operators restrict what is kept to
    /// regions. A partition then has fewer replicas rather than one elsewhere.
    pub must_stay_home: bool,
}

impl<'a> Spread<'a> {
    /// The home of a partition: regions take turns. None if replicas in one region would not survive what
    /// must be borne, for which a majority of the replicas must be left.
    #[must_use]
    pub fn home(&self, partition: PartitionId) -> Option<HomeRegion<'a>> {
        let regions: Vec<&str> = self.zones.regions().into_iter().collect();
        if self.regions_borne > 0 || regions.len() < 2 {
            return None;
        }
        let region = regions[usize::from(partition.0) % regions.len()];
        let zones = self.zones.zones_of(region).count();
        let is_enough = self.zones_borne == 0 || zones > 2 * self.zones_borne;
        is_enough.then_some(HomeRegion {
            region,
            zones: self.zones,
            is_binding: self.must_stay_home,
        })
    }
}

/// What the plan for all partitions is made from. The fields are those of [`ViewPlan`].
#[derive(Clone, Copy, Debug)]
pub struct MapPlan<'a> {
    /// The views in force.
    pub map: &'a PartitionMap,
    /// All machines that announced themselves.
    pub stores: &'a BTreeMap<NodeId, StoreMachine>,
    /// Machines not heard for so long that another may take their place.
    pub silent: &'a BTreeSet<NodeId>,
    /// Machines that are to be emptied.
    pub retiring: &'a BTreeSet<NodeId>,
    /// Replicas wanted of each partition.
    pub wanted: usize,
    /// Whether partitions without replicas may get their first ones: once the stores that start
    /// together have announced themselves, so that all of them get their part.
    pub may_found: bool,
    /// How replicas are spread over places.
    pub spread: Spread<'a>,
}

/// The changes that are due: at most one for a partition. `caught_up` names the lives of disks that
/// have read enough of a partition to count.
#[must_use]
pub fn plan_map(plan: &MapPlan<'_>, caught_up: &[CaughtUp]) -> Vec<ViewChange> {
    let mut replicas = plan.map.replicas_by_node();
    let mut changes = Vec::new();
    for (partition, view) in plan.map.views() {
        if view.members.is_empty() && !plan.may_found {
            continue;
        }
        let joined = caught_up
            .iter()
            .filter(|joined| joined.partition == partition)
            .find_map(|joined| view.activate(joined.node, joined.incarnation));
        let planned = joined.or_else(|| {
            plan_view(&ViewPlan {
                view,
                stores: plan.stores,
                silent: plan.silent,
                retiring: plan.retiring,
                wanted: plan.wanted,
                replicas: &replicas,
                home: plan.spread.home(partition),
            })
        });
        if let Some(next) = planned {
            let added = next.members.iter().map(|member| member.node);
            for node in added.filter(|node| view.member(*node).is_none()) {
                *replicas.entry(node).or_default() += 1;
            }
            changes.push(ViewChange {
                partition,
                view: next,
            });
        }
    }
    changes
}

/// A store has read enough of a partition to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CaughtUp {
    /// The partition.
    pub partition: PartitionId,
    /// The machine.
    pub node: NodeId,
    /// The life of its disk.
    pub incarnation: u64,
}

/// The next view, if a change is due. One change at a time, so that quorums of consecutive views meet.
#[must_use]
pub fn plan_view(plan: &ViewPlan<'_>) -> Option<RecordView> {
    plan.found()
        .or_else(|| plan.emptied_disk())
        .or_else(|| plan.substitute())
        .or_else(|| plan.retire())
        .or_else(|| plan.grow())
}

impl ViewPlan<'_> {
    /// The first view: all that are wanted count at once, since nothing was ever recorded before.
    fn found(&self) -> Option<RecordView> {
        if !self.view.members.is_empty() {
            return None;
        }
        let mut next = self.view.next_epoch();
        while next.members.len() < self.wanted
            && let Some(node) = self.spare(&next)
        {
            let mut member = self.joining(node)?;
            member.active = true;
            next.members.push(member);
        }
        (!next.members.is_empty()).then_some(next)
    }

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
        let spare = self.spare(self.view)?;
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
            next.members.push(self.joining(self.spare(self.view)?)?);
        }
        Some(next)
    }

    /// Fewer replicas than wanted.
    fn grow(&self) -> Option<RecordView> {
        if self.view.members.len() >= self.wanted || !self.all_active() {
            return None;
        }
        let mut next = self.view.next_epoch();
        next.members.push(self.joining(self.spare(self.view)?)?);
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

    /// A machine that may join a view: in the home region, if there is one left; of the zone with the fewest
    /// members, the one with the fewest replicas.
    fn spare(&self, view: &RecordView) -> Option<NodeId> {
        let in_zone = |zone: &str| {
            let members = view.members.iter();
            members
                .filter(|member| member.zone == zone && !self.silent.contains(&member.node))
                .count()
        };
        let replicas = |node: &NodeId| self.replicas.get(node).copied().unwrap_or(0);
        let is_abroad = |zone: &str| {
            self.home
                .is_some_and(|home| home.zones.region_of(zone) != Some(home.region))
        };
        let is_bound = self.home.is_some_and(|home| home.is_binding);
        self.stores
            .iter()
            .filter(|(node, _)| !view.needs(**node))
            .filter(|(node, _)| !self.silent.contains(node) && !self.retiring.contains(node))
            .filter(|(_, store)| !is_bound || !is_abroad(&store.zone))
            .min_by_key(|(node, store)| {
                (is_abroad(&store.zone), in_zone(&store.zone), replicas(node))
            })
            .map(|(node, _)| *node)
    }
}
