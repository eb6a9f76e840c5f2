//! Waiting times between tries: exponential with full jitter.
//!
//! Full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015) keeps peers that lost
//! the same node from returning to it in step.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Gives growing random waits, and starts over after a success.
#[derive(Debug)]
pub struct Backoff {
    base: Duration,
    limit: Duration,
    tries: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Waits between zero and `base`, doubling up to `limit`; the same seed gives the same waits.
    pub fn new(base: Duration, limit: Duration, seed: u64) -> Backoff {
        Backoff {
            base,
            limit,
            tries: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The next wait.
    pub fn next_wait(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.tries).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.limit);
        self.tries = (self.tries + 1).min(u32::BITS - 1);
        let part: f64 = self.random.random();
        ceiling.mul_f64(part)
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_grow_up_to_the_limit() {
        let base = Duration::from_millis(10);
        let limit = Duration::from_millis(80);
        let mut backoff = Backoff::new(base, limit, 7);
        let waits: Vec<Duration> = (0..200).map(|_| backoff.next_wait()).collect();
        assert!(waits[0] <= base);
        assert!(waits.iter().all(|wait| *wait <= limit));
        assert!(waits.iter().any(|wait| *wait > limit / 2));
        backoff.reset();
        assert!(backoff.next_wait() <= base);
    }
}
