//! Durability of a store across restarts, torn writes and compaction.

mod support;

use std::fs::{self, OpenOptions};
use std::io::Write;

use bytes::Bytes;
use courseshed_consensus::frame;
use courseshed_records::{
    ChainError, ExportCursor, Location, PartitionId, PartitionRecord, ReadError, Record,
    RecordReplica, RecordStore, StoreLimits, Turn,
};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};
use serde::Serialize;
use support::{AMPLE, MIB, compact_all, file_bytes, open, segment_files, turn_of_size};
use tempfile::TempDir;
use yare::parameterized;

const LONG_MS: u64 = 1 << 40;
const PARTITION: PartitionId = PartitionId(3);

/// Wraps records for the partition under test.
fn in_partition(records: impl IntoIterator<Item = Record>) -> Vec<PartitionRecord> {
    let partition = PARTITION;
    let entries = records.into_iter();
    entries
        .map(|record| PartitionRecord { partition, record })
        .collect()
}

fn turn(id: &str, previous: Option<&str>) -> Record {
    Record::StoreTurn {
        turn: Turn {
            id: id.to_owned(),
            previous: previous.map(str::to_owned),
            input: Bytes::from_static(b"in"),
            output: Bytes::from_static(b"out"),
            tenant: None,
            allowed_regions: Vec::new(),
            cached: Some(CachedPrompt::after_answer(
                ServerKey(7),
                &[PromptPart { id: 3, tokens: 40 }],
                2,
            )),
        },
        keep_ms: LONG_MS,
    }
}

fn reserve(reservation: u64, most: u32) -> Record {
    Record::Reserve {
        program: "p".to_owned(),
        reservation,
        most,
        keep_ms: LONG_MS,
    }
}

#[test]
fn records_and_incarnation_survive_restart() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    let incarnation = store.incarnation();
    let records = [
        reserve(1, 30),
        turn("a", None),
        turn("b", Some("a")),
        Record::Epoch(3),
    ];
    store.write(0, in_partition(records)).expect("written");
    drop(store);
    let mut store = RecordStore::open(dir.path(), incarnation + 1, AMPLE, 0).expect("opens");
    assert_eq!(store.incarnation(), incarnation);
    assert_eq!(store.epoch(PARTITION), 3);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 30);
    let chain = store.chain(PARTITION, "b").expect("stored chain");
    assert_eq!(chain.len(), 2);
    let expected = [turn("a", None), turn("b", Some("a"))];
    for (actual, expected) in chain.into_iter().zip(expected) {
        let keep_ms = LONG_MS;
        assert_eq!(
            Record::StoreTurn {
                turn: actual,
                keep_ms
            },
            expected
        );
    }
}

#[test]
fn torn_frame_loses_no_other_records() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    store
        .write(0, in_partition([turn("a", None)]))
        .expect("written");
    drop(store);
    let segments = segment_files(dir.path());
    let mut file = OpenOptions::new()
        .append(true)
        .open(&segments[0])
        .expect("opens");
    file.write_all(b"CsFr\x10\0\0\0torn").expect("written");
    let mut store = open(dir.path(), AMPLE, 0);
    assert!(store.chain(PARTITION, "a").is_ok());
    store
        .write(0, in_partition([turn("b", Some("a"))]))
        .expect("written");
    drop(store);
    let mut store = open(dir.path(), AMPLE, 0);
    assert_eq!(store.chain(PARTITION, "b").expect("stored chain").len(), 2);
}

/// A store with one segment whose only live records are turn "long", reservation 1 and epoch 4.
fn store_with_expired_turns(dir: &TempDir) -> RecordStore {
    let mut store = open(dir.path(), AMPLE, 0);
    let records = [
        reserve(1, 30),
        turn("long", None),
        Record::Settle {
            program: "p".to_owned(),
            reservation: 1,
            given: 4,
            keep_ms: 0,
        },
        Record::Epoch(4),
    ];
    for record in records {
        store.write(0, in_partition([record])).expect("written");
    }
    for number in 0..80 {
        let short = turn_of_size(&format!("short-{number}"), None, 64 * 1024, 100);
        store.write(0, in_partition([short])).expect("written");
    }
    store.expire(200);
    store
}

#[test]
fn compaction_frees_space_without_losing_records() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = store_with_expired_turns(&dir);
    let before = file_bytes(dir.path());
    assert!(before > 4 * MIB, "{before}");
    compact_all(&mut store, 200);
    drop(store);
    let after = file_bytes(dir.path());
    assert!(after < 2 * MIB, "{after} of {before} bytes are left");
    let mut store = open(dir.path(), AMPLE, 200);
    assert_eq!(store.epoch(PARTITION), 4);
    assert_eq!(store.reserved(PARTITION, "p").len(), 1);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
    assert_eq!(store.chain(PARTITION, "long").expect("stored").len(), 1);
    assert!(store.chain(PARTITION, "short-0").is_err());
}

/// Write errors during compaction must not exclude segments from later compaction.
#[test]
fn compaction_resumes_after_write_errors() {
    let parent_dir = TempDir::new().expect("temp dir");
    let dir = TempDir::new_in(parent_dir.path()).expect("temp dir");
    drop(store_with_expired_turns(&dir));
    let mut store = open(dir.path(), AMPLE, 200);
    let moved_dir = parent_dir.path().join("away");
    fs::rename(dir.path(), &moved_dir).expect("moved");
    for _ in 0..3 {
        assert!(store.compact(200).is_err());
    }
    fs::rename(&moved_dir, dir.path()).expect("moved back");
    compact_all(&mut store, 200);
    let after = file_bytes(dir.path());
    assert!(after < 2 * MIB, "{after} bytes are left");
    assert!(store.chain(PARTITION, "long").is_ok());
}

#[test]
fn restart_during_compaction_loses_nothing() {
    for steps in 0..6 {
        let dir = TempDir::new().expect("temp dir");
        let mut store = store_with_expired_turns(&dir);
        for _ in 0..steps {
            store.compact(200).expect("compacted");
        }
        drop(store);
        let mut store = open(dir.path(), AMPLE, 200);
        compact_all(&mut store, 200);
        drop(store);
        let mut store = open(dir.path(), AMPLE, 200);
        assert_eq!(store.epoch(PARTITION), 4, "after {steps} steps");
        assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
        assert!(
            store.chain(PARTITION, "long").is_ok(),
            "after {steps} steps"
        );
    }
}

/// The settlement is in a segment that is compacted before that of its reservation.
#[test]
fn settlement_without_retention_survives_compaction() {
    let dir = TempDir::new().expect("temp dir");
    let limits = StoreLimits {
        segment_bytes: 1,
        ..AMPLE
    };
    let mut store = open(dir.path(), limits, 0);
    let settle = Record::Settle {
        program: "p".to_owned(),
        reservation: 1,
        given: 4,
        keep_ms: 0,
    };
    let first = [reserve(1, 30), turn("long", None)];
    let second = [settle, turn_of_size("short", None, 9_000, 100)];
    store.write(0, in_partition(first)).expect("written");
    store.write(0, in_partition(second)).expect("written");
    store
        .write(0, in_partition([reserve(2, 7)]))
        .expect("written");
    store.expire(200);
    compact_all(&mut store, 200);
    assert_eq!(segment_files(dir.path()).len(), 3, "the second is deleted");
    drop(store);
    let store = open(dir.path(), AMPLE, 200);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
}

#[test]
fn redundant_records_are_not_written() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    let records = || in_partition([reserve(1, 30), turn("a", None), Record::Epoch(2)]);
    store.write(0, records()).expect("written");
    let before = file_bytes(dir.path());
    store.write(1, records()).expect("known");
    assert_eq!(file_bytes(dir.path()), before);
}

#[test]
fn extended_retention_of_a_turn_survives_restart() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    let keep = |keep_ms| in_partition([turn_of_size("a", None, 10, keep_ms)]);
    store.write(0, keep(5_000)).expect("written");
    store.write(0, keep(50_000)).expect("written");
    drop(store);
    let mut store = open(dir.path(), AMPLE, 20_000);
    assert!(store.chain(PARTITION, "a").is_ok());
}

#[parameterized(
    disk = { 200 * MIB, 8 * MIB },
    memory = { 100 * 1024, 1024 * MIB },
)]
fn store_reports_full_before_writes_fail(memory_bytes: u64, disk_bytes: u64) {
    let dir = TempDir::new().expect("temp dir");
    let limits = StoreLimits {
        memory_bytes,
        disk_bytes: Some(disk_bytes),
        ..AMPLE
    };
    let mut store = open(dir.path(), limits, 0);
    assert!(!store.is_full());
    for number in 0..128 {
        let turn = turn_of_size(&format!("t{number}"), None, 60 * 1024, LONG_MS);
        store.write(0, in_partition([turn])).expect("written");
        store.expire(0);
    }
    assert!(store.is_full());
    assert!(file_bytes(dir.path()) < disk_bytes);
    assert!(store.chain(PARTITION, "t0").is_ok());
}

#[test]
fn corrupt_turn_is_an_error_and_not_missing() {
    let dir = TempDir::new().expect("temp dir");
    let no_cache = StoreLimits {
        memory_bytes: 0,
        ..AMPLE
    };
    let mut store = open(dir.path(), no_cache, 0);
    store
        .write(0, in_partition([turn("a", None)]))
        .expect("written");
    let segment = &segment_files(dir.path())[0];
    let bytes = fs::read(segment).expect("read").len();
    fs::write(segment, vec![7; bytes]).expect("damaged");
    let read = store.chain(PARTITION, "a");
    assert!(matches!(read, Err(ReadError::File { .. })), "{read:?}");
}

/// Record format of earlier versions, without a retention period in settlements.
#[derive(Serialize)]
struct OldTimestampedRecord {
    at_ms: u64,
    entry: OldPartitionRecord,
}

#[derive(Serialize)]
struct OldPartitionRecord {
    partition: PartitionId,
    record: OldRecord,
}

#[derive(Serialize)]
enum OldRecord {
    Settle {
        program: String,
        reservation: u64,
        given: u32,
    },
}

#[test]
fn earlier_record_format_is_readable() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), AMPLE, 0);
    store
        .write(0, in_partition([reserve(1, 30)]))
        .expect("written");
    drop(store);
    let old = OldTimestampedRecord {
        at_ms: 0,
        entry: OldPartitionRecord {
            partition: PARTITION,
            record: OldRecord::Settle {
                program: "p".to_owned(),
                reservation: 1,
                given: 4,
            },
        },
    };
    let path = dir.path().join("records-00000007");
    fs::write(path, frame::encode(&old)).expect("written");
    let store = open(dir.path(), AMPLE, 0);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
}

#[test]
fn settlement_and_reservation_commute() {
    let settle = Record::Settle {
        program: "p".to_owned(),
        reservation: 1,
        given: 4,
        keep_ms: 0,
    };
    let mut one = RecordReplica::default();
    let mut other = RecordReplica::default();
    one.apply(0, &reserve(1, 30), Location::default());
    one.apply(0, &settle, Location::default());
    other.apply(0, &settle, Location::default());
    other.apply(0, &reserve(1, 30), Location::default());
    assert_eq!(one.reserved("p"), other.reserved("p"));
    assert_eq!(one.reserved("p")[0].tokens, 4);
}

#[test]
fn paged_export_is_complete() {
    let source_dir = TempDir::new().expect("temp dir");
    let target_dir = TempDir::new().expect("temp dir");
    let mut store = open(source_dir.path(), AMPLE, 0);
    for number in 0..20 {
        let records = [reserve(number, 1), turn(&format!("t{number:02}"), None)];
        store.write(0, in_partition(records)).expect("written");
    }
    let mut copy = open(target_dir.path(), AMPLE, 0);
    let mut cursor = Some(ExportCursor::default());
    let mut pages = 0;
    while let Some(from) = cursor {
        let page = store.export(PARTITION, 0, &from, 12).expect("read");
        copy.write(0, in_partition(page.records)).expect("written");
        cursor = page.next;
        pages += 1;
    }
    assert!(pages > 3, "{pages} pages");
    assert_eq!(
        copy.reserved(PARTITION, "p"),
        store.reserved(PARTITION, "p")
    );
    for number in 0..20 {
        let id = format!("t{number:02}");
        let copied = copy.chain(PARTITION, &id).expect("copied");
        assert_eq!(copied, store.chain(PARTITION, &id).expect("stored"));
    }
    assert_eq!(copy.tables().len(), store.tables().len());
}

#[test]
fn turn_is_retained_as_long_as_its_descendants() {
    let mut replica = RecordReplica::default();
    let short = |id: &str, previous: Option<&str>, keep_ms| match turn(id, previous) {
        Record::StoreTurn { turn, .. } => Record::StoreTurn { turn, keep_ms },
        other => other,
    };
    replica.apply(0, &short("a", None, 100), Location::default());
    replica.apply(90, &short("b", Some("a"), 100), Location::default());
    replica.expire(150);
    assert!(replica.chain("b").is_ok());
    replica.expire(200);
    let missing = ChainError::Missing { id: "b".to_owned() };
    assert_eq!(replica.chain("b"), Err(missing));
}
