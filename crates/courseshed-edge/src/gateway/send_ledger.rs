//! The servers to which a request was sent, and how each send ended.
//!
//! Invariant: entries are added and completed, never removed.

use std::fmt;

use super::upstream::UpstreamError;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The request is at the server.
    Open,
    /// The response was complete.
    Answered,
    /// The server stated, with a status, that it did not execute the request.
    Refused(u16),
    /// The connection failed, so that nothing was sent.
    Unreachable,
    /// The connection or the response broke off.
    Broken,
    /// The server sent nothing for longer than usual.
    Silent,
    /// The deadline passed.
    TimedOut,
}

impl SendEnd {
    /// The end that an error brought.
    #[must_use]
    pub fn of_error(error: &UpstreamError) -> Self {
        match error {
            UpstreamError::NotSent { .. } => Self::Unreachable,
            UpstreamError::Broken { .. } => Self::Broken,
            UpstreamError::Silent => Self::Silent,
            UpstreamError::TimedOut => Self::TimedOut,
        }
    }
}

impl fmt::Display for SendEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open => formatter.write_str("open"),
            Self::Answered => formatter.write_str("answered"),
            Self::Refused(status) => write!(formatter, "refused-{status}"),
            Self::Unreachable => formatter.write_str("unreachable"),
            Self::Broken => formatter.write_str("broken"),
            Self::Silent => formatter.write_str("silent"),
            Self::TimedOut => formatter.write_str("timed_out"),
        }
    }
}

#[derive(Clone, Debug)]
struct Send {
    server: String,
    end: SendEnd,
}

/// The sends of a request, in order.
#[derive(Clone, Debug, Default)]
pub struct SendLedger {
    sends: Vec<Send>,
}

impl SendLedger {
    /// Records that the request is being sent to a server.
    pub fn begin(&mut self, server: &str) {
        self.record(server, SendEnd::Open);
    }

    /// Records that a server could not be reached.
    pub fn record_unreachable(&mut self, server: &str) {
        self.record(server, SendEnd::Unreachable);
    }

    /// Records how the last send ended; the first end counts.
    pub fn end(&mut self, end: SendEnd) {
        if let Some(last) = self.sends.last_mut()
            && last.end == SendEnd::Open
        {
            last.end = end;
        }
    }

    fn record(&mut self, server: &str, end: SendEnd) {
        self.sends.push(Send {
            server: server.to_owned(),
            end,
        });
    }
}

impl fmt::Display for SendLedger {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, send) in self.sends.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(formatter, "{separator}{}:{}", send.server, send.end)?;
        }
        Ok(())
    }
}
