//! Programs as callers and operators see them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    call::CallOutcome,
    ids::{Attempt, EngineId, ProgramId, Sequence},
    time::Timestamp,
    tokens::Tokens,
};

/// What a caller gives to start a program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NewProgram {
    /// The branch that pays.
    pub branch: BranchPath,
    /// The kind of program, which names aim and worth in the branch's policy.
    pub kind: Option<String>,
    /// Aim for the latency of the whole program, in place of the policy's.
    pub aim: Option<Duration>,
    /// Worth when completed within the aim, in place of the policy's.
    pub worth: Option<f64>,
    /// The program whose sub-agent this is.
    pub parent: Option<ProgramId>,
    /// The same key again on the same branch gives the same program.
    pub idempotency_key: Option<String>,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Caller,
    /// An operator ended it.
    Operator,
    /// Its tool pause passed the limit.
    PauseLimit,
    /// It made more calls than allowed.
    TurnLimit,
    /// Its history passed the limit.
    HistoryLimit,
    /// Its parent ended.
    Parent,
}

/// What a program is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramPhase {
    /// Between calls: tools or the caller are at work.
    Paused,
    /// A call waits for an engine.
    Waiting,
    /// A call runs on an engine.
    Running,
    /// Over.
    Ended(EndReason),
}

/// The state of one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallState {
    /// Accepted, waiting for an engine.
    Accepted,
    /// An engine was chosen for this attempt; it may run.
    Dispatched {
        /// Which try.
        attempt: Attempt,
        /// Where.
        engine: EngineId,
    },
    /// Settled.
    Settled(CallOutcome),
}

/// A program as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Its id.
    pub id: ProgramId,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Its kind.
    pub kind: Option<String>,
    /// Its parent.
    pub parent: Option<ProgramId>,
    /// What it is doing.
    pub phase: ProgramPhase,
    /// Aim for its whole latency.
    pub aim: Option<Duration>,
    /// Worth when completed within the aim.
    pub worth: f64,
    /// When it was created.
    pub created_at: Timestamp,
    /// When its first call came.
    pub first_call_at: Option<Timestamp>,
    /// When its last answer was committed.
    pub last_answer_at: Option<Timestamp>,
    /// The sequence number the next call must carry.
    pub next_sequence: Sequence,
    /// Tokens of history.
    pub history_tokens: Tokens,
    /// Tokens spent with its sub-agents.
    pub spent: Tokens,
    /// Tokens reserved by attempts under way.
    pub reserved: Tokens,
    /// What the program may spend in all.
    pub budget: Option<Tokens>,
}
