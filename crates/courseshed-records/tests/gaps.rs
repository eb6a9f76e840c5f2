//! Retention of chains of which a replica lacks turns, and the repair of their gaps.

mod support;

use courseshed_records::{
    GAP_REPAIR_DELAY_MS, Location, MissingTurn, PartitionId, PartitionRecord, Record, RecordReplica,
};
use support::{AMPLE, open, turn_of_size};
use tempfile::TempDir;

const KEEP_MS: u64 = 10_000;
const LIMIT: usize = 64;

fn store(replica: &mut RecordReplica, at_ms: u64, id: &str, previous: Option<&str>) {
    let record = turn_of_size(id, previous, 0, KEEP_MS);
    replica.apply(at_ms, &record, Location::default());
}

fn has(replica: &RecordReplica, id: &str) -> bool {
    !replica.chain_part(id, 1).0.is_empty()
}

fn ids(missing: Vec<MissingTurn>) -> Vec<String> {
    missing.into_iter().map(|missing| missing.id).collect()
}

/// Guards against ancestors that expire before their conversation because a gap hid them from it.
#[test]
fn ancestors_beyond_a_closed_gap_last_as_long_as_their_descendants() {
    let mut replica = RecordReplica::default();
    store(&mut replica, 0, "t0", None);
    store(&mut replica, 8_000, "t2", Some("t1"));
    store(&mut replica, 9_000, "t1", Some("t0"));
    replica.expire(17_999);
    assert!(replica.chain("t2").is_ok());
    replica.expire(18_999);
    assert!(!has(&replica, "t2"));
}

/// Guards against ancestors that a catch-up or a compaction puts behind their descendants.
#[test]
fn ancestors_that_arrive_after_their_descendants_last_as_long() {
    let mut replica = RecordReplica::default();
    store(&mut replica, 8_000, "t3", Some("t2"));
    for (id, previous) in [("t0", None), ("t1", Some("t0")), ("t2", Some("t1"))] {
        let record = turn_of_size(id, previous, 0, 1_000);
        replica.apply(8_000, &record, Location::default());
    }
    replica.expire(17_999);
    assert!(replica.chain("t3").is_ok());
}

/// Guards against gaps that are forgotten with the process.
#[test]
fn gaps_are_known_again_after_a_restart() {
    let dir = TempDir::new().expect("temp dir");
    let partition = PartitionId(3);
    let in_partition = |record: Record| PartitionRecord { partition, record };
    let mut records = open(dir.path(), AMPLE, 0);
    let turns = [
        turn_of_size("t0", None, 10, KEEP_MS),
        turn_of_size("t2", Some("t1"), 10, KEEP_MS),
    ];
    let turns = turns.into_iter().map(in_partition).collect();
    records.write(0, turns).expect("written");
    drop(records);
    let mut records = open(dir.path(), AMPLE, 100);
    assert_eq!(records.gaps(), 1);
    let due = records.start_repairs(GAP_REPAIR_DELAY_MS, LIMIT);
    let due: Vec<(PartitionId, String)> = due
        .into_iter()
        .map(|(partition, missing)| (partition, missing.id))
        .collect();
    assert_eq!(due, [(partition, "t1".to_owned())]);
}

/// Guards against fetching turns that were only overtaken by the next one.
#[test]
fn turn_that_arrives_out_of_order_is_not_repaired() {
    let mut replica = RecordReplica::default();
    store(&mut replica, 0, "t0", None);
    store(&mut replica, 10, "t2", Some("t1"));
    assert!(replica.start_repairs(500, LIMIT).is_empty());
    store(&mut replica, 600, "t1", Some("t0"));
    assert!(replica.start_repairs(5_000, LIMIT).is_empty());
    assert_eq!(replica.gaps(), 0);
}

/// Guards against conversations under way that wait behind others, and against endless attempts.
#[test]
fn newest_conversations_are_repaired_first_and_attempts_become_rare() {
    let mut replica = RecordReplica::default();
    for conversation in 0..5_u64 {
        let missing = format!("c{conversation}-0");
        let id = format!("c{conversation}-1");
        store(&mut replica, conversation, &id, Some(&missing));
    }
    let first = ids(replica.start_repairs(2_000, 2));
    assert_eq!(first, ["c4-0", "c3-0"]);
    let others = ids(replica.start_repairs(2_000, LIMIT));
    assert_eq!(others, ["c2-0", "c1-0", "c0-0"]);
    let mut attempts = 0;
    for now_ms in (2_000..9_000).step_by(100) {
        attempts += replica.start_repairs(now_ms, LIMIT).len();
    }
    assert_eq!(attempts, 5 * 2, "after 1 s and after 2 s more");
}

/// Guards against a request for each turn of a conversation of which a replica has only the end.
#[test]
fn each_attempt_asks_for_more_turns_of_a_long_gap() {
    const TURNS: u32 = 100;
    let mut replica = RecordReplica::default();
    let id = |number: u32| format!("t{number}");
    store(&mut replica, 0, &id(TURNS), Some(&id(TURNS - 1)));
    let mut requests = 0;
    let now_ms = 2_000;
    while let Some(missing) = replica.start_repairs(now_ms, LIMIT).pop() {
        requests += 1;
        let newest: u32 = missing
            .id
            .trim_start_matches('t')
            .parse()
            .expect("a number");
        let oldest = (newest + 1).saturating_sub(missing.repaired_turns + 1);
        for number in (oldest..=newest).rev() {
            let previous = number.checked_sub(1).map(id);
            store(&mut replica, now_ms, &id(number), previous.as_deref());
        }
    }
    assert!(replica.chain(&id(TURNS)).is_ok());
    assert!(requests <= 7, "{requests} requests");
}

/// Guards against an index that keeps growing with gaps of conversations that are over.
#[test]
fn gaps_expire_with_their_descendants() {
    let mut replica = RecordReplica::default();
    store(&mut replica, 0, "t2", Some("t1"));
    replica.expire(KEEP_MS - 1);
    assert_eq!(replica.gaps(), 1);
    replica.expire(KEEP_MS);
    assert_eq!(replica.gaps(), 0);
}
