//! What became of a server that failed while it had a request. No I/O.
//!
//! Two limits ask, and their safe sides are opposite: a server counts towards the servers that an attempt may be sent
//! to until it is known to have ended, and towards the servers that may end under a request as soon as it may have.

use std::fmt;

use super::probe::ProbeResult;
use super::servers::Listing;

/// What became of a server that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFate {
    /// It goes on running.
    Running,
    /// Nothing shows that it runs, nor that it ended.
    MayHaveEnded,
    /// Its process has ended.
    Ended,
}

impl ServerFate {
    /// The fate that the list and a connection attempt show.
    #[must_use]
    pub fn of(listing: Listing, probe: ProbeResult) -> Self {
        match (listing, probe) {
            (Listing::Replaced, _) => Self::Ended,
            // Another process may have its address.
            (Listing::NotListed, _) => Self::MayHaveEnded,
            (_, ProbeResult::Open | ProbeResult::Closed) => Self::Running,
            (Listing::Ready, ProbeResult::Refused) => Self::Ended,
            // A server may close its listening socket before it has completed its calls.
            (Listing::Unconfirmed | Listing::Draining, ProbeResult::Refused) => Self::MayHaveEnded,
            (_, ProbeResult::TimedOut | ProbeResult::Failed(_)) => Self::MayHaveEnded,
        }
    }

    /// Whether the server counts towards the most servers that an attempt may be sent to.
    #[must_use]
    pub fn counts_as_receiver(self) -> bool {
        self != Self::Ended
    }

    /// Whether the server counts towards the most servers that may end under a request.
    #[must_use]
    pub fn counts_as_ended(self) -> bool {
        self != Self::Running
    }
}

impl fmt::Display for ServerFate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Running => "running",
            Self::MayHaveEnded => "may_have_ended",
            Self::Ended => "ended",
        })
    }
}
