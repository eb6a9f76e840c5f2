//! Heartbeat failure detector.
//!
//! Uses fixed timeouts with a suspect state rather than phi accrual (Hayashibara et al., 2004): heartbeats arrive on a
//! fixed schedule through at most one relay, and operators and the settings lease rely on a bound in seconds. The
//! platform's node list may be stale and is only a hint: it shortens the timeout of a node that is already silent and
//! never marks down a node that still sends heartbeats.
//!
//! If the detector itself was paused (process frozen, CPU starvation), the gap between its ticks does not count as
//! silence of the nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use courseshed_types::{NodeId, Timestamp};
use serde::{Deserialize, Serialize};

/// Timeouts of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetectorOptions {
    /// Time without heartbeats after which a node is suspect.
    pub suspect_after: Duration,
    /// Time without heartbeats after which a node is down.
    pub down_after: Duration,
    /// Longest regular gap between two ticks; a longer one means that the detector itself was paused.
    pub longest_tick: Duration,
}

impl Default for DetectorOptions {
    fn default() -> DetectorOptions {
        DetectorOptions {
            suspect_after: Duration::from_secs(3),
            down_after: Duration::from_secs(6),
            longest_tick: Duration::from_secs(1),
        }
    }
}

/// Liveness of a node as derived from its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Sent a heartbeat recently.
    Alive,
    /// Silent for longer than the suspect timeout.
    Suspect,
    /// Silent for longer than the failure timeout.
    Down,
}

/// Time of the last heartbeat by node.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    options: DetectorOptions,
    last_heartbeats: BTreeMap<NodeId, Timestamp>,
    reported_absent: BTreeSet<NodeId>,
    last_tick: Timestamp,
}

impl FailureDetector {
    /// Creates a detector that watches no nodes.
    pub fn new(options: DetectorOptions, now: Timestamp) -> FailureDetector {
        FailureDetector {
            options,
            last_heartbeats: BTreeMap::new(),
            reported_absent: BTreeSet::new(),
            last_tick: now,
        }
    }

    /// Starts watching a node as if it had just sent a heartbeat; no effect if it is already watched.
    pub fn watch(&mut self, node: NodeId, now: Timestamp) {
        self.last_heartbeats.entry(node).or_insert(now);
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, node: NodeId, now: Timestamp) {
        let last = self.last_heartbeats.entry(node).or_insert(now);
        *last = (*last).max(now);
    }

    /// Stops watching a node.
    pub fn unwatch(&mut self, node: NodeId) {
        self.last_heartbeats.remove(&node);
    }

    /// Resets the last heartbeat of every watched node to now.
    pub fn reset(&mut self, now: Timestamp) {
        self.last_tick = now;
        for last in self.last_heartbeats.values_mut() {
            *last = now;
        }
    }

    /// Replaces the set of nodes that the platform's list marks as leaving or omits.
    pub fn set_reported_absent(&mut self, absent: BTreeSet<NodeId>) {
        self.reported_absent = absent;
    }

    /// Must be called regularly and before [`liveness`](Self::liveness); compensates for pauses of the detector.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = now.since(self.last_tick);
        if gap > self.options.longest_tick {
            for last in self.last_heartbeats.values_mut() {
                *last = (*last + gap).min(now);
            }
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Returns the liveness of a node; unwatched nodes are down.
    pub fn liveness(&self, node: NodeId, now: Timestamp) -> Liveness {
        let Some(last) = self.last_heartbeats.get(&node) else {
            return Liveness::Down;
        };
        let silence = now.since(*last);
        if silence > self.down_after(node) {
            Liveness::Down
        } else if silence > self.options.suspect_after {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    /// Time of the node's last heartbeat.
    pub fn last_heartbeat(&self, node: NodeId) -> Option<Timestamp> {
        self.last_heartbeats.get(&node).copied()
    }

    fn down_after(&self, node: NodeId) -> Duration {
        if self.reported_absent.contains(&node) {
            self.options.suspect_after
        } else {
            self.options.down_after
        }
    }
}

#[cfg(test)]
mod tests {
    use yare::parameterized;

    use super::*;

    const NODE: NodeId = NodeId(7);

    fn at(seconds: u64) -> Timestamp {
        Timestamp::from_millis(seconds * 1_000)
    }

    fn tick_until(detector: &mut FailureDetector, seconds: u64) {
        for second in 0..=seconds {
            detector.tick(at(second));
        }
    }

    #[parameterized(
        recent = { 2, false, Liveness::Alive },
        over_suspect_timeout = { 5, false, Liveness::Suspect },
        over_down_timeout = { 7, false, Liveness::Down },
        absent_but_recent = { 2, true, Liveness::Alive },
        absent_and_silent = { 5, true, Liveness::Down },
    )]
    fn liveness_follows_time_since_heartbeat(
        seconds: u64,
        reported_absent: bool,
        expected: Liveness,
    ) {
        let mut detector = FailureDetector::new(DetectorOptions::default(), at(0));
        detector.record_heartbeat(NODE, at(0));
        if reported_absent {
            detector.set_reported_absent(BTreeSet::from([NODE]));
        }
        tick_until(&mut detector, seconds);
        assert_eq!(detector.liveness(NODE, at(seconds)), expected);
    }

    #[test]
    fn paused_detector_marks_no_node_down() {
        let mut detector = FailureDetector::new(DetectorOptions::default(), at(0));
        detector.record_heartbeat(NODE, at(0));
        detector.tick(at(1));
        detector.tick(at(300));
        assert_eq!(detector.liveness(NODE, at(300)), Liveness::Alive);
        for second in 301..=307 {
            detector.tick(at(second));
        }
        assert_eq!(detector.liveness(NODE, at(307)), Liveness::Down);
    }

    #[test]
    fn late_heartbeat_does_not_decrease_last_heartbeat() {
        let mut detector = FailureDetector::new(DetectorOptions::default(), at(0));
        detector.record_heartbeat(NODE, at(5));
        detector.record_heartbeat(NODE, at(3));
        assert_eq!(detector.last_heartbeat(NODE), Some(at(5)));
    }
}
