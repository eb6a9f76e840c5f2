//! Errors of the client, each one line, and the exit codes scripts go by.

use std::io;

use courseshed_types::Verdict;
use snafu::Snafu;

/// How a run of the client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused or failed; nothing was changed.
    Failed,
    /// The command line or a local file is at fault; nothing was sent.
    Usage,
    /// Another version is in force than the change expects; nothing was changed.
    Conflict,
    /// No node could be reached; nothing was sent.
    Unreachable,
    /// The answer was lost: the change may have been made.
    Unknown,
    /// The time given ran out while waiting.
    TimedOut,
}

/// The exit codes, for the help text.
pub(crate) const EXIT_CODES: &str = "Exit codes: 0 done; 1 refused or failed, nothing changed; 2 wrong usage or a faulty local file, nothing sent; 3 version conflict, nothing changed; 4 no node reachable, nothing sent; 5 answer lost, the change may have been made (send it again with the same change id); 6 time ran out while waiting.";

impl Exit {
    /// The code the process exits with.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
            Exit::Unknown => 5,
            Exit::TimedOut => 6,
        }
    }
}

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The command line is at fault.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    /// A local file cannot be read.
    #[snafu(display("{path}: cannot be read: {source}"))]
    Unreadable { path: String, source: io::Error },
    /// A local settings tree holds faults; each is one line.
    #[snafu(display("{lines}"))]
    FaultyTree { lines: String },
    /// No connection to any node.
    #[snafu(display("cannot reach {url}: {reason}; is the node running?"))]
    Unreachable { url: String, reason: String },
    /// The request was sent, and its answer did not come.
    #[snafu(display(
        "no answer from {url}: {reason}; the request may have been carried out{hint}"
    ))]
    Unknown {
        url: String,
        reason: String,
        hint: String,
    },
    /// The node answered with an error.
    #[snafu(display("{message} ({code}, HTTP {status})"))]
    Refused {
        status: u16,
        code: String,
        message: String,
        verdict: Verdict,
    },
    /// The node answered with something that is no answer of courseshed.
    #[snafu(display(
        "{url} gave an answer that cannot be read: {reason}; is this a courseshed node?"
    ))]
    Malformed { url: String, reason: String },
    /// Standard output cannot be written.
    #[snafu(display("cannot write the answer: {source}"))]
    Output { source: io::Error },
}

/// Code of an error that says another version is in force.
const VERSION_CONFLICT: &str = "version_conflict";

impl CliError {
    /// The exit code that tells a script what is known.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CliError::Usage { .. } | CliError::Unreadable { .. } | CliError::FaultyTree { .. } => {
                Exit::Usage
            }
            CliError::Unreachable { .. } => Exit::Unreachable,
            CliError::Unknown { .. } => Exit::Unknown,
            CliError::Refused { code, .. } if code == VERSION_CONFLICT => Exit::Conflict,
            CliError::Refused { verdict, .. } if *verdict != Verdict::NotRun => Exit::Unknown,
            CliError::Refused { .. } | CliError::Malformed { .. } | CliError::Output { .. } => {
                Exit::Failed
            }
        }
    }
}
