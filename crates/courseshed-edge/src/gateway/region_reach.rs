//! Circuit breaker for regions in which no server can be reached. No I/O; times are passed in.
//!
//! It concerns calls that are restricted to regions. Each of their connection attempts would have to
//! time out before they are refused, although no other region may serve them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Connection timeouts in a row after which a region counts as unreachable. Servers that fail one by
/// one are told apart by the connections to others in between.
const MIN_FAILURES: u32 = 3;
/// Interval between attempts to reach an unreachable region.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    last_attempt: Duration,
}

/// Connection timeouts by region, as seen by one gateway.
#[derive(Clone, Debug, Default)]
pub struct RegionReach {
    failures: BTreeMap<String, Failures>,
}

impl RegionReach {
    /// Records a sign of life from a region.
    pub fn record_reached(&mut self, region: &str) {
        self.failures.remove(region);
    }

    /// Records a connection attempt that got no response.
    pub fn record_timeout(&mut self, region: &str, now: Duration) {
        let failures = self.failures.entry(region.to_owned()).or_default();
        failures.count = failures.count.saturating_add(1);
        failures.last_attempt = now;
    }

    /// Whether a call may try to reach a region. One call per interval may try an unreachable one.
    pub fn may_try(&mut self, region: &str, now: Duration) -> bool {
        let Some(failures) = self.failures.get_mut(region) else {
            return true;
        };
        if failures.count < MIN_FAILURES {
            return true;
        }
        let is_due = now.saturating_sub(failures.last_attempt) >= PROBE_INTERVAL;
        if is_due {
            failures.last_attempt = now;
        }
        is_due
    }
}
