//! What follows when an attempt ended without an answer.

use courseshed_types::{CallError, ErrorCode};

use crate::{call::OpenCall, command::AttemptCharge};

/// How an attempt ended, as far as anyone can tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine refused it before running, or could not be connected to; certain.
    Refused(String),
    /// The engine never got it, and will refuse it if it still comes.
    NeverArrived,
    /// The engine ended it with an error after it may have started.
    Failed(String),
    /// Nobody can say any more: the engine restarted or can't be reached.
    Forgotten(String),
}

/// What to do next with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt.
    Retry,
    /// Settle the call without an answer.
    Settle,
}

/// Bounds of the attempts of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// All attempts.
    pub attempts: u32,
    /// Attempts that may have run.
    pub doubtful: u32,
}

impl AttemptEnd {
    /// Whether the attempt must be paid for.
    pub fn charge(&self) -> AttemptCharge {
        match self {
            AttemptEnd::Refused(_) | AttemptEnd::NeverArrived => AttemptCharge::Nothing,
            AttemptEnd::Failed(_) | AttemptEnd::Forgotten(_) => AttemptCharge::WorstCase,
        }
    }

    /// Whether the call may have run in this attempt.
    pub fn is_doubtful(&self) -> bool {
        self.charge() == AttemptCharge::WorstCase
    }

    /// Whether the engine is to blame, so that another attempt should avoid it.
    pub fn is_engine_fault(&self) -> bool {
        !matches!(self, AttemptEnd::NeverArrived)
    }

    /// The error if the call is settled now.
    pub fn error(&self) -> CallError {
        match self {
            AttemptEnd::Refused(reason) => CallError::not_run(
                ErrorCode::EngineFailed,
                format!("the engine did not start the call: {reason}"),
            ),
            AttemptEnd::NeverArrived => CallError::not_run(
                ErrorCode::EngineFailed,
                "the call was never handed to its engine",
            ),
            AttemptEnd::Failed(reason) => CallError::may_have_run(
                ErrorCode::EngineFailed,
                format!("the engine failed during the call: {reason}"),
            ),
            AttemptEnd::Forgotten(reason) => CallError::may_have_run(
                ErrorCode::EngineFailed,
                format!("the engine that ran the call can't tell its end: {reason}"),
            ),
        }
    }

    /// Whether the call may run again, apart from the retry budget: a call that may have run is run again only
    /// if it is repeatable; one that did not run may go on to another attempt whatever its kind.
    pub fn next_step(&self, call: &OpenCall, limits: AttemptLimits) -> NextStep {
        let has_attempts = call.attempt.0 < limits.attempts;
        let doubtful = call.doubtful_attempts + u32::from(self.is_doubtful());
        let may_repeat = !self.is_doubtful() || call.repeatable;
        match has_attempts && may_repeat && doubtful < limits.doubtful {
            true => NextStep::Retry,
            false => NextStep::Settle,
        }
    }
}
