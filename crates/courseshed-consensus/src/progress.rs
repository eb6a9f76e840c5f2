//! The replication progress of one follower, as tracked by the leader.
//!
//! Invariant: `matched < next`; `matched` never decreases within a term and incarnation.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{LogIndex, Probe, Snapshot};

/// How the log is being replicated to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReplicationState {
    /// Searching for the last matching entry, with one append in flight.
    Probing {
        /// An append is unacknowledged.
        waiting: bool,
    },
    /// The logs match up to `matched`; appends are pipelined.
    Replicating {
        /// Last index of each unacknowledged append.
        inflight: VecDeque<LogIndex>,
    },
    /// The follower needs entries that were compacted; a snapshot is sent in chunks.
    Snapshotting(SnapshotTransfer),
}

/// A snapshot transfer to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) offset: u64,
    /// A chunk is unacknowledged.
    pub(crate) waiting: bool,
    /// A heartbeat interval has passed since the chunk was sent.
    pub(crate) overdue: bool,
}

/// The replication progress of one follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) state: ReplicationState,
    /// Latest commit index sent to the follower.
    pub(crate) sent_commit: LogIndex,
    /// When this leader began to replicate to the follower, by its own clock.
    pub(crate) since: Duration,
    /// When the follower last replied, by the leader's clock.
    pub(crate) last_contact: Duration,
    /// The latest probe that the follower has echoed.
    pub(crate) acknowledged: Option<Probe>,
}

impl Progress {
    pub(crate) fn new(last_index: LogIndex, now: Duration) -> Self {
        Self {
            matched: LogIndex(0),
            next: last_index.next(),
            state: ReplicationState::Probing { waiting: false },
            sent_commit: LogIndex(0),
            since: now,
            last_contact: now,
            acknowledged: None,
        }
    }

    pub(crate) fn record_contact(&mut self, now: Duration) {
        self.last_contact = self.last_contact.max(now);
    }

    pub(crate) fn acknowledge(&mut self, probe: Probe) {
        let known = self.acknowledged.unwrap_or(probe);
        self.acknowledged = Some(Probe {
            round: known.round.max(probe.round),
            sent_at: known.sent_at.max(probe.sent_at),
        });
    }

    /// Whether the in-flight limit allows another append with entries.
    pub(crate) fn can_append(&self, max_inflight: usize) -> bool {
        match &self.state {
            ReplicationState::Probing { waiting } => !waiting,
            ReplicationState::Replicating { inflight } => inflight.len() < max_inflight,
            ReplicationState::Snapshotting(_) => false,
        }
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: LogIndex) {
        match &mut self.state {
            ReplicationState::Probing { waiting } => *waiting = true,
            ReplicationState::Replicating { inflight } => {
                inflight.push_back(last);
                self.next = last.next();
            }
            ReplicationState::Snapshotting(_) => {}
        }
    }

    /// Records that the follower's log matches up to `matched`.
    pub(crate) fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        match &mut self.state {
            ReplicationState::Probing { .. } => self.replicate(),
            ReplicationState::Replicating { inflight } => {
                while inflight.front().is_some_and(|last| *last <= matched) {
                    inflight.pop_front();
                }
                self.next = self.next.max(self.matched.next());
            }
            ReplicationState::Snapshotting(transfer) => {
                if matched >= transfer.snapshot.metadata.index {
                    self.replicate();
                }
            }
        }
    }

    /// Records that the follower rejected an append after `previous`; its log may match up to `hint`.
    pub(crate) fn rejected(&mut self, previous: LogIndex, hint: LogIndex) {
        let stale = match &self.state {
            ReplicationState::Probing { .. } => previous.next() != self.next,
            ReplicationState::Replicating { .. } => previous <= self.matched,
            ReplicationState::Snapshotting(_) => true,
        };
        if stale {
            return;
        }
        let next = hint.next().min(previous);
        self.next = next.max(self.matched.next());
        self.state = ReplicationState::Probing { waiting: false };
    }

    /// Allows unacknowledged probes and overdue snapshot chunks to be resent.
    pub(crate) fn on_heartbeat(&mut self) {
        match &mut self.state {
            ReplicationState::Probing { waiting } => *waiting = false,
            ReplicationState::Replicating { .. } => {}
            ReplicationState::Snapshotting(transfer) => {
                transfer.waiting &= !transfer.overdue;
                transfer.overdue = true;
            }
        }
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.state = ReplicationState::Snapshotting(SnapshotTransfer {
            snapshot,
            offset: 0,
            waiting: false,
            overdue: false,
        });
    }

    fn replicate(&mut self) {
        self.next = self.matched.next();
        self.state = ReplicationState::Replicating {
            inflight: VecDeque::new(),
        };
    }
}
