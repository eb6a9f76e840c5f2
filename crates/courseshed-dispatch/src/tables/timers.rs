//! What is due when. Timers of calls and programs that are gone are cancelled, so that the table stays as small as
//! the others.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{CallId, EngineId, ProgramId, ShardId, Timestamp};

/// Something that falls due.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The call has waited as long as it may.
    GiveUp(CallId),
    /// The call's place in its branch may have changed.
    Rerank(CallId),
    /// The import for the call should be done.
    Imported(CallId),
    /// The call has waited long enough for its prefix's engine.
    Unpark(CallId),
    /// The assignment was not confirmed yet.
    Resend(CallId),
    /// The paused program's prefix is looked at again.
    Hold(ProgramId),
    /// The program may have been silent for too long.
    Forget(ProgramId),
    /// The engine may be tried again, or takes more calls now.
    Engine(EngineId),
    /// The shard has had time to announce its calls.
    Announce(ShardId),
    /// Engines that have not reported yet may be tried now.
    GraceEnds,
}

/// All timers, in order of time; each is set for one time at most.
#[derive(Debug, Default)]
pub(crate) struct TimerTable {
    due: BTreeSet<(Timestamp, Timer)>,
    times: BTreeMap<Timer, Timestamp>,
}

impl TimerTable {
    /// Sets a timer, in place of the time it was set for before.
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
