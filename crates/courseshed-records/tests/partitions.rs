//! Programs are spread over partitions, and partitions over stores.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use courseshed_records::{
    CaughtUp, MapPlan, PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord, Record,
    StoreMachine, ViewChange, plan_map,
};
use courseshed_types::NodeId;
use support::{AMPLE, clean_all, open, segment_files, turn_of_size};
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
}

impl Fleet {
    fn new(count: u32, zones: u32) -> Self {
        Self {
            map: PartitionMap::default(),
            stores: machines(count, zones),
            silent: BTreeSet::new(),
            retiring: BTreeSet::new(),
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
    clean_all(&mut store, 200);
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
