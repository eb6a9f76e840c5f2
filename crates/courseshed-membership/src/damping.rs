//! Flap damping: limits how often an unstable node triggers moves of replicas and dispatchers.
//!
//! Every failure doubles the time for which the node must stay up before it counts as live again, up to a limit. The
//! failure count resets after a long time without failures. Modelled on BGP route flap damping (RFC 2439).

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{NodeId, Timestamp};
use serde::{Deserialize, Serialize};

/// Parameters of flap damping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DampingOptions {
    /// Number of failures that incur no penalty.
    pub free_failures: u32,
    /// Required uptime after the first penalized failure.
    pub first_wait: Duration,
    /// Maximum required uptime.
    pub longest_wait: Duration,
    /// Time without failures after which the failure count is reset.
    pub forgive_after: Duration,
}

impl Default for DampingOptions {
    fn default() -> DampingOptions {
        DampingOptions {
            free_failures: 2,
            first_wait: Duration::from_secs(10),
            longest_wait: Duration::from_secs(300),
            forgive_after: Duration::from_secs(1_800),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct FailureRecord {
    failures: u32,
    last_failure: Timestamp,
    alive_since: Option<Timestamp>,
}

/// Recent failures by node.
#[derive(Debug, Clone)]
pub struct FlapDamper {
    options: DampingOptions,
    records: BTreeMap<NodeId, FailureRecord>,
}

impl FlapDamper {
    /// Creates a damper without recorded failures.
    pub fn new(options: DampingOptions) -> FlapDamper {
        FlapDamper {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Records that the node was declared down.
    pub fn record_failure(&mut self, node: NodeId, now: Timestamp) {
        let forgive_after = self.options.forgive_after;
        let record = self.records.entry(node).or_insert(FailureRecord {
            failures: 0,
            last_failure: now,
            alive_since: None,
        });
        if now.since(record.last_failure) > forgive_after {
            record.failures = 0;
        }
        record.failures = record.failures.saturating_add(1);
        record.last_failure = now;
        record.alive_since = None;
    }

    /// Handles a heartbeat of a node that was down; returns whether the node may become live now.
    pub fn may_rejoin(&mut self, node: NodeId, now: Timestamp) -> bool {
        let Some(record) = self.records.get_mut(&node) else {
            return true;
        };
        let since = *record.alive_since.get_or_insert(now);
        let wait = required_uptime(record.failures, &self.options);
        now.since(since) >= wait || now.since(record.last_failure) > self.options.forgive_after
    }
}

fn required_uptime(failures: u32, options: &DampingOptions) -> Duration {
    let penalized = failures.saturating_sub(options.free_failures);
    if penalized == 0 {
        return Duration::ZERO;
    }
    let doublings = (penalized - 1).min(16);
    options
        .first_wait
        .saturating_mul(1 << doublings)
        .min(options.longest_wait)
}

#[cfg(test)]
mod tests {
    use super::*;

    const NODE: NodeId = NodeId(3);

    fn at(seconds: u64) -> Timestamp {
        Timestamp::from_millis(seconds * 1_000)
    }

    #[test]
    fn third_failure_requires_stable_uptime() {
        let mut damper = FlapDamper::new(DampingOptions::default());
        for failure in 0..2 {
            damper.record_failure(NODE, at(failure * 20));
            assert!(damper.may_rejoin(NODE, at(failure * 20 + 7)));
        }
        damper.record_failure(NODE, at(40));
        assert!(!damper.may_rejoin(NODE, at(47)));
        assert!(!damper.may_rejoin(NODE, at(56)));
        assert!(damper.may_rejoin(NODE, at(57)));
    }

    #[test]
    fn required_uptime_is_capped_and_failures_expire() {
        let mut damper = FlapDamper::new(DampingOptions::default());
        for failure in 0..20 {
            damper.record_failure(NODE, at(failure));
        }
        assert!(!damper.may_rejoin(NODE, at(20)));
        assert!(!damper.may_rejoin(NODE, at(319)));
        assert!(damper.may_rejoin(NODE, at(320)));
        damper.record_failure(NODE, at(20 + 1_900));
        assert!(damper.may_rejoin(NODE, at(20 + 1_901)));
    }
}
