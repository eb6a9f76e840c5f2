//! The node's clock: wall time for what nodes tell each other, monotonic time for timeouts.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use courseshed_types::Timestamp;

/// Reads the time. It never goes backwards while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Duration,
}

impl Clock {
    /// A clock set from the system's.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started: Instant::now(),
            started_at: since_epoch.unwrap_or_default(),
        }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Timestamp {
        let since_epoch = self.started_at + self.started.elapsed();
        Timestamp(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }

    /// Time since the clock was made; what the replicated logs count in.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
