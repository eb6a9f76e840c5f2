//! Helpers shared by the store tests.

#![allow(dead_code, reason = "each test binary uses a subset")]

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use courseshed_records::{Record, RecordStore, StoreLimits, Turn};

/// Bytes per mebibyte.
pub const MIB: u64 = 1024 * 1024;
/// Limits that no test reaches.
pub const AMPLE: StoreLimits = StoreLimits {
    memory_bytes: 256 * MIB,
    disk_bytes: Some(1024 * MIB),
    segment_bytes: 4 * MIB,
};

/// Opens a store.
pub fn open(dir: &Path, limits: StoreLimits, now_ms: u64) -> RecordStore {
    RecordStore::open(dir, 5, limits, now_ms).expect("opens")
}

/// Compacts until there is nothing left to compact.
pub fn compact_all(store: &mut RecordStore, now_ms: u64) {
    while store.compact(now_ms).expect("compacted") {}
}

/// A turn with an input of the given size.
pub fn turn_of_size(id: &str, previous: Option<&str>, size: usize, keep_ms: u64) -> Record {
    let turn = Turn {
        id: id.to_owned(),
        previous: previous.map(str::to_owned),
        input: Bytes::from(vec![b'i'; size]),
        output: Bytes::from_static(b"out"),
        cached: None,
        tenant: None,
        allowed_regions: Vec::new(),
    };
    Record::StoreTurn { turn, keep_ms }
}

/// The segment files of a directory, the oldest first.
pub fn segment_files(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("listed");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("listed").path())
        .filter(|path| path.to_string_lossy().contains("records-"))
        .collect();
    paths.sort();
    paths
}

/// Total size of the segment files of a directory in bytes.
pub fn file_bytes(dir: &Path) -> u64 {
    let files = segment_files(dir).into_iter();
    files
        .map(|path| fs::metadata(path).expect("measured").len())
        .sum()
}
