//! The server assigned to an attempt.

use super::chosen::Chosen;
use super::core::InFlight;
use super::schedule::ScheduledCall;

/// A selected server, with the call's registration at the pool scheduler.
pub(super) struct Assigned {
    pub chosen: Chosen,
    pub call: Option<ScheduledCall>,
    /// Set if the call is already counted as in flight, when a server is reused after the permit
    /// expired.
    pub in_flight: Option<InFlight>,
}

impl Assigned {
    pub(super) fn new(chosen: Chosen, call: Option<ScheduledCall>) -> Self {
        Self {
            chosen,
            call,
            in_flight: None,
        }
    }
}
