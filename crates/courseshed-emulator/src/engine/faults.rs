//! Faults on demand.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may go wrong with cache events.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventFaults {
    /// Share of events that are lost, from 0 to 1.
    pub drop: f64,
    /// Share of events that come twice.
    pub repeat: f64,
    /// Share of events that change places with the one before.
    pub reorder: f64,
    /// How much later than usual events appear, in milliseconds.
    pub delay_ms: u64,
}

/// Body of `POST /admin/faults`; what is absent stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrder {
    /// Makes every step last so many times longer; 1 is normal.
    pub slow_factor: Option<f64>,
    /// Neither moves on nor answers for so many milliseconds from now.
    pub hang_ms: Option<u64>,
    /// Delays the head of every answer by so many milliseconds; 0 is normal.
    pub answer_late_ms: Option<u64>,
    /// Crashes once so many more tokens have been generated; 0 at once.
    pub crash_after_tokens: Option<u64>,
    /// How long a crashed engine stays away, in milliseconds.
    pub down_ms: Option<u64>,
    /// Cuts all streams once, without forgetting anything.
    pub cut_streams: bool,
    /// What goes wrong with cache events from now on.
    pub events: Option<EventFaults>,
    /// Whether the engine leaves, as if ordered to.
    pub leaving: Option<bool>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) hang_until: Option<Duration>,
    pub(crate) answer_late: Duration,
    /// Tokens left before the crash.
    pub(crate) crash_after: Option<u64>,
    pub(crate) down: Duration,
}

impl Faults {
    /// Counts generated tokens; true if the crash is due.
    pub(crate) fn is_crash_due(&mut self, tokens: u64) -> bool {
        let Some(left) = &mut self.crash_after else {
            return false;
        };
        *left = left.saturating_sub(tokens);
        *left == 0
    }

    /// How long handlers and the model hang from `now` on.
    pub(crate) fn hang_left(&self, now: Duration) -> Option<Duration> {
        let left = self.hang_until?.checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }
}
