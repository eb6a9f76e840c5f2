//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A steady clock that starts with the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// The time of day, in milliseconds since 1970.
#[must_use]
pub fn time_of_day_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
