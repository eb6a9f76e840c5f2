//! How long the gateway waits for a server that does not respond.

use std::time::Duration;

use courseshed_edge::gateway::ResponseTimes;
use yare::parameterized;

const ROUTE: &str = "r";

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn no_limit_without_enough_samples() {
    let mut times = ResponseTimes::default();
    assert_eq!(times.response_timeout(ROUTE), None);
    for _ in 0..10 {
        times.record(ROUTE, milliseconds(50));
    }
    assert_eq!(times.response_timeout(ROUTE), None);
}

#[parameterized(
    fast = { 50 },
    slow = { 700 },
)]
fn limit_is_well_above_slow_response_times(typical_ms: u64) {
    let mut times = ResponseTimes::default();
    for index in 0..2_000 {
        let factor = if index % 10 == 0 { 4 } else { 1 };
        times.record(ROUTE, milliseconds(typical_ms * factor));
    }
    let limit = times.response_timeout(ROUTE).expect("known");
    assert!(limit > milliseconds(typical_ms * 5), "{limit:?}");
    assert!(limit < milliseconds(typical_ms * 30), "{limit:?}");
}

#[test]
fn limit_adapts_to_servers_that_become_slower() {
    let mut times = ResponseTimes::default();
    for _ in 0..500 {
        times.record(ROUTE, milliseconds(100));
    }
    let mut timed_out = 0;
    for _ in 0..100 {
        let limit = times.response_timeout(ROUTE).expect("known");
        let took = milliseconds(2_000).min(limit);
        timed_out += usize::from(took == limit);
        times.record(ROUTE, took);
    }
    assert!(timed_out < 20, "{timed_out}");
}

#[test]
fn samples_of_removed_routes_are_dropped() {
    let mut times = ResponseTimes::default();
    for _ in 0..50 {
        times.record(ROUTE, milliseconds(50));
    }
    times.retain(|route| route != ROUTE);
    assert_eq!(times.response_timeout(ROUTE), None);
}
