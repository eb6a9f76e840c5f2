//! When a caller sends a request again: the verdict, a budget, backoff with jitter, and `Retry-After`.

use std::time::Duration;

/// The first wait before a request is sent again.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// The longest wait that backoff comes to.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// What one request adds to the budget of further ones.
const EARNED_PER_REQUEST: f64 = 0.5;
/// The most that may be saved up.
const LARGEST_BUDGET: f64 = 200.0;

/// How long one call is tried before its caller gives up.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// How long the caller waits for a call, all tries together.
    pub call: Duration,
    /// How long one request may stay without any word.
    pub silence: Duration,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience {
            call: Duration::from_secs(90),
            silence: Duration::from_secs(12),
        }
    }
}

/// Bounds further tries to a part of the requests, so that callers don't multiply load when much fails.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            saved: LARGEST_BUDGET,
        }
    }
}

impl RetryBudget {
    /// A request was sent for the first time.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(LARGEST_BUDGET);
    }

    /// Whether a request may be sent again; it is paid for then.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// The wait before try `tries + 1`: exponential, with jitter in [0, 1), and at least what the server asked for.
pub fn wait_before(tries: u32, jitter: f64, asked: Option<Duration>) -> Duration {
    let doubled = FIRST_WAIT.saturating_mul(1 << tries.min(10));
    let backoff = doubled.min(LONGEST_WAIT);
    let drawn = backoff.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
    match asked {
        // Callers that were told the same time must not all come back at once.
        Some(asked) => asked + drawn,
        None => drawn,
    }
}
