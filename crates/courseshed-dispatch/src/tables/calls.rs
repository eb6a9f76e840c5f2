//! Calls that are queued or running.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, CallId, EngineId, ProgramId, RequestId, Sequence, ShardId, Timestamp, Tokens,
    dispatch::WaitingCall,
};

use crate::{tables::NodeIndex, units::Service};

/// Sort key of a call within its branch; lower is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Arrival time in microseconds, adjusted by the ordering policy.
    pub(crate) adjusted_arrival: i64,
    /// Priority in steps.
    pub(crate) urgency: i32,
}

/// Estimates made when a call was assigned to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) engine: EngineId,
    pub(crate) charged: Service,
    /// KV memory the call is expected to use.
    pub(crate) memory: Tokens,
    pub(crate) since: Timestamp,
    /// Priority sent to the engine.
    pub(crate) priority: i32,
}

/// A call parked for the engine that caches its prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Parking {
    pub(crate) engine: EngineId,
    pub(crate) charged: Service,
}

/// Scheduling state of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// In its branch's queue at this rank.
    Waiting(Rank),
    /// Temporarily out of its queue, reserved for the engine that caches its prefix.
    Parked(Parking),
    /// Assigned to an engine, not yet confirmed by the shard.
    Assigned(Assignment),
    /// Assignment committed by the shard.
    Running(Assignment),
}

#[derive(Debug, Clone)]
pub(crate) struct CallEntry {
    pub(crate) call: Box<WaitingCall>,
    pub(crate) shard: ShardId,
    pub(crate) queue: NodeIndex,
    /// Announcement generation of the shard that last named the call.
    pub(crate) generation: u64,
    /// Since when smaller calls have bypassed it because it fits on no engine.
    pub(crate) bypassed_since: Option<Timestamp>,
    /// Whether it has been parked before; a call is parked at most once.
    pub(crate) was_parked: bool,
    pub(crate) phase: CallPhase,
}

impl CallEntry {
    /// Whether the call is queued or parked.
    pub(crate) fn is_waiting(&self) -> bool {
        is_waiting(&self.phase)
    }

    /// The assignment, if there is one.
    pub(crate) fn assignment(&self) -> Option<&Assignment> {
        match &self.phase {
            CallPhase::Waiting(_) | CallPhase::Parked(_) => None,
            CallPhase::Assigned(assignment) | CallPhase::Running(assignment) => Some(assignment),
        }
    }

    pub(crate) fn request(&self) -> RequestId {
        RequestId {
            call: self.call.call,
            attempt: self.call.attempt,
        }
    }

    /// The branch charged for the call.
    pub(crate) fn branch(&self) -> &BranchPath {
        &self.call.branch
    }
}

/// All calls of a pool.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: BTreeMap<CallId, CallEntry>,
    waiting: usize,
}

impl CallTable {
    pub(crate) fn get(&self, call: &CallId) -> Option<&CallEntry> {
        self.calls.get(call)
    }

    /// Mutable access to a call. The phase must only be changed through `set_phase`.
    pub(crate) fn get_mut(&mut self, call: &CallId) -> Option<&mut CallEntry> {
        self.calls.get_mut(call)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CallId, &CallEntry)> {
        self.calls.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&CallId, &mut CallEntry)> {
        self.calls.iter_mut()
    }

    /// The call of a program; each program has at most one at a time.
    pub(crate) fn of_program(&self, program: ProgramId) -> Option<&CallEntry> {
        let first = CallId {
            program,
            sequence: Sequence(0),
        };
        let last = CallId {
            program,
            sequence: Sequence(u64::MAX),
        };
        self.calls.range(first..=last).next().map(|(_, call)| call)
    }

    pub(crate) fn insert(&mut self, entry: CallEntry) {
        self.waiting += usize::from(is_waiting(&entry.phase));
        let replaced = self.calls.insert(entry.call.call, entry);
        debug_assert!(
            replaced.is_none(),
            "a call is removed before it is replaced"
        );
    }

    pub(crate) fn remove(&mut self, call: &CallId) -> Option<CallEntry> {
        let entry = self.calls.remove(call)?;
        self.waiting -= usize::from(is_waiting(&entry.phase));
        Some(entry)
    }

    pub(crate) fn set_phase(&mut self, call: &CallId, phase: CallPhase) {
        let Some(entry) = self.calls.get_mut(call) else {
            return;
        };
        self.waiting -= usize::from(is_waiting(&entry.phase));
        self.waiting += usize::from(is_waiting(&phase));
        entry.phase = phase;
    }

    /// Number of queued and parked calls.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of calls in any phase.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }
}

fn is_waiting(phase: &CallPhase) -> bool {
    matches!(phase, CallPhase::Waiting(_) | CallPhase::Parked(_))
}
