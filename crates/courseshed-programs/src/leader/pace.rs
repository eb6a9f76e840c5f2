//! How much escrow to ask for at once.
//!
//! Every request is a commit of the controllers, so their number must not grow with calls. A shard that asks again
//! soon asks for twice as much, one that asks seldom for half as much: requests of a shard for one branch settle
//! at one each [`PaceLimits::interval`] or fewer, whatever the branch spends, until the most allowed is reached.

use std::time::Duration;

use courseshed_types::Timestamp;

/// Seldom enough to ask for less is this many intervals.
const SELDOM: u32 = 4;

/// Bounds of what is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceLimits {
    /// Least asked for, as a multiple of what the call that waits may cost.
    pub least: u64,
    /// Most asked for, as the same multiple.
    pub most: u64,
    /// Requests that come sooner after each other ask for more.
    pub interval: Duration,
}

impl Default for PaceLimits {
    fn default() -> PaceLimits {
        PaceLimits {
            least: 4,
            most: 4_096,
            interval: Duration::from_secs(5 * 60),
        }
    }
}

/// What was last asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantPace {
    multiple: u64,
    asked_at: Timestamp,
}

impl GrantPace {
    /// What to ask for now, given what was last asked for.
    pub fn after(last: Option<&GrantPace>, now: Timestamp, limits: &PaceLimits) -> GrantPace {
        let multiple = last.map_or(limits.least, |pace| pace.adapted(now, limits));
        GrantPace {
            multiple: multiple.clamp(limits.least, limits.most),
            asked_at: now,
        }
    }

    /// How many times the cost of the call that waits to ask for.
    pub fn multiple(&self) -> u64 {
        self.multiple
    }

    fn adapted(&self, now: Timestamp, limits: &PaceLimits) -> u64 {
        let since = now.since(self.asked_at);
        if since < limits.interval {
            return self.multiple.saturating_mul(2);
        }
        if since > limits.interval * SELDOM {
            return self.multiple / 2;
        }
        self.multiple
    }
}
