//! Planning of view changes from the state known to the leading controller. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{NodeId, ZoneMap};
use serde::{Deserialize, Serialize};

use crate::{PartitionId, PartitionMap, RecordMember, RecordView, ViewChange, regional};

/// A node with a disk for records, as registered with the controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMachine {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Incarnation of its disk.
    pub incarnation: u64,
}

/// Inputs for planning the next view of a partition.
#[derive(Clone, Copy, Debug)]
pub struct ViewPlan<'a> {
    /// The current view.
    pub view: &'a RecordView,
    /// All registered stores.
    pub stores: &'a BTreeMap<NodeId, StoreMachine>,
    /// Nodes that have been unresponsive for long enough to be replaced.
    pub silent: &'a BTreeSet<NodeId>,
    /// Nodes that are being decommissioned.
    pub retiring: &'a BTreeSet<NodeId>,
    /// Target number of replicas: 2f + 1 to tolerate f lost disks.
    pub replication_factor: usize,
    /// Partitions hosted by each node, to prefer the least loaded one.
    pub replicas: &'a BTreeMap<NodeId, usize>,
    /// Region to place replicas in as far as it has stores; `None` for no preference.
    pub home: Option<HomeRegion<'a>>,
}

/// The region that a partition's replicas are placed in.
#[derive(Clone, Copy, Debug)]
pub struct HomeRegion<'a> {
    /// Name of the region.
    pub region: &'a str,
    /// Map of zones to regions.
    pub zones: &'a ZoneMap,
    /// Whether replicas must not be placed outside of the region.
    pub is_required: bool,
}

/// Fault tolerance requirements that determine the placement of replicas.
///
/// Replicas in two regions send every write over the link between them, whose capacity all traffic
/// shares. Each partition therefore has a home region, and uses others only for replicas that the
/// home region has no stores for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy<'a> {
    /// Map of zones to regions.
    pub zones: &'a ZoneMap,
    /// Number of simultaneous zone failures to tolerate.
    pub tolerated_zone_failures: usize,
    /// Number of simultaneous region failures to tolerate.
    pub tolerated_region_failures: usize,
    /// The regions that routes and tenants are restricted to. If there are any, replicas must not
    /// leave the home region of their partition, for data residency. A partition then runs with
    /// fewer replicas if the region lacks stores.
    pub restricted_regions: &'a BTreeSet<&'a str>,
}

impl<'a> PlacementPolicy<'a> {
    /// The home region of a default partition, assigned round-robin. `None` if replicas in a single
    /// region could lose their majority to the failures that must be tolerated.
    #[must_use]
    pub fn home(&self, partition: PartitionId) -> Option<HomeRegion<'a>> {
        let regions: Vec<&str> = self.zones.regions().into_iter().collect();
        let is_required = !self.restricted_regions.is_empty();
        if let [region] = regions[..] {
            return is_required.then(|| self.required_home(region));
        }
        if self.tolerated_region_failures > 0 || regions.is_empty() {
            return None;
        }
        let region = regions[usize::from(partition.0) % regions.len()];
        let zones = self.zones.zones_of(region).count();
        let is_enough =
            self.tolerated_zone_failures == 0 || zones > 2 * self.tolerated_zone_failures;
        is_enough.then_some(HomeRegion {
            region,
            zones: self.zones,
            is_required,
        })
    }

    /// The home region of a partition with this view. What the view promises takes precedence over
    /// the current policy.
    pub(crate) fn home_of_view(
        &self,
        partition: PartitionId,
        view: &'a RecordView,
    ) -> Option<HomeRegion<'a>> {
        if let Some(region) = &view.home_region {
            return Some(self.required_home(region));
        }
        if partition.is_regional() {
            // A controller of an earlier version has dropped the region, which its members tell.
            let region = view
                .members
                .first()
                .and_then(|member| self.zones.region_of(&member.zone));
            return region.map(|region| self.required_home(region));
        }
        self.home(partition)
    }

    pub(crate) fn required_home(&self, region: &'a str) -> HomeRegion<'a> {
        HomeRegion {
            region,
            zones: self.zones,
            is_required: true,
        }
    }
}

impl HomeRegion<'_> {
    /// Whether a zone lies in the region.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        self.zones.region_of(zone) == Some(self.region)
    }

    /// Whether all members of a view lie in the region.
    pub(crate) fn contains_members_of(&self, view: &RecordView) -> bool {
        let mut members = view.members.iter();
        members.all(|member| self.contains(&member.zone))
    }
}

/// Inputs for planning all partitions. See [`ViewPlan`] for the shared fields.
#[derive(Clone, Copy, Debug)]
pub struct MapPlan<'a> {
    /// The current views.
    pub map: &'a PartitionMap,
    /// All registered stores.
    pub stores: &'a BTreeMap<NodeId, StoreMachine>,
    /// Nodes that have been unresponsive for long enough to be replaced.
    pub silent: &'a BTreeSet<NodeId>,
    /// Nodes that are being decommissioned.
    pub retiring: &'a BTreeSet<NodeId>,
    /// Target number of replicas of each partition.
    pub replication_factor: usize,
    /// Whether to place the first replicas of a partition. Enabled once the stores that start
    /// together have registered, so that partitions are spread over all of them.
    pub allow_initial_placement: bool,
    /// How replicas are placed across zones and regions.
    pub spread: PlacementPolicy<'a>,
}

/// Plans at most one view change per partition. `caught_up` lists the joining replicas that are
/// ready to become active.
#[must_use]
pub fn plan_map(plan: &MapPlan<'_>, caught_up: &[CaughtUp]) -> Vec<ViewChange> {
    let mut replicas = plan.map.replica_counts_by_node();
    let mut changes = Vec::new();
    for (partition, view) in plan.map.views() {
        if view.members.is_empty() && !plan.allow_initial_placement {
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
                replication_factor: plan.replication_factor,
                replicas: &replicas,
                home: plan.spread.home_of_view(partition, view),
            })
        });
        if let Some(next) = planned {
            count_added(&mut replicas, view, &next);
            changes.push(ViewChange {
                partition,
                view: next,
            });
        }
    }
    if plan.allow_initial_placement {
        changes.extend(regional::plan_missing(plan, &mut replicas));
    }
    changes
}

/// Counts the replicas that a planned view adds.
pub(crate) fn count_added(
    replicas: &mut BTreeMap<NodeId, usize>,
    view: &RecordView,
    next: &RecordView,
) {
    let added = next.members.iter().map(|member| member.node);
    for node in added.filter(|node| view.member(*node).is_none()) {
        *replicas.entry(node).or_default() += 1;
    }
}

/// A joining replica has read from enough sources to become active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CaughtUp {
    /// The partition.
    pub partition: PartitionId,
    /// The node.
    pub node: NodeId,
    /// Incarnation of the node's disk.
    pub incarnation: u64,
}

/// The next view, if a change is due. Makes one change at a time so that the quorums of consecutive
/// views intersect.
#[must_use]
pub fn plan_view(plan: &ViewPlan<'_>) -> Option<RecordView> {
    plan.initial_view()
        .or_else(|| plan.pin_to_home())
        .or_else(|| plan.rejoin_wiped_disk())
        .or_else(|| plan.replace_silent_member())
        .or_else(|| plan.decommission_member())
        .or_else(|| plan.add_missing_member())
}

impl ViewPlan<'_> {
    /// The first view. All members start active since no records exist yet.
    fn initial_view(&self) -> Option<RecordView> {
        if !self.view.members.is_empty() {
            return None;
        }
        let mut next = self.view.next_epoch();
        while next.members.len() < self.replication_factor
            && let Some(node) = self.best_candidate(&next)
        {
            let mut member = self.joining_member(node)?;
            member.active = true;
            next.members.push(member);
        }
        next.home_region = self.required_region().map(str::to_owned);
        (!next.members.is_empty()).then_some(next)
    }

    /// The region that replicas must not leave.
    fn required_region(&self) -> Option<&str> {
        let home = self.home.filter(|home| home.is_required)?;
        Some(home.region)
    }

    /// Promises that the replicas stay in the required region, once all of them lie there.
    fn pin_to_home(&self) -> Option<RecordView> {
        let region = self.required_region()?;
        let is_pinned = self.view.home_region.as_deref() == Some(region);
        if self.view.members.is_empty() || is_pinned || !self.home?.contains_members_of(self.view) {
            return None;
        }
        let mut next = self.view.next_epoch();
        next.home_region = Some(region.to_owned());
        Some(next)
    }

    /// Re-adds a member whose disk was wiped as a joining one.
    fn rejoin_wiped_disk(&self) -> Option<RecordView> {
        let position = self.view.members.iter().position(|member| {
            let store = self.stores.get(&member.node);
            store.is_some_and(|store| {
                store.incarnation != member.incarnation && self.may_host(&store.zone)
            })
        })?;
        let mut next = self.view.next_epoch();
        let node = next.members[position].node;
        next.members[position] = self.joining_member(node)?;
        next.former.retain(|former| former.node != node);
        Some(next)
    }

    /// Replaces an unresponsive member if another node is available.
    fn replace_silent_member(&self) -> Option<RecordView> {
        let position = self
            .view
            .members
            .iter()
            .position(|member| self.silent.contains(&member.node))?;
        let responsive_active = self
            .view
            .active()
            .filter(|member| !self.silent.contains(&member.node))
            .count();
        if responsive_active < self.view.sources_needed() {
            return None;
        }
        let candidate = self.best_candidate(self.view)?;
        let mut next = self.view.next_epoch();
        let replaced =
            std::mem::replace(&mut next.members[position], self.joining_member(candidate)?);
        if replaced.active {
            next.former.push(replaced);
        }
        Some(next)
    }

    /// Adds a replacement for a retiring member, or removes that member once its replacement is
    /// active.
    fn decommission_member(&self) -> Option<RecordView> {
        if !self.all_active() {
            return None;
        }
        let position = self
            .view
            .members
            .iter()
            .position(|member| self.retiring.contains(&member.node))?;
        let mut next = self.view.next_epoch();
        let candidate = self.best_candidate(self.view);
        let has_spare = self.view.members.len() > self.replication_factor;
        // A required region may have no other store. The remaining replicas must then tolerate as
        // many lost disks as the fewest that a quorum of all wanted replicas has.
        let is_dispensable = candidate.is_none()
            && self.required_region().is_some()
            && self.view.members.len() > self.replication_factor / 2 + 1;
        if has_spare || is_dispensable {
            next.members.remove(position);
        } else {
            next.members.push(self.joining_member(candidate?)?);
        }
        Some(next)
    }

    /// Adds a member if there are fewer than wanted.
    fn add_missing_member(&self) -> Option<RecordView> {
        if self.view.members.len() >= self.replication_factor || !self.all_active() {
            return None;
        }
        let mut next = self.view.next_epoch();
        next.members
            .push(self.joining_member(self.best_candidate(self.view)?)?);
        Some(next)
    }

    fn all_active(&self) -> bool {
        self.view.members.iter().all(|member| member.active)
    }

    fn joining_member(&self, node: NodeId) -> Option<RecordMember> {
        let store = self.stores.get(&node)?;
        Some(RecordMember {
            node,
            incarnation: store.incarnation,
            zone: store.zone.clone(),
            active: false,
        })
    }

    /// Whether a store in this zone may be a member.
    fn may_host(&self, zone: &str) -> bool {
        self.home
            .is_none_or(|home| !home.is_required || home.contains(zone))
    }

    /// The best node for a new member: in the home region if possible, then in the zone with the
    /// fewest members, then with the fewest replicas.
    fn best_candidate(&self, view: &RecordView) -> Option<NodeId> {
        let members_in_zone = |zone: &str| {
            let members = view.members.iter();
            members
                .filter(|member| member.zone == zone && !self.silent.contains(&member.node))
                .count()
        };
        let replicas = |node: &NodeId| self.replicas.get(node).copied().unwrap_or(0);
        let is_outside_home = |zone: &str| self.home.is_some_and(|home| !home.contains(zone));
        self.stores
            .iter()
            .filter(|(node, _)| !view.needs(**node))
            .filter(|(node, _)| !self.silent.contains(node) && !self.retiring.contains(node))
            .filter(|(_, store)| self.may_host(&store.zone))
            .min_by_key(|(node, store)| {
                (
                    is_outside_home(&store.zone),
                    members_in_zone(&store.zone),
                    replicas(node),
                )
            })
            .map(|(node, _)| *node)
    }
}
