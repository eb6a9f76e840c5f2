//! The record of one call and the phases of its life.
//!
//! Accepted → Dispatched → Settled, with Dispatched → Accepted for another attempt. A settled call never
//! changes, and an attempt number is never used twice.

use bytes::Bytes;
use courseshed_types::{
    Attempt, CallError, CallId, EngineId, ModelName, NodeId, RequestId, Sequence, Timestamp,
    Tokens, Usage, Verdict, call::FinishReason,
};
use serde::{Deserialize, Serialize};

use crate::{digest::BodyDigest, escrow::Reservation, history::PromptSize};

/// A call as its shard keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Its place in the program.
    pub sequence: Sequence,
    /// The caller's key.
    pub idempotency_key: Option<Box<str>>,
    /// Digest of what the caller sent.
    pub digest: BodyDigest,
    /// Segments of history before this call.
    pub segments_before: u32,
    /// Its life.
    pub phase: CallPhase,
}

/// Where a call is in its life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallPhase {
    /// Waits or runs.
    Open(Box<OpenCall>),
    /// Ended with an answer, kept in the history.
    Answered(AnsweredCall),
    /// Ended without an answer.
    Failed(Box<CallError>),
}

/// A call that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The model.
    pub model: ModelName,
    /// The new messages, encoded.
    pub messages: Bytes,
    /// Parameters for the engine, JSON text.
    pub parameters: Box<str>,
    /// Upper bound of generated tokens.
    pub max_output: Tokens,
    /// Size of the whole prompt.
    pub prompt: PromptSize,
    /// Whether it may run again after doubt.
    pub repeatable: bool,
    /// The gateway that handed it over.
    pub gateway: NodeId,
    /// Engine priority.
    pub priority: i32,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// When it must be refused if it still waits.
    pub give_up_at: Timestamp,
    /// The current attempt, or the one to come.
    pub attempt: Attempt,
    /// The current attempt is not enqueued before this time.
    pub not_before: Timestamp,
    /// What earlier attempts leave in doubt.
    pub doubt: Verdict,
    /// Attempts that may have run.
    pub doubtful_attempts: u32,
    /// Engines that failed this call.
    pub avoid: Vec<EngineId>,
    /// What the current attempt may cost.
    pub reservation: Reservation,
    /// Where the current attempt was sent, once that is committed.
    pub dispatch: Option<Dispatch>,
}

/// A committed assignment of an attempt to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The engine.
    pub engine: EngineId,
    /// The engine's HTTP address, `ip:port`.
    pub engine_address: String,
    /// Engine priority.
    pub priority: i32,
    /// The gateway that got the order to start.
    pub gateway: NodeId,
    /// When it was committed, by its leader's time.
    pub at: Timestamp,
}

/// What is kept of an answered call besides its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredCall {
    /// The segment of history that ends with the answer.
    pub segment: u32,
    /// Why generation ended.
    pub finish_reason: FinishReason,
    /// What it took.
    pub usage: Usage,
    /// The attempt that gave it.
    pub attempt: Attempt,
    /// The engine that gave it.
    pub engine: EngineId,
}

impl CallRecord {
    /// The call while it is not settled.
    pub fn open(&self) -> Option<&OpenCall> {
        match &self.phase {
            CallPhase::Open(open) => Some(open),
            _ => None,
        }
    }

    /// The call while it is not settled.
    pub(crate) fn open_mut(&mut self) -> Option<&mut OpenCall> {
        match &mut self.phase {
            CallPhase::Open(open) => Some(open),
            _ => None,
        }
    }
}

impl OpenCall {
    /// The id of the current attempt.
    pub fn request(&self, call: CallId) -> RequestId {
        RequestId {
            call,
            attempt: self.attempt,
        }
    }

    /// The most one attempt may cost.
    pub fn worst_case(&self) -> Tokens {
        self.prompt.worst_case.saturating_add(self.max_output)
    }
}
