//! What a start costs in memory. Alone in its file, since the peak is that of the whole process.

use bytes::Bytes;
use courseshed_records::{Journal, PartitionId, PartitionRecord, Record, Turn};
use procfs::process::Process;
use tempfile::TempDir;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
/// Turns in the journal: 64 MiB of them.
const TURNS: usize = 4096;
const TURN_BYTES: usize = 16 * 1024;
const TURNS_OF_A_BATCH: usize = 64;
/// Most that a start may take beyond what the process had: an index of the turns (some 200 bytes
/// each) and pieces of files, but neither a file nor the turns themselves.
const MOST_OF_A_START: u64 = 12 * MIB;

/// The most memory that this process ever had, in bytes.
fn peak_memory() -> u64 {
    let status = Process::myself().and_then(|process| process.status());
    let peak = status.expect("the process can be read").vmhwm;
    peak.expect("the system tells the peak") * KIB
}

fn turn(number: usize) -> PartitionRecord {
    let turn = Turn {
        id: format!("turn-{number}"),
        previous: None,
        input: Bytes::from(vec![b'i'; TURN_BYTES]),
        output: Bytes::from_static(b"out"),
        cached: None,
    };
    PartitionRecord {
        partition: PartitionId(0),
        record: Record::Keep {
            turn,
            keep_ms: 1 << 40,
        },
    }
}

#[test]
fn a_start_holds_neither_a_file_nor_the_turns_in_memory() {
    let folder = TempDir::new().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 5).expect("opens");
    let numbers: Vec<usize> = (0..TURNS).collect();
    for batch in numbers.chunks(TURNS_OF_A_BATCH) {
        let records: Vec<_> = batch.iter().map(|number| turn(*number)).collect();
        journal.append(0, &records).expect("written");
    }
    drop(journal);
    let before = peak_memory();
    let (_journal, tables) = Journal::open(folder.path(), 6).expect("opens");
    let taken = peak_memory() - before;
    assert_eq!(tables.len(), TURNS);
    assert!(
        taken <= MOST_OF_A_START,
        "the start took {} KiB for {} KiB of turns",
        taken / KIB,
        (TURNS * TURN_BYTES) as u64 / KIB
    );
}
