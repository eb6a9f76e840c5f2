//! When to try again: bounded by time, with growing pauses.
//!
//! Invariant: a request that may have been carried out is sent again only if
//! sending it twice does no more than sending it once.

use std::time::{Duration, Instant};

/// First pause between two attempts.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Whether sending a request twice does no more than sending it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// It reads, sets a state, or carries a change id.
    Harmless,
    /// It may take effect once more.
    Harmful,
}

/// The attempts of one request.
pub(crate) struct Attempts {
    deadline: Instant,
    pause: Duration,
}

impl Attempts {
    /// Attempts until `limit` from now.
    pub(crate) fn within(limit: Duration) -> Self {
        Self {
            deadline: Instant::now() + limit,
            pause: FIRST_PAUSE,
        }
    }

    /// The time that is left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Waits before the next attempt; false if no time is left for one.
    pub(crate) async fn pause(&mut self, wanted: Option<Duration>) -> bool {
        let pause = wanted.unwrap_or(self.pause);
        if pause >= self.left() {
            return false;
        }
        actix_rt::time::sleep(pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        true
    }
}
