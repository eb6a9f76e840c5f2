//! Freshness of a follower's applied state. Performs no I/O.
//!
//! Invariant: a state that is current as of some time includes everything the leader had announced
//! as committed by then. Heartbeats alone do not prove freshness, since they continue while the
//! leader is still sending missing entries to a lagging follower.

use std::collections::VecDeque;
use std::time::Duration;

use courseshed_consensus::LogIndex;

/// Maximum number of unapplied commits to track. Further ones are dropped, which only makes the
/// state appear older than it is.
const MAX_PENDING_COMMITS: usize = 256;

/// A commit index announced by the leader, with the time of the announcement.
#[derive(Clone, Copy, Debug)]
struct AnnouncedCommit {
    at: Duration,
    commit: LogIndex,
}

/// Tracks announced commit indexes against the applied index.
#[derive(Clone, Debug, Default)]
pub struct CommitFreshness {
    /// Announced commits that are not applied yet, in ascending order.
    pending: VecDeque<AnnouncedCommit>,
    applied: LogIndex,
    current_as_of: Option<Duration>,
}

impl CommitFreshness {
    /// Registers a commit index announced by the leader.
    ///
    /// A new leader may announce a lower index than its predecessor; the higher one remains
    /// committed.
    pub fn record_committed(&mut self, at: Duration, commit: LogIndex) {
        let commit = self
            .newest_unapplied()
            .map_or(commit, |lacked| lacked.max(commit));
        if commit <= self.applied {
            self.current_as_of = Some(at);
        } else if self.pending.len() < MAX_PENDING_COMMITS {
            self.pending.push_back(AnnouncedCommit { at, commit });
        }
    }

    /// Registers the index up to which the log is applied.
    pub fn record_applied(&mut self, applied: LogIndex) {
        self.applied = applied;
        while let Some(announced) = self
            .pending
            .pop_front_if(|announced| announced.commit <= applied)
        {
            self.current_as_of = self.current_as_of.max(Some(announced.at));
        }
    }

    /// The latest time as of which all announced commits are applied; `None` before the first.
    #[must_use]
    pub fn current_as_of(&self) -> Option<Duration> {
        self.current_as_of
    }

    /// Number of tracked commits that are not applied yet.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.pending.len()
    }

    /// The newest announced commit index that is not applied yet.
    #[must_use]
    pub fn newest_unapplied(&self) -> Option<LogIndex> {
        self.pending.back().map(|announced| announced.commit)
    }
}
