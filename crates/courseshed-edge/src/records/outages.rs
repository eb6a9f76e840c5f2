//! Whether it is worth waiting for a partition that has no quorum of stores. Pure: times are passed in.
//!
//! Nobody knows how long an outage will last. Of outages that have lasted for some time about half last
//! as long again, so that is what is expected: a call is kept waiting as long as it has at least that
//! much time left, and is refused at once beyond, with time to come back. A call now and then is let
//! through to find out whether the outage is over.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_records::PartitionId;
use tokio::time::Instant;

/// Pause between two calls that find out whether an outage is over: as often as a call that waits
/// would ask about twice.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// The stores answer, or the outage is likely to be over in time.
    Wait,
    /// The outage is likely to outlast the call, which is to ask the stores once all the same.
    AskOnce,
    /// The outage is likely to outlast the call.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Instant,
    probed: Instant,
}

/// The partitions that have no quorum of stores, as one gateway sees them.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    by_partition: BTreeMap<PartitionId, Outage>,
}

impl Outages {
    /// Notes that a quorum of a partition's stores answered.
    pub fn note_answered(&mut self, partition: PartitionId) {
        self.by_partition.remove(&partition);
    }

    /// Notes that no quorum answered a round that began at some time; true if that begins an outage.
    pub fn note_failed(&mut self, partition: PartitionId, began: Instant) -> bool {
        let is_new = !self.by_partition.contains_key(&partition);
        let outage = Outage {
            since: began,
            probed: began,
        };
        self.by_partition.entry(partition).or_insert(outage);
        is_new
    }

    /// Whether a call with a deadline is to wait for a partition.
    pub fn outlook(&mut self, partition: PartitionId, now: Instant, deadline: Instant) -> Outlook {
        let Some(outage) = self.by_partition.get_mut(&partition) else {
            return Outlook::Wait;
        };
        let expected = now.saturating_duration_since(outage.since);
        if expected <= deadline.saturating_duration_since(now) {
            return Outlook::Wait;
        }
        if now.saturating_duration_since(outage.probed) < PROBE_INTERVAL {
            return Outlook::Refuse;
        }
        outage.probed = now;
        Outlook::AskOnce
    }
}
