//! A store's records: an index in memory, the records themselves in segments on disk.
//!
//! Invariants:
//! - The index holds only what is flushed to disk, so every answer is about what would survive.
//! - Memory is bounded by the index, the cache and one piece of work, whatever the files hold.
//! - Files give their space back while the store runs: a segment of which little is needed any more is
//!   emptied in pieces of bounded size, its needed records written anew, and then removed. A store that
//!   ends in between has some records twice, which comes to the same.

use std::collections::BTreeMap;
use std::path::PathBuf;

use snafu::Snafu;

use crate::segments::{JournalError, Segments};
use crate::turn_cache::TurnCache;
use crate::{
    ChainError, EntryKey, ExportCursor, ExportPage, KeptEntry, Location, PartitionId,
    PartitionRecord, PartitionTables, Record, Reserved, SegmentNumber, Turn,
};

/// Least size at which another segment is begun, in bytes: 5 to 10 s of writing at the rates that were
/// played (0.4 to 0.9 MB/s a store), a small part of the time for which turns are kept.
const LEAST_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Segments that a full disk may hold: each takes a descriptor, of which machines have some thousands.
const MOST_SEGMENTS: u64 = 256;
/// A segment is emptied once less than one in this many of its bytes is needed: what is written anew is
/// then at most a third of what is freed, and files take at most four times what is kept.
const CLEAN_BELOW_ONE_IN: u64 = 4;
/// Bytes written anew in one step: some milliseconds of the smallest disks that were played (120 MB/s),
/// so that requests wait no longer than for a few flushes.
const CLEAN_STEP_BYTES: u64 = 256 * 1024;
/// The part of the disk, in hundredths, beyond which segments are emptied that are needed more.
const CROWDED_PERCENT: u64 = 70;
/// The part of the disk, in hundredths, beyond which the store takes no new reservations. The rest is
/// for turns that are under way, which is much more than one retention of them.
const FULL_PERCENT: u64 = 85;
/// What the index takes of memory for a turn, in bytes: ids of 16 to 40 characters, twice, and the
/// nodes of the tables (worked out from the types, and seen in `tests/steady_state.rs`).
const INDEX_BYTES_OF_TURN: u64 = 320;
/// What the index takes of memory for a reservation with its part of the program, in bytes.
const INDEX_BYTES_OF_RESERVATION: u64 = 160;
/// The part of the machine's memory that the cache takes: one in this many. On a day of 92 s with machines
/// of 130 MB a cache of twice the size missed 1 turn of 38,000.
const CACHE_OF_MEMORY: u64 = 16;
/// The part of the machine's memory that the index may take: one in this many.
const INDEX_OF_MEMORY: u64 = 3;

/// What a store may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Size of the disk, in bytes; none if it is not known.
    pub disk_bytes: Option<u64>,
    /// Size at which another file is begun, in bytes.
    pub segment_bytes: u64,
}

impl StoreLimits {
    /// The limits of a machine, with files that fit them.
    #[must_use]
    pub fn of_machine(memory_bytes: u64, disk_bytes: Option<u64>) -> Self {
        Self {
            memory_bytes,
            disk_bytes,
            segment_bytes: LEAST_SEGMENT_BYTES.max(disk_bytes.unwrap_or(0) / MOST_SEGMENTS),
        }
    }
}

/// Why a chain of turns can't be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// It isn't whole here.
    #[snafu(display("{source}"), context(false))]
    Chain {
        /// What is missing.
        source: ChainError,
    },
    /// A file can't be read.
    #[snafu(display("{source}"), context(false))]
    File {
        /// Why not.
        source: JournalError,
    },
}

/// What a store holds and uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFigures {
    /// Turns that are kept.
    pub turns: u64,
    /// Reservations that are kept.
    pub reservations: u64,
    /// Partitions that something is known of.
    pub partitions: u64,
    /// Files.
    pub segments: u64,
    /// Size of the files, in bytes.
    pub file_bytes: u64,
    /// What is needed of that, in bytes, when it was counted last.
    pub live_bytes: u64,
    /// What the index takes of memory, in bytes, estimated.
    pub index_bytes: u64,
    /// What the cache takes of memory, in bytes.
    pub cache_bytes: u64,
    /// Turns read from the cache since the start.
    pub cache_hits: u64,
    /// Turns read from files since the start.
    pub cache_misses: u64,
    /// Bytes written anew to empty segments since the start.
    pub carried_bytes: u64,
}

/// A segment that is being emptied.
#[derive(Debug)]
struct Cleaning {
    segment: SegmentNumber,
    left: Vec<(PartitionId, EntryKey)>,
}

/// The records of one store.
#[derive(Debug)]
pub struct RecordStore {
    segments: Segments,
    tables: PartitionTables,
    cache: TurnCache,
    limits: StoreLimits,
    cleaning: Option<Cleaning>,
    /// Bytes needed of each segment, as counted last.
    live: BTreeMap<SegmentNumber, u64>,
    /// A segment that couldn't be emptied since a record of it can't be read.
    unreadable: Vec<SegmentNumber>,
    figures: StoreFigures,
}

impl RecordStore {
    /// Opens the files of a folder. An empty folder becomes that of `incarnation_if_new`.
    ///
    /// # Errors
    /// [`JournalError`] when the folder can't be read or written.
    pub fn open(
        folder: impl Into<PathBuf>,
        incarnation_if_new: u64,
        limits: StoreLimits,
        now_ms: u64,
    ) -> Result<Self, JournalError> {
        let mut tables = PartitionTables::default();
        let segments = Segments::open(
            folder.into(),
            incarnation_if_new,
            limits.segment_bytes,
            |stamped, location| tables.apply(stamped.at_ms, &stamped.entry, location),
        )?;
        let cache_bytes = limits.memory_bytes / CACHE_OF_MEMORY;
        let mut store = Self {
            segments,
            tables,
            cache: TurnCache::new(usize::try_from(cache_bytes).unwrap_or(usize::MAX)),
            limits,
            cleaning: None,
            live: BTreeMap::new(),
            unreadable: Vec::new(),
            figures: StoreFigures::default(),
        };
        store.expire(now_ms);
        Ok(store)
    }

    /// The life of this disk.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.segments.incarnation()
    }

    /// The newest epoch of a partition that this store has moved to.
    #[must_use]
    pub fn epoch(&self, partition: PartitionId) -> u64 {
        self.tables.epoch(partition)
    }

    /// What is kept of all partitions.
    #[must_use]
    pub fn tables(&self) -> &PartitionTables {
        &self.tables
    }

    /// What the store holds and uses.
    #[must_use]
    pub fn figures(&self) -> StoreFigures {
        StoreFigures {
            segments: self.segments.count() as u64,
            file_bytes: self.segments.bytes(),
            cache_bytes: self.cache.bytes() as u64,
            ..self.figures
        }
    }

    /// Whether disk or memory has no room for more programs.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let is_disk_full = self.is_beyond(FULL_PERCENT);
        let most_index = self.limits.memory_bytes / INDEX_OF_MEMORY;
        is_disk_full || self.figures.index_bytes > most_index
    }

    /// Writes records down and flushes them, less what is known already.
    ///
    /// # Errors
    /// [`JournalError`]: some of the records may be on disk, none may be acknowledged.
    pub fn write(
        &mut self,
        now_ms: u64,
        records: Vec<PartitionRecord>,
    ) -> Result<(), JournalError> {
        let mut news: Vec<PartitionRecord> = records
            .into_iter()
            .filter(|entry| !self.knows(now_ms, entry))
            .collect();
        if news.is_empty() {
            return Ok(());
        }
        for entry in &mut news {
            self.keep_settlement_as_long_as_program(now_ms, entry);
        }
        let locations = self.append(now_ms, &news)?;
        for (entry, location) in news.into_iter().zip(locations) {
            self.tables.apply(now_ms, &entry, location);
            if let Record::Keep { turn, .. } = entry.record {
                self.cache.insert(location, turn);
            }
        }
        Ok(())
    }

    /// What is reserved for a program and what it was given.
    #[must_use]
    pub fn reserved(&self, partition: PartitionId, program: &str) -> Vec<Reserved> {
        let replica = self.tables.replica(partition);
        replica.map_or_else(Vec::new, |replica| replica.reserved(program))
    }

    /// A turn and all that it goes on from, the oldest first.
    ///
    /// # Errors
    /// [`ReadError`] when one of them is not here or can't be read.
    pub fn chain(&mut self, partition: PartitionId, id: &str) -> Result<Vec<Turn>, ReadError> {
        let Some(replica) = self.tables.replica(partition) else {
            let id = id.to_owned();
            return Err(ChainError::Missing { id }.into());
        };
        let locations = replica.chain(id)?;
        let turns = locations.into_iter().map(|location| self.turn(location));
        Ok(turns.collect::<Result<_, _>>()?)
    }

    /// A piece of all that is kept of a partition, of about `limit_bytes`, for a replica that joins.
    ///
    /// # Errors
    /// [`JournalError`] when a turn can't be read.
    pub fn export(
        &self,
        partition: PartitionId,
        now_ms: u64,
        cursor: &ExportCursor,
        limit_bytes: usize,
    ) -> Result<ExportPage, JournalError> {
        let Some(replica) = self.tables.replica(partition) else {
            return Ok(ExportPage {
                records: Vec::new(),
                next: None,
            });
        };
        let page = replica.export(now_ms, cursor, limit_bytes);
        let entries = page.entries.into_iter();
        let records = entries.map(|entry| self.record_of(entry));
        Ok(ExportPage {
            records: records.collect::<Result<_, _>>()?,
            next: page.next,
        })
    }

    /// Drops what need not be kept at a time of day, and counts what the files are needed for.
    pub fn expire(&mut self, now_ms: u64) {
        self.tables.expire(now_ms);
        self.live.clear();
        let mut figures = StoreFigures {
            turns: 0,
            reservations: 0,
            partitions: 0,
            live_bytes: 0,
            ..self.figures
        };
        for (_, replica) in self.tables.replicas() {
            replica.count_live(|segment, bytes| {
                *self.live.entry(segment).or_default() += bytes;
                figures.live_bytes += bytes;
            });
            figures.partitions += 1;
            figures.turns += replica.turns() as u64;
            figures.reservations += replica.reservations() as u64;
        }
        figures.index_bytes =
            figures.turns * INDEX_BYTES_OF_TURN + figures.reservations * INDEX_BYTES_OF_RESERVATION;
        self.figures = figures;
    }

    /// Does one piece of the work that gives space back; false when nothing is left to do.
    ///
    /// # Errors
    /// [`JournalError`] when a file can't be read, written or removed. What is kept is unharmed.
    pub fn clean(&mut self, now_ms: u64) -> Result<bool, JournalError> {
        let Some(cleaning) = self.cleaning.take().or_else(|| self.next_cleaning()) else {
            return Ok(false);
        };
        // After an error it is begun anew: what was still to be carried on is then looked up again.
        self.cleaning = self.carry_on(now_ms, cleaning)?;
        Ok(true)
    }

    /// Writes a part of what is needed of a segment anew, and removes the segment if that was all.
    fn carry_on(
        &mut self,
        now_ms: u64,
        mut cleaning: Cleaning,
    ) -> Result<Option<Cleaning>, JournalError> {
        let segment = cleaning.segment;
        let mut keys = Vec::new();
        let mut records = Vec::new();
        let mut bytes = 0;
        while bytes < CLEAN_STEP_BYTES
            && let Some((partition, key)) = cleaning.left.pop()
        {
            let replica = self.tables.replica(partition);
            let entry = replica.and_then(|replica| replica.entry_in(segment, &key, now_ms));
            let Some(entry) = entry else {
                continue;
            };
            bytes += match &entry {
                KeptEntry::Turn { location, .. } => u64::from(location.length),
                KeptEntry::Reservation(_) => INDEX_BYTES_OF_RESERVATION,
            };
            let record = self.record_of(entry).inspect_err(|_| {
                // A bad record must not be asked for in each step; a restart tries it once more.
                self.unreadable.push(segment);
            })?;
            records.push(PartitionRecord { partition, record });
            keys.push((partition, key));
        }
        // Also where nothing is needed any more: a newer segment must begin with the epochs first.
        let locations = self.append(now_ms, &records)?;
        for ((partition, key), location) in keys.into_iter().zip(&locations) {
            self.tables.replica_mut(partition).relocate(&key, *location);
            self.figures.carried_bytes += u64::from(location.length);
        }
        if !cleaning.left.is_empty() {
            return Ok(Some(cleaning));
        }
        self.segments.remove(segment)?;
        self.live.remove(&segment);
        Ok(None)
    }

    /// The segment that is needed least, if it is worth emptying.
    fn next_cleaning(&self) -> Option<Cleaning> {
        let sealed = self.segments.sealed();
        let candidates = sealed.filter(|(number, _)| !self.unreadable.contains(number));
        let needed = candidates.map(|(number, bytes)| {
            let live = self.live.get(&number).copied().unwrap_or(0);
            (live * 100 / bytes.max(1), number)
        });
        let (percent, segment) = needed.min()?;
        let most = if self.is_beyond(CROWDED_PERCENT) {
            CROWDED_PERCENT
        } else {
            100 / CLEAN_BELOW_ONE_IN
        };
        if percent >= most {
            return None;
        }
        let mut left = Vec::new();
        for (partition, replica) in self.tables.replicas() {
            let keys = replica.keys_in(segment).into_iter();
            left.extend(keys.map(|key| (partition, key)));
        }
        Some(Cleaning { segment, left })
    }

    fn append(
        &mut self,
        now_ms: u64,
        records: &[PartitionRecord],
    ) -> Result<Vec<Location>, JournalError> {
        if self.segments.needs_new() {
            let epochs: Vec<PartitionRecord> = self
                .tables
                .replicas()
                .map(|(partition, replica)| PartitionRecord {
                    partition,
                    record: Record::Epoch(replica.epoch()),
                })
                .collect();
            self.segments.begin(now_ms, &epochs)?;
        }
        if records.is_empty() {
            return Ok(Vec::new());
        }
        self.segments.append(now_ms, records)
    }

    fn knows(&self, now_ms: u64, entry: &PartitionRecord) -> bool {
        let replica = self.tables.replica(entry.partition);
        replica.is_some_and(|replica| replica.knows(now_ms, &entry.record))
    }

    /// A settlement that stands for its reservation in the files must keep the program as long.
    fn keep_settlement_as_long_as_program(&self, now_ms: u64, entry: &mut PartitionRecord) {
        if let Record::Settle {
            program, keep_ms, ..
        } = &mut entry.record
            && let Some(replica) = self.tables.replica(entry.partition)
        {
            *keep_ms = (*keep_ms).max(replica.program_keep_ms(program, now_ms));
        }
    }

    fn turn(&mut self, location: Location) -> Result<Turn, JournalError> {
        if let Some(turn) = self.cache.get(location) {
            self.figures.cache_hits += 1;
            return Ok(turn);
        }
        self.figures.cache_misses += 1;
        let turn = self.segments.read_turn(location)?;
        self.cache.insert(location, turn.clone());
        Ok(turn)
    }

    fn record_of(&self, entry: KeptEntry) -> Result<Record, JournalError> {
        match entry {
            KeptEntry::Reservation(record) => Ok(record),
            KeptEntry::Turn { location, keep_ms } => {
                let turn = self.segments.read_turn(location)?;
                Ok(Record::Keep { turn, keep_ms })
            }
        }
    }

    fn is_beyond(&self, percent: u64) -> bool {
        let disk_bytes = self.limits.disk_bytes;
        disk_bytes.is_some_and(|disk| self.segments.bytes() * 100 > disk * percent)
    }
}
