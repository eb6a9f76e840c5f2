//! What a store has after a restart, a torn write and the emptying of segments.

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
use support::{AMPLE, MIB, clean_all, file_bytes, open, segment_files, turn_of_size};
use tempfile::TempDir;
use yare::parameterized;

const LONG_MS: u64 = 1 << 40;
const PARTITION: PartitionId = PartitionId(3);

/// Records of one partition.
fn here(records: impl IntoIterator<Item = Record>) -> Vec<PartitionRecord> {
    let partition = PARTITION;
    let entries = records.into_iter();
    entries
        .map(|record| PartitionRecord { partition, record })
        .collect()
}

fn turn(id: &str, previous: Option<&str>) -> Record {
    Record::Keep {
        turn: Turn {
            id: id.to_owned(),
            previous: previous.map(str::to_owned),
            input: Bytes::from_static(b"in"),
            output: Bytes::from_static(b"out"),
            tenant: None,
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
fn what_was_written_is_there_again_and_the_incarnation_stays() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
    let incarnation = store.incarnation();
    let records = [
        reserve(1, 30),
        turn("a", None),
        turn("b", Some("a")),
        Record::Epoch(3),
    ];
    store.write(0, here(records)).expect("written");
    drop(store);
    let mut store = RecordStore::open(folder.path(), incarnation + 1, AMPLE, 0).expect("opens");
    assert_eq!(store.incarnation(), incarnation);
    assert_eq!(store.epoch(PARTITION), 3);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 30);
    let chain = store.chain(PARTITION, "b").expect("a chain");
    assert_eq!(chain.len(), 2);
    let wanted = [turn("a", None), turn("b", Some("a"))];
    for (kept, wanted) in chain.into_iter().zip(wanted) {
        let keep_ms = LONG_MS;
        assert_eq!(
            Record::Keep {
                turn: kept,
                keep_ms
            },
            wanted
        );
    }
}

#[test]
fn a_torn_end_loses_nothing_before_it_and_nothing_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
    store.write(0, here([turn("a", None)])).expect("written");
    drop(store);
    let segments = segment_files(folder.path());
    let mut file = OpenOptions::new()
        .append(true)
        .open(&segments[0])
        .expect("opens");
    file.write_all(b"CsFr\x10\0\0\0torn").expect("written");
    let mut store = open(folder.path(), AMPLE, 0);
    assert!(store.chain(PARTITION, "a").is_ok());
    store
        .write(0, here([turn("b", Some("a"))]))
        .expect("written");
    drop(store);
    let mut store = open(folder.path(), AMPLE, 0);
    assert_eq!(store.chain(PARTITION, "b").expect("a chain").len(), 2);
}

/// A store with one segment of which only turn "long", reservation 1 and epoch 4 are needed.
fn store_with_expired_turns(folder: &TempDir) -> RecordStore {
    let mut store = open(folder.path(), AMPLE, 0);
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
        store.write(0, here([record])).expect("written");
    }
    for number in 0..80 {
        let short = turn_of_size(&format!("short-{number}"), None, 64 * 1024, 100);
        store.write(0, here([short])).expect("written");
    }
    store.expire(200);
    store
}

#[test]
fn emptied_segments_give_their_space_back_and_lose_nothing() {
    let folder = TempDir::new().expect("a folder");
    let mut store = store_with_expired_turns(&folder);
    let before = file_bytes(folder.path());
    assert!(before > 4 * MIB, "{before}");
    clean_all(&mut store, 200);
    drop(store);
    let after = file_bytes(folder.path());
    assert!(after < 2 * MIB, "{after} of {before} bytes are left");
    let mut store = open(folder.path(), AMPLE, 200);
    assert_eq!(store.epoch(PARTITION), 4);
    assert_eq!(store.reserved(PARTITION, "p").len(), 1);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
    assert_eq!(store.chain(PARTITION, "long").expect("kept").len(), 1);
    assert!(store.chain(PARTITION, "short-0").is_err());
}

/// A disk that refuses writes for a while must not keep segments from being emptied later.
#[test]
fn segments_are_emptied_once_the_disk_takes_writes_again() {
    let parent = TempDir::new().expect("a folder");
    let folder = TempDir::new_in(parent.path()).expect("a folder");
    drop(store_with_expired_turns(&folder));
    let mut store = open(folder.path(), AMPLE, 200);
    let away = parent.path().join("away");
    fs::rename(folder.path(), &away).expect("moved");
    for _ in 0..3 {
        assert!(store.clean(200).is_err());
    }
    fs::rename(&away, folder.path()).expect("moved back");
    clean_all(&mut store, 200);
    let after = file_bytes(folder.path());
    assert!(after < 2 * MIB, "{after} bytes are left");
    assert!(store.chain(PARTITION, "long").is_ok());
}

#[test]
fn a_store_that_ends_while_a_segment_is_emptied_loses_nothing() {
    for steps in 0..6 {
        let folder = TempDir::new().expect("a folder");
        let mut store = store_with_expired_turns(&folder);
        for _ in 0..steps {
            store.clean(200).expect("cleans");
        }
        drop(store);
        let mut store = open(folder.path(), AMPLE, 200);
        clean_all(&mut store, 200);
        drop(store);
        let mut store = open(folder.path(), AMPLE, 200);
        assert_eq!(store.epoch(PARTITION), 4, "after {steps} steps");
        assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
        assert!(
            store.chain(PARTITION, "long").is_ok(),
            "after {steps} steps"
        );
    }
}

/// The settlement stands in a file that is emptied before that of its reservation.
#[test]
fn a_settlement_that_says_no_retention_is_carried_on() {
    let folder = TempDir::new().expect("a folder");
    let limits = StoreLimits {
        segment_bytes: 1,
        ..AMPLE
    };
    let mut store = open(folder.path(), limits, 0);
    let settle = Record::Settle {
        program: "p".to_owned(),
        reservation: 1,
        given: 4,
        keep_ms: 0,
    };
    let first = [reserve(1, 30), turn("long", None)];
    let second = [settle, turn_of_size("short", None, 9_000, 100)];
    store.write(0, here(first)).expect("written");
    store.write(0, here(second)).expect("written");
    store.write(0, here([reserve(2, 7)])).expect("written");
    store.expire(200);
    clean_all(&mut store, 200);
    assert_eq!(segment_files(folder.path()).len(), 3, "the second is gone");
    drop(store);
    let store = open(folder.path(), AMPLE, 200);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
}

#[test]
fn what_is_known_is_not_written_again() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
    let records = || here([reserve(1, 30), turn("a", None), Record::Epoch(2)]);
    store.write(0, records()).expect("written");
    let before = file_bytes(folder.path());
    store.write(1, records()).expect("known");
    assert_eq!(file_bytes(folder.path()), before);
}

#[test]
fn a_turn_that_is_repeated_to_be_kept_longer_is_kept_longer_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
    let keep = |keep_ms| here([turn_of_size("a", None, 10, keep_ms)]);
    store.write(0, keep(5_000)).expect("written");
    store.write(0, keep(50_000)).expect("written");
    drop(store);
    let mut store = open(folder.path(), AMPLE, 20_000);
    assert!(store.chain(PARTITION, "a").is_ok());
}

#[parameterized(
    disk = { 200 * MIB, 8 * MIB },
    memory = { 100 * 1024, 1024 * MIB },
)]
fn a_store_without_room_says_so_before_it_fails(memory_bytes: u64, disk_bytes: u64) {
    let folder = TempDir::new().expect("a folder");
    let limits = StoreLimits {
        memory_bytes,
        disk_bytes: Some(disk_bytes),
        ..AMPLE
    };
    let mut store = open(folder.path(), limits, 0);
    assert!(!store.is_full());
    for number in 0..128 {
        let turn = turn_of_size(&format!("t{number}"), None, 60 * 1024, LONG_MS);
        store.write(0, here([turn])).expect("written");
        store.expire(0);
    }
    assert!(store.is_full());
    assert!(file_bytes(folder.path()) < disk_bytes);
    assert!(store.chain(PARTITION, "t0").is_ok());
}

#[test]
fn a_damaged_turn_is_an_error_and_not_a_missing_one() {
    let folder = TempDir::new().expect("a folder");
    let no_cache = StoreLimits {
        memory_bytes: 0,
        ..AMPLE
    };
    let mut store = open(folder.path(), no_cache, 0);
    store.write(0, here([turn("a", None)])).expect("written");
    let segment = &segment_files(folder.path())[0];
    let bytes = fs::read(segment).expect("read").len();
    fs::write(segment, vec![7; bytes]).expect("damaged");
    let read = store.chain(PARTITION, "a");
    assert!(matches!(read, Err(ReadError::File { .. })), "{read:?}");
}

/// A record as earlier versions wrote it.
#[derive(Serialize)]
struct OldStamped {
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
fn a_folder_of_an_earlier_version_is_read() {
    let folder = TempDir::new().expect("a folder");
    let mut store = open(folder.path(), AMPLE, 0);
    store.write(0, here([reserve(1, 30)])).expect("written");
    drop(store);
    let old = OldStamped {
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
    let path = folder.path().join("records-00000007");
    fs::write(path, frame::encode(&old)).expect("written");
    let store = open(folder.path(), AMPLE, 0);
    assert_eq!(store.reserved(PARTITION, "p")[0].tokens, 4);
}

#[test]
fn the_order_of_a_settlement_and_its_reservation_does_not_matter() {
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
fn an_export_in_pieces_is_the_whole() {
    let from_folder = TempDir::new().expect("a folder");
    let to_folder = TempDir::new().expect("a folder");
    let mut store = open(from_folder.path(), AMPLE, 0);
    for number in 0..20 {
        let records = [reserve(number, 1), turn(&format!("t{number:02}"), None)];
        store.write(0, here(records)).expect("written");
    }
    let mut copy = open(to_folder.path(), AMPLE, 0);
    let mut cursor = Some(ExportCursor::default());
    let mut pages = 0;
    while let Some(from) = cursor {
        let page = store.export(PARTITION, 0, &from, 12).expect("read");
        copy.write(0, here(page.records)).expect("written");
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
        assert_eq!(copied, store.chain(PARTITION, &id).expect("kept"));
    }
    assert_eq!(copy.tables().len(), store.tables().len());
}

#[test]
fn a_turn_is_kept_as_long_as_those_that_go_on_from_it() {
    let mut replica = RecordReplica::default();
    let short = |id: &str, previous: Option<&str>, keep_ms| match turn(id, previous) {
        Record::Keep { turn, .. } => Record::Keep { turn, keep_ms },
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
