//! Memory and disk usage stay constant under steady load for ten retention periods of simulated
//! time. A separate test binary, since it measures the memory of the process.

mod support;

use courseshed_records::{PartitionId, PartitionRecord, Record, RecordStore, StoreLimits};
use procfs::process::Process;
use support::{MIB, open, turn_of_size};
use tempfile::TempDir;

/// Limits of a small machine.
fn limits() -> StoreLimits {
    StoreLimits::for_machine(130 * MIB, Some(370 * MIB))
}

const RETENTION_S: u64 = 75;
const RETENTIONS: u64 = 10;
/// New programs per second. Each makes one turn per second.
const PROGRAMS_PER_SECOND: u64 = 10;
const TURNS_PER_PROGRAM: u64 = 12;
const TURN_BYTES: usize = 6 * 1024;
/// Tolerance for allocator behavior and measurement time, in bytes.
const MEMORY_TOLERANCE: u64 = 6 * MIB;
/// Maximum ratio of file size to live bytes. Compaction alone permits four, but under steady load
/// most segments are young.
const MAX_FILE_TO_LIVE_RATIO: u64 = 3;
/// Limit for the resident memory: the cache, the index, one compaction step and the test itself.
const MAX_MEMORY: u64 = 40 * MIB;

fn resident_memory() -> u64 {
    let status = Process::myself().and_then(|process| process.status());
    status
        .expect("process status")
        .vmrss
        .expect("resident memory")
        * 1024
}

/// The records written by all running programs in one second.
fn records_of_second(second: u64) -> Vec<PartitionRecord> {
    let mut records = Vec::new();
    for age in 0..TURNS_PER_PROGRAM.min(second + 1) {
        for number in 0..PROGRAMS_PER_SECOND {
            let program = format!("program-{}-{number}", second - age);
            let id = |turn: u64| format!("{program}-turn-{turn}");
            let keep_ms = RETENTION_S * 1000;
            let previous = age.checked_sub(1).map(id);
            let reserve = Record::Reserve {
                program: program.clone(),
                reservation: age,
                most: 100,
                keep_ms,
            };
            let settle = Record::Settle {
                program: program.clone(),
                reservation: age,
                given: 40,
                keep_ms,
            };
            let keep = turn_of_size(&id(age), previous.as_deref(), TURN_BYTES, keep_ms);
            let partition = PartitionId::of_program(&program);
            let entries = [reserve, settle, keep].into_iter();
            records.extend(entries.map(|record| PartitionRecord { partition, record }));
        }
    }
    records
}

/// One second of load, expiry and compaction, as in production.
fn run_second(store: &mut RecordStore, second: u64) {
    let now_ms = second * 1000;
    store
        .write(now_ms, records_of_second(second))
        .expect("written");
    store.expire(now_ms);
    while store.compact(now_ms).expect("compacted") {}
    if second >= TURNS_PER_PROGRAM {
        let program = format!("program-{}-0", second + 1 - TURNS_PER_PROGRAM);
        let last = format!("{program}-turn-{}", TURNS_PER_PROGRAM - 1);
        let chain = store.chain(PartitionId::of_program(&program), &last);
        assert_eq!(chain.expect("stored chain").len() as u64, TURNS_PER_PROGRAM);
    }
}

#[test]
fn memory_and_file_sizes_are_constant_under_steady_load() {
    let dir = TempDir::new().expect("temp dir");
    let mut store = open(dir.path(), limits(), 0);
    let mut memory = Vec::new();
    for retention in 0..RETENTIONS {
        for second in retention * RETENTION_S..(retention + 1) * RETENTION_S {
            run_second(&mut store, second);
        }
        memory.push(resident_memory());
        let figures = store.stats();
        assert!(
            figures.file_bytes <= figures.live_bytes * MAX_FILE_TO_LIVE_RATIO,
            "{figures:?}"
        );
        // A reopened store reports the same figures.
        let now_ms = (retention + 1) * RETENTION_S * 1000 - 1000;
        drop(store);
        store = open(dir.path(), limits(), now_ms);
        let restored = store.stats();
        assert_eq!(restored.turns, figures.turns);
        assert_eq!(restored.reservations, figures.reservations);
        assert_eq!(restored.live_bytes, figures.live_bytes);
    }
    // The first retention period fills the store, so it is excluded.
    let (least, most) = (memory[1..].iter().min(), memory[1..].iter().max());
    let (least, most) = (*least.expect("measured"), *most.expect("measured"));
    assert!(most - least <= MEMORY_TOLERANCE, "{memory:?}");
    assert!(most <= MAX_MEMORY, "{memory:?}");
}
