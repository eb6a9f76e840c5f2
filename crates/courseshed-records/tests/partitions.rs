//! Placement of partitions on stores and mapping of programs to partitions.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use courseshed_records::{
    CaughtUp, MapPlan, PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord,
    PlacementPolicy, REGIONAL_PARTITIONS, Record, RecordView, StoreMachine, ViewChange, plan_map,
};
use courseshed_types::{NodeId, ZoneMap};
use support::{AMPLE, compact_all, open, segment_files, turn_of_size};
use tempfile::TempDir;

const WANTED: usize = 5;

fn machines(count: u32, zones: u32) -> BTreeMap<NodeId, StoreMachine> {
    let machine = |number: u32| StoreMachine {
        name: format!("store-{number}"),
        zone: format!("zone-{}", number % zones),
        incarnation: u64::from(number),
    };
    (1..=count)
        .map(|number| (NodeId(number), machine(number)))
        .collect()
}

struct Fleet {
    map: PartitionMap,
    stores: BTreeMap<NodeId, StoreMachine>,
    silent: BTreeSet<NodeId>,
    retiring: BTreeSet<NodeId>,
    zones: ZoneMap,
    tolerated_region_failures: usize,
    tolerated_zone_failures: usize,
    restricted_regions: BTreeSet<&'static str>,
}

impl Fleet {
    fn new(count: u32, zones: u32) -> Self {
        Self {
            map: PartitionMap::default(),
            stores: machines(count, zones),
            silent: BTreeSet::new(),
            retiring: BTreeSet::new(),
            zones: ZoneMap::default(),
            tolerated_region_failures: 0,
            tolerated_zone_failures: 0,
            restricted_regions: BTreeSet::new(),
        }
    }

    fn plan(&self, allow_initial_placement: bool, caught_up: &[CaughtUp]) -> Vec<ViewChange> {
        let plan = MapPlan {
            map: &self.map,
            stores: &self.stores,
            silent: &self.silent,
            retiring: &self.retiring,
            replication_factor: WANTED,
            allow_initial_placement,
            spread: PlacementPolicy {
                zones: &self.zones,
                tolerated_zone_failures: self.tolerated_zone_failures,
                tolerated_region_failures: self.tolerated_region_failures,
                restricted_regions: &self.restricted_regions,
            },
        };
        plan_map(&plan, caught_up)
    }

    fn advance(&mut self, caught_up: &[CaughtUp]) -> usize {
        let changes = self.plan(true, caught_up);
        let count = changes.len();
        for change in changes {
            assert!(self.map.advance(change));
        }
        count
    }

    /// Reports all joining replicas as caught up.
    fn all_caught_up(&self) -> Vec<CaughtUp> {
        let joining = self.map.views().flat_map(|(partition, view)| {
            let members = view.members.iter().filter(|member| !member.active);
            members.map(move |member| CaughtUp {
                partition,
                node: member.node,
                incarnation: member.incarnation,
            })
        });
        joining.collect()
    }

    /// Plans changes and completes catch-ups until no change is due.
    fn settle(&mut self) {
        for _ in 0..20 {
            let caught_up = self.all_caught_up();
            if self.advance(&caught_up) == 0 {
                return;
            }
        }
        panic!("view changes do not converge");
    }
}

#[test]
fn initial_replicas_are_active_balanced_and_in_distinct_zones() {
    let mut fleet = Fleet::new(36, 7);
    assert!(
        fleet.plan(false, &[]).is_empty(),
        "more stores may register"
    );
    assert_eq!(fleet.advance(&[]), usize::from(PARTITION_COUNT));
    assert!(fleet.map.is_fully_active());
    for (_, view) in fleet.map.views() {
        let zones: BTreeSet<&str> = view
            .members
            .iter()
            .map(|member| member.zone.as_str())
            .collect();
        assert_eq!(zones.len(), WANTED);
    }
    let replicas = fleet.map.replica_counts_by_node();
    let most = replicas.values().max().expect("replicas");
    assert_eq!(replicas.len(), 36);
    assert!(*most <= 5, "{replicas:?}");
}

/// Assigns the zones of the stores alternately to two regions.
fn assign_two_regions(fleet: &mut Fleet) {
    let zones: BTreeSet<String> = fleet
        .stores
        .values()
        .map(|store| store.zone.clone())
        .collect();
    let region = |index: usize| {
        if index.is_multiple_of(2) {
            "east"
        } else {
            "west"
        }
    };
    let zones = zones.into_iter().enumerate();
    fleet.zones = zones
        .map(|(index, zone)| (zone, region(index).to_owned()))
        .collect();
}

/// For each partition, the largest number of its replicas in one region.
fn max_replicas_per_region(fleet: &Fleet) -> Vec<usize> {
    let views = fleet.map.views();
    let most = views.map(|(_, view)| {
        let mut by_region: BTreeMap<&str, usize> = BTreeMap::new();
        for member in &view.members {
            let region = fleet.zones.region_of(&member.zone).expect("a region");
            *by_region.entry(region).or_default() += 1;
        }
        by_region.into_values().max().expect("replicas")
    });
    most.collect()
}

/// Guards against quorums that span regions, which make every write cross the link between them.
#[test]
fn replicas_fill_the_home_region_first() {
    let mut fleet = Fleet::new(8, 6);
    assign_two_regions(&mut fleet);
    fleet.settle();
    assert_eq!(
        max_replicas_per_region(&fleet),
        vec![4; usize::from(PARTITION_COUNT)]
    );
    let homes = fleet.map.views().filter(|(_, view)| {
        let east = view
            .members
            .iter()
            .filter(|member| fleet.zones.region_of(&member.zone) == Some("east"));
        east.count() == 4
    });
    assert_eq!(homes.count(), usize::from(PARTITION_COUNT) / 2);
}

#[test]
fn lost_store_is_replaced_within_home_region() {
    let mut fleet = Fleet::new(12, 6);
    assign_two_regions(&mut fleet);
    fleet.settle();
    assert_eq!(
        max_replicas_per_region(&fleet),
        vec![WANTED; usize::from(PARTITION_COUNT)]
    );
    fleet.silent.insert(NodeId(3));
    fleet.settle();
    assert!(!fleet.map.has_member(NodeId(3)));
    assert_eq!(
        max_replicas_per_region(&fleet),
        vec![WANTED; usize::from(PARTITION_COUNT)]
    );
}

#[test]
fn replicas_are_spread_to_tolerate_region_failure() {
    let mut fleet = Fleet::new(12, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.settle();
    assert!(
        max_replicas_per_region(&fleet)
            .into_iter()
            .all(|most| most <= 3)
    );
}

/// With two zones in the region, one of them would host three of five replicas.
#[test]
fn region_is_not_home_if_one_of_its_zones_could_hold_a_majority() {
    let mut fleet = Fleet::new(16, 4);
    assign_two_regions(&mut fleet);
    fleet.tolerated_zone_failures = 1;
    fleet.settle();
    assert!(
        max_replicas_per_region(&fleet)
            .into_iter()
            .all(|most| most <= 3)
    );
}

/// Data residency takes precedence over the target number of replicas.
#[test]
fn pinned_replicas_never_leave_home_region() {
    let mut fleet = Fleet::new(8, 6);
    assign_two_regions(&mut fleet);
    fleet.restricted_regions = BTreeSet::from(["east"]);
    fleet.settle();
    let check = |fleet: &Fleet, replicas: usize| {
        for (partition, view) in fleet.map.views() {
            let regions: BTreeSet<_> = view
                .members
                .iter()
                .map(|member| fleet.zones.region_of(&member.zone))
                .collect();
            assert_eq!(regions.len(), 1, "{partition:?}");
            assert_eq!(view.members.len(), replicas, "{partition:?}");
        }
    };
    check(&fleet, 4);
    fleet.silent.insert(NodeId(1));
    fleet.settle();
    check(&fleet, 4);
    let mut larger = machines(12, 6);
    larger.retain(|node, _| !fleet.stores.contains_key(node));
    fleet.stores.extend(larger);
    fleet.settle();
    check(&fleet, WANTED);
}

fn regions_of<'a>(fleet: &'a Fleet, view: &RecordView) -> BTreeSet<Option<&'a str>> {
    let members = view.members.iter();
    members
        .map(|member| fleet.zones.region_of(&member.zone))
        .collect()
}

fn regional_homes(fleet: &Fleet) -> Vec<Option<&str>> {
    let views = fleet.map.regional_views();
    views.map(|(_, view)| view.home_region.as_deref()).collect()
}

/// Guards against refusing restricted turns where the loss of a region must be tolerated, and
/// against moving other turns for them.
#[test]
fn restricted_regions_get_their_own_partitions_where_a_region_failure_is_tolerated() {
    let mut fleet = Fleet::new(12, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.settle();
    let default_views = |fleet: &Fleet| -> Vec<RecordView> {
        let views = fleet.map.default_views();
        views.map(|(_, view)| view.clone()).collect()
    };
    let before = default_views(&fleet);
    assert_eq!(fleet.map.regional_views().count(), 0);
    fleet.restricted_regions = BTreeSet::from(["east", "unknown"]);
    fleet.settle();
    let expected = usize::from(REGIONAL_PARTITIONS);
    assert_eq!(regional_homes(&fleet), vec![Some("east"); expected]);
    for (partition, view) in fleet.map.regional_views() {
        assert_eq!(regions_of(&fleet, view), BTreeSet::from([Some("east")]));
        assert_eq!(view.members.len(), WANTED, "{partition:?}");
    }
    assert_eq!(before, default_views(&fleet));
    fleet.restricted_regions = BTreeSet::from(["west"]);
    fleet.settle();
    let homes = regional_homes(&fleet);
    assert_eq!(homes[..expected], vec![Some("east"); expected]);
    assert_eq!(homes[expected..], vec![Some("west"); expected]);
    for program in 0..100 {
        let home = fleet.map.home_partition(&format!("p{program}"), |_| true);
        assert!(!home.is_regional(), "unrestricted turns tolerate the loss");
    }
}

/// Guards against replicas of restricted turns in another region: after the loss of stores of the
/// home region, its return, and the end of the restriction.
#[test]
fn regional_partition_never_leaves_its_region() {
    let mut fleet = Fleet::new(12, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.restricted_regions = BTreeSet::from(["east"]);
    fleet.settle();
    let east: BTreeSet<NodeId> = fleet
        .stores
        .iter()
        .filter(|(_, store)| fleet.zones.region_of(&store.zone) == Some("east"))
        .map(|(node, _)| *node)
        .collect();
    let check = |fleet: &Fleet| {
        for (_, view) in fleet.map.regional_views() {
            assert_eq!(regions_of(fleet, view), BTreeSet::from([Some("east")]));
        }
    };
    fleet.silent = east.iter().take(2).copied().collect();
    fleet.settle();
    check(&fleet);
    fleet.silent.clone_from(&east);
    fleet.settle();
    check(&fleet);
    fleet.silent.clear();
    fleet.restricted_regions.clear();
    for node in &east {
        fleet.stores.get_mut(node).expect("a store").incarnation += 1;
        fleet.settle();
        check(&fleet);
    }
    assert!(fleet.map.is_fully_active());
}

/// A default partition whose replicas happen to lie in one region after the loss of another is not
/// a home for restricted turns: its next replica may be elsewhere.
#[test]
fn default_partition_promises_no_region_where_a_region_failure_is_tolerated() {
    let mut fleet = Fleet::new(24, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.restricted_regions = BTreeSet::from(["east"]);
    fleet.settle();
    let zones = &fleet.zones;
    let lost = fleet
        .stores
        .iter()
        .filter(|(node, store)| zones.region_of(&store.zone) == Some("west") && node.0 > 2);
    fleet.silent = lost.map(|(node, _)| *node).collect();
    fleet.settle();
    let mut views = fleet.map.default_views();
    assert!(views.all(|(_, view)| view.home_region.is_none()));
}

/// Guards against a retirement that never ends because a required region has no other store.
#[test]
fn store_of_a_small_region_can_be_retired() {
    let mut fleet = Fleet::new(8, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.restricted_regions = BTreeSet::from(["east"]);
    fleet.settle();
    let node = fleet.map.regional_views().next().expect("a view").1.members[0].node;
    fleet.retiring.insert(node);
    fleet.settle();
    assert!(!fleet.map.has_member(node));
    for (_, view) in fleet.map.regional_views() {
        assert_eq!(view.members.len(), 3);
    }
}

/// Controllers of earlier versions apply and store views without their region.
#[test]
fn promise_dropped_by_an_earlier_version_is_restored() {
    let mut fleet = Fleet::new(12, 6);
    assign_two_regions(&mut fleet);
    fleet.tolerated_region_failures = 1;
    fleet.restricted_regions = BTreeSet::from(["west"]);
    fleet.settle();
    let mut earlier = PartitionMap::default();
    for (partition, view) in fleet.map.views() {
        let view = RecordView {
            home_region: None,
            ..view.clone()
        };
        assert!(earlier.merge(ViewChange { partition, view }));
    }
    fleet.map = earlier;
    fleet.settle();
    let expected = usize::from(REGIONAL_PARTITIONS);
    assert_eq!(regional_homes(&fleet), vec![Some("west"); expected]);
}

/// A program uses its default partition if near, else a stable choice among the near ones.
#[test]
fn home_partition_is_near_and_stable_across_view_changes() {
    let mut fleet = Fleet::new(8, 6);
    assign_two_regions(&mut fleet);
    fleet.settle();
    let is_east = |member: &courseshed_records::RecordMember| {
        fleet.zones.region_of(&member.zone) == Some("east")
    };
    let home = |program: u32, without: Option<PartitionId>| {
        let unwanted = without.map(|partition| fleet.map.view(partition));
        fleet.map.home_partition(&format!("p{program}"), |view| {
            unwanted.is_none_or(|unwanted| !std::ptr::eq(view, unwanted))
                && view.members.iter().filter(|member| is_east(member)).count() == 4
        })
    };
    let lost = PartitionId(0);
    let mut moved = 0;
    for program in 0..1000 {
        let before = home(program, None);
        assert!(
            before.0.is_multiple_of(2),
            "east comes first in the order of regions"
        );
        let default_partition = PartitionId::of_program(&format!("p{program}"));
        assert!(default_partition.0 % 2 == 1 || before == default_partition);
        let after = home(program, Some(lost));
        if after != before {
            assert_eq!(before, lost);
            moved += 1;
        }
    }
    assert!(moved < 200, "{moved}");
}

#[test]
fn replicas_of_silent_store_are_spread_over_other_stores() {
    let mut fleet = Fleet::new(36, 7);
    fleet.settle();
    let before = fleet.map.replica_counts_by_node();
    let lost = NodeId(7);
    fleet.silent.insert(lost);
    assert_eq!(fleet.advance(&[]), before[&lost]);
    assert!(!fleet.map.has_member(lost));
    assert!(
        fleet.map.views().any(|(_, view)| view.needs(lost)),
        "it remains a catch-up source"
    );
    let after = fleet.map.replica_counts_by_node();
    let grown = after.iter().filter(|(node, count)| **count > before[node]);
    assert_eq!(
        grown.count(),
        before[&lost],
        "no store takes over two of them"
    );
    fleet.settle();
    assert!(fleet.map.is_fully_active());
    assert!(!fleet.map.views().any(|(_, view)| view.needs(lost)));
}

#[test]
fn wiped_disk_rejoins_each_of_its_partitions() {
    let mut fleet = Fleet::new(7, 7);
    fleet.settle();
    let node = NodeId(2);
    let replica_count = fleet.map.replica_counts_by_node()[&node];
    fleet.stores.get_mut(&node).expect("known").incarnation = 99;
    assert!(!fleet.map.has_replica_on_disk(node, 99));
    assert_eq!(fleet.advance(&[]), replica_count);
    let joining = fleet.all_caught_up();
    assert_eq!(joining.len(), replica_count);
    assert!(joining.iter().all(|joined| joined.incarnation == 99));
    let one = joining[0];
    fleet.advance(&[one]);
    assert!(fleet.map.view(one.partition).is_active(node, 99));
    assert_eq!(fleet.all_caught_up().len(), replica_count - 1);
}

#[test]
fn retiring_store_gives_up_all_replicas() {
    let mut fleet = Fleet::new(8, 4);
    fleet.settle();
    let node = NodeId(3);
    fleet.retiring.insert(node);
    fleet.settle();
    assert!(!fleet.map.views().any(|(_, view)| view.needs(node)));
    assert!(
        fleet
            .map
            .views()
            .all(|(_, view)| view.members.len() == WANTED)
    );
}

#[test]
fn followers_receive_changed_partitions_and_reject_older_views() {
    let mut fleet = Fleet::new(36, 7);
    fleet.settle();
    let mut follower = PartitionMap::default();
    for change in fleet.map.changes_since(0) {
        assert!(follower.merge(change));
    }
    let known = fleet.map.revision();
    fleet.silent.insert(NodeId(1));
    let changed = fleet.advance(&[]);
    let updates = fleet.map.changes_since(known);
    assert_eq!(updates.len(), changed);
    let old = ViewChange {
        partition: updates[0].partition,
        view: follower.view(updates[0].partition).clone(),
    };
    for change in updates {
        assert!(follower.merge(change));
    }
    assert!(!follower.merge(old));
    for (partition, view) in fleet.map.views() {
        assert_eq!(follower.view(partition), view);
    }
}

#[test]
fn view_change_with_wrong_epoch_is_rejected() {
    let mut fleet = Fleet::new(6, 3);
    fleet.settle();
    fleet.silent.insert(NodeId(1));
    let change = fleet.plan(true, &[]).remove(0);
    assert!(fleet.map.advance(change.clone()));
    assert!(!fleet.map.advance(change));
}

#[test]
fn programs_are_spread_over_all_partitions() {
    let mut counts = BTreeMap::<PartitionId, usize>::new();
    for number in 0..2400 {
        let program = format!("program-{number}");
        *counts.entry(PartitionId::of_program(&program)).or_default() += 1;
    }
    assert_eq!(counts.len(), usize::from(PARTITION_COUNT));
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn partitions_of_a_store_are_independent() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    let keep = |partition: u8, id: &str, keep_ms, size| PartitionRecord {
        partition: PartitionId(partition),
        record: turn_of_size(id, None, size, keep_ms),
    };
    let epoch = |partition: u8, epoch| PartitionRecord {
        partition: PartitionId(partition),
        record: Record::Epoch(epoch),
    };
    let long_ms = 1 << 40;
    let entries = vec![
        keep(1, "a", long_ms, 10),
        keep(2, "b", long_ms, 10),
        epoch(1, 4),
        epoch(2, 9),
    ];
    store.write(0, entries).expect("written");
    for number in 0..80 {
        let short = keep(3, &format!("short-{number}"), 100, 64 * 1024);
        store.write(0, vec![short]).expect("written");
    }
    store.expire(200);
    compact_all(&mut store, 200);
    let segments = segment_files(dir.path()).len();
    assert_eq!(segments, 1, "the first segment is deleted");
    drop(store);
    let mut restored = open(dir.path(), AMPLE, 200);
    assert_eq!(restored.tables().len(), 2);
    assert_eq!(restored.epoch(PartitionId(1)), 4);
    assert_eq!(restored.epoch(PartitionId(2)), 9);
    assert!(restored.chain(PartitionId(2), "b").is_ok());
    assert!(restored.chain(PartitionId(2), "a").is_err());
}
