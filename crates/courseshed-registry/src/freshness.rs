//! How new the state of a controller that doesn't lead is. Pure.
//!
//! Invariant: a state that is current as of a moment holds all that the leader had told to be committed
//! up to then. Having heard the leader says nothing of that: its heartbeats go on while it still sends a
//! replica what that missed behind a cut or on a slow link.

use std::collections::VecDeque;
use std::time::Duration;

use courseshed_consensus::LogIndex;

/// Commits that are remembered while they aren't applied. A leader tells its commit some 10 to 100 times a
/// second; of more than this the newest are dropped, which only makes a state look older than it is.
const REMEMBERED_COMMITS: usize = 256;

/// A commit index that the leader told, and when.
#[derive(Clone, Copy, Debug)]
struct CommitTold {
    at: Duration,
    commit: LogIndex,
}

/// What a replica was told to be committed, against what it has applied.
#[derive(Clone, Debug, Default)]
pub struct CommitFreshness {
    /// Commits that were told and aren't applied, oldest first; none is below the one before.
    open: VecDeque<CommitTold>,
    applied: LogIndex,
    current_as_of: Option<Duration>,
}

impl CommitFreshness {
    /// Notes that the leader told its commit index at a time.
    ///
    /// What an earlier leader told stays committed, also while a new one hasn't learned of it yet.
    pub fn note_committed(&mut self, at: Duration, commit: LogIndex) {
        let commit = self.lacked().map_or(commit, |lacked| lacked.max(commit));
        if commit <= self.applied {
            self.current_as_of = Some(at);
        } else if self.open.len() < REMEMBERED_COMMITS {
            self.open.push_back(CommitTold { at, commit });
        }
    }

    /// Notes up to where the log is applied.
    pub fn note_applied(&mut self, applied: LogIndex) {
        self.applied = applied;
        while let Some(told) = self.open.pop_front_if(|told| told.commit <= applied) {
            self.current_as_of = self.current_as_of.max(Some(told.at));
        }
    }

    /// The last moment up to which all that was told to be committed is applied; none before the first.
    #[must_use]
    pub fn current_as_of(&self) -> Option<Duration> {
        self.current_as_of
    }

    /// How many commits are remembered while they aren't applied.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.open.len()
    }

    /// The newest commit index that was told and isn't applied.
    #[must_use]
    pub fn lacked(&self) -> Option<LogIndex> {
        self.open.back().map(|told| told.commit)
    }
}
