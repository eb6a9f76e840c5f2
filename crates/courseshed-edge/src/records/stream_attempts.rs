//! Streams under way at the stores: a store's table of them, and the requests of gateways.
//!
//! A stream is found by a key of what is asked, which alone decides its partition. A reader merges what all replicas
//! know that answer, a quorum at least. On routes that store turns a piece of
//! output is passed on once a quorum of replicas keeps it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_records::{
    AttemptReceipt, AttemptUpdate, EventMark, OutputPiece, PartitionId, RecordMember, RecordView,
    ResumedAttempt, StreamAttempt, StreamAttempts, resumed_attempt,
};
use courseshed_types::NodeId;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep, timeout};

use super::client::{RecordClient, RecordsUnavailable};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::protocol::{AttemptOperation, RecordReply, RecordRequest};

/// Timeout of a request: above the round-trip time between regions (60 ms), and below the pauses after which clients
/// give a stream up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a store drops expired entries. Each run scans all entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// The result of looking up the attempt that a client goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptLookup {
    /// What a quorum of replicas knows.
    Known(ResumedAttempt),
    /// Too few replicas answered.
    Unavailable,
}

impl RecordClient {
    /// Records an attempt at a stream. Returns whether a quorum of replicas took it.
    pub async fn record_attempt(
        &self,
        stream: String,
        update: AttemptUpdate,
        keep: Duration,
    ) -> bool {
        let written = self.write_attempt(&stream, keep, |_| update.clone()).await;
        written.is_ok()
    }

    /// Looks up the attempt that a client goes on from, with its output up to the client's last event.
    pub async fn resumed_attempt(
        &self,
        stream: &str,
        named: Option<&str>,
        through: u64,
        deadline: Instant,
    ) -> AttemptLookup {
        let partition = PartitionId::of_program(stream);
        let view = self.partitions().view(partition).clone();
        let replicas = view.members.iter().chain(&view.former);
        let operation = |_: NodeId| AttemptOperation::Read {
            stream: stream.to_owned(),
            through: Some(through),
        };
        let mut replies = self.request_replicas(partition, &view, replicas, &operation);
        let mut answers = 0;
        let mut attempts: Vec<StreamAttempt> = Vec::new();
        // All of them: one that was restarted or replaced since answers without the attempts that it took.
        let answered = async {
            while let Some((node, reply)) = replies.next().await {
                if let Some(RecordReply::Attempts(known)) = reply {
                    answers += usize::from(view.member(node).is_some());
                    attempts.extend(known);
                }
            }
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        let is_answered = timeout(limit, answered).await.is_ok();
        match is_answered && answers >= view.quorum() {
            true => AttemptLookup::Known(resumed_attempt(attempts, named)),
            false => AttemptLookup::Unavailable,
        }
    }

    /// Writes to all replicas, and returns what those keep that answered until there was a quorum of them.
    async fn write_attempt(
        &self,
        stream: &str,
        keep: Duration,
        update_for: impl Fn(NodeId) -> AttemptUpdate,
    ) -> Result<Vec<(NodeId, u64)>, RecordsUnavailable> {
        let partition = PartitionId::of_program(stream);
        let view = self.partitions().view(partition).clone();
        let quorum = view.quorum();
        let operation = |node: NodeId| AttemptOperation::Record {
            stream: stream.to_owned(),
            update: update_for(node),
            keep_ms: u64::try_from(keep.as_millis()).unwrap_or(u64::MAX),
        };
        let mut replies = self.request_replicas(partition, &view, view.members.iter(), &operation);
        let mut kept = Vec::new();
        let mut is_full = false;
        while let Some((node, reply)) = replies.next().await {
            match reply {
                Some(RecordReply::AttemptRecorded(AttemptReceipt::Recorded { kept: bytes })) => {
                    kept.push((node, bytes));
                }
                Some(RecordReply::AttemptRecorded(AttemptReceipt::Full)) => is_full = true,
                _ => {}
            }
            if kept.len() >= quorum {
                return Ok(kept);
            }
        }
        Err(match is_full {
            true => RecordsUnavailable::StoresFull,
            false => RecordsUnavailable::NoQuorum,
        })
    }

    fn request_replicas<'a, 'view>(
        &'a self,
        partition: PartitionId,
        view: &RecordView,
        replicas: impl Iterator<Item = &'view RecordMember>,
        operation: &dyn Fn(NodeId) -> AttemptOperation,
    ) -> FuturesUnordered<BoxFuture<'a, (NodeId, Option<RecordReply>)>> {
        replicas
            .map(|replica| {
                let node = replica.node;
                let request = RecordRequest {
                    attempt: Some(Box::new(operation(node))),
                    ..RecordRequest::in_memory(replica, partition, view.epoch)
                };
                async move { (node, self.send(node, request, REQUEST_TIMEOUT).await) }.boxed()
            })
            .collect()
    }
}

/// Keeps the output of an attempt at the stores while it is passed on to the client.
pub struct OutputKeeper {
    records: RecordClient,
    stream: String,
    request: String,
    resumes: Option<String>,
    version: Option<String>,
    keep: Duration,
    /// In the order of their ends.
    marks: Vec<EventMark>,
    /// Bytes that each replica keeps, as far as is known.
    kept: BTreeMap<NodeId, u64>,
}

impl OutputKeeper {
    /// Registers an attempt before it runs, with the output that it goes on from.
    ///
    /// # Errors
    /// [`RecordsUnavailable`] if no quorum of replicas took it.
    pub async fn open(
        records: RecordClient,
        stream: String,
        update: AttemptUpdate,
        keep: Duration,
    ) -> Result<Self, RecordsUnavailable> {
        let piece = update.output.unwrap_or_default();
        let mut keeper = Self {
            records,
            stream,
            request: update.request,
            resumes: update.resumes,
            version: update.version,
            keep,
            marks: piece.marks,
            kept: BTreeMap::new(),
        };
        keeper.keep(&piece.data).await?;
        Ok(keeper)
    }

    /// Notes the version of the run.
    pub fn set_version(&mut self, version: Option<String>) {
        self.version = self.version.take().or(version);
    }

    /// Notes where the output of an event ends.
    pub fn mark(&mut self, id: u64, end: usize) {
        self.marks.push(EventMark {
            id,
            end: end as u64,
        });
    }

    /// Waits until a quorum of replicas keeps the whole output so far.
    ///
    /// # Errors
    /// [`RecordsUnavailable`] if they don't; the next call sends what is missing again.
    pub async fn keep(&mut self, output: &[u8]) -> Result<(), RecordsUnavailable> {
        let update_for = |node: NodeId| AttemptUpdate {
            request: self.request.clone(),
            resumes: self.resumes.clone(),
            version: self.version.clone(),
            output: Some(self.piece_for(node, output)),
        };
        let written = self
            .records
            .write_attempt(&self.stream, self.keep, update_for)
            .await?;
        let length = output.len() as u64;
        let quorum = written.len();
        let whole = written.iter().filter(|(_, kept)| *kept >= length).count();
        self.kept.extend(written);
        if whole < quorum {
            return Err(RecordsUnavailable::NoQuorum);
        }
        Ok(())
    }

    /// The output that a replica lacks.
    fn piece_for(&self, node: NodeId, output: &[u8]) -> OutputPiece {
        let offset = self.kept.get(&node).copied().unwrap_or(0);
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(output.len());
        // An event without data ends where the one before it does, so a mark at the offset may be new.
        let first = self.marks.partition_point(|mark| mark.end < offset);
        OutputPiece {
            offset: from as u64,
            data: Bytes::copy_from_slice(&output[from..]),
            marks: self.marks[first..].to_vec(),
        }
    }
}

/// The streams under way that a store holds.
#[derive(Clone)]
pub(super) struct StreamAttemptTable {
    attempts: Arc<Mutex<StreamAttempts>>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl StreamAttemptTable {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            attempts: Arc::default(),
            clock: Clock::start(),
            metrics,
        }
    }

    pub(super) fn answer(&self, operation: AttemptOperation) -> RecordReply {
        let now = self.clock.now();
        let mut attempts = self.attempts.lock();
        match operation {
            AttemptOperation::Record {
                stream,
                update,
                keep_ms,
            } => {
                let keep = Duration::from_millis(keep_ms);
                RecordReply::AttemptRecorded(attempts.record(now, stream, update, keep))
            }
            AttemptOperation::Read { stream, through } => {
                RecordReply::Attempts(attempts.attempts_at(now, &stream, through))
            }
        }
    }

    /// Drops expired entries until the process exits.
    pub(super) async fn drop_expired(self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let mut attempts = self.attempts.lock();
            attempts.expire(self.clock.now());
            let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.stream_attempts.set(number(attempts.len()));
            self.metrics
                .stream_output_bytes
                .set(number(attempts.charged_bytes()));
        }
    }
}
