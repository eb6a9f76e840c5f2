//! The record of a program, and the tombstone that remains of it.

use std::time::Duration;

use courseshed_types::{
    BranchPath, CallId, EngineId, ModelName, ProgramId, Sequence, Timestamp, Tokens,
    program::{EndReason, ProgramPhase, ProgramView},
};
use serde::{Deserialize, Serialize};

use crate::{
    call::{CallPhase, CallRecord},
    digest::BodyDigest,
    history::History,
};

/// A program as its shard keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramRecord {
    /// Its id.
    pub id: ProgramId,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Its kind.
    pub kind: Option<Box<str>>,
    /// Its parent.
    pub parent: Option<ProgramId>,
    /// The root of its family; itself when it has no parent.
    pub root: ProgramId,
    /// Levels below the root.
    pub depth: u32,
    /// Its sub-agents, by id.
    pub children: Vec<ProgramId>,
    /// The caller's key.
    pub idempotency_key: Option<Box<str>>,
    /// Digest of what the caller sent.
    pub digest: BodyDigest,
    /// Aim for its whole latency.
    pub aim: Option<Duration>,
    /// Worth when completed within the aim.
    pub worth: f64,
    /// What it may spend with its sub-agents; only roots have one.
    pub budget: Option<Tokens>,
    /// Tokens spent with its sub-agents.
    pub spent: Tokens,
    /// Tokens reserved with its sub-agents.
    pub reserved: Tokens,
    /// Tokens of service attained with its sub-agents: prompt tokens not found in a cache, and generated ones.
    pub attained: Tokens,
    /// When it was created.
    pub created_at: Timestamp,
    /// When its first call was accepted, or the first call of a sub-agent.
    pub first_call_at: Option<Timestamp>,
    /// When its last answer was committed.
    pub last_answer_at: Option<Timestamp>,
    /// When anything last happened to it or to a sub-agent.
    pub active_at: Timestamp,
    /// When and why it ended.
    pub ended: Option<ProgramEnd>,
    /// The engine that last answered, which may hold its prefix.
    pub last_engine: Option<EngineId>,
    /// Models it has called, whose engines may hold its prefix.
    pub models: Vec<ModelName>,
    /// Messages of answered calls.
    pub history: History,
    /// All its calls, in order from sequence 1.
    pub calls: Vec<CallRecord>,
}

/// The end of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramEnd {
    /// When.
    pub at: Timestamp,
    /// Why.
    pub reason: EndReason,
}

/// What remains of a program that ended long ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The program as it was when it was shrunk, without history and calls.
    pub view: ProgramView,
    /// The caller's key.
    pub idempotency_key: Option<Box<str>>,
    /// Digest of what the caller sent.
    pub digest: BodyDigest,
    /// When it was made.
    pub made_at: Timestamp,
}

impl Tombstone {
    /// Why the program ended.
    pub fn reason(&self) -> EndReason {
        match self.view.phase {
            ProgramPhase::Ended(reason) => reason,
            // Only ended programs become tombstones.
            _ => EndReason::Caller,
        }
    }
}

impl ProgramRecord {
    /// What the program's budget has left; none is unlimited.
    pub fn budget_left(&self) -> Option<Tokens> {
        let bound = self.spent.saturating_add(self.reserved);
        self.budget.map(|budget| budget.saturating_sub(bound))
    }

    /// The sequence number the next call must carry.
    pub fn next_sequence(&self) -> Sequence {
        Sequence(self.calls.len() as u64 + 1)
    }

    /// The call at a sequence number.
    pub fn call(&self, sequence: Sequence) -> Option<&CallRecord> {
        self.calls.get(index_of(sequence)?)
    }

    pub(crate) fn call_mut(&mut self, sequence: Sequence) -> Option<&mut CallRecord> {
        self.calls.get_mut(index_of(sequence)?)
    }

    /// The call with an idempotency key.
    pub fn call_with_key(&self, key: &str) -> Option<&CallRecord> {
        let has_key = |call: &&CallRecord| call.idempotency_key.as_deref() == Some(key);
        self.calls.iter().rev().find(has_key)
    }

    /// The one call that is not settled; always the last one.
    pub fn open_call(&self) -> Option<CallId> {
        let last = self.calls.last()?;
        last.open()?;
        Some(CallId {
            program: self.id,
            sequence: last.sequence,
        })
    }

    /// Whether a call of it or of a sub-agent is not settled; each of those has something reserved.
    pub fn has_open_call(&self) -> bool {
        self.open_call().is_some() || self.reserved > Tokens::ZERO
    }

    /// What it is doing.
    pub fn phase(&self) -> ProgramPhase {
        if let Some(end) = self.ended {
            return ProgramPhase::Ended(end.reason);
        }
        match self.calls.last().map(|call| &call.phase) {
            Some(CallPhase::Open(open)) if open.dispatch.is_some() => ProgramPhase::Running,
            Some(CallPhase::Open(_)) => ProgramPhase::Waiting,
            _ => ProgramPhase::Paused,
        }
    }

    /// The program as callers and operators see it.
    pub fn view(&self) -> ProgramView {
        ProgramView {
            id: self.id,
            branch: self.branch.clone(),
            kind: self.kind.as_deref().map(str::to_owned),
            parent: self.parent,
            phase: self.phase(),
            aim: self.aim,
            worth: self.worth,
            created_at: self.created_at,
            first_call_at: self.first_call_at,
            last_answer_at: self.last_answer_at,
            next_sequence: self.next_sequence(),
            history_tokens: self.history.tokens(),
            spent: self.spent,
            reserved: self.reserved,
            budget: self.budget,
        }
    }

    /// What remains when the history and the calls are dropped.
    pub(crate) fn into_tombstone(self, made_at: Timestamp) -> Tombstone {
        Tombstone {
            view: self.view(),
            idempotency_key: self.idempotency_key,
            digest: self.digest,
            made_at,
        }
    }
}

fn index_of(sequence: Sequence) -> Option<usize> {
    usize::try_from(sequence.0).ok()?.checked_sub(1)
}
