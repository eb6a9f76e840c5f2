//! Programs are spread over partitions, and partitions over stores.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use courseshed_records::{
    CaughtUp, MapPlan, PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord, Record, Spread,
    StoreMachine, ViewChange, plan_map,
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
    regions_borne: usize,
    zones_borne: usize,
    must_stay_home: bool,
}

impl Fleet {
    fn new(count: u32, zones: u32) -> Self {
        Self {
            map: PartitionMap::default(),
            stores: machines(count, zones),
            silent: BTreeSet::new(),
            retiring: BTreeSet::new(),
            zones: ZoneMap::default(),
            regions_borne: 0,
            zones_borne: 0,
            must_stay_home: false,
        }
    }

    fn plan(&self, may_found: bool, caught_up: &[CaughtUp]) -> Vec<ViewChange> {
        let plan = MapPlan {
            map: &self.map,
            stores: &self.stores,
            silent: &self.silent,
            retiring: &self.retiring,
            wanted: WANTED,
            may_found,
            spread: Spread {
                zones: &self.zones,
                zones_borne: self.zones_borne,
                regions_borne: self.regions_borne,
                must_stay_home: self.must_stay_home,
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

    /// What all joining stores would say once they have read enough.
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

    /// Plans and catches up until nothing more is due.
    fn settle(&mut self) {
        for _ in 0..20 {
            let caught_up = self.all_caught_up();
            if self.advance(&caught_up) == 0 {
                return;
            }
        }
        panic!("the views never settle");
    }
}

#[test]
fn first_replicas_count_at_once_in_distinct_zones_and_evenly() {
    let mut fleet = Fleet::new(36, 7);
    assert!(fleet.plan(false, &[]).is_empty(), "others may still come");
    assert_eq!(fleet.advance(&[]), usize::from(PARTITION_COUNT));
    assert!(fleet.map.is_whole());
    for (_, view) in fleet.map.views() {
        let zones: BTreeSet<&str> = view
            .members
            .iter()
            .map(|member| member.zone.as_str())
            .collect();
        assert_eq!(zones.len(), WANTED);
    }
    let replicas = fleet.map.replicas_by_node();
    let most = replicas.values().max().expect("replicas");
    assert_eq!(replicas.len(), 36);
    assert!(*most <= 5, "{replicas:?}");
}

/// Zones of stores by turns in two regions.
fn two_regions(fleet: &mut Fleet) {
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

/// The most replicas that a partition has in one region, for each partition.
fn most_in_a_region(fleet: &Fleet) -> Vec<usize> {
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

/// With four stores in each of two regions, writes of half of the partitions crossed the link between them
/// two or three times each; now once at most, and a quorum is in one region.
#[test]
fn all_replicas_that_fit_are_in_the_partitions_home_region() {
    let mut fleet = Fleet::new(8, 6);
    two_regions(&mut fleet);
    fleet.settle();
    assert_eq!(
        most_in_a_region(&fleet),
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
fn a_lost_store_is_replaced_in_the_home_region_if_that_has_another() {
    let mut fleet = Fleet::new(12, 6);
    two_regions(&mut fleet);
    fleet.settle();
    assert_eq!(
        most_in_a_region(&fleet),
        vec![WANTED; usize::from(PARTITION_COUNT)]
    );
    fleet.silent.insert(NodeId(3));
    fleet.settle();
    assert!(!fleet.map.has_member(NodeId(3)));
    assert_eq!(
        most_in_a_region(&fleet),
        vec![WANTED; usize::from(PARTITION_COUNT)]
    );
}

#[test]
fn replicas_are_spread_over_regions_where_one_may_be_lost() {
    let mut fleet = Fleet::new(12, 6);
    two_regions(&mut fleet);
    fleet.regions_borne = 1;
    fleet.settle();
    assert!(most_in_a_region(&fleet).into_iter().all(|most| most <= 3));
}

/// Of two zones of a region one holds three replicas of five, so that its loss would take the majority.
#[test]
fn a_region_is_no_home_where_a_zone_of_it_may_hold_a_majority() {
    let mut fleet = Fleet::new(16, 4);
    two_regions(&mut fleet);
    fleet.zones_borne = 1;
    fleet.settle();
    assert!(most_in_a_region(&fleet).into_iter().all(|most| most <= 3));
}

/// What may be kept in one region only stays there, whatever is lost: with fewer replicas, if need be.
#[test]
fn replicas_that_must_stay_home_never_leave_their_region() {
    let mut fleet = Fleet::new(8, 6);
    two_regions(&mut fleet);
    fleet.must_stay_home = true;
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

/// A program keeps its partition where that is near, and else prefers one near partition steadily.
#[test]
fn the_home_of_a_program_is_near_and_moves_for_few_when_a_view_changes() {
    let mut fleet = Fleet::new(8, 6);
    two_regions(&mut fleet);
    fleet.settle();
    let is_east = |member: &courseshed_records::RecordMember| {
        fleet.zones.region_of(&member.zone) == Some("east")
    };
    let home = |program: u32, without: Option<PartitionId>| {
        let unwanted = without.map(|partition| fleet.map.view(partition));
        fleet.map.home_of(&format!("p{program}"), |view| {
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
        let usual = PartitionId::of_program(&format!("p{program}"));
        assert!(usual.0 % 2 == 1 || before == usual);
        let after = home(program, Some(lost));
        if after != before {
            assert_eq!(before, lost);
            moved += 1;
        }
    }
    assert!(moved < 200, "{moved}");
}

#[test]
fn the_places_of_a_silent_store_are_spread_over_the_others() {
    let mut fleet = Fleet::new(36, 7);
    fleet.settle();
    let before = fleet.map.replicas_by_node();
    let lost = NodeId(7);
    fleet.silent.insert(lost);
    assert_eq!(fleet.advance(&[]), before[&lost]);
    assert!(!fleet.map.has_member(lost));
    assert!(
        fleet.map.views().any(|(_, view)| view.needs(lost)),
        "its records are still a source"
    );
    let after = fleet.map.replicas_by_node();
    let grown = after.iter().filter(|(node, count)| **count > before[node]);
    assert_eq!(grown.count(), before[&lost], "nobody takes two of them");
    fleet.settle();
    assert!(fleet.map.is_whole());
    assert!(!fleet.map.views().any(|(_, view)| view.needs(lost)));
}

#[test]
fn an_emptied_disk_joins_each_of_its_partitions_anew() {
    let mut fleet = Fleet::new(7, 7);
    fleet.settle();
    let node = NodeId(2);
    let places = fleet.map.replicas_by_node()[&node];
    fleet.stores.get_mut(&node).expect("known").incarnation = 99;
    assert!(!fleet.map.has_disk(node, 99));
    assert_eq!(fleet.advance(&[]), places);
    let joining = fleet.all_caught_up();
    assert_eq!(joining.len(), places);
    assert!(joining.iter().all(|joined| joined.incarnation == 99));
    let one = joining[0];
    fleet.advance(&[one]);
    assert!(fleet.map.view(one.partition).is_active(node, 99));
    assert_eq!(fleet.all_caught_up().len(), places - 1);
}

#[test]
fn a_store_is_emptied_of_all_its_partitions() {
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
fn followers_learn_only_the_partitions_that_changed_and_never_an_older_view() {
    let mut fleet = Fleet::new(36, 7);
    fleet.settle();
    let mut follower = PartitionMap::default();
    for change in fleet.map.changes_since(0) {
        assert!(follower.learn(change));
    }
    let known = fleet.map.revision();
    fleet.silent.insert(NodeId(1));
    let changed = fleet.advance(&[]);
    let news = fleet.map.changes_since(known);
    assert_eq!(news.len(), changed);
    let old = ViewChange {
        partition: news[0].partition,
        view: follower.view(news[0].partition).clone(),
    };
    for change in news {
        assert!(follower.learn(change));
    }
    assert!(!follower.learn(old));
    for (partition, view) in fleet.map.views() {
        assert_eq!(follower.view(partition), view);
    }
}

#[test]
fn a_change_that_is_not_the_next_one_is_passed_over() {
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
fn a_store_keeps_partitions_apart() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
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
    let segments = segment_files(folder.path()).len();
    assert_eq!(segments, 1, "the first segment is gone");
    drop(store);
    let mut restored = open(folder.path(), AMPLE, 200);
    assert_eq!(restored.tables().len(), 2);
    assert_eq!(restored.epoch(PartitionId(1)), 4);
    assert_eq!(restored.epoch(PartitionId(2)), 9);
    assert!(restored.chain(PartitionId(2), "b").is_ok());
    assert!(restored.chain(PartitionId(2), "a").is_err());
}
