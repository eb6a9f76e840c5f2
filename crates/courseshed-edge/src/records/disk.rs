//! The thread that writes a store's records to its disk.
//!
//! Invariant: the tables hold only what is on disk, so every answer is about what would survive.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use courseshed_records::{
    ChainError, ExportPage, Journal, PartitionId, PartitionRecord, PartitionTables, Record,
    RecordReplica, Turn,
};
use courseshed_transport::ReplySender;

use crate::clock::time_of_day_ms;
use crate::protocol::{FleetProtocol, PeerReply, RecordOperation, RecordReply, RecordRequest};

/// Requests taken in before one flush.
const BATCH: usize = 512;
/// Size of one piece of an export, in bytes.
const EXPORT_PAGE_BYTES: usize = 256 * 1024;
/// How often what need not be kept is dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// How often the log tells what is kept: often enough to see it grow in an incident of a minute,
/// and a tenth of a line a second for a store.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// What the thread is asked.
pub(super) enum DiskRequest {
    /// A peer's request.
    Peer(RecordRequest, ReplySender<FleetProtocol>),
    /// Records of a partition read from another store.
    Import(PartitionId, Vec<Record>, tokio::sync::oneshot::Sender<bool>),
}

/// Starts the thread.
pub(super) fn start(
    journal: Journal,
    tables: PartitionTables,
) -> std::io::Result<Sender<DiskRequest>> {
    let (sender, requests) = channel();
    let mut writer = DiskWriter {
        journal,
        tables,
        reported_at: Instant::now(),
    };
    thread::Builder::new()
        .name("records".to_owned())
        .spawn(move || writer.run(&requests))?;
    Ok(sender)
}

struct DiskWriter {
    journal: Journal,
    tables: PartitionTables,
    reported_at: Instant,
}

impl DiskWriter {
    fn run(&mut self, requests: &Receiver<DiskRequest>) {
        loop {
            match requests.recv_timeout(EXPIRY_INTERVAL) {
                Ok(first) => {
                    let mut batch = vec![first];
                    batch.extend(requests.try_iter().take(BATCH));
                    self.serve(batch);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.tidy();
            self.report();
        }
    }

    /// Tells now and then what is kept and how large the files are.
    fn report(&mut self) {
        if self.reported_at.elapsed() < REPORT_INTERVAL {
            return;
        }
        self.reported_at = Instant::now();
        let partitions = self.tables.replicas().count();
        log::info!(event = "records_kept", records = self.tables.len(), partitions, file_bytes = self.journal.bytes(); "what the store keeps");
    }

    fn serve(&mut self, batch: Vec<DiskRequest>) {
        let now = time_of_day_ms();
        let mut records = Vec::new();
        let mut epochs = BTreeMap::new();
        let mut answers = Vec::new();
        for request in batch {
            match request {
                DiskRequest::Peer(request, reply) => {
                    let partition = request.partition;
                    let epoch = epochs
                        .entry(partition)
                        .or_insert_with(|| self.tables.epoch(partition));
                    if !self.is_for_us(&request, *epoch) {
                        reply.send(PeerReply::Records(RecordReply::OtherView));
                        continue;
                    }
                    if request.epoch > *epoch {
                        *epoch = request.epoch;
                        let record = Record::Epoch(request.epoch);
                        records.push(PartitionRecord { partition, record });
                    }
                    if let RecordOperation::Write(record) = &request.operation {
                        let record = record.clone();
                        records.push(PartitionRecord { partition, record });
                    }
                    answers.push((request, reply));
                }
                DiskRequest::Import(partition, imported, done) => {
                    let imported = imported.into_iter();
                    let entries = imported.map(|record| PartitionRecord { partition, record });
                    let result = self.write(now, entries.collect());
                    let _ = done.send(result);
                }
            }
        }
        let is_written = self.write(now, records);
        for (request, reply) in answers {
            let answer = if is_written {
                self.answer(now, request)
            } else {
                RecordReply::Unavailable
            };
            reply.send(PeerReply::Records(answer));
        }
    }

    fn is_for_us(&self, request: &RecordRequest, epoch: u64) -> bool {
        request.incarnation == self.journal.incarnation() && request.epoch >= epoch
    }

    /// Writes, then takes into the tables.
    fn write(&mut self, now: u64, records: Vec<PartitionRecord>) -> bool {
        if records.is_empty() {
            return true;
        }
        if let Err(error) = self.journal.append(now, &records) {
            log::error!(event = "disk_failed", records = records.len(); "{error}");
            return false;
        }
        for entry in records {
            self.tables.apply(now, entry);
        }
        true
    }

    fn answer(&self, now: u64, request: RecordRequest) -> RecordReply {
        let replica = self.tables.replica(request.partition);
        match request.operation {
            RecordOperation::Write(Record::Reserve { program, .. }) => {
                RecordReply::Written(replica.map_or_else(Vec::new, |it| it.reserved(&program)))
            }
            RecordOperation::Write(_) => RecordReply::Written(Vec::new()),
            RecordOperation::Chain { id } => match chain_of(replica, id) {
                Ok(chain) => RecordReply::Chain(chain),
                Err(error) => RecordReply::NoChain(error),
            },
            RecordOperation::Export { cursor } => {
                let page = replica.map(|it| it.export(now, &cursor, EXPORT_PAGE_BYTES));
                RecordReply::Page(page.unwrap_or(ExportPage {
                    records: Vec::new(),
                    next: None,
                }))
            }
        }
    }

    fn tidy(&mut self) {
        let now = time_of_day_ms();
        self.tables.expire(now);
        if self.journal.wants_rewrite() {
            let before = self.journal.bytes();
            let begun = Instant::now();
            match self.journal.rewrite(now, &self.tables) {
                Ok(()) => {
                    log::info!(event = "journal_rewritten", bytes_before = before, bytes = self.journal.bytes(), took_ms = begun.elapsed().as_millis() as u64; "the journal was rewritten with what is kept");
                }
                Err(error) => log::error!(event = "rewrite_failed"; "{error}"),
            }
        }
    }
}

fn chain_of(replica: Option<&RecordReplica>, id: String) -> Result<Vec<Turn>, ChainError> {
    match replica {
        Some(replica) => replica.chain(&id),
        None => Err(ChainError::Missing { id }),
    }
}
