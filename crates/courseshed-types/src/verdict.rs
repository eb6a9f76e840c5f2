//! What is known about whether a request ran.
//!
//! A refusal may say "not run" only when that is certain and will stay certain; every layer passes the verdict
//! on and may only make it weaker, never stronger.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request may have run on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and never will under this sequence number and attempt.
    NotRun,
    /// The request may have run, may be running or may still run.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl Verdict {
    /// The text used in headers and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// Whether sending the request again can't make it run twice, whatever its kind.
    pub fn allows_retry(self) -> bool {
        self == Verdict::NotRun
    }

    /// Combines what two layers know of the same request: doubt wins over "not run".
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
