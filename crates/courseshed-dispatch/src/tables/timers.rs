//! Pending timers. Timers of removed calls and programs are cancelled so that the table stays
//! bounded by the others.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{CallId, EngineId, ProgramId, ShardId, Timestamp};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The call's queue deadline has passed.
    QueueDeadline(CallId),
    /// The call's rank may have changed.
    Rerank(CallId),
    /// The prefix import for the call should be complete.
    ImportDone(CallId),
    /// The call has been parked for its maximum wait.
    Unpark(CallId),
    /// The call's assignment has not been confirmed.
    Resend(CallId),
    /// The lease of the paused program is due for review.
    LeaseReview(ProgramId),
    /// The program may have been idle long enough to be dropped.
    ProgramIdle(ProgramId),
    /// The engine's ejection has ended or its slow start advances.
    EngineRecheck(EngineId),
    /// The shard should have announced its calls.
    AnnounceTimeout(ShardId),
    /// Engines that have not reported their load may be used.
    GraceEnds,
}

/// All timers ordered by due time; each is set for at most one time.
#[derive(Debug, Default)]
pub(crate) struct TimerTable {
    due: BTreeSet<(Timestamp, Timer)>,
    times: BTreeMap<Timer, Timestamp>,
}

impl TimerTable {
    /// Sets a timer, replacing its earlier due time.
    pub(crate) fn set(&mut self, at: Timestamp, timer: Timer) {
        if let Some(earlier) = self.times.insert(timer.clone(), at) {
            self.due.remove(&(earlier, timer.clone()));
        }
        self.due.insert((at, timer));
    }

    pub(crate) fn cancel(&mut self, timer: Timer) {
        if let Some(at) = self.times.remove(&timer) {
            self.due.remove(&(at, timer));
        }
    }

    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        let (_, timer) = self.due.pop_first()?;
        self.times.remove(&timer);
        Some(timer)
    }

    pub(crate) fn len(&self) -> usize {
        self.due.len()
    }
}
