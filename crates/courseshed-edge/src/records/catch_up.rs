//! Catch-up of a joining store: it copies a partition from enough replicas before it counts for quorums.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{PartitionId, PartitionMap, RecordView};
use tokio::time::{sleep, timeout};

use super::replica_client::ReplicaClient;
use crate::control_client::ControlClient;

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a joining store needs.
pub(super) struct CatchUp {
    pub client: Arc<ReplicaClient>,
    pub control: ControlClient,
}

/// Catches up on each partition that lists this store as joining.
pub(super) async fn run(catch_up: CatchUp) {
    let mut watch = catch_up.client.follower.watch();
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
                .report_caught_up(catch_up.client.incarnation, &caught_up)
                .await;
        }
        let _ = timeout(RETRY_DELAY, watch.changed()).await;
    }
}

impl CatchUp {
    /// The partitions of which this store is an inactive member.
    fn joining(&self, records: &PartitionMap) -> Vec<PartitionId> {
        let client = &self.client;
        let is_joining = |view: &RecordView| {
            view.member(client.node)
                .is_some_and(|member| !member.active && member.incarnation == client.incarnation)
        };
        let joining = records.views().filter(|(_, view)| is_joining(view));
        joining.map(|(partition, _)| partition).collect()
    }

    async fn read_from_sources(&self, partition: PartitionId, records: &PartitionMap) -> bool {
        let view = records.view(partition);
        let client = &self.client;
        let needed = view.sources_needed();
        let copied = client.copy_from_sources(partition, view, needed, Duration::ZERO, || None);
        let is_copied = copied.await.is_some();
        // A newer view may require other sources, so the catch-up must be repeated.
        let newest = client.follower.view().records;
        is_copied && newest.view(partition).epoch == view.epoch
    }
}
