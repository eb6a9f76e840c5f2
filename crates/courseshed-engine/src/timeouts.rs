//! How long the client waits for an engine.

use std::time::Duration;

/// Limits of waiting. Each ends the wait with an error; none cancels what runs on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// To establish a connection.
    pub connect: Duration,
    /// From handing the request over to the head of a plain answer.
    pub answer: Duration,
    /// From handing a call over to its first token; covers the engine's queue.
    pub first_token: Duration,
    /// Between two tokens.
    pub idle: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        EngineTimeouts {
            connect: Duration::from_secs(1),
            answer: Duration::from_secs(5),
            first_token: Duration::from_secs(60),
            idle: Duration::from_secs(15),
        }
    }
}
