//! Per-engine circuit breaker and failure rate.
//!
//! An engine that fails fast looks idle and attracts calls. After consecutive failures it is backed
//! off, then probed with a single call; while some of its calls fail, its failure rate adds to its
//! cost.

use std::time::Duration;

/// Bounds of the exponential backoff. The minimum covers the client's retry delay of 0.1 to 0.4 s,
/// so that the retry goes to another engine.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff after an engine reported that it is full.
const FULL_BACKOFF: Duration = Duration::from_millis(40);
/// Consecutive failures that open the breaker. A single failure may be caused by the call itself.
const FAILURE_THRESHOLD: u32 = 2;
/// Half-life of the success and failure counts.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// Successes assumed for every engine, so that one early failure does not dominate the rate.
const PRIOR_SUCCESSES: f64 = 8.0;

/// Call outcomes of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    backoff_level: u32,
    backoff_until: Duration,
    is_probing: bool,
    successes: f64,
    failures: f64,
    decayed_at: Duration,
}

impl Health {
    /// Whether the engine may be given a call while `running` calls are running on it.
    pub(crate) fn allows_call(&self, now: Duration, running: usize) -> bool {
        self.backoff_until <= now && (!self.is_probing || running == 0)
    }

    /// Recent failure rate, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let factor = self.decay_factor(now);
        let (successes, failures) = (self.successes * factor, self.failures * factor);
        failures / (successes + failures + PRIOR_SUCCESSES)
    }

    pub(crate) fn record_success(&mut self, now: Duration) {
        self.decay(now);
        self.successes += 1.0;
        self.consecutive_failures = 0;
        self.is_probing = false;
        // The backoff level is only reset once the failure rate is low: an engine that fails part
        // of its calls must not return to the shortest backoff after each success.
        if self.failure_rate(now) < 0.1 {
            self.backoff_level = 0;
        }
    }

    pub(crate) fn record_full(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + FULL_BACKOFF);
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURE_THRESHOLD || self.is_probing {
            self.back_off(now);
        }
    }

    /// Records that the engine was unreachable or dropped the connection. Backs off at once,
    /// without waiting for a second failure.
    pub(crate) fn record_disconnect(&mut self, now: Duration) {
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
        self.back_off(now);
    }

    fn back_off(&mut self, now: Duration) {
        if self.backoff_until > now {
            // Failures of calls sent before the backoff began carry no new information.
            return;
        }
        let backoff = MIN_BACKOFF * 2u32.saturating_pow(self.backoff_level.min(8));
        self.backoff_level += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.is_probing = true;
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        0.5f64.powf(passed / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.decay_factor(now);
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }
}
