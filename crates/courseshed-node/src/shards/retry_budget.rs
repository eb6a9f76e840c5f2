//! A budget of retries, so that retries never multiply the load on a fleet that is failing.

use std::sync::atomic::{AtomicI64, Ordering};

/// Parts of a retry that one first attempt earns.
const EARNED_PARTS: i64 = 20;
/// Parts that a retry costs.
const RETRY_PARTS: i64 = 100;
/// Retries that may be saved up, and are there at the start.
const SAVED_RETRIES: i64 = 500;

/// One retry is allowed for each five first attempts, and a burst of some hundred.
#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl RetryBudget {
    /// A full budget.
    pub fn new() -> RetryBudget {
        RetryBudget(AtomicI64::new(SAVED_RETRIES * RETRY_PARTS))
    }

    /// Notes a first attempt.
    pub fn earn(&self) {
        let limit = SAVED_RETRIES * RETRY_PARTS;
        if self.0.load(Ordering::Relaxed) < limit {
            self.0.fetch_add(EARNED_PARTS, Ordering::Relaxed);
        }
    }

    /// Takes a retry out; false if none is left.
    pub fn spend(&self) -> bool {
        let before = self.0.fetch_sub(RETRY_PARTS, Ordering::Relaxed);
        if before < RETRY_PARTS {
            self.0.fetch_add(RETRY_PARTS, Ordering::Relaxed);
            return false;
        }
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_run_out_and_are_earned_again() {
        let budget = RetryBudget::new();
        let burst = (0..SAVED_RETRIES * 2).filter(|_| budget.spend()).count();
        assert_eq!(burst as i64, SAVED_RETRIES);
        for _ in 0..10 {
            budget.earn();
        }
        let earned = (0..10).filter(|_| budget.spend()).count();
        assert_eq!(earned, 2);
    }
}
