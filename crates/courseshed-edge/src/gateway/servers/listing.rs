//! What a gateway's list says of a server.

use std::fmt;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It accepts new calls.
    Ready,
    /// It accepted new calls by a list that no controller has confirmed lately.
    Unconfirmed,
    /// It only completes the calls it has, and may refuse connections.
    Draining,
    /// It left, its heartbeats are late, or this gateway's list is incomplete.
    NotListed,
    /// A process that started later is listed at its address.
    Replaced,
}

impl fmt::Display for Listing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ready => "ready",
            Self::Unconfirmed => "unconfirmed",
            Self::Draining => "draining",
            Self::NotListed => "not_listed",
            Self::Replaced => "replaced",
        })
    }
}
