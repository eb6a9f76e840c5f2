//! The servers to which a request was sent, and how each send ended.
//!
//! Invariant: entries are added and completed, never removed.

use std::fmt;

use itertools::Itertools;

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
    /// The server failed, and its process has ended.
    ServerEnded,
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

impl SendEnd {
    /// Whether the server may have executed the request.
    fn may_have_run(self) -> bool {
        !matches!(self, Self::Refused(_) | Self::Unreachable)
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
            Self::ServerEnded => formatter.write_str("server_ended"),
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

    /// Whether the request was never sent, nor tried to be.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// All servers, including those that refused the request or could not be reached.
    #[must_use]
    pub fn servers(&self) -> Vec<String> {
        let servers = self.sends.iter().map(|send| &send.server);
        servers.unique().cloned().collect()
    }

    /// The servers that received the request and may have executed it, also if they refused a later
    /// send or could not be reached then.
    pub fn receivers(&self) -> impl Iterator<Item = &str> {
        let may_have_run = self.sends.iter().filter(|send| send.end.may_have_run());
        may_have_run.map(|send| send.server.as_str()).unique()
    }

    /// The receivers that count towards the most servers that an attempt may be sent to: those that
    /// are not known to have ended.
    pub fn counted_receivers(&self) -> usize {
        let ended: Vec<&Send> = self
            .sends
            .iter()
            .filter(|send| send.end == SendEnd::ServerEnded)
            .collect();
        let has_ended = |server: &str| ended.iter().any(|send| send.server == server);
        self.receivers().filter(|server| !has_ended(server)).count()
    }

    /// How many sends were refused or did not reach their server.
    #[must_use]
    pub fn refusals(&self) -> usize {
        let is_refused = |send: &&Send| !send.end.may_have_run();
        self.sends.iter().filter(is_refused).count()
    }

    /// Whether a server failed after it received the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let mut sends = self.sends.iter();
        sends.any(|send| {
            let end = send.end;
            end.may_have_run() && !matches!(end, SendEnd::Open | SendEnd::Answered)
        })
    }

    /// The last server to receive the request, unless it refused the request since then.
    #[must_use]
    pub fn retryable_server(&self) -> Option<&str> {
        let last = self.receivers().last()?;
        let mut latest = self.sends.iter().rev();
        let latest = latest.find(|send| send.server == last)?;
        latest.end.may_have_run().then_some(last)
    }

    /// Records that the server of the last send failed because its process ended.
    pub fn record_server_ended(&mut self) {
        if let Some(last) = self.sends.last_mut() {
            last.end = SendEnd::ServerEnded;
        }
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
