//! Errors as callers see them: a code, a verdict and what to do next.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// The kind of an error, stable over versions; also decides the HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request can't be understood.
    InvalidRequest,
    /// No key, or an unknown one.
    Unauthorized,
    /// The key does not reach this branch or program.
    Forbidden,
    /// No such program, call, branch or path.
    NotFound,
    /// The sequence number does not follow the last settled call.
    SequenceConflict,
    /// The same sequence or idempotency key came with another body, or the history differs.
    BodyConflict,
    /// Another version of the settings is in force than the change expects.
    VersionConflict,
    /// The program has ended.
    ProgramEnded,
    /// The body or the history is too large.
    TooLarge,
    /// A limit of the branch is reached.
    LimitReached,
    /// The budget does not cover the call.
    BudgetSpent,
    /// The system sheds load.
    Overloaded,
    /// The part responsible can't be reached or has no quorum or leader.
    Unavailable,
    /// No engine serves the model.
    NoEngine,
    /// The deadline passed.
    DeadlineExceeded,
    /// The engine failed during the attempt.
    EngineFailed,
    /// Settings are older than their lease and the branch asks to stop then.
    SettingsLeaseExpired,
    /// The node is stopping.
    Draining,
    /// A defect of courseshed.
    Internal,
}

impl ErrorCode {
    /// The HTTP status that carries this code.
    pub fn http_status(self) -> u16 {
        match self {
            ErrorCode::InvalidRequest => 400,
            ErrorCode::Unauthorized => 401,
            ErrorCode::Forbidden => 403,
            ErrorCode::NotFound => 404,
            ErrorCode::SequenceConflict
            | ErrorCode::BodyConflict
            | ErrorCode::VersionConflict
            | ErrorCode::ProgramEnded => 409,
            ErrorCode::TooLarge => 413,
            ErrorCode::LimitReached | ErrorCode::BudgetSpent => 429,
            ErrorCode::EngineFailed => 502,
            ErrorCode::DeadlineExceeded => 504,
            ErrorCode::Internal => 500,
            ErrorCode::Overloaded
            | ErrorCode::Unavailable
            | ErrorCode::NoEngine
            | ErrorCode::SettingsLeaseExpired
            | ErrorCode::Draining => 503,
        }
    }

    /// The text used in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            ErrorCode::InvalidRequest => "invalid_request",
            ErrorCode::Unauthorized => "unauthorized",
            ErrorCode::Forbidden => "forbidden",
            ErrorCode::NotFound => "not_found",
            ErrorCode::SequenceConflict => "sequence_conflict",
            ErrorCode::BodyConflict => "body_conflict",
            ErrorCode::VersionConflict => "version_conflict",
            ErrorCode::ProgramEnded => "program_ended",
            ErrorCode::TooLarge => "too_large",
            ErrorCode::LimitReached => "limit_reached",
            ErrorCode::BudgetSpent => "budget_spent",
            ErrorCode::Overloaded => "overloaded",
            ErrorCode::Unavailable => "unavailable",
            ErrorCode::NoEngine => "no_engine",
            ErrorCode::DeadlineExceeded => "deadline_exceeded",
            ErrorCode::EngineFailed => "engine_failed",
            ErrorCode::SettingsLeaseExpired => "settings_lease_expired",
            ErrorCode::Draining => "draining",
            ErrorCode::Internal => "internal",
        }
    }
}

/// An error with its verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallError {
    /// The kind.
    pub code: ErrorCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence for people.
    pub message: String,
    /// How long to wait before trying again, where waiting helps.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// An error of a request that certainly did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> CallError {
        CallError {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// An error of a request that may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> CallError {
        CallError {
            code,
            verdict: Verdict::MayHaveRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same error with a time to wait.
    pub fn retry_after(mut self, wait: Duration) -> CallError {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} ({})",
            self.code.as_str(),
            self.message,
            self.verdict
        )
    }
}

impl std::error::Error for CallError {}
