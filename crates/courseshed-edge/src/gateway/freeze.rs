//! Detects that the event loop stood still, for example because the process was suspended. No I/O;
//! the current time is passed in.

use std::time::Duration;

/// How often the event loop is observed while nothing else happens.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an observation that counts as a freeze. Delays of a busy gateway are shorter.
const MIN_FREEZE: Duration = Duration::from_millis(500);
/// Requests first read within this time after a freeze may have waited for it in a socket.
const BACKLOG_PERIOD: Duration = Duration::from_secs(1);

/// Observations of the event loop.
#[derive(Clone, Copy, Debug)]
pub struct FreezeDetector {
    observed_at: Duration,
    count: u64,
    woken_at: Option<Duration>,
}

impl FreezeDetector {
    /// Starts observing.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            observed_at: now,
            count: 0,
            woken_at: None,
        }
    }

    /// Records that the event loop is running. Returns how long it stood still, if that was a
    /// freeze.
    pub fn observe(&mut self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.observed_at);
        self.observed_at = self.observed_at.max(now);
        if passed < MIN_FREEZE {
            return None;
        }
        self.count += 1;
        self.woken_at = Some(now);
        Some(passed)
    }

    /// Number of freezes so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a request that was first read at `arrived` may have waited during a freeze, in this
    /// process or unread in its socket.
    #[must_use]
    pub fn affects(&self, arrived: Duration) -> bool {
        self.woken_at
            .is_some_and(|woken_at| arrived < woken_at + BACKLOG_PERIOD)
    }
}
