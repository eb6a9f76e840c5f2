//! What a leader knows of one follower, and how much it may send to it.
//!
//! Invariant: `matched < next`; `matched` never shrinks within a term and incarnation.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{LogIndex, Probe, Snapshot};

/// How a follower is being fed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Feed {
    /// The point where the logs agree is being looked for: one append at a time.
    Probing {
        /// An append is unanswered.
        waiting: bool,
    },
    /// The logs agree up to `matched`: appends are pipelined. Holds the last index of each.
    Replicating {
        /// Last index of each unanswered append.
        inflight: VecDeque<LogIndex>,
    },
    /// The follower needs a snapshot, which is sent piece by piece.
    Snapshotting(SnapshotTransfer),
}

/// A snapshot on its way to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) offset: u64,
    /// A piece is unanswered.
    pub(crate) waiting: bool,
    /// A heartbeat has passed since the piece was sent.
    pub(crate) overdue: bool,
}

/// A leader's view of one follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) feed: Feed,
    /// Greatest commit index sent along.
    pub(crate) sent_commit: LogIndex,
    /// When the follower was last heard, by the leader's clock.
    pub(crate) last_heard: Duration,
    /// The latest probe the follower has echoed.
    pub(crate) acknowledged: Option<Probe>,
}

impl Progress {
    pub(crate) fn new(last_index: LogIndex, now: Duration) -> Self {
        Self {
            matched: LogIndex(0),
            next: last_index.next(),
            feed: Feed::Probing { waiting: false },
            sent_commit: LogIndex(0),
            last_heard: now,
            acknowledged: None,
        }
    }

    pub(crate) fn heard(&mut self, now: Duration) {
        self.last_heard = self.last_heard.max(now);
    }

    pub(crate) fn acknowledge(&mut self, probe: Probe) {
        let known = self.acknowledged.unwrap_or(probe);
        self.acknowledged = Some(Probe {
            round: known.round.max(probe.round),
            sent_at: known.sent_at.max(probe.sent_at),
        });
    }

    /// Whether an append with entries may be sent now.
    pub(crate) fn may_append(&self, max_inflight: usize) -> bool {
        match &self.feed {
            Feed::Probing { waiting } => !waiting,
            Feed::Replicating { inflight } => inflight.len() < max_inflight,
            Feed::Snapshotting(_) => false,
        }
    }

    /// Notes that entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: LogIndex) {
        match &mut self.feed {
            Feed::Probing { waiting } => *waiting = true,
            Feed::Replicating { inflight } => {
                inflight.push_back(last);
                self.next = last.next();
            }
            Feed::Snapshotting(_) => {}
        }
    }

    /// Notes that the follower's log agrees up to `matched`.
    pub(crate) fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        match &mut self.feed {
            Feed::Probing { .. } => self.replicate(),
            Feed::Replicating { inflight } => {
                while inflight.front().is_some_and(|last| *last <= matched) {
                    inflight.pop_front();
                }
                self.next = self.next.max(self.matched.next());
            }
            Feed::Snapshotting(transfer) => {
                if matched >= transfer.snapshot.metadata.index {
                    self.replicate();
                }
            }
        }
    }

    /// Notes that the follower lacks `previous`, and may agree up to `hint`.
    pub(crate) fn rejected(&mut self, previous: LogIndex, hint: LogIndex) {
        let stale = match &self.feed {
            Feed::Probing { .. } => previous.next() != self.next,
            Feed::Replicating { .. } => previous <= self.matched,
            Feed::Snapshotting(_) => true,
        };
        if stale {
            return;
        }
        let next = hint.next().min(previous);
        self.next = next.max(self.matched.next());
        self.feed = Feed::Probing { waiting: false };
    }

    /// Lets an unanswered probe or snapshot piece be sent again.
    pub(crate) fn heartbeat_passed(&mut self) {
        match &mut self.feed {
            Feed::Probing { waiting } => *waiting = false,
            Feed::Replicating { .. } => {}
            Feed::Snapshotting(transfer) => {
                transfer.waiting &= !transfer.overdue;
                transfer.overdue = true;
            }
        }
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.feed = Feed::Snapshotting(SnapshotTransfer {
            snapshot,
            offset: 0,
            waiting: false,
            overdue: false,
        });
    }

    fn replicate(&mut self) {
        self.next = self.matched.next();
        self.feed = Feed::Replicating {
            inflight: VecDeque::new(),
        };
    }
}
