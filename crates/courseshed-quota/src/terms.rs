//! Parameters of request quotas.

use std::time::Duration;

use courseshed_routing::RequestQuota;

/// Lease duration of permits, counted by the gateway from the report whose answer granted or
/// renewed them. Longer than the controllers take to elect a leader (1 to 2 s). A new owner waits
/// for it to expire, so it should not be longer than necessary.
pub const LEASE: Duration = Duration::from_secs(5);
/// How much longer than the window a send occupies its permit, which covers differences in the time
/// that sends take to reach their servers.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// Limits of a tenant's request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the limit by which a window may exceed it.
    pub overshoot: f64,
    /// Number of requests by which a window may exceed the limit in addition.
    pub slack: f64,
}

impl Default for QuotaPolicy {
    /// A window of 5 s that may exceed the limit by 10 % and 20 requests.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaPolicy {
    /// Permits of a tenant: the maximum number of requests in any window.
    #[must_use]
    pub fn permits(&self, quota: &RequestQuota) -> u32 {
        let limit = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        // The cast saturates, and maps NaN to 0.
        (limit * (1.0 + self.overshoot) + self.slack).floor() as u32
    }

    /// How long a send occupies its permit.
    #[must_use]
    pub fn occupancy(&self) -> Duration {
        self.window + ARRIVAL_MARGIN
    }
}
