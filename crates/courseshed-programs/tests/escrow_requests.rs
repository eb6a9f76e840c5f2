//! Calls that wait for escrow: how many pass with a grant, and when a budget counts as spent.

mod support;

use courseshed_types::{ErrorCode, ProgramId, Verdict};
use support::{Harness, with_budget};

/// Tokens of the budget; far more than the calls of these tests need.
const BUDGET: u64 = 1_000_000_000;
const CALLS: usize = 40;

/// Grants all requests in full until none is left; returns how many there were.
fn grant_in_full(harness: &mut Harness) -> usize {
    let mut granted = 0;
    loop {
        let requests = harness.grant_requests();
        if requests.is_empty() {
            return granted;
        }
        for request in requests {
            let wanted = request.wanted.0;
            harness.grant(request, wanted);
            granted += 1;
        }
    }
}

#[test]
fn calls_at_once_in_a_fresh_shard_are_all_accepted() {
    let mut harness = Harness::with_policy(with_budget(BUDGET));
    let programs: Vec<ProgramId> = (0..CALLS).map(|_| harness.create()).collect();
    let tokens: Vec<_> = programs
        .iter()
        .map(|program| harness.submit(*program, 1, "hello"))
        .collect();
    let requests = grant_in_full(&mut harness);
    let answered = tokens
        .iter()
        .filter(|token| harness.reply(**token).is_some());
    assert_eq!(answered.count(), 0, "no call is refused");
    // 4, 8, 16 and 32 calls' worth cover forty calls.
    assert!((1..=6).contains(&requests), "{requests} requests");
}

#[test]
fn a_grant_below_what_is_needed_shows_that_the_budget_is_spent() {
    let mut harness = Harness::with_policy(with_budget(BUDGET));
    let program = harness.create();
    let token = harness.submit(program, 1, "hello");
    let request = harness.grant_requests().remove(0);
    let too_little = request.needed.0 - 1;
    harness.grant(request, too_little);
    let error = harness.error(token);
    assert_eq!(error.code, ErrorCode::BudgetSpent);
    assert_eq!(error.verdict, Verdict::NotRun);
}
