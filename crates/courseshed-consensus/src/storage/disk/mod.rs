//! A storage in one folder of a disk.
//!
//! Files: `lock`, held while open; `incarnation`, written once; `snapshot`, replaced atomically; and
//! `log`, to which frames are appended and flushed. A compaction writes the snapshot first and then
//! replaces the log, so a crash between the two leaves entries that the snapshot covers: they are
//! skipped.
//!
//! Invariants: nothing is acknowledged before it is flushed; an unfinished frame at the end is cut;
//! damage anywhere else is refused; after a failed write nothing is written until reopened.

mod files;
pub mod frame;

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use super::{DamagedSnafu, FailedSnafu, LockedSnafu};
use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};

const LOCK_FILE: &str = "lock";
const INCARNATION_FILE: &str = "incarnation";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// One write to the log file, whole or not there.
#[derive(Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
    #[serde(default)]
    committed: LogIndex,
}

/// What the log file holds.
#[derive(Default)]
struct LogContent {
    hard_state: HardState,
    entries: Vec<Entry>,
    committed: LogIndex,
    /// Length of the readable part in bytes.
    length: u64,
}

/// A storage in one folder, which it locks.
#[derive(Debug)]
pub struct DiskLog {
    folder: PathBuf,
    incarnation: u64,
    log: File,
    committed: LogIndex,
    failed: bool,
    _lock: File,
}

impl DiskLog {
    /// Opens a folder, or makes it. A new folder belongs to the incarnation given; an existing one
    /// keeps its own.
    ///
    /// A replica whose folder was lost must get an incarnation here that it never had before.
    ///
    /// # Errors
    /// [`StorageError`] when the folder is in use, can't be written, or is damaged.
    pub fn open(folder: impl Into<PathBuf>, incarnation_if_new: u64) -> Result<Self, StorageError> {
        let folder = folder.into();
        files::create_folder(&folder)?;
        let lock = lock(&folder.join(LOCK_FILE))?;
        for name in [INCARNATION_FILE, SNAPSHOT_FILE, LOG_FILE] {
            files::remove_unfinished(&folder.join(name))?;
        }
        let incarnation = open_incarnation(&folder, incarnation_if_new)?;
        let log = open_log(&folder)?;
        Ok(Self {
            folder,
            incarnation,
            log,
            committed: LogIndex(0),
            failed: false,
            _lock: lock,
        })
    }

    /// Whether a folder holds a log, whole or not.
    #[must_use]
    pub fn is_kept_in(folder: &Path) -> bool {
        let files = [INCARNATION_FILE, SNAPSHOT_FILE, LOG_FILE];
        files.iter().any(|name| folder.join(name).exists())
    }

    /// The incarnation that this folder belongs to.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The folder.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Runs a write; after a failed one, refuses all others.
    fn guarded(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedSnafu);
        let written = write(self);
        self.failed = written.is_err();
        written
    }

    fn read_snapshot(&self) -> Result<Option<Snapshot>, StorageError> {
        read_whole(&self.path(SNAPSHOT_FILE))
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        files::replace(&self.path(SNAPSHOT_FILE), &frame::encode(snapshot))
    }

    /// Replaces the log by one that holds only this.
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
        self.log = open_log(&self.folder)?;
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
        files::at(self.log.set_len(content.length), "cut", &path)?;
        files::at(self.log.sync_all(), "flush", &path)?;
        files::at(self.log.seek(SeekFrom::End(0)), "seek in", &path)?;
        self.committed = content.committed;
        let covered = snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.metadata.index);
        let entries = after(content.entries, covered);
        check_joined(&path, covered, &entries)?;
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
        self.guarded(|disk| {
            let path = disk.path(LOG_FILE);
            files::at(disk.log.write_all(&frame), "write", &path)?;
            files::at(disk.log.sync_data(), "flush", &path)
        })
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.guarded(|disk| {
            let hard_state = disk.read_log()?.hard_state;
            disk.write_snapshot(snapshot)?;
            disk.replace_log(hard_state, Vec::new())
        })
    }

    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError> {
        self.guarded(|disk| {
            let content = disk.read_log()?;
            disk.write_snapshot(snapshot)?;
            let entries = after(content.entries, first_kept.previous());
            disk.replace_log(content.hard_state, entries)
        })
    }
}

fn lock(path: &Path) -> Result<File, StorageError> {
    let file = files::at(File::create(path), "create", path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(error)) => files::at(Err(error), "lock", path),
    }
}

fn open_incarnation(folder: &Path, incarnation_if_new: u64) -> Result<u64, StorageError> {
    let path = folder.join(INCARNATION_FILE);
    if let Some(incarnation) = read_whole(&path)? {
        return Ok(incarnation);
    }
    let has_content = folder.join(LOG_FILE).exists() || folder.join(SNAPSHOT_FILE).exists();
    let reason = "there is a log but not the incarnation it belongs to";
    ensure!(
        !has_content,
        DamagedSnafu {
            path,
            offset: 0_u64,
            reason
        }
    );
    files::replace(&path, &frame::encode(&incarnation_if_new))?;
    Ok(incarnation_if_new)
}

fn open_log(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOG_FILE);
    let mut options = OpenOptions::new();
    options.read(true).append(true).create(true);
    let log = files::at(options.open(&path), "open", &path)?;
    files::flush_folder(folder)?;
    Ok(log)
}

/// Reads a file of one frame; none if there is no file.
fn read_whole<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let Some(bytes) = files::read(path)? else {
        return Ok(None);
    };
    let payload = frame::split(&bytes).map_err(|bad| bad.reason().to_owned());
    let value = payload.and_then(|(payload, _)| frame::decode(payload));
    value.map(Some).or_else(|reason| {
        DamagedSnafu {
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
            Err(_) if !frame::any_in(&rest[1..]) => break,
            Err(bad) => {
                let reason = bad.reason();
                return DamagedSnafu {
                    path,
                    offset: offset as u64,
                    reason,
                }
                .fail();
            }
        };
        let record = frame::decode(payload).map_err(|reason| {
            DamagedSnafu {
                path,
                offset: offset as u64,
                reason,
            }
            .build()
        })?;
        content.take(record).with_context(|| DamagedSnafu {
            path,
            offset: offset as u64,
            reason: "entries are missing before this record",
        })?;
        offset += size;
    }
    content.length = offset as u64;
    Ok(content)
}

impl LogContent {
    /// Takes in a record; none if its entries don't follow those before.
    fn take(&mut self, record: Record) -> Option<()> {
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        self.committed = self.committed.max(record.committed);
        for entry in record.entries {
            self.entries.truncate(self.position(entry.index)?);
            self.entries.push(entry);
        }
        Some(())
    }

    /// Where an entry with this index belongs; none if there would be a gap.
    fn position(&self, index: LogIndex) -> Option<usize> {
        let Some(first) = self.entries.first() else {
            return Some(0);
        };
        let position = index.0.saturating_sub(first.index.0) as usize;
        (position <= self.entries.len()).then_some(position)
    }
}

fn after(entries: Vec<Entry>, index: LogIndex) -> Vec<Entry> {
    entries
        .into_iter()
        .filter(|entry| entry.index > index)
        .collect()
}

/// Checks that the entries start where the snapshot ends.
fn check_joined(path: &Path, covered: LogIndex, entries: &[Entry]) -> Result<(), StorageError> {
    let is_joined = entries
        .first()
        .is_none_or(|entry| entry.index == covered.next());
    let reason = "entries are missing between the snapshot and the log";
    ensure!(
        is_joined,
        DamagedSnafu {
            path,
            offset: 0_u64,
            reason
        }
    );
    Ok(())
}
