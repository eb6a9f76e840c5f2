//! Catch-up of a joining store: it copies a partition from enough replicas before it counts for quorums.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{ExportCursor, PartitionId, PartitionMap, RecordMember, RecordView};
use courseshed_types::{NodeId, ZoneMap};
use tokio::time::{sleep, timeout};

use super::disk::Disk;
use super::query_order::order_of_sources;
use crate::control_client::ControlClient;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{
    PeerAddresses, PeerPort, PeerReply, PeerRequest, RecordOperation, RecordReply, RecordRequest,
};

const RETRY_DELAY: Duration = Duration::from_millis(200);
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) struct CatchUp {
    pub node: NodeId,
    /// The zone of this store.
    pub zone: String,
    /// The region of each zone.
    pub zones: Arc<ZoneMap>,
    pub incarnation: u64,
    pub peers: Arc<Peers>,
    pub addresses: PeerAddresses,
    pub follower: Arc<FleetFollower>,
    pub control: ControlClient,
    pub disk: Disk,
}

/// Catches up on each partition that lists this store as joining.
pub(super) async fn run(catch_up: CatchUp) {
    let mut watch = catch_up.follower.watch();
    loop {
        let records = watch.borrow_and_update().records.clone();
        let joining = catch_up.joining(&records);
        if joining.is_empty() {
            if watch.changed().await.is_err() {
                sleep(RETRY_DELAY).await;
            }
            continue;
        }
        let mut caught_up = Vec::new();
        for partition in joining {
            if catch_up.read_from_sources(partition, &records).await {
                caught_up.push(partition);
            }
        }
        if !caught_up.is_empty() {
            log::info!(event = "caught_up", partitions:? = caught_up, revision = records.revision(); "the store has caught up on partitions that it joins");
            let control = &catch_up.control;
            control
                .report_caught_up(catch_up.incarnation, &caught_up)
                .await;
        }
        let _ = timeout(RETRY_DELAY, watch.changed()).await;
    }
}

impl CatchUp {
    /// The partitions of which this store is an inactive member.
    fn joining(&self, records: &PartitionMap) -> Vec<PartitionId> {
        let is_joining = |view: &RecordView| {
            view.member(self.node)
                .is_some_and(|member| !member.active && member.incarnation == self.incarnation)
        };
        let joining = records.views().filter(|(_, view)| is_joining(view));
        joining.map(|(partition, _)| partition).collect()
    }

    async fn read_from_sources(&self, partition: PartitionId, records: &PartitionMap) -> bool {
        let view = records.view(partition);
        let mut remaining = view.sources_needed();
        for source in order_of_sources(view, &self.zones, &self.zone) {
            if remaining > 0 && self.read_from(partition, view.epoch, source).await {
                remaining -= 1;
            }
        }
        // A newer view may require other sources, so the catch-up must be repeated.
        let newest = self.follower.view().records;
        remaining == 0 && newest.view(partition).epoch == view.epoch
    }

    async fn read_from(&self, partition: PartitionId, epoch: u64, source: &RecordMember) -> bool {
        let address = self.addresses.of(source.node, PeerPort::Store);
        self.peers.set_address(source.node, address);
        let mut cursor = ExportCursor::default();
        loop {
            let request = RecordRequest {
                incarnation: source.incarnation,
                partition,
                epoch,
                operation: RecordOperation::Export { cursor },
                stream: None,
            };
            let request = PeerRequest::Records(request);
            let reply = self.peers.request(source.node, request, PAGE_TIMEOUT).await;
            let Ok(PeerReply::Records(RecordReply::Page(page))) = reply else {
                return false;
            };
            if !self.disk.import(partition, page.records).await {
                return false;
            }
            match page.next {
                Some(next) => cursor = next,
                None => return true,
            }
        }
    }
}
