//! Closes the gaps of a store: fetches missing ancestors of its turns from other replicas.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{
    GAP_REPAIR_DELAY_MS, MissingTurn, PartitionId, Record, RecordMember, Turn,
};
use futures_util::{StreamExt, stream};
use tokio::time::{Instant, sleep};

use super::chains::part_of;
use super::replica_client::ReplicaClient;
use crate::clock::unix_time_ms;
use crate::metrics::Metrics;
use crate::protocol::{ChainReading, RecordOperation};

/// Maximum number of gaps per pass.
const MAX_GAPS_PER_PASS: usize = 64;
/// Requests under way at a time. Bounds the bytes in flight, together with the size of a part.
const MAX_CONCURRENT_REQUESTS: usize = 8;
/// Delay between passes, which leaves the disk thread to other requests.
const PASS_DELAY: Duration = Duration::from_millis(50);
/// Delay between passes while no gap is due.
const IDLE_DELAY: Duration = Duration::from_millis(GAP_REPAIR_DELAY_MS / 2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What was repaired since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Repaired {
    turns: usize,
    bytes: usize,
    /// Gaps that no replica could narrow.
    unrepaired_gaps: usize,
}

impl Repaired {
    fn add(&mut self, other: Self) {
        self.turns += other.turns;
        self.bytes += other.bytes;
        self.unrepaired_gaps += other.unrepaired_gaps;
    }
}

/// Repairs gaps until the process exits. Does nothing while there are none.
pub(super) async fn run(client: Arc<ReplicaClient>, metrics: Arc<Metrics>) {
    let mut repaired = Repaired::default();
    let mut reported_at = Instant::now();
    loop {
        client.disk.wait_for_gaps().await;
        let due = client.disk.start_repairs(MAX_GAPS_PER_PASS).await;
        let is_idle = due.is_empty();
        let repairs = stream::iter(due)
            .map(|(partition, missing)| repair(&client, partition, missing))
            .buffer_unordered(MAX_CONCURRENT_REQUESTS);
        let pass = repairs.fold(Repaired::default(), async |mut sum, one| {
            sum.add(one);
            sum
        });
        let pass = pass.await;
        metrics.turns_repaired.inc_by(pass.turns as u64);
        metrics.repaired_bytes.inc_by(pass.bytes as u64);
        repaired.add(pass);
        let waiting = client.disk.gaps();
        let is_due = waiting == 0 || reported_at.elapsed() >= REPORT_INTERVAL;
        if is_due && repaired != Repaired::default() {
            let Repaired {
                turns,
                bytes,
                unrepaired_gaps,
            } = repaired;
            log::info!(event = "chains_repaired", turns, bytes, unrepaired_gaps, waiting; "missing ancestors of stored turns were fetched from other replicas");
            repaired = Repaired::default();
            reported_at = Instant::now();
        }
        sleep(if is_idle { IDLE_DELAY } else { PASS_DELAY }).await;
    }
}

/// Fetches a missing turn, and older ones with it, from the first replica that has it.
async fn repair(client: &ReplicaClient, partition: PartitionId, missing: MissingTurn) -> Repaired {
    let records = client.follower.view().records;
    let view = records.view(partition);
    if !view.is_active(client.node, client.incarnation) {
        // A joining replica reads everything from others; one that was replaced drops its records.
        return Repaired::default();
    }
    let operation = RecordOperation::Chain {
        id: missing.id.clone(),
        reading: ChainReading::Repair {
            max_turns: missing.repaired_turns.saturating_add(1),
        },
    };
    for source in client.sources(view) {
        let turns = fetch(client, partition, view.epoch, source, operation.clone()).await;
        if turns.is_empty() {
            continue;
        }
        let count = turns.len();
        let bytes = turns.iter().map(Turn::content_bytes).sum();
        let keep_ms = missing.expires_ms.saturating_sub(unix_time_ms());
        let records = turns.into_iter();
        let records = records.map(|turn| Record::StoreTurn { turn, keep_ms });
        if client.disk.repair(partition, records.collect()).await {
            return Repaired {
                turns: count,
                bytes,
                unrepaired_gaps: 0,
            };
        }
    }
    Repaired {
        unrepaired_gaps: 1,
        ..Repaired::default()
    }
}

/// The newest turns of a part of a chain, newest first; empty if the replica lacks the turn or does not answer.
async fn fetch(
    client: &ReplicaClient,
    partition: PartitionId,
    epoch: u64,
    source: &RecordMember,
    operation: RecordOperation,
) -> Vec<Turn> {
    let reply = client
        .request(partition, epoch, source, operation, REQUEST_TIMEOUT)
        .await;
    let part = reply.and_then(part_of);
    part.map(|part| part.turns).unwrap_or_default()
}
