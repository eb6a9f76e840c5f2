//! What a call has once it is decided which server it goes to.

use super::chosen::Chosen;
use super::core::InFlight;
use super::schedule::ScheduledCall;

/// A server for a call, and the call's number at the scheduler of the pool.
pub(super) struct Assigned {
    pub chosen: Chosen,
    pub call: Option<ScheduledCall>,
    /// Counts the call at the server, if that was begun: for one that is kept while a permit is renewed.
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
