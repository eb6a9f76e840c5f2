//! Memory used by opening a store. A separate test binary, since it measures the peak of the
//! process.

mod support;

use courseshed_records::{PartitionId, PartitionRecord, StoreLimits};
use procfs::process::Process;
use support::{AMPLE, MIB, open, turn_of_size};
use tempfile::TempDir;

const KIB: u64 = 1024;
/// Number of stored turns, 64 MiB in total.
const TURNS: usize = 4096;
const TURN_BYTES: usize = 16 * 1024;
const TURNS_PER_BATCH: usize = 64;
/// Limit for the memory taken by opening a store: an index of some 200 bytes per turn and read
/// buffers, but neither whole files nor the contents of turns.
const MAX_OPEN_BYTES: u64 = 12 * MIB;

/// Peak resident memory of this process in bytes.
fn peak_memory() -> u64 {
    let status = Process::myself().and_then(|process| process.status());
    let peak = status.expect("process status").vmhwm;
    peak.expect("peak resident memory") * KIB
}

fn turn(number: usize) -> PartitionRecord {
    PartitionRecord {
        partition: PartitionId(0),
        record: turn_of_size(&format!("turn-{number}"), None, TURN_BYTES, 1 << 40),
    }
}

#[test]
fn opening_a_store_loads_neither_files_nor_turns_into_memory() {
    let dir = TempDir::new().expect("temp dir");
    // Without a cache, whose freed memory would mask what opening the store takes.
    let limits = StoreLimits {
        memory_bytes: 0,
        ..AMPLE
    };
    let mut store = open(dir.path(), limits, 0);
    let numbers: Vec<usize> = (0..TURNS).collect();
    for batch in numbers.chunks(TURNS_PER_BATCH) {
        let records: Vec<_> = batch.iter().map(|number| turn(*number)).collect();
        store.write(0, records).expect("written");
    }
    drop(store);
    let before = peak_memory();
    let store = open(dir.path(), limits, 0);
    let taken = peak_memory() - before;
    assert_eq!(store.tables().len(), TURNS);
    assert!(
        taken <= MAX_OPEN_BYTES,
        "opening took {} KiB for {} KiB of turns",
        taken / KIB,
        (TURNS * TURN_BYTES) as u64 / KIB
    );
}
