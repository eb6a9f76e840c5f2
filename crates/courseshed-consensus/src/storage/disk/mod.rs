//! Log storage in a directory on disk.
//!
//! Files: `lock`, held while open; `incarnation`, written once; `snapshot`, replaced atomically; and
//! `log`, to which frames are appended and flushed. A compaction writes the snapshot and then
//! replaces the log. A crash between the two leaves log entries that the snapshot covers; loading
//! skips them.
//!
//! Invariants: writes are flushed before they are acknowledged; an incomplete frame at the end of the
//! log is truncated; corruption anywhere else is an error; after a failed write all later writes fail
//! until the storage is reopened.

mod files;
pub mod frame;

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use super::{CorruptedSnafu, FailedSnafu, LockedSnafu};
use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};

const LOCK_FILE: &str = "lock";
const INCARNATION_FILE: &str = "incarnation";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// One atomic write to the log file.
#[derive(Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
    #[serde(default)]
    committed: LogIndex,
}

/// The content of the log file.
#[derive(Default)]
struct LogContent {
    hard_state: HardState,
    entries: Vec<Entry>,
    committed: LogIndex,
    /// Length of the valid part in bytes.
    length: u64,
}

/// Log storage in a directory, locked for exclusive use.
#[derive(Debug)]
pub struct DiskLog {
    directory: PathBuf,
    incarnation: u64,
    log: File,
    committed: LogIndex,
    failed: bool,
    _lock: File,
}

impl DiskLog {
    /// Opens a storage directory, creating it if missing. A new directory is assigned the given
    /// incarnation; an existing one keeps its own.
    ///
    /// A replica whose directory was lost must be given an incarnation that it never used before.
    ///
    /// # Errors
    /// [`StorageError`] if the directory is in use, not writable, or corrupted.
    pub fn open(
        directory: impl Into<PathBuf>,
        initial_incarnation: u64,
    ) -> Result<Self, StorageError> {
        let directory = directory.into();
        files::create_directory(&directory)?;
        let lock = lock(&directory.join(LOCK_FILE))?;
        for name in [INCARNATION_FILE, SNAPSHOT_FILE, LOG_FILE] {
            files::remove_temporary(&directory.join(name))?;
        }
        let incarnation = open_incarnation(&directory, initial_incarnation)?;
        let log = open_log(&directory)?;
        Ok(Self {
            directory,
            incarnation,
            log,
            committed: LogIndex(0),
            failed: false,
            _lock: lock,
        })
    }

    /// Whether a directory contains any file of a log storage.
    #[must_use]
    pub fn is_kept_in(directory: &Path) -> bool {
        let files = [INCARNATION_FILE, SNAPSHOT_FILE, LOG_FILE];
        files.iter().any(|name| directory.join(name).exists())
    }

    /// The incarnation stored in this directory.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Path of the directory.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Runs a write, unless an earlier one failed.
    fn run_write(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedSnafu);
        let written = write(self);
        self.failed = written.is_err();
        written
    }

    fn read_snapshot(&self) -> Result<Option<Snapshot>, StorageError> {
        read_single_frame(&self.path(SNAPSHOT_FILE))
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        files::replace(&self.path(SNAPSHOT_FILE), &frame::encode(snapshot))
    }

    /// Replaces the log with a single record.
    fn replace_log(
        &mut self,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), StorageError> {
        let path = self.path(LOG_FILE);
        let record = Record {
            hard_state: Some(hard_state),
            entries,
            committed: self.committed,
        };
        files::replace(&path, &frame::encode(&record))?;
        self.log = open_log(&self.directory)?;
        Ok(())
    }

    fn read_log(&self) -> Result<LogContent, StorageError> {
        let path = self.path(LOG_FILE);
        let bytes = files::read(&path)?.unwrap_or_default();
        parse_log(&path, &bytes)
    }
}

impl LogStorage for DiskLog {
    fn load(&mut self) -> Result<Restored, StorageError> {
        let path = self.path(LOG_FILE);
        let snapshot = self.read_snapshot()?;
        let content = self.read_log()?;
        files::with_context(self.log.set_len(content.length), "truncate", &path)?;
        files::with_context(self.log.sync_all(), "flush", &path)?;
        files::with_context(self.log.seek(SeekFrom::End(0)), "seek in", &path)?;
        self.committed = content.committed;
        let covered = snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.metadata.index);
        let entries = entries_after(content.entries, covered);
        check_contiguous(&path, covered, &entries)?;
        Ok(Restored {
            incarnation: Some(self.incarnation),
            hard_state: content.hard_state,
            snapshot,
            entries,
            committed: content.committed,
        })
    }

    fn note_committed(&mut self, index: LogIndex) {
        self.committed = index;
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let frame = frame::encode(&Record {
            hard_state: hard_state.copied(),
            entries: entries.to_vec(),
            committed: self.committed,
        });
        self.run_write(|disk| {
            let path = disk.path(LOG_FILE);
            files::with_context(disk.log.write_all(&frame), "write", &path)?;
            files::with_context(disk.log.sync_data(), "flush", &path)
        })
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_write(|disk| {
            let hard_state = disk.read_log()?.hard_state;
            disk.write_snapshot(snapshot)?;
            disk.replace_log(hard_state, Vec::new())
        })
    }

    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError> {
        self.run_write(|disk| {
            let content = disk.read_log()?;
            disk.write_snapshot(snapshot)?;
            let entries = entries_after(content.entries, first_kept.previous());
            disk.replace_log(content.hard_state, entries)
        })
    }
}

fn lock(path: &Path) -> Result<File, StorageError> {
    let file = files::with_context(File::create(path), "create", path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(error)) => files::with_context(Err(error), "lock", path),
    }
}

fn open_incarnation(directory: &Path, initial_incarnation: u64) -> Result<u64, StorageError> {
    let path = directory.join(INCARNATION_FILE);
    if let Some(incarnation) = read_single_frame(&path)? {
        return Ok(incarnation);
    }
    let has_content = directory.join(LOG_FILE).exists() || directory.join(SNAPSHOT_FILE).exists();
    let reason = "log or snapshot exists but the incarnation file is missing";
    ensure!(
        !has_content,
        CorruptedSnafu {
            path,
            offset: 0_u64,
            reason
        }
    );
    files::replace(&path, &frame::encode(&initial_incarnation))?;
    Ok(initial_incarnation)
}

fn open_log(directory: &Path) -> Result<File, StorageError> {
    let path = directory.join(LOG_FILE);
    let mut options = OpenOptions::new();
    options.read(true).append(true).create(true);
    let log = files::with_context(options.open(&path), "open", &path)?;
    files::flush_directory(directory)?;
    Ok(log)
}

/// Reads a file that consists of one frame; `None` if it doesn't exist.
fn read_single_frame<T: serde::de::DeserializeOwned>(
    path: &Path,
) -> Result<Option<T>, StorageError> {
    let Some(bytes) = files::read(path)? else {
        return Ok(None);
    };
    let payload = frame::split(&bytes).map_err(|bad| bad.reason().to_owned());
    let value = payload.and_then(|(payload, _)| frame::decode(payload));
    value.map(Some).or_else(|reason| {
        CorruptedSnafu {
            path,
            offset: 0_u64,
            reason,
        }
        .fail()
    })
}

fn parse_log(path: &Path, bytes: &[u8]) -> Result<LogContent, StorageError> {
    let mut content = LogContent::default();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let (payload, size) = match frame::split(rest) {
            Ok(frame) => frame,
            Err(_) if !frame::contains_frame(&rest[1..]) => break,
            Err(bad) => {
                let reason = bad.reason();
                return CorruptedSnafu {
                    path,
                    offset: offset as u64,
                    reason,
                }
                .fail();
            }
        };
        let record = frame::decode(payload).map_err(|reason| {
            CorruptedSnafu {
                path,
                offset: offset as u64,
                reason,
            }
            .build()
        })?;
        content.apply(record).with_context(|| CorruptedSnafu {
            path,
            offset: offset as u64,
            reason: "gap in the log before this record",
        })?;
        offset += size;
    }
    content.length = offset as u64;
    Ok(content)
}

impl LogContent {
    /// Applies a record; `None` if its entries would leave a gap.
    fn apply(&mut self, record: Record) -> Option<()> {
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        self.committed = self.committed.max(record.committed);
        for entry in record.entries {
            self.entries.truncate(self.position(entry.index)?);
            self.entries.push(entry);
        }
        Some(())
    }

    /// Position for an entry with this index; `None` if it would leave a gap.
    fn position(&self, index: LogIndex) -> Option<usize> {
        let Some(first) = self.entries.first() else {
            return Some(0);
        };
        let position = index.0.saturating_sub(first.index.0) as usize;
        (position <= self.entries.len()).then_some(position)
    }
}

fn entries_after(entries: Vec<Entry>, index: LogIndex) -> Vec<Entry> {
    entries
        .into_iter()
        .filter(|entry| entry.index > index)
        .collect()
}

/// Checks that there is no gap between the snapshot and the first entry.
fn check_contiguous(path: &Path, covered: LogIndex, entries: &[Entry]) -> Result<(), StorageError> {
    let is_contiguous = entries
        .first()
        .is_none_or(|entry| entry.index == covered.next());
    let reason = "gap between the snapshot and the log";
    ensure!(
        is_contiguous,
        CorruptedSnafu {
            path,
            offset: 0_u64,
            reason
        }
    );
    Ok(())
}
