//! Calls that wait for an engine or run on one.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, CallId, EngineId, ProgramId, RequestId, Sequence, ShardId, Timestamp, Tokens,
    dispatch::WaitingCall,
};

use crate::{tables::NodeIndex, units::Service};

/// A call's place in the order of its branch; lower comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Arrival, moved by what the order of the branch weighs; in microseconds.
    pub(crate) at: i64,
    /// Steps of priority.
    pub(crate) urgency: i32,
}

/// What was estimated when a call was given to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) engine: EngineId,
    /// Service charged to the branch.
    pub(crate) charged: Service,
    /// KV memory the call is expected to take.
    pub(crate) memory: Tokens,
    pub(crate) since: Timestamp,
    /// Priority sent to the engine.
    pub(crate) priority: i32,
}

/// A wait for the engine that holds the call's prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Parking {
    pub(crate) engine: EngineId,
    /// Service charged to the branch.
    pub(crate) charged: Service,
}

/// What a call is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// In its branch's queue at this rank.
    Waiting(Rank),
    /// Out of its queue for a moment, for the sake of its prefix.
    Parked(Parking),
    /// An engine was chosen; the shard has not confirmed.
    Assigned(Placement),
    /// The shard committed the dispatch.
    Running(Placement),
}

/// A call.
#[derive(Debug, Clone)]
pub(crate) struct CallEntry {
    pub(crate) call: Box<WaitingCall>,
    pub(crate) shard: ShardId,
    pub(crate) queue: NodeIndex,
    /// The shard's announcement that last named the call.
    pub(crate) generation: u64,
    /// Since when smaller calls pass it because it fits no engine.
    pub(crate) passed_over_since: Option<Timestamp>,
    /// Whether it has waited for its prefix's engine before.
    pub(crate) was_parked: bool,
    pub(crate) phase: CallPhase,
}

impl CallEntry {
    /// Whether the call has no engine yet.
    pub(crate) fn is_waiting(&self) -> bool {
        is_waiting(&self.phase)
    }

    /// Where the call runs or shall run.
    pub(crate) fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            CallPhase::Waiting(_) | CallPhase::Parked(_) => None,
            CallPhase::Assigned(placement) | CallPhase::Running(placement) => Some(placement),
        }
    }

    /// The attempt.
    pub(crate) fn request(&self) -> RequestId {
        RequestId {
            call: self.call.call,
            attempt: self.call.attempt,
        }
    }

    /// The branch that pays.
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

    /// A call to change; its phase must be changed by `set_phase`.
    pub(crate) fn get_mut(&mut self, call: &CallId) -> Option<&mut CallEntry> {
        self.calls.get_mut(call)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CallId, &CallEntry)> {
        self.calls.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&CallId, &mut CallEntry)> {
        self.calls.iter_mut()
    }

    /// The call known of a program; a program has one at a time.
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

    /// Calls that wait for an engine.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Calls waiting, assigned and running.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }
}

fn is_waiting(phase: &CallPhase) -> bool {
    matches!(phase, CallPhase::Waiting(_) | CallPhase::Parked(_))
}
