//! Errors of talking to an engine, each with its verdict.

use crate::protocol::{ErrorBody, RequestState};
use awc::error::{ConnectError, JsonPayloadError, PayloadError, SendRequestError};
use courseshed_types::Verdict;
use snafu::Snafu;

/// Why an exchange with an engine failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// No connection came about, so that nothing was sent.
    #[snafu(display("can't connect to engine {address}: {reason}"))]
    Connect {
        /// The engine's address.
        address: String,
        /// What the transport says.
        reason: String,
    },
    /// The exchange broke after bytes may have been sent.
    #[snafu(display("the connection to engine {address} broke: {reason}"))]
    Broken {
        /// The engine's address.
        address: String,
        /// What the transport says.
        reason: String,
    },
    /// The engine did not answer in time.
    #[snafu(display("engine {address} did not send {awaited} in time"))]
    TimedOut {
        /// The engine's address.
        address: String,
        /// What was awaited.
        awaited: &'static str,
    },
    /// The engine refused or failed the request, in its own words.
    #[snafu(display("engine {address} answered {status}: {}", body.error.message))]
    Refused {
        /// The engine's address.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The engine's answer.
        body: Box<ErrorBody>,
    },
    /// The engine ended the stream with an error.
    #[snafu(display("engine {address} ended the stream: {}", body.error.message))]
    StreamFailed {
        /// The engine's address.
        address: String,
        /// The engine's last event.
        body: Box<ErrorBody>,
    },
    /// The engine's answer does not follow the protocol.
    #[snafu(display("engine {address} broke the protocol: {reason}"))]
    Protocol {
        /// The engine's address.
        address: String,
        /// What is wrong.
        reason: String,
    },
}

impl EngineError {
    /// Whether the request that failed may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            EngineError::Connect { .. } => Verdict::NotRun,
            EngineError::Refused { body, .. } => body.error.verdict,
            EngineError::Broken { .. }
            | EngineError::TimedOut { .. }
            | EngineError::StreamFailed { .. }
            | EngineError::Protocol { .. } => Verdict::MayHaveRun,
        }
    }

    /// Whether the engine is to blame rather than the request.
    pub fn is_engine_fault(&self) -> bool {
        match self {
            EngineError::Refused { status, .. } => *status >= 500,
            _ => true,
        }
    }

    /// The state in which the engine already knows the request id, if that is why it refused.
    pub fn known_state(&self) -> Option<RequestState> {
        match self {
            EngineError::Refused { body, .. } => body.state,
            _ => None,
        }
    }

    /// Reads the transport's error; only errors from before the first byte mean "not run".
    pub(crate) fn from_send(address: &str, error: &SendRequestError) -> EngineError {
        let address = address.to_owned();
        let reason = error.to_string();
        match error {
            // The library also says `Connect(Disconnected)` when the peer closes after the
            // request was sent, so that this case proves nothing.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                EngineError::Broken { address, reason }
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => {
                EngineError::Connect { address, reason }
            }
            SendRequestError::Timeout => EngineError::TimedOut {
                address,
                awaited: "an answer",
            },
            _ => EngineError::Broken { address, reason },
        }
    }

    pub(crate) fn from_payload(address: &str, error: &PayloadError) -> EngineError {
        EngineError::Broken {
            address: address.to_owned(),
            reason: error.to_string(),
        }
    }

    pub(crate) fn from_json(address: &str, error: &JsonPayloadError) -> EngineError {
        let address = address.to_owned();
        let reason = error.to_string();
        match error {
            JsonPayloadError::Payload(_) => EngineError::Broken { address, reason },
            _ => EngineError::Protocol { address, reason },
        }
    }

    pub(crate) fn protocol(address: &str, reason: impl Into<String>) -> EngineError {
        EngineError::Protocol {
            address: address.to_owned(),
            reason: reason.into(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use yare::parameterized;

    #[parameterized(
        refused = { SendRequestError::Connect(ConnectError::Io(io::Error::other("refused"))), Verdict::NotRun },
        slow_connect = { SendRequestError::Connect(ConnectError::Timeout), Verdict::NotRun },
        closed_after_sending = { SendRequestError::Connect(ConnectError::Disconnected), Verdict::MayHaveRun },
        broken_while_sending = { SendRequestError::Send(io::Error::other("reset")), Verdict::MayHaveRun },
        no_answer = { SendRequestError::Timeout, Verdict::MayHaveRun },
    )]
    fn only_errors_before_the_first_byte_mean_not_run(error: SendRequestError, verdict: Verdict) {
        assert_eq!(
            EngineError::from_send("127.0.0.1:1", &error).verdict(),
            verdict
        );
    }
}
