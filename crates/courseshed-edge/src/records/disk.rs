//! The disk thread of a store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use courseshed_records::{
    MissingTurn, PartitionId, PartitionRecord, PromptHints, ReadError, Record, RecordStore,
};
use courseshed_transport::ReplySender;
use courseshed_types::CachedPrompt;
use tokio::sync::{Notify, oneshot};

use crate::clock::unix_time_ms;
use crate::metrics::Metrics;
use crate::protocol::{
    ChainReading, FleetProtocol, PeerReply, RecordOperation, RecordReply, RecordRequest,
};

/// Maximum number of queued requests added to a batch, which is flushed once.
const MAX_BATCH: usize = 512;
/// Capacity of the request queue: several seconds of the busiest store (some 600 requests a second), after
/// which requests have timed out.
const QUEUE_CAPACITY: usize = 4096;
/// Size of an export page in bytes.
const EXPORT_PAGE_BYTES: usize = 256 * 1024;
/// Size in bytes above which a part of a chain that another store lacks ends.
const REPAIR_PART_BYTES: usize = 64 * 1024;
/// How often expired entries are dropped and usage is computed. Each run scans all entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Delay between two steps of compaction, so that requests take precedence.
const COMPACTION_DELAY: Duration = Duration::from_millis(50);
/// How often the contents are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A request to the disk thread.
enum DiskRequest {
    /// A request of a peer.
    Peer(Box<RecordRequest>, ReplySender<FleetProtocol>),
    /// Records of a partition that were read from another store.
    Import {
        partition: PartitionId,
        records: Vec<Record>,
        reason: ImportReason,
        done: oneshot::Sender<bool>,
    },
    /// Starts attempts to fetch missing ancestors of stored turns, at most the given number.
    StartRepairs(usize, oneshot::Sender<Vec<(PartitionId, MissingTurn)>>),
}

/// Why records of another store are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ImportReason {
    /// The store lacks whatever it was not there for. Refused while the store is full.
    CatchUp,
    /// The store lacks ancestors of its turns. They belong to turns in progress, for which space is reserved.
    Repair,
}

/// The number of missing ancestors of stored turns, as published by the disk thread.
#[derive(Debug, Default)]
struct GapCount {
    gaps: AtomicUsize,
    increased: Notify,
}

impl GapCount {
    fn set(&self, gaps: usize) {
        if self.gaps.swap(gaps, Ordering::Relaxed) < gaps {
            self.increased.notify_one();
        }
    }
}

/// Handle to the disk thread; never blocks.
#[derive(Clone)]
pub(super) struct Disk {
    requests: SyncSender<DiskRequest>,
    gaps: Arc<GapCount>,
}

impl Disk {
    /// Starts the disk thread.
    pub(super) fn start(store: RecordStore, metrics: Arc<Metrics>) -> std::io::Result<Self> {
        let (requests, received) = sync_channel(QUEUE_CAPACITY);
        let now = Instant::now();
        let gaps = Arc::new(GapCount::default());
        gaps.set(store.gaps());
        let mut worker = DiskWorker {
            store,
            gaps: gaps.clone(),
            hints: PromptHints::default(),
            metrics,
            expired_at: now,
            reported_at: now,
            was_full: false,
        };
        thread::Builder::new()
            .name("records".to_owned())
            .spawn(move || worker.run(&received))?;
        Ok(Self { requests, gaps })
    }

    /// Enqueues a request of a peer; replies `Unavailable` immediately if the queue is full.
    pub(super) fn answer(&self, request: RecordRequest, reply: ReplySender<FleetProtocol>) {
        let sent = self
            .requests
            .try_send(DiskRequest::Peer(Box::new(request), reply));
        let refused = match sent {
            Ok(()) => return,
            Err(TrySendError::Full(refused) | TrySendError::Disconnected(refused)) => refused,
        };
        if let DiskRequest::Peer(_, reply) = refused {
            reply.send(PeerReply::Records(RecordReply::Unavailable));
        }
    }

    /// Number of missing ancestors of stored turns.
    pub(super) fn gaps(&self) -> usize {
        self.gaps.gaps.load(Ordering::Relaxed)
    }

    /// Waits until ancestors of stored turns are missing.
    pub(super) async fn wait_for_gaps(&self) {
        while self.gaps() == 0 {
            self.gaps.increased.notified().await;
        }
    }

    /// Starts attempts to fetch missing ancestors of stored turns, and returns those that are due.
    pub(super) async fn start_repairs(&self, limit: usize) -> Vec<(PartitionId, MissingTurn)> {
        let (done, started) = oneshot::channel();
        let request = DiskRequest::StartRepairs(limit, done);
        if let Err(error) = self.requests.try_send(request) {
            log::warn!(event = "repair_put_off"; "cannot enqueue a request for missing turns: {error}");
            return Vec::new();
        }
        started.await.unwrap_or_else(|_| {
            log::warn!(event = "repair_put_off"; "the disk thread ended before it named missing turns");
            Vec::new()
        })
    }

    /// Writes records copied from another store; returns whether they were written.
    pub(super) async fn import(&self, partition: PartitionId, records: Vec<Record>) -> bool {
        self.write_copies(partition, records, ImportReason::CatchUp)
            .await
    }

    /// Writes missing ancestors of stored turns; returns whether they were written.
    pub(super) async fn repair(&self, partition: PartitionId, records: Vec<Record>) -> bool {
        self.write_copies(partition, records, ImportReason::Repair)
            .await
    }

    async fn write_copies(
        &self,
        partition: PartitionId,
        records: Vec<Record>,
        reason: ImportReason,
    ) -> bool {
        let (done, written) = oneshot::channel();
        let request = DiskRequest::Import {
            partition,
            records,
            reason,
            done,
        };
        if let Err(error) = self.requests.try_send(request) {
            log::warn!(event = "import_put_off", partition = partition.0; "cannot enqueue imported records: {error}");
            return false;
        }
        written.await.unwrap_or(false)
    }
}

struct DiskWorker {
    store: RecordStore,
    gaps: Arc<GapCount>,
    hints: PromptHints,
    metrics: Arc<Metrics>,
    expired_at: Instant,
    reported_at: Instant,
    was_full: bool,
}

impl DiskWorker {
    fn run(&mut self, requests: &Receiver<DiskRequest>) {
        let mut is_compacting = false;
        loop {
            let wait = if is_compacting {
                COMPACTION_DELAY
            } else {
                EXPIRY_INTERVAL
            };
            match requests.recv_timeout(wait) {
                Ok(first) => {
                    let mut batch = vec![first];
                    batch.extend(requests.try_iter().take(MAX_BATCH));
                    self.serve(batch);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            is_compacting = self.run_maintenance(is_compacting);
            self.log_contents();
        }
    }

    fn serve(&mut self, batch: Vec<DiskRequest>) {
        let now = unix_time_ms();
        let mut records = Vec::new();
        let mut epochs = BTreeMap::new();
        let mut answers = Vec::new();
        let is_full = self.store.is_full();
        for request in batch {
            match request {
                DiskRequest::Peer(request, reply) => {
                    let partition = request.partition;
                    let epoch = epochs
                        .entry(partition)
                        .or_insert_with(|| self.store.epoch(partition));
                    if !self.matches_view(&request, *epoch) {
                        reply.send(PeerReply::Records(RecordReply::StaleView));
                        continue;
                    }
                    if request.epoch > *epoch {
                        *epoch = request.epoch;
                        let record = Record::Epoch(request.epoch);
                        records.push(PartitionRecord { partition, record });
                    }
                    if let RecordOperation::Write { record, .. } = &request.operation {
                        if is_full && matches!(record, Record::Reserve { .. }) {
                            reply.send(PeerReply::Records(RecordReply::Full));
                            continue;
                        }
                        let record = record.clone();
                        records.push(PartitionRecord { partition, record });
                    }
                    answers.push((request, reply));
                }
                DiskRequest::StartRepairs(limit, done) => {
                    if done.send(self.store.start_repairs(now, limit)).is_err() {
                        log::warn!(event = "repair_abandoned"; "missing turns were requested, but nobody waits for them");
                    }
                }
                DiskRequest::Import {
                    partition,
                    records: imported,
                    reason,
                    done,
                } => {
                    let is_refused = is_full && reason == ImportReason::CatchUp;
                    let imported = imported.into_iter();
                    let entries = imported.map(|record| PartitionRecord { partition, record });
                    let is_written = !is_refused && self.write(now, entries.collect());
                    if done.send(is_written).is_err() {
                        log::warn!(event = "import_abandoned", partition = partition.0; "the import was abandoned before its result was returned");
                    }
                }
            }
        }
        let is_written = self.write(now, records);
        self.gaps.set(self.store.gaps());
        for (request, reply) in answers {
            let answer = if is_written {
                self.answer(now, *request)
            } else {
                RecordReply::Unavailable
            };
            reply.send(PeerReply::Records(answer));
        }
    }

    fn matches_view(&self, request: &RecordRequest, epoch: u64) -> bool {
        request.incarnation == self.store.incarnation() && request.epoch >= epoch
    }

    fn write(&mut self, now: u64, records: Vec<PartitionRecord>) -> bool {
        let count = records.len();
        let written = self.store.write(now, records);
        if let Err(error) = &written {
            log::error!(event = "disk_failed", records = count; "{error}");
        }
        written.is_ok()
    }

    fn answer(&mut self, now: u64, request: RecordRequest) -> RecordReply {
        let partition = request.partition;
        match request.operation {
            RecordOperation::Write { record, cached } => {
                self.reply_to_write(now, partition, record, cached)
            }
            RecordOperation::Chain { id, reading } => self.read_chain(partition, &id, reading),
            RecordOperation::Export { cursor } => {
                let page = self
                    .store
                    .export(partition, now, &cursor, EXPORT_PAGE_BYTES);
                match page {
                    Ok(page) => RecordReply::Page(page),
                    Err(error) => {
                        log::error!(event = "export_failed", partition = partition.0; "{error}");
                        RecordReply::Unavailable
                    }
                }
            }
        }
    }

    fn read_chain(
        &mut self,
        partition: PartitionId,
        id: &str,
        reading: ChainReading,
    ) -> RecordReply {
        let (max_turns, max_bytes) = match reading {
            ChainReading::Whole => return self.read_whole_chain(partition, id),
            ChainReading::Part => (usize::MAX, usize::MAX),
            ChainReading::Repair { max_turns } => (max_turns as usize, REPAIR_PART_BYTES),
        };
        let store = &mut self.store;
        RecordReply::ChainPart(store.chain_part(partition, id, max_turns, max_bytes))
    }

    fn read_whole_chain(&mut self, partition: PartitionId, id: &str) -> RecordReply {
        match self.store.chain(partition, id) {
            Ok(chain) => RecordReply::Chain(chain),
            Err(ReadError::Chain { source }) => RecordReply::IncompleteChain(source),
            Err(ReadError::File { source }) => {
                log::error!(event = "read_failed", turn = id, partition = partition.0; "{source}");
                RecordReply::Unavailable
            }
        }
    }

    fn reply_to_write(
        &mut self,
        now: u64,
        partition: PartitionId,
        record: Record,
        cached: Option<CachedPrompt>,
    ) -> RecordReply {
        let (reserved, hints) = match record {
            Record::Reserve { program, .. } => (
                self.store.reserved(partition, &program),
                self.hints.of(&program),
            ),
            Record::Settle { program, .. } => {
                if let Some(cached) = cached {
                    self.hints.record(now, &program, cached);
                }
                (Vec::new(), Vec::new())
            }
            Record::StoreTurn { .. } | Record::Epoch(_) => (Vec::new(), Vec::new()),
        };
        RecordReply::Written {
            reserved,
            cached: hints,
        }
    }

    /// Drops expired entries and runs one step of compaction; returns whether more steps are due.
    fn run_maintenance(&mut self, is_compacting: bool) -> bool {
        let now = unix_time_ms();
        let is_due = self.expired_at.elapsed() >= EXPIRY_INTERVAL;
        if is_due {
            self.expired_at = Instant::now();
            self.store.expire(now);
            self.gaps.set(self.store.gaps());
            self.hints.expire(now);
            self.log_capacity_change();
            self.metrics.set_records(&self.store.stats());
        }
        if !is_due && !is_compacting {
            return false;
        }
        self.store.compact(now).unwrap_or_else(|error| {
            log::error!(event = "cleaning_failed"; "{error}");
            false
        })
    }

    fn log_capacity_change(&mut self) {
        let is_full = self.store.is_full();
        if is_full != self.was_full {
            self.was_full = is_full;
            let figures = self.store.stats();
            log::warn!(event = "room_changed", is_full, file_bytes = figures.file_bytes, live_bytes = figures.live_bytes, index_bytes = figures.index_bytes; "the store started or stopped accepting new programs");
        }
    }

    /// Logs the contents and their size once per interval.
    fn log_contents(&mut self) {
        if self.reported_at.elapsed() < REPORT_INTERVAL {
            return;
        }
        self.reported_at = Instant::now();
        let figures = self.store.stats();
        log::info!(event = "records_kept", turns = figures.turns, reservations = figures.reservations, partitions = figures.partitions, segments = figures.segments, file_bytes = figures.file_bytes, live_bytes = figures.live_bytes, index_bytes = figures.index_bytes, cache_bytes = figures.cache_bytes, cache_hits = figures.cache_hits, cache_misses = figures.cache_misses, gaps = figures.gaps, carried_bytes = figures.compacted_bytes; "contents of the store");
    }
}
