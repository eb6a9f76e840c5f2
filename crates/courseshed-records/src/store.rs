//! Record store: an in-memory index over records in segment files.
//!
//! Invariants:
//! - The index only contains records that were synced to disk, so replies reflect durable state.
//! - Memory is bounded by the index, the cache and one compaction step, whatever the file sizes.
//! - Disk space is reclaimed at runtime: a segment with few live records is compacted in bounded
//!   steps, which copy its live records to the active segment, and is then deleted. A crash during
//!   compaction leaves duplicate records, which are harmless.

use std::collections::BTreeMap;
use std::path::PathBuf;

use snafu::Snafu;

use crate::segments::{JournalError, Segments};
use crate::turn_cache::TurnCache;
use crate::{
    ChainError, ChainPart, ChainRest, EntryKey, ExportCursor, ExportPage, Location, MissingTurn,
    PartitionId, PartitionRecord, PartitionTables, Record, Reserved, SegmentNumber, StoredEntry,
    Turn,
};

/// Minimum segment size.
const MIN_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum number of segments of a full disk, since each one holds a file descriptor.
const MAX_SEGMENTS: u64 = 256;
/// Segments are compacted once less than one part in this many is live. A compaction then copies at
/// most a third of the bytes it frees, and files take at most four times the live bytes.
const COMPACTION_LIVE_DIVISOR: u64 = 4;
/// Bytes copied per compaction step. Bounds the time that requests wait for a step.
const COMPACTION_STEP_BYTES: u64 = 256 * 1024;
/// Disk usage in percent above which segments with more live bytes are compacted too.
const HIGH_USAGE_PERCENT: u64 = 70;
/// Disk usage in percent above which the store accepts no new reservations. The rest is reserved
/// for turns in progress.
const FULL_USAGE_PERCENT: u64 = 85;
/// Estimated index memory per turn.
const INDEX_BYTES_PER_TURN: u64 = 320;
/// Estimated index memory per missing turn.
const INDEX_BYTES_PER_GAP: u64 = 160;
/// Estimated index memory per reservation, including its share of the program.
const INDEX_BYTES_PER_RESERVATION: u64 = 160;
/// The cache may use one part in this many of the memory.
const CACHE_MEMORY_DIVISOR: u64 = 16;
/// The index may use one part in this many of the memory.
const INDEX_MEMORY_DIVISOR: u64 = 3;

/// Resource limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Memory of the process in bytes.
    pub memory_bytes: u64,
    /// Size of the disk in bytes; `None` if unknown.
    pub disk_bytes: Option<u64>,
    /// Size in bytes at which a new segment is started.
    pub segment_bytes: u64,
}

impl StoreLimits {
    /// Limits for a machine, with a segment size that suits its disk.
    #[must_use]
    pub fn for_machine(memory_bytes: u64, disk_bytes: Option<u64>) -> Self {
        Self {
            memory_bytes,
            disk_bytes,
            segment_bytes: MIN_SEGMENT_BYTES.max(disk_bytes.unwrap_or(0) / MAX_SEGMENTS),
        }
    }
}

/// Reasons why a chain of turns cannot be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// A turn of the chain is not stored.
    #[snafu(display("{source}"), context(false))]
    Chain {
        /// The missing turn.
        source: ChainError,
    },
    /// A file cannot be read.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The failed operation.
        source: JournalError,
    },
}

/// Contents and resource usage of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Stored turns.
    pub turns: u64,
    /// Stored reservations.
    pub reservations: u64,
    /// Partitions with records.
    pub partitions: u64,
    /// Segment files.
    pub segments: u64,
    /// Size of the segment files in bytes.
    pub file_bytes: u64,
    /// Bytes of live records as of the last expiry run.
    pub live_bytes: u64,
    /// Missing turns whose descendants are stored.
    pub gaps: u64,
    /// Estimated memory of the index in bytes.
    pub index_bytes: u64,
    /// Memory of the cache in bytes.
    pub cache_bytes: u64,
    /// Turns read from the cache since start.
    pub cache_hits: u64,
    /// Turns read from files since start.
    pub cache_misses: u64,
    /// Bytes copied by compaction since start.
    pub compacted_bytes: u64,
}

/// A compaction in progress.
#[derive(Debug)]
struct Compaction {
    segment: SegmentNumber,
    remaining: Vec<(PartitionId, EntryKey)>,
}

/// The records of one store.
#[derive(Debug)]
pub struct RecordStore {
    segments: Segments,
    tables: PartitionTables,
    cache: TurnCache,
    limits: StoreLimits,
    compaction: Option<Compaction>,
    /// Live bytes of each segment as of the last expiry run.
    live_bytes_by_segment: BTreeMap<SegmentNumber, u64>,
    /// Segments whose compaction failed because a record is unreadable.
    unreadable_segments: Vec<SegmentNumber>,
    /// When the newest record in the files was written, as of the start.
    newest_record_ms: Option<u64>,
    stats: StoreStats,
}

impl RecordStore {
    /// Opens the segments of a directory. An empty directory is assigned `new_incarnation`.
    ///
    /// # Errors
    /// [`JournalError`] if the directory cannot be read or written.
    pub fn open(
        dir: impl Into<PathBuf>,
        new_incarnation: u64,
        limits: StoreLimits,
        now_ms: u64,
    ) -> Result<Self, JournalError> {
        let mut tables = PartitionTables::default();
        let mut newest_record_ms = None;
        let segments = Segments::open(
            dir.into(),
            new_incarnation,
            limits.segment_bytes,
            |timestamped, location| {
                newest_record_ms = newest_record_ms.max(Some(timestamped.at_ms));
                tables.apply(timestamped.at_ms, &timestamped.entry, location);
            },
        )?;
        let cache_bytes = limits.memory_bytes / CACHE_MEMORY_DIVISOR;
        let mut store = Self {
            segments,
            tables,
            cache: TurnCache::new(usize::try_from(cache_bytes).unwrap_or(usize::MAX)),
            limits,
            compaction: None,
            live_bytes_by_segment: BTreeMap::new(),
            unreadable_segments: Vec::new(),
            newest_record_ms,
            stats: StoreStats::default(),
        };
        store.expire(now_ms);
        Ok(store)
    }

    /// Incarnation of the disk.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.segments.incarnation()
    }

    /// When the newest record that was on disk at the start was written, in Unix milliseconds; `None` if there was
    /// none. Other stores may have received more since then.
    #[must_use]
    pub fn newest_record_ms(&self) -> Option<u64> {
        self.newest_record_ms
    }

    /// The newest epoch that this store has adopted for a partition.
    #[must_use]
    pub fn epoch(&self, partition: PartitionId) -> u64 {
        self.tables.epoch(partition)
    }

    /// The indexes of all partitions.
    #[must_use]
    pub fn tables(&self) -> &PartitionTables {
        &self.tables
    }

    /// Contents and resource usage of the store.
    #[must_use]
    pub fn stats(&self) -> StoreStats {
        StoreStats {
            segments: self.segments.count() as u64,
            file_bytes: self.segments.bytes(),
            cache_bytes: self.cache.bytes() as u64,
            ..self.stats
        }
    }

    /// Whether disk or memory usage is too high to accept new programs.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let is_disk_full = self.is_disk_usage_above(FULL_USAGE_PERCENT);
        let max_index_bytes = self.limits.memory_bytes / INDEX_MEMORY_DIVISOR;
        is_disk_full || self.stats.index_bytes > max_index_bytes
    }

    /// Appends and syncs records, except those that would change nothing.
    ///
    /// # Errors
    /// [`JournalError`]: some records may be on disk, but none may be acknowledged.
    pub fn write(
        &mut self,
        now_ms: u64,
        records: Vec<PartitionRecord>,
    ) -> Result<(), JournalError> {
        let mut new_records: Vec<PartitionRecord> = records
            .into_iter()
            .filter(|entry| !self.is_redundant(now_ms, entry))
            .collect();
        if new_records.is_empty() {
            return Ok(());
        }
        for entry in &mut new_records {
            self.extend_settlement_retention(now_ms, entry);
        }
        let locations = self.append(now_ms, &new_records)?;
        for (entry, location) in new_records.into_iter().zip(locations) {
            self.tables.apply(now_ms, &entry, location);
            if let Record::StoreTurn { turn, .. } = entry.record {
                self.cache.insert(location, turn);
            }
        }
        Ok(())
    }

    /// The reservations of a program.
    #[must_use]
    pub fn reserved(&self, partition: PartitionId, program: &str) -> Vec<Reserved> {
        let replica = self.tables.replica(partition);
        replica.map_or_else(Vec::new, |replica| replica.reserved(program))
    }

    /// Reads a turn and all of its ancestors, the oldest first.
    ///
    /// # Errors
    /// [`ReadError`] if one of them is not stored or cannot be read.
    pub fn chain(&mut self, partition: PartitionId, id: &str) -> Result<Vec<Turn>, ReadError> {
        let Some(replica) = self.tables.replica(partition) else {
            let id = id.to_owned();
            return Err(ChainError::Missing { id }.into());
        };
        let locations = replica.chain(id)?;
        let turns = locations
            .into_iter()
            .map(|location| self.read_turn(location));
        Ok(turns.collect::<Result<_, _>>()?)
    }

    /// Reads a turn and its ancestors, the newest first, up to the first one that is not stored or cannot be read,
    /// or until the part has `max_turns` turns or at least `max_bytes`.
    pub fn chain_part(
        &mut self,
        partition: PartitionId,
        id: &str,
        max_turns: usize,
        max_bytes: usize,
    ) -> ChainPart {
        let Some(replica) = self.tables.replica(partition) else {
            return ChainPart {
                turns: Vec::new(),
                rest: ChainRest::Missing(id.to_owned()),
            };
        };
        let (locations, rest) = replica.chain_part(id, max_turns);
        let mut turns: Vec<Turn> = Vec::with_capacity(locations.len());
        let mut next = id.to_owned();
        let mut bytes = 0;
        for location in locations {
            let read = (bytes < max_bytes).then(|| self.read_turn(location));
            let Some(Ok(turn)) = read else {
                if let Some(Err(error)) = read {
                    log::error!(event = "read_failed", turn = next.as_str(), partition = partition.0; "{error}");
                }
                let rest = ChainRest::Omitted(next);
                return ChainPart { turns, rest };
            };
            bytes += location.length as usize;
            next = turn.previous.clone().unwrap_or_default();
            turns.push(turn);
        }
        ChainPart { turns, rest }
    }

    /// Number of missing turns whose descendants are stored.
    #[must_use]
    pub fn gaps(&self) -> usize {
        self.tables.gaps()
    }

    /// Starts attempts to fetch missing turns whose descendants are stored, and returns those that are due.
    pub fn start_repairs(&mut self, now_ms: u64, limit: usize) -> Vec<(PartitionId, MissingTurn)> {
        self.tables.start_repairs(now_ms, limit)
    }

    /// Reads a page of about `limit_bytes` of a partition, for another replica that lacks some of it.
    ///
    /// # Errors
    /// [`JournalError`] if a turn cannot be read.
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
        let records = entries.map(|entry| self.load_record(entry));
        Ok(ExportPage {
            records: records.collect::<Result<_, _>>()?,
            next: page.next,
        })
    }

    /// Removes expired records from the index and recomputes the live bytes of each segment.
    pub fn expire(&mut self, now_ms: u64) {
        self.tables.expire(now_ms);
        self.live_bytes_by_segment.clear();
        let mut figures = StoreStats {
            turns: 0,
            reservations: 0,
            partitions: 0,
            live_bytes: 0,
            gaps: 0,
            ..self.stats
        };
        for (_, replica) in self.tables.replicas() {
            replica.for_each_live_record(|segment, bytes| {
                *self.live_bytes_by_segment.entry(segment).or_default() += bytes;
                figures.live_bytes += bytes;
            });
            figures.partitions += 1;
            figures.turns += replica.turns() as u64;
            figures.gaps += replica.gaps() as u64;
            figures.reservations += replica.reservations() as u64;
        }
        figures.index_bytes = figures.turns * INDEX_BYTES_PER_TURN
            + figures.reservations * INDEX_BYTES_PER_RESERVATION
            + figures.gaps * INDEX_BYTES_PER_GAP;
        self.stats = figures;
    }

    /// Runs one compaction step. Returns false if there is nothing to compact.
    ///
    /// # Errors
    /// [`JournalError`] if a file cannot be read, written or deleted. No records are lost.
    pub fn compact(&mut self, now_ms: u64) -> Result<bool, JournalError> {
        let Some(compaction) = self.compaction.take().or_else(|| self.plan_compaction()) else {
            return Ok(false);
        };
        // After an error the compaction restarts, which looks the remaining keys up again.
        self.compaction = self.compact_step(now_ms, compaction)?;
        Ok(true)
    }

    /// Copies some live records of a segment, and deletes the segment after the last ones.
    fn compact_step(
        &mut self,
        now_ms: u64,
        mut compaction: Compaction,
    ) -> Result<Option<Compaction>, JournalError> {
        let segment = compaction.segment;
        let mut keys = Vec::new();
        let mut records = Vec::new();
        let mut bytes = 0;
        while bytes < COMPACTION_STEP_BYTES
            && let Some((partition, key)) = compaction.remaining.pop()
        {
            let replica = self.tables.replica(partition);
            let entry = replica.and_then(|replica| replica.entry_in_segment(segment, &key, now_ms));
            let Some(entry) = entry else {
                continue;
            };
            bytes += match &entry {
                StoredEntry::Turn { location, .. } => u64::from(location.length),
                StoredEntry::Reservation(_) => INDEX_BYTES_PER_RESERVATION,
            };
            let record = self.load_record(entry).inspect_err(|_| {
                // Do not retry an unreadable record in each step. A restart tries it again.
                self.unreadable_segments.push(segment);
            })?;
            records.push(PartitionRecord { partition, record });
            keys.push((partition, key));
        }
        // Also if there are no live records left: a newer segment must first contain the epochs.
        let locations = self.append(now_ms, &records)?;
        for ((partition, key), location) in keys.into_iter().zip(&locations) {
            self.tables.replica_mut(partition).relocate(&key, *location);
            self.stats.compacted_bytes += u64::from(location.length);
        }
        if !compaction.remaining.is_empty() {
            return Ok(Some(compaction));
        }
        self.segments.remove(segment)?;
        self.live_bytes_by_segment.remove(&segment);
        Ok(None)
    }

    /// Starts a compaction of the segment with the smallest live share, if that is worthwhile.
    fn plan_compaction(&self) -> Option<Compaction> {
        let sealed = self.segments.sealed();
        let candidates = sealed.filter(|(number, _)| !self.unreadable_segments.contains(number));
        let live_shares = candidates.map(|(number, bytes)| {
            let live_bytes = self
                .live_bytes_by_segment
                .get(&number)
                .copied()
                .unwrap_or(0);
            (live_bytes * 100 / bytes.max(1), number)
        });
        let (percent, segment) = live_shares.min()?;
        let threshold_percent = if self.is_disk_usage_above(HIGH_USAGE_PERCENT) {
            HIGH_USAGE_PERCENT
        } else {
            100 / COMPACTION_LIVE_DIVISOR
        };
        if percent >= threshold_percent {
            return None;
        }
        let mut remaining = Vec::new();
        for (partition, replica) in self.tables.replicas() {
            let keys = replica.keys_in_segment(segment).into_iter();
            remaining.extend(keys.map(|key| (partition, key)));
        }
        Some(Compaction { segment, remaining })
    }

    fn append(
        &mut self,
        now_ms: u64,
        records: &[PartitionRecord],
    ) -> Result<Vec<Location>, JournalError> {
        if self.segments.needs_new_segment() {
            let epochs: Vec<PartitionRecord> = self
                .tables
                .replicas()
                .map(|(partition, replica)| PartitionRecord {
                    partition,
                    record: Record::Epoch(replica.epoch()),
                })
                .collect();
            self.segments.start_segment(now_ms, &epochs)?;
        }
        if records.is_empty() {
            return Ok(Vec::new());
        }
        self.segments.append(now_ms, records)
    }

    fn is_redundant(&self, now_ms: u64, entry: &PartitionRecord) -> bool {
        let replica = self.tables.replica(entry.partition);
        replica.is_some_and(|replica| replica.is_redundant(now_ms, &entry.record))
    }

    /// Raises the retention of a settlement to that of its program, since it may become the live
    /// record of the reservation.
    fn extend_settlement_retention(&self, now_ms: u64, entry: &mut PartitionRecord) {
        if let Record::Settle {
            program, keep_ms, ..
        } = &mut entry.record
            && let Some(replica) = self.tables.replica(entry.partition)
        {
            *keep_ms = (*keep_ms).max(replica.program_retention_ms(program, now_ms));
        }
    }

    fn read_turn(&mut self, location: Location) -> Result<Turn, JournalError> {
        if let Some(turn) = self.cache.get(location) {
            self.stats.cache_hits += 1;
            return Ok(turn);
        }
        self.stats.cache_misses += 1;
        let turn = self.segments.read_turn(location)?;
        self.cache.insert(location, turn.clone());
        Ok(turn)
    }

    fn load_record(&self, entry: StoredEntry) -> Result<Record, JournalError> {
        match entry {
            StoredEntry::Reservation(record) => Ok(record),
            StoredEntry::Turn { location, keep_ms } => {
                let turn = self.segments.read_turn(location)?;
                Ok(Record::StoreTurn { turn, keep_ms })
            }
        }
    }

    fn is_disk_usage_above(&self, percent: u64) -> bool {
        let disk_bytes = self.limits.disk_bytes;
        disk_bytes.is_some_and(|disk| self.segments.bytes() * 100 > disk * percent)
    }
}
