//! Monotonic and wall clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that measures the time since it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since [`Clock::start`].
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Unix time in milliseconds; zero if the system clock is before 1970.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
