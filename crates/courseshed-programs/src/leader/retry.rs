//! When a call may run again: backoff with jitter, and a budget that keeps retries a small part of the load.
//!
//! The retry budget follows the token-bucket scheme of gRPC's retry throttling (gRFC A6): each accepted call
//! puts a little in, each retry takes one out, so that a failing pool is not loaded several times over.

use std::time::Duration;

use courseshed_types::RequestId;
use xxhash_rust::xxh3::xxh3_64;

/// What one retry costs.
const RETRY_COST: u32 = 10;
/// What one accepted call earns: one retry for ten calls.
const CALL_CREDIT: u32 = 1;
/// The most that can be saved up: a burst of a hundred retries.
const MAX_CREDIT: u32 = 100 * RETRY_COST;

/// Limits retries that cost engine time to a part of the calls accepted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    pub fn new() -> RetryBudget {
        RetryBudget { credit: MAX_CREDIT }
    }

    pub fn call_accepted(&mut self) {
        self.credit = (self.credit + CALL_CREDIT).min(MAX_CREDIT);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        match self.credit.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.credit = rest;
                true
            }
            None => false,
        }
    }
}

/// How long to wait after `ended` before the next attempt: doubled from `base` for each attempt up to `cap`,
/// then cut by a part from 0 to 1/2 that the attempt's id decides.
pub(super) fn backoff(ended: RequestId, base: Duration, cap: Duration) -> Duration {
    let doublings = ended.attempt.0.saturating_sub(1).min(16);
    let full = base.saturating_mul(1 << doublings).min(cap);
    let hash = xxh3_64(ended.to_string().as_bytes());
    let part = (hash % 1_024) as u32;
    full.saturating_sub(full * part / 2_048)
}

#[cfg(test)]
mod tests {
    use courseshed_types::{Attempt, CallId, ProgramId, Sequence, ShardId};

    use super::*;

    fn request(attempt: u32) -> RequestId {
        let program = ProgramId {
            shard: ShardId(1),
            number: 7,
        };
        let call = CallId {
            program,
            sequence: Sequence(3),
        };
        RequestId {
            call,
            attempt: Attempt(attempt),
        }
    }

    #[test]
    fn waits_grow_to_the_cap_and_keep_at_least_half() {
        let base = Duration::from_millis(50);
        let cap = Duration::from_secs(2);
        for attempt in 1..40 {
            let full = base.saturating_mul(1 << (attempt - 1).min(16)).min(cap);
            let wait = backoff(request(attempt), base, cap);
            assert!(
                wait <= full && wait >= full / 2,
                "attempt {attempt}: {wait:?}"
            );
        }
    }

    #[test]
    fn retries_stay_a_tenth_of_the_calls_once_the_savings_are_gone() {
        let mut budget = RetryBudget::new();
        while budget.take() {}
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.call_accepted();
            retries += u32::from(budget.take());
        }
        assert_eq!(retries, 100);
    }
}
