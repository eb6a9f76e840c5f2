//! What the tests of stores share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use courseshed_records::{Record, RecordStore, StoreLimits, Turn};

/// Bytes of a mebibyte.
pub const MIB: u64 = 1024 * 1024;
/// More than any of the tests needs.
pub const AMPLE: StoreLimits = StoreLimits {
    memory_bytes: 256 * MIB,
    disk_bytes: Some(1024 * MIB),
    segment_bytes: 4 * MIB,
};

/// Opens a folder.
pub fn open(folder: &Path, limits: StoreLimits, now_ms: u64) -> RecordStore {
    RecordStore::open(folder, 5, limits, now_ms).expect("opens")
}

/// Cleans until nothing is left to clean.
pub fn clean_all(store: &mut RecordStore, now_ms: u64) {
    while store.clean(now_ms).expect("cleans") {}
}

/// A turn with an input of some size.
pub fn turn_of_size(id: &str, previous: Option<&str>, size: usize, keep_ms: u64) -> Record {
    let turn = Turn {
        id: id.to_owned(),
        previous: previous.map(str::to_owned),
        input: Bytes::from(vec![b'i'; size]),
        output: Bytes::from_static(b"out"),
        cached: None,
        tenant: None,
    };
    Record::Keep { turn, keep_ms }
}

/// The segments of a folder, the oldest first.
pub fn segment_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("listed");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("listed").path())
        .filter(|path| path.to_string_lossy().contains("records-"))
        .collect();
    paths.sort();
    paths
}

/// Size of all segments of a folder, in bytes.
pub fn file_bytes(folder: &Path) -> u64 {
    let files = segment_files(folder).into_iter();
    files
        .map(|path| fs::metadata(path).expect("measured").len())
        .sum()
}
