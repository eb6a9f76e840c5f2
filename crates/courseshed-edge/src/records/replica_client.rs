//! What a store needs to read from the other replicas of its partitions.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{ExportCursor, PartitionId, RecordMember, RecordView};
use courseshed_types::{NodeId, ZoneMap};
use tokio::time::sleep;

use super::disk::Disk;
use super::query_order::order_of_sources;
use super::requests::send_to_store;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, RecordOperation, RecordReply, RecordRequest};

const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A store as a client of other stores.
pub(super) struct ReplicaClient {
    pub node: NodeId,
    /// The zone of this store.
    pub zone: String,
    /// The region of each zone.
    pub zones: Arc<ZoneMap>,
    pub incarnation: u64,
    pub peers: Arc<Peers>,
    pub addresses: PeerAddresses,
    pub follower: Arc<FleetFollower>,
    pub disk: Disk,
}

impl ReplicaClient {
    /// Sends a request to another replica; `None` without an answer in time.
    pub(super) async fn request(
        &self,
        partition: PartitionId,
        epoch: u64,
        replica: &RecordMember,
        operation: RecordOperation,
        limit: Duration,
    ) -> Option<RecordReply> {
        let request = RecordRequest::new(replica, partition, epoch, operation);
        send_to_store(&self.peers, self.addresses, replica.node, request, limit).await
    }

    /// The other replicas that this store may read from, in the order of preference.
    pub(super) fn sources<'a>(
        &self,
        view: &'a RecordView,
    ) -> impl Iterator<Item = &'a RecordMember> {
        let node = self.node;
        let sources = order_of_sources(view, &self.zones, &self.zone).into_iter();
        sources.filter(move |source| source.node != node)
    }

    /// Copies the records of a partition from as many other replicas as are needed, see [`Self::copy_from`]. Returns
    /// the number of records, or `None` if too few replicas answered.
    pub(super) async fn copy_from_sources(
        &self,
        partition: PartitionId,
        view: &RecordView,
        needed: usize,
        page_delay: Duration,
        max_age: impl Fn() -> Option<Duration>,
    ) -> Option<usize> {
        let mut remaining = needed;
        let mut copied = 0;
        for source in self.sources(view) {
            if remaining == 0 {
                break;
            }
            let records = self.copy_from(partition, view.epoch, source, page_delay, &max_age);
            if let Some(records) = records.await {
                copied += records;
                remaining -= 1;
            }
        }
        (remaining == 0).then_some(copied)
    }

    /// Copies the records of a partition from another replica, in pages with a delay between them. `max_age` is
    /// called for each page, and limits it to records received within that time. Returns the number of records, or
    /// `None` if not all pages were copied.
    async fn copy_from(
        &self,
        partition: PartitionId,
        epoch: u64,
        source: &RecordMember,
        page_delay: Duration,
        max_age: impl Fn() -> Option<Duration>,
    ) -> Option<usize> {
        let mut cursor = ExportCursor::default();
        let mut copied = 0;
        loop {
            let age_ms = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            cursor.max_age_ms = max_age().map(age_ms);
            let operation = RecordOperation::Export { cursor };
            let reply = self
                .request(partition, epoch, source, operation, PAGE_TIMEOUT)
                .await;
            let Some(RecordReply::Page(page)) = reply else {
                return None;
            };
            copied += page.records.len();
            if !page.records.is_empty() && !self.disk.import(partition, page.records).await {
                return None;
            }
            match page.next {
                Some(next) => cursor = next,
                None => return Some(copied),
            }
            sleep(page_delay).await;
        }
    }
}
