//! Parameters of warm-up limits.

use std::time::Duration;

/// Lease duration of permits, counted by the gateway from the report whose answer granted or
/// renewed them. Longer than the controllers usually take to elect a leader (about 1 s), so that a
/// new owner can renew the permits in use. A new owner waits for unreported ones to expire, so it
/// should not be longer than necessary.
pub const LEASE: Duration = Duration::from_secs(2);
/// The window in which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// How much longer than the window a send occupies its permit, which covers differences in the time
/// that sends take to reach their servers.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// How long a send occupies its permit.
pub const OCCUPANCY: Duration = WINDOW.saturating_add(ARRIVAL_MARGIN);

/// How many requests may reach a server that is warming up, in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupPolicy {
    /// Factor by which the requests of one second may exceed the rate.
    pub overshoot: f64,
    /// Number of requests by which they may exceed it in addition.
    pub slack: f64,
}

impl Default for WarmupPolicy {
    /// One and a half times the rate plus 5 requests.
    fn default() -> Self {
        Self {
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}

impl WarmupPolicy {
    /// Permits of a server whose service limits servers that are warming up to a rate.
    #[must_use]
    pub fn permits(&self, rate_per_s: f64) -> u32 {
        // The cast saturates, and maps NaN to 0.
        (rate_per_s * self.overshoot + self.slack).floor() as u32
    }
}
