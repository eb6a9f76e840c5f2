//! What is on disk after a restart, a torn write and a rewrite.

use std::fs::{self, OpenOptions};
use std::io::Write;

use bytes::Bytes;
use courseshed_records::{
    ChainError, ExportCursor, Journal, PartitionId, PartitionRecord, PartitionTables, Record,
    RecordReplica, Turn,
};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};
use tempfile::TempDir;

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

fn replica_of(tables: &PartitionTables) -> &RecordReplica {
    tables.replica(PARTITION).expect("the partition is known")
}

fn turn(id: &str, previous: Option<&str>) -> Record {
    Record::Keep {
        turn: Turn {
            id: id.to_owned(),
            previous: previous.map(str::to_owned),
            input: Bytes::from_static(b"in"),
            output: Bytes::from_static(b"out"),
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
fn what_was_appended_is_there_again_and_the_incarnation_stays() {
    let folder = TempDir::new().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 5).expect("opens");
    let records = [
        reserve(1, 30),
        turn("a", None),
        turn("b", Some("a")),
        Record::Epoch(3),
    ];
    journal.append(0, &here(records.clone())).expect("written");
    drop(journal);
    let (journal, tables) = Journal::open(folder.path(), 6).expect("opens");
    assert_eq!(journal.incarnation(), 5);
    assert_eq!(replica_of(&tables).epoch(), 3);
    assert_eq!(replica_of(&tables).reserved("p")[0].tokens, 30);
    assert_eq!(replica_of(&tables).chain("b").expect("a chain").len(), 2);
}

#[test]
fn a_torn_end_loses_nothing_before_it_and_nothing_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 5).expect("opens");
    journal
        .append(0, &here([turn("a", None)]))
        .expect("written");
    drop(journal);
    let segment = fs::read_dir(folder.path())
        .expect("listed")
        .filter_map(|entry| Some(entry.ok()?.path()))
        .find(|path| path.to_string_lossy().contains("records-"))
        .expect("a segment");
    let mut file = OpenOptions::new()
        .append(true)
        .open(segment)
        .expect("opens");
    file.write_all(b"CsFr\x10\0\0\0torn").expect("written");
    let (mut journal, tables) = Journal::open(folder.path(), 6).expect("opens");
    assert!(replica_of(&tables).chain("a").is_ok());
    journal
        .append(0, &here([turn("b", Some("a"))]))
        .expect("written");
    drop(journal);
    let (_, tables) = Journal::open(folder.path(), 6).expect("opens");
    assert_eq!(replica_of(&tables).chain("b").expect("a chain").len(), 2);
}

#[test]
fn a_rewrite_keeps_all_that_is_kept() {
    let folder = TempDir::new().expect("a folder");
    let (mut journal, mut tables) = Journal::open(folder.path(), 5).expect("opens");
    let records = [reserve(1, 30), turn("a", None), Record::Epoch(4)];
    journal.append(0, &here(records.clone())).expect("written");
    for entry in here(records) {
        tables.apply(0, entry);
    }
    journal.rewrite(0, &tables).expect("rewritten");
    journal.append(0, &here([reserve(2, 7)])).expect("written");
    drop(journal);
    let (_, restored) = Journal::open(folder.path(), 6).expect("opens");
    assert_eq!(replica_of(&restored).epoch(), 4);
    assert_eq!(replica_of(&restored).reserved("p").len(), 2);
    assert!(replica_of(&restored).chain("a").is_ok());
}

#[test]
fn the_order_of_a_settlement_and_its_reservation_does_not_matter() {
    let settle = Record::Settle {
        program: "p".to_owned(),
        reservation: 1,
        given: 4,
    };
    let mut one = RecordReplica::default();
    let mut other = RecordReplica::default();
    one.apply(0, reserve(1, 30));
    one.apply(0, settle.clone());
    other.apply(0, settle);
    other.apply(0, reserve(1, 30));
    assert_eq!(one.reserved("p"), other.reserved("p"));
    assert_eq!(one.reserved("p")[0].tokens, 4);
}

#[test]
fn an_export_in_pieces_is_the_whole() {
    let mut replica = RecordReplica::default();
    for number in 0..20 {
        replica.apply(0, reserve(number, 1));
        replica.apply(0, turn(&format!("t{number:02}"), None));
    }
    let mut copy = RecordReplica::default();
    let mut cursor = Some(ExportCursor::default());
    let mut pages = 0;
    while let Some(from) = cursor {
        let page = replica.export(0, &from, 12);
        for record in page.records {
            copy.apply(0, record);
        }
        cursor = page.next;
        pages += 1;
    }
    assert!(pages > 3, "{pages} pages");
    assert_eq!(copy, replica);
}

#[test]
fn a_turn_is_kept_as_long_as_those_that_go_on_from_it() {
    let mut replica = RecordReplica::default();
    let short = |id: &str, previous: Option<&str>, keep_ms| match turn(id, previous) {
        Record::Keep { turn, .. } => Record::Keep { turn, keep_ms },
        other => other,
    };
    replica.apply(0, short("a", None, 100));
    replica.apply(90, short("b", Some("a"), 100));
    replica.expire(150);
    assert!(replica.chain("b").is_ok());
    replica.expire(200);
    let missing = ChainError::Missing { id: "b".to_owned() };
    assert_eq!(replica.chain("b"), Err(missing));
}
