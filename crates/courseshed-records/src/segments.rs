//! Append-only segment files of a store, which contain checksummed frames.
//!
//! Only the newest segment is written to, and segments are deleted as a whole. A torn frame at the
//! end of a segment is skipped on start: acknowledged records precede it. Segments are read with a
//! buffer of fixed size.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use courseshed_consensus::frame;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{Location, PartitionRecord, Record, SegmentNumber, Turn};

const IDENTITY_FILE: &str = "identity";
const SEGMENT_PREFIX: &str = "records-";
/// Buffer size for reading segments on start.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// An operation on a file of a store failed.
#[derive(Debug, Snafu)]
#[snafu(display("failed to {operation} {}: {source}", path.display()))]
pub struct JournalError {
    /// The failed operation.
    operation: &'static str,
    /// The file or directory.
    path: PathBuf,
    /// The error of the operating system.
    source: io::Error,
}

/// A record with the wall-clock time at which it was written.
#[derive(Debug, Deserialize)]
pub(crate) struct TimestampedRecord {
    /// Time of the write in Unix milliseconds.
    pub at_ms: u64,
    /// The record.
    pub entry: PartitionRecord,
}

/// Borrowed form of [`TimestampedRecord`] for encoding.
#[derive(Serialize)]
struct TimestampedRecordRef<'a> {
    at_ms: u64,
    entry: &'a PartitionRecord,
}

#[derive(Serialize, Deserialize)]
struct Identity {
    incarnation: u64,
}

#[derive(Debug)]
struct Segment {
    file: File,
    bytes: u64,
}

/// The open segment files of a store.
#[derive(Debug)]
pub(crate) struct Segments {
    dir: PathBuf,
    incarnation: u64,
    segments: BTreeMap<SegmentNumber, Segment>,
    /// The segment that is appended to. `None` before the first write of this process and after a
    /// failed write.
    active: Option<SegmentNumber>,
    segment_bytes: u64,
}

impl Segments {
    /// Opens the segments of a directory and passes their records to `on_record` in file order. An
    /// empty directory is assigned `new_incarnation`. A new segment is due after `segment_bytes`.
    ///
    /// # Errors
    /// [`JournalError`] if the directory cannot be read or written.
    pub(crate) fn open(
        dir: PathBuf,
        new_incarnation: u64,
        segment_bytes: u64,
        mut on_record: impl FnMut(TimestampedRecord, Location),
    ) -> Result<Self, JournalError> {
        with_path(fs::create_dir_all(&dir), "create", &dir)?;
        let incarnation = read_identity(&dir, new_incarnation)?;
        let mut segments = BTreeMap::new();
        for number in segment_numbers(&dir)? {
            let path = segment_path(&dir, number);
            let file = with_path(File::open(&path), "open", &path)?;
            let bytes = with_path(file.metadata(), "stat", &path)?.len();
            let valid_bytes = read_segment(&file, &path, number, bytes, &mut on_record)?;
            if valid_bytes < bytes {
                log::warn!(event = "torn_end", file:% = path.display(), whole_bytes = valid_bytes, passed_over_bytes = bytes - valid_bytes; "skipped an incomplete record at the end of a segment");
            }
            segments.insert(number, Segment { file, bytes });
        }
        Ok(Self {
            dir,
            incarnation,
            segments,
            active: None,
            segment_bytes,
        })
    }

    /// Incarnation of the disk.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Total size of the segments in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.bytes).sum()
    }

    /// Segments that are no longer appended to, with their sizes in bytes.
    pub(crate) fn sealed(&self) -> impl Iterator<Item = (SegmentNumber, u64)> {
        let sealed = self.segments.iter();
        sealed
            .filter(|(number, _)| Some(**number) != self.active)
            .map(|(number, segment)| (*number, segment.bytes))
    }

    /// Number of segments.
    pub(crate) fn count(&self) -> usize {
        self.segments.len()
    }

    /// Whether the next write requires a new segment, see [`Self::start_segment`].
    pub(crate) fn needs_new_segment(&self) -> bool {
        let active = self.active.and_then(|active| self.segments.get(&active));
        active.is_none_or(|active| active.bytes >= self.segment_bytes)
    }

    /// Starts a new segment and writes its initial records.
    ///
    /// # Errors
    /// [`JournalError`]: there is no segment to append to.
    pub(crate) fn start_segment(
        &mut self,
        at_ms: u64,
        initial_records: &[PartitionRecord],
    ) -> Result<(), JournalError> {
        self.active = None;
        let newest = self.segments.last_key_value();
        let number = SegmentNumber(newest.map_or(0, |(newest, _)| newest.0) + 1);
        let path = segment_path(&self.dir, number);
        let mut options = OpenOptions::new();
        let options = options.create(true).read(true).append(true);
        let file = with_path(options.open(&path), "create", &path)?;
        with_path(file.sync_all(), "sync", &path)?;
        with_path(sync_dir(&self.dir), "sync", &self.dir)?;
        self.segments.insert(number, Segment { file, bytes: 0 });
        self.active = Some(number);
        if initial_records.is_empty() {
            return Ok(());
        }
        self.append(at_ms, initial_records).map(|_| ())
    }

    /// Appends records to the active segment, syncs it, and returns their locations. After an error
    /// a new segment is required.
    ///
    /// # Errors
    /// [`JournalError`]: some records may be on disk, but none may be acknowledged.
    pub(crate) fn append(
        &mut self,
        at_ms: u64,
        records: &[PartitionRecord],
    ) -> Result<Vec<Location>, JournalError> {
        let number = self.active.unwrap_or_default();
        let path = segment_path(&self.dir, number);
        let Some(segment) = self.segments.get_mut(&number) else {
            let missing = Err(io::Error::from(io::ErrorKind::NotFound));
            return with_path(missing, "write", &path);
        };
        let mut content = Vec::new();
        let mut locations = Vec::with_capacity(records.len());
        for entry in records {
            let encoded = frame::encode(&TimestampedRecordRef { at_ms, entry });
            locations.push(Location {
                segment: number,
                offset: segment.bytes + content.len() as u64,
                length: u32::try_from(encoded.len()).unwrap_or(u32::MAX),
            });
            content.extend_from_slice(&encoded);
        }
        let written = with_path(segment.file.write_all(&content), "write", &path)
            .and_then(|()| with_path(segment.file.sync_data(), "sync", &path));
        if written.is_err() {
            // A partial write may have extended the file: read the size again for the disk usage.
            segment.bytes = segment
                .file
                .metadata()
                .map_or(segment.bytes + content.len() as u64, |it| it.len());
            self.active = None;
        } else {
            segment.bytes += content.len() as u64;
        }
        written.map(|()| locations)
    }

    /// Reads a stored turn.
    ///
    /// # Errors
    /// [`JournalError`] if the read fails or the frame is corrupt.
    pub(crate) fn read_turn(&self, location: Location) -> Result<Turn, JournalError> {
        let path = segment_path(&self.dir, location.segment);
        let Some(segment) = self.segments.get(&location.segment) else {
            let missing = Err(io::Error::from(io::ErrorKind::NotFound));
            return with_path(missing, "read", &path);
        };
        let mut content = vec![0; location.length as usize];
        let read = segment.file.read_exact_at(&mut content, location.offset);
        with_path(read, "read", &path)?;
        let payload = frame::split(&content).ok().map(|(payload, _)| payload);
        let timestamped =
            payload.and_then(|payload| frame::decode::<TimestampedRecord>(payload).ok());
        match timestamped.map(|timestamped| timestamped.entry.record) {
            Some(Record::StoreTurn { turn, .. }) => Ok(turn),
            _ => {
                let corrupt = Err(io::Error::from(io::ErrorKind::InvalidData));
                with_path(corrupt, "decode a turn in", &path)
            }
        }
    }

    /// Deletes a segment that has no live records.
    ///
    /// # Errors
    /// [`JournalError`]: the segment was not deleted.
    pub(crate) fn remove(&mut self, number: SegmentNumber) -> Result<(), JournalError> {
        let path = segment_path(&self.dir, number);
        with_path(fs::remove_file(&path), "remove", &path)?;
        self.segments.remove(&number);
        Ok(())
    }
}

fn read_identity(dir: &Path, new_incarnation: u64) -> Result<u64, JournalError> {
    let path = dir.join(IDENTITY_FILE);
    let stored = match fs::read(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        content => {
            let content = with_path(content, "read", &path)?;
            let payload = frame::split(&content).ok();
            payload.and_then(|(payload, _)| frame::decode::<Identity>(payload).ok())
        }
    };
    if let Some(identity) = stored {
        return Ok(identity.incarnation);
    }
    // No record was acknowledged before a valid identity was written, so the segments are stale.
    for number in segment_numbers(dir)? {
        let segment = segment_path(dir, number);
        with_path(fs::remove_file(&segment), "remove", &segment)?;
    }
    let identity = Identity {
        incarnation: new_incarnation,
    };
    let mut file = with_path(File::create(&path), "create", &path)?;
    with_path(file.write_all(&frame::encode(&identity)), "write", &path)?;
    with_path(file.sync_all(), "sync", &path)?;
    with_path(sync_dir(dir), "sync", dir)?;
    Ok(new_incarnation)
}

/// Passes the valid records of a segment to `on_record` and returns their total size in bytes.
fn read_segment(
    file: &File,
    path: &Path,
    segment: SegmentNumber,
    bytes: u64,
    on_record: &mut impl FnMut(TimestampedRecord, Location),
) -> Result<u64, JournalError> {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, file);
    let mut offset = 0;
    let mut content = Vec::new();
    while bytes - offset >= frame::HEADER_BYTES as u64 {
        let mut header = [0; frame::HEADER_BYTES];
        with_path(reader.read_exact(&mut header), "read", path)?;
        let size = frame::size_told_by(&header).ok();
        let Some(size) = size.filter(|size| *size <= bytes - offset) else {
            break;
        };
        content.clear();
        content.extend_from_slice(&header);
        let payload = size - frame::HEADER_BYTES as u64;
        let read = Read::by_ref(&mut reader)
            .take(payload)
            .read_to_end(&mut content);
        with_path(read, "read", path)?;
        let Ok((payload, _)) = frame::split(&content) else {
            break;
        };
        let Ok(timestamped) = frame::decode::<TimestampedRecord>(payload) else {
            break;
        };
        let location = Location {
            segment,
            offset,
            length: u32::try_from(size).unwrap_or(u32::MAX),
        };
        on_record(timestamped, location);
        offset += size;
    }
    Ok(offset)
}

fn segment_path(dir: &Path, number: SegmentNumber) -> PathBuf {
    dir.join(format!("{SEGMENT_PREFIX}{:08}", number.0))
}

fn segment_numbers(dir: &Path) -> Result<Vec<SegmentNumber>, JournalError> {
    let mut numbers = Vec::new();
    for entry in with_path(fs::read_dir(dir), "list", dir)? {
        let name = with_path(entry, "list", dir)?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX));
        let number = number.and_then(|number| number.parse::<u64>().ok());
        numbers.extend(number.map(SegmentNumber));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

fn with_path<T>(
    result: io::Result<T>,
    operation: &'static str,
    path: &Path,
) -> Result<T, JournalError> {
    result.context(JournalSnafu { operation, path })
}
