//! How long a silent server is waited for.

use std::time::Duration;

use courseshed_edge::gateway::ResponseTimes;
use yare::parameterized;

const ROUTE: &str = "r";

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn nothing_is_expected_before_enough_was_seen() {
    let mut times = ResponseTimes::default();
    assert_eq!(times.response_timeout(ROUTE), None);
    for _ in 0..10 {
        times.record(ROUTE, milliseconds(50));
    }
    assert_eq!(times.response_timeout(ROUTE), None);
}

#[parameterized(
    quick = { 50 },
    slow = { 700 },
)]
fn a_server_is_waited_for_well_beyond_the_slow_answers(usual_ms: u64) {
    let mut times = ResponseTimes::default();
    for index in 0..2_000 {
        let factor = if index % 10 == 0 { 4 } else { 1 };
        times.record(ROUTE, milliseconds(usual_ms * factor));
    }
    let borne = times.response_timeout(ROUTE).expect("known");
    assert!(borne > milliseconds(usual_ms * 5), "{borne:?}");
    assert!(borne < milliseconds(usual_ms * 30), "{borne:?}");
}

#[test]
fn servers_that_became_slow_are_waited_for_longer() {
    let mut times = ResponseTimes::default();
    for _ in 0..500 {
        times.record(ROUTE, milliseconds(100));
    }
    let mut given_up = 0;
    for _ in 0..100 {
        let borne = times.response_timeout(ROUTE).expect("known");
        let took = milliseconds(2_000).min(borne);
        given_up += usize::from(took == borne);
        times.record(ROUTE, took);
    }
    assert!(given_up < 20, "{given_up}");
}

#[test]
fn routes_that_are_gone_are_forgotten() {
    let mut times = ResponseTimes::default();
    for _ in 0..50 {
        times.record(ROUTE, milliseconds(50));
    }
    times.retain(|route| route != ROUTE);
    assert_eq!(times.response_timeout(ROUTE), None);
}
