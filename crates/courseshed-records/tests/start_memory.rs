//! What a start costs in memory. Alone in its file, since the peak is that of the whole process.

mod support;

use courseshed_records::{PartitionId, PartitionRecord, StoreLimits};
use procfs::process::Process;
use support::{AMPLE, MIB, open, turn_of_size};
use tempfile::TempDir;

const KIB: u64 = 1024;
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
    PartitionRecord {
        partition: PartitionId(0),
        record: turn_of_size(&format!("turn-{number}"), None, TURN_BYTES, 1 << 40),
    }
}

#[test]
fn a_start_holds_neither_a_file_nor_the_turns_in_memory() {
    let folder = TempDir::new().expect("a folder");
    // Without a cache: memory that it gave back would hide what the start takes.
    let limits = StoreLimits {
        memory_bytes: 0,
        ..AMPLE
    };
    let mut store = open(folder.path(), limits, 0);
    let numbers: Vec<usize> = (0..TURNS).collect();
    for batch in numbers.chunks(TURNS_OF_A_BATCH) {
        let records: Vec<_> = batch.iter().map(|number| turn(*number)).collect();
        store.write(0, records).expect("written");
    }
    drop(store);
    let before = peak_memory();
    let store = open(folder.path(), limits, 0);
    let taken = peak_memory() - before;
    assert_eq!(store.tables().len(), TURNS);
    assert!(
        taken <= MOST_OF_A_START,
        "the start took {} KiB for {} KiB of turns",
        taken / KIB,
        (TURNS * TURN_BYTES) as u64 / KIB
    );
}
