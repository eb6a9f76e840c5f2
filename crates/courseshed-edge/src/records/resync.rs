//! Copies to a store what other replicas received while it was away: stopped, paused or cut off.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::PartitionId;
use tokio::time::{Instant, sleep};

use super::replica_client::ReplicaClient;
use crate::clock::unix_time_ms;
use crate::follower::Absence;
use crate::metrics::Metrics;

/// Added to the time of an absence: longer than a write is under way.
const MARGIN: Duration = Duration::from_secs(2);
/// Delay between pages, which leaves links and disks to other requests: at most some 2.5 MB/s.
const PAGE_DELAY: Duration = Duration::from_millis(100);
/// Delay before partitions are tried again that could not be copied. Doubles each time.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(16);

/// Copies missed records after the start and after each absence, until the process exits. `newest_record_ms` is the
/// time of the newest record that was on disk at the start.
pub(super) async fn run(
    client: Arc<ReplicaClient>,
    metrics: Arc<Metrics>,
    newest_record_ms: Option<u64>,
) {
    let mut absences = client.follower.absences();
    if let Some(newest_record_ms) = newest_record_ms {
        let age_ms = unix_time_ms().saturating_sub(newest_record_ms);
        let absence = Absence::noticed_after(Duration::from_millis(age_ms));
        wait_for_replicas(&client).await;
        copy_missed(&client, &metrics, absence).await;
    }
    while let Some(absence) = absences.recv().await {
        copy_missed(&client, &metrics, absence).await;
    }
}

/// Waits until the views name this store as a replica.
async fn wait_for_replicas(client: &ReplicaClient) {
    let mut watch = client.follower.watch();
    let named = watch.wait_for(|view| {
        let records = &view.records;
        records.has_replica_on_disk(client.node, client.incarnation)
    });
    if named.await.is_err() {
        log::warn!(event = "follower_ended"; "the views of partitions are no longer followed");
    }
}

/// Copies what other replicas received since an absence began.
async fn copy_missed(client: &ReplicaClient, metrics: &Metrics, absence: Absence) {
    let began = Instant::now();
    let away_ms = absence.age().as_millis() as u64;
    let records = client.follower.view().records;
    let mut remaining: Vec<PartitionId> = records.views().map(|(id, _)| id).collect();
    let mut copied = 0;
    let mut retry_delay = RETRY_DELAY;
    loop {
        let mut failed = Vec::new();
        for partition in remaining {
            match copy_partition(client, partition, absence).await {
                Some(records) => copied += records,
                None => failed.push(partition),
            }
        }
        if failed.is_empty() {
            break;
        }
        remaining = failed;
        sleep(retry_delay).await;
        retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
    }
    metrics.records_copied.inc_by(copied as u64);
    let took_ms = began.elapsed().as_millis() as u64;
    log::info!(event = "missed_records_copied", away_ms, records = copied, took_ms; "the store has read what other replicas received while it was away");
}

/// Copies what other replicas of a partition received since an absence began, from as many as have everything
/// that a quorum without this store accepted. Returns the number of records; `None` if too few answered.
async fn copy_partition(
    client: &ReplicaClient,
    partition: PartitionId,
    absence: Absence,
) -> Option<usize> {
    let records = client.follower.view().records;
    let view = records.view(partition);
    if !view.is_active(client.node, client.incarnation) {
        // A joining replica reads everything from others.
        return Some(0);
    }
    let needed = view.sources_needed() - 1;
    let max_age = || Some(absence.age() + MARGIN);
    client
        .copy_from_sources(partition, view, needed, PAGE_DELAY, max_age)
        .await
}
