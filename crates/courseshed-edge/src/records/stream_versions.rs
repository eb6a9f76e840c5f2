//! The software versions at which streams began: a store's table of them, and the requests of gateways.
//!
//! A gateway records the version beside the first event, without waiting, at all replicas of a partition
//! that every gateway works out from the stream. Any one replica that knows the version is enough to read
//! it, since a stream has a single version; without one the version is unknown, and is never guessed.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{PartitionId, StreamVersions};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep, timeout};

use super::client::RecordClient;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::protocol::{RecordReply, RecordRequest, StreamOperation};

/// Timeout of a request: above the round-trip time between regions (60 ms), and a small part of the
/// time that a client waits.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a store drops expired entries. Each run scans all entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// The result of looking up the version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersionLookup {
    /// The version.
    Known(String),
    /// A majority of the replicas answered, and none of them knows the stream.
    Unknown,
    /// Too few replicas answered.
    Unavailable,
}

impl RecordClient {
    /// Records the version at which a stream began, for as long as a client may resume it. Returns
    /// whether any replica took it.
    pub async fn record_stream_version(
        &self,
        stream: String,
        version: String,
        keep: Duration,
    ) -> bool {
        let operation = StreamOperation::Record {
            stream,
            version,
            keep_ms: u64::try_from(keep.as_millis()).unwrap_or(u64::MAX),
        };
        let mut replies = self.request_all(&operation);
        let mut is_recorded = false;
        while let Some(reply) = replies.next().await {
            is_recorded |= matches!(reply, Some(RecordReply::StreamVersion(Some(_))));
        }
        is_recorded
    }

    /// Looks up the version at which a stream began.
    pub async fn stream_version(&self, stream: &str, deadline: Instant) -> StreamVersionLookup {
        let partition = PartitionId::of_program(stream);
        let quorum = self.partitions().view(partition).quorum();
        let operation = StreamOperation::Read {
            stream: stream.to_owned(),
        };
        let mut replies = self.request_all(&operation);
        let mut misses = 0;
        let answered = async {
            while let Some(reply) = replies.next().await {
                match reply {
                    Some(RecordReply::StreamVersion(Some(version))) => return Some(version),
                    Some(RecordReply::StreamVersion(None)) => misses += 1,
                    _ => {}
                }
            }
            None
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        match timeout(limit, answered).await {
            Ok(Some(version)) => StreamVersionLookup::Known(version),
            Ok(None) if misses >= quorum => StreamVersionLookup::Unknown,
            Ok(None) | Err(_) => StreamVersionLookup::Unavailable,
        }
    }

    /// Sends an operation to all replicas of the stream's partition.
    fn request_all<'a>(
        &'a self,
        operation: &StreamOperation,
    ) -> FuturesUnordered<impl Future<Output = Option<RecordReply>> + use<'a>> {
        let partition = PartitionId::of_program(operation.stream());
        let partitions = self.partitions();
        let view = partitions.view(partition);
        let replicas = view.members.iter().chain(&view.former);
        replicas
            .map(|replica| {
                let request = RecordRequest {
                    stream: Some(operation.clone()),
                    ..RecordRequest::in_memory(replica, partition, view.epoch)
                };
                self.send(replica.node, request, REQUEST_TIMEOUT)
            })
            .collect()
    }
}

/// The versions of streams that a store holds.
#[derive(Clone)]
pub(super) struct StreamVersionTable {
    versions: Arc<Mutex<StreamVersions>>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl StreamVersionTable {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            versions: Arc::default(),
            clock: Clock::start(),
            metrics,
        }
    }

    /// Carries out an operation and returns the version that is known afterwards.
    pub(super) fn answer(&self, operation: StreamOperation) -> Option<String> {
        let now = self.clock.now();
        let mut versions = self.versions.lock();
        let known = match operation {
            StreamOperation::Record {
                stream,
                version,
                keep_ms,
            } => versions.record(now, stream, version, Duration::from_millis(keep_ms)),
            StreamOperation::Read { stream } => versions.version_of(now, &stream),
        };
        known.map(str::to_owned)
    }

    /// Drops expired entries until the process exits.
    pub(super) async fn drop_expired(self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let mut versions = self.versions.lock();
            versions.expire(self.clock.now());
            let held = i64::try_from(versions.len()).unwrap_or(i64::MAX);
            self.metrics.stream_versions.set(held);
        }
    }
}
