//! Tests of how much escrow is asked for at once.

use std::time::Duration;

use courseshed_types::Timestamp;
use yare::parameterized;

use super::pace::{GrantPace, PaceLimits};

const HOUR: Duration = Duration::from_secs(60 * 60);

/// Requests in an hour, the last of several, of a shard whose branch spends evenly, in calls a second.
fn requests_in_an_hour(calls_per_second: u64) -> u64 {
    let limits = PaceLimits::default();
    let mut now = Timestamp::ZERO;
    let mut pace: Option<GrantPace> = None;
    let mut requests = 0;
    let end = now + HOUR * 4;
    while now < end {
        let next = GrantPace::after(pace.as_ref(), now, &limits);
        pace = Some(next);
        requests += u64::from(now >= Timestamp::ZERO + HOUR * 3);
        let lasts = Duration::from_secs(next.multiple()) / u32::try_from(calls_per_second).unwrap();
        now += lasts;
    }
    requests
}

#[parameterized(one = { 1 }, four = { 4 }, ten = { 10 })]
fn requests_do_not_grow_with_calls(calls_per_second: u64) {
    let requests = requests_in_an_hour(calls_per_second);
    assert!(requests <= 13, "{requests} requests");
}

#[test]
fn a_branch_that_spends_more_than_the_most_covers_asks_sooner() {
    let requests = requests_in_an_hour(100);
    assert!((80..=100).contains(&requests), "{requests} requests");
}

#[test]
fn a_branch_that_calls_seldom_falls_back_to_the_least() {
    let limits = PaceLimits::default();
    let mut now = Timestamp::ZERO;
    let mut pace = GrantPace::after(None, now, &limits);
    for _ in 0..10 {
        pace = GrantPace::after(Some(&pace), now, &limits);
    }
    assert_eq!(pace.multiple(), limits.most);
    for _ in 0..10 {
        now += HOUR;
        pace = GrantPace::after(Some(&pace), now, &limits);
    }
    assert_eq!(pace.multiple(), limits.least);
}
