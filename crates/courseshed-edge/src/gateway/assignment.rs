//! The server assigned to an attempt.

use super::core::InFlightGuard;
use super::schedule::ScheduledCall;
use super::selected_server::SelectedServer;
use super::warmup::WarmupPermit;

/// A selected server, with the call's registration at the pool scheduler.
pub(super) struct Assignment {
    pub chosen: SelectedServer,
    pub call: Option<ScheduledCall>,
    /// Set if the call is already counted as in flight, when a server is reused after the permit
    /// expired.
    pub in_flight: Option<InFlightGuard>,
    /// Permit of a server that is warming up.
    pub warmup: Option<WarmupPermit>,
}

impl Assignment {
    pub(super) fn new(chosen: SelectedServer, call: Option<ScheduledCall>) -> Self {
        Self {
            chosen,
            call,
            in_flight: None,
            warmup: None,
        }
    }
}
