//! Circuit breaker for partitions that have no quorum of stores. Pure: times are passed in.
//!
//! An outage is expected to last as long again as it has lasted. A call waits if its remaining time is at
//! least that, and is refused immediately otherwise, so that its client can retry. One call per interval is
//! let through as a probe.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_records::PartitionId;
use tokio::time::Instant;

/// Interval between probes of a partition.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The decision for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageDecision {
    /// There is no outage, or it is expected to end before the deadline.
    Wait,
    /// The outage is expected to outlast the call, which queries the stores once as a probe.
    Probe,
    /// The outage is expected to outlast the call.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Instant,
    probed: Instant,
}

/// The partitions without a quorum of stores, as seen by one gateway.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    by_partition: BTreeMap<PartitionId, Outage>,
    /// Partitions that have answered since the process started.
    answered: BTreeSet<PartitionId>,
}

impl Outages {
    /// Records that a quorum of a partition's stores answered; returns whether this is its first answer,
    /// or the first after an outage.
    pub fn record_answer(&mut self, partition: PartitionId) -> bool {
        let was_out = self.by_partition.remove(&partition).is_some();
        self.answered.insert(partition) || was_out
    }

    /// Records that a round which began at `began` got no quorum; returns whether an outage starts with it.
    pub fn record_failure(&mut self, partition: PartitionId, began: Instant) -> bool {
        let is_new = !self.by_partition.contains_key(&partition);
        let outage = Outage {
            since: began,
            probed: began,
        };
        self.by_partition.entry(partition).or_insert(outage);
        is_new
    }

    /// Decides whether a call with a deadline waits for a partition.
    pub fn decide(
        &mut self,
        partition: PartitionId,
        now: Instant,
        deadline: Instant,
    ) -> OutageDecision {
        let Some(outage) = self.by_partition.get_mut(&partition) else {
            return OutageDecision::Wait;
        };
        let expected = now.saturating_duration_since(outage.since);
        if expected <= deadline.saturating_duration_since(now) {
            return OutageDecision::Wait;
        }
        if now.saturating_duration_since(outage.probed) < PROBE_INTERVAL {
            return OutageDecision::Refuse;
        }
        outage.probed = now;
        OutageDecision::Probe
    }
}
