//! The disk of a replica: records in files of checksummed frames, flushed before they are acknowledged.
//!
//! A torn end of any file is passed over: what was acknowledged stands before it. When the files have
//! grown well beyond what is kept, one new file with all of it takes their place.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use courseshed_consensus::frame;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{ExportCursor, PartitionRecord, PartitionTables, Record};

const IDENTITY_FILE: &str = "identity";
const SEGMENT_PREFIX: &str = "records-";
/// Files are made anew once they hold this many times what is kept, and at least `REWRITE_MIN_BYTES`.
const REWRITE_FACTOR: u64 = 3;
const REWRITE_MIN_BYTES: u64 = 48 * 1024 * 1024;

/// A file of the journal can't be used.
#[derive(Debug, Snafu)]
#[snafu(display("can't {operation} {}: {source}", path.display()))]
pub struct JournalError {
    /// What was tried.
    operation: &'static str,
    /// On which file.
    path: PathBuf,
    /// What the system said.
    source: io::Error,
}

#[derive(Deserialize)]
struct Stamped {
    at_ms: u64,
    entry: PartitionRecord,
}

/// A [`Stamped`] to be written.
#[derive(Serialize)]
struct StampedRef<'a> {
    at_ms: u64,
    entry: &'a PartitionRecord,
}

#[derive(Serialize, Deserialize)]
struct Identity {
    incarnation: u64,
}

/// The open journal of one replica.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    incarnation: u64,
    segment: Option<File>,
    segment_number: u64,
    bytes: u64,
    written_since_rewrite: u64,
}

impl Journal {
    /// Opens the journal in a folder and reads what is kept there. An empty folder becomes that of
    /// `incarnation_if_new`.
    ///
    /// # Errors
    /// [`JournalError`] when the folder can't be read or written.
    pub fn open(
        folder: impl Into<PathBuf>,
        incarnation_if_new: u64,
    ) -> Result<(Self, PartitionTables), JournalError> {
        let folder = folder.into();
        at(fs::create_dir_all(&folder), "create", &folder)?;
        let incarnation = read_identity(&folder, incarnation_if_new)?;
        let mut tables = PartitionTables::default();
        let mut bytes = 0;
        let numbers = segment_numbers(&folder)?;
        for number in &numbers {
            bytes += read_segment(&segment_path(&folder, *number), &mut tables)?;
        }
        let journal = Self {
            folder,
            incarnation,
            segment: None,
            segment_number: numbers.last().copied().unwrap_or(0),
            bytes,
            written_since_rewrite: 0,
        };
        Ok((journal, tables))
    }

    /// The life of this disk.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Size of the files, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes records and flushes them. After an error the next call begins a new file.
    ///
    /// # Errors
    /// [`JournalError`]: some of the records may be on disk, none may be acknowledged.
    pub fn append(&mut self, at_ms: u64, records: &[PartitionRecord]) -> Result<(), JournalError> {
        let mut content = Vec::new();
        for entry in records {
            let stamped = StampedRef { at_ms, entry };
            content.extend_from_slice(&frame::encode(&stamped));
        }
        let written = self.write(&content);
        if written.is_err() {
            self.segment = None;
        }
        written
    }

    /// Whether the files have grown well beyond what is kept.
    #[must_use]
    pub fn wants_rewrite(&self) -> bool {
        let grown = self.bytes > REWRITE_FACTOR * (self.bytes - self.written_since_rewrite);
        grown && self.written_since_rewrite > REWRITE_MIN_BYTES
    }

    /// Replaces all files by one with what is kept.
    ///
    /// # Errors
    /// [`JournalError`]: the old files stand.
    pub fn rewrite(&mut self, at_ms: u64, tables: &PartitionTables) -> Result<(), JournalError> {
        let old = segment_numbers(&self.folder)?;
        self.segment = None;
        self.bytes = 0;
        for (partition, replica) in tables.replicas() {
            let whole = replica.export(at_ms, &ExportCursor::default(), usize::MAX);
            let epoch = Record::Epoch(replica.epoch());
            let records = whole.records.into_iter().chain([epoch]);
            let entries: Vec<PartitionRecord> = records
                .map(|record| PartitionRecord { partition, record })
                .collect();
            self.append(at_ms, &entries)?;
        }
        for number in old {
            let path = segment_path(&self.folder, number);
            at(fs::remove_file(&path), "remove", &path)?;
        }
        self.written_since_rewrite = 0;
        at(flush_folder(&self.folder), "flush", &self.folder)
    }

    fn write(&mut self, content: &[u8]) -> Result<(), JournalError> {
        let path = segment_path(&self.folder, self.segment_number);
        if self.segment.is_none() {
            self.begin_segment()?;
        }
        if let Some(segment) = &mut self.segment {
            at(segment.write_all(content), "write", &path)?;
            at(segment.sync_data(), "flush", &path)?;
        }
        self.bytes += content.len() as u64;
        self.written_since_rewrite += content.len() as u64;
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), JournalError> {
        let number = self.segment_number + 1;
        let path = segment_path(&self.folder, number);
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = at(file, "create", &path)?;
        at(file.sync_all(), "flush", &path)?;
        at(flush_folder(&self.folder), "flush", &self.folder)?;
        self.segment = Some(file);
        self.segment_number = number;
        Ok(())
    }
}

fn read_identity(folder: &Path, incarnation_if_new: u64) -> Result<u64, JournalError> {
    let path = folder.join(IDENTITY_FILE);
    let kept = match fs::read(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        content => {
            let content = at(content, "read", &path)?;
            let payload = frame::split(&content).ok();
            payload.and_then(|(payload, _)| frame::decode::<Identity>(payload).ok())
        }
    };
    if let Some(identity) = kept {
        return Ok(identity.incarnation);
    }
    // Without a whole identity nothing was ever acknowledged from this folder.
    for number in segment_numbers(folder)? {
        let segment = segment_path(folder, number);
        at(fs::remove_file(&segment), "remove", &segment)?;
    }
    let identity = Identity {
        incarnation: incarnation_if_new,
    };
    let mut file = at(File::create(&path), "create", &path)?;
    at(file.write_all(&frame::encode(&identity)), "write", &path)?;
    at(file.sync_all(), "flush", &path)?;
    at(flush_folder(folder), "flush", folder)?;
    Ok(incarnation_if_new)
}

fn read_segment(path: &Path, tables: &mut PartitionTables) -> Result<u64, JournalError> {
    let content = at(fs::read(path), "read", path)?;
    let mut rest = content.as_slice();
    while let Ok((payload, size)) = frame::split(rest) {
        let Ok(stamped) = frame::decode::<Stamped>(payload) else {
            break;
        };
        tables.apply(stamped.at_ms, stamped.entry);
        rest = &rest[size..];
    }
    if !rest.is_empty() {
        log::warn!(file:% = path.display(), bytes = rest.len(); "passed over a torn end");
    }
    Ok(content.len() as u64)
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:08}"))
}

fn segment_numbers(folder: &Path) -> Result<Vec<u64>, JournalError> {
    let mut numbers = Vec::new();
    for entry in at(fs::read_dir(folder), "list", folder)? {
        let name = at(entry, "list", folder)?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn flush_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn at<T>(result: io::Result<T>, operation: &'static str, path: &Path) -> Result<T, JournalError> {
    result.context(JournalSnafu { operation, path })
}
