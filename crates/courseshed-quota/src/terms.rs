//! The figures of quotas.

use std::time::Duration;

use courseshed_routing::RequestQuota;

/// How long permits may be used after the question whose answer granted or renewed them: longer than
/// the controllers take to agree on a new leader (1 to 2 s), and about as long as a gateway that hears
/// nothing may use keys. A new owner waits for it, so it is no longer than that.
pub const LEASE: Duration = Duration::from_secs(5);
/// How much longer than a window a send occupies its permit: sends reach servers after unlike times,
/// 1 to 5 ms between zones and up to some hundred where a processor's share holds one up.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// How requests are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Length of the sliding window.
    pub window: Duration,
    /// The part by which a window's sum may be over the limit.
    pub overshoot: f64,
    /// Requests by which it may be over the limit beside that.
    pub slack: f64,
}

impl Default for QuotaTerms {
    /// A window of 5 s with a tenth and 20 requests beyond, as fleets that were played ask for.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaTerms {
    /// The permits of a tenant: the most requests that one window may see.
    #[must_use]
    pub fn permits(&self, quota: &RequestQuota) -> u32 {
        let limit = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        // A float is turned into the nearest integer that fits, 0 if it is no number.
        (limit * (1.0 + self.overshoot) + self.slack).floor() as u32
    }

    /// How long a send occupies its permit.
    #[must_use]
    pub fn occupancy(&self) -> Duration {
        self.window + ARRIVAL_MARGIN
    }
}
