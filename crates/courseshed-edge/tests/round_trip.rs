//! How long to wait for a reply on a path.

use std::time::Duration;

use courseshed_edge::gateway::RoundTrips;
use yare::parameterized;

const FAR: &str = "far";

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a fixed timeout that a path's round trip exceeds.
#[parameterized(
    near = { 1 },
    between_regions = { 30 },
    far = { 100 },
)]
fn timeout_exceeds_the_round_trip_from_the_first_sample_on(one_way_ms: u64) {
    let round_trip = milliseconds(2 * one_way_ms);
    let mut round_trips = RoundTrips::default();
    assert!(round_trips.timeout(FAR) > round_trip);
    for _ in 0..100 {
        round_trips.record(FAR.to_owned(), round_trip);
        assert!(round_trips.timeout(FAR) >= round_trip + milliseconds(50));
    }
}

/// Guards against waiting long for a server nearby because other paths take long.
#[test]
fn timeout_of_a_short_path_is_short_whatever_other_paths_take() {
    let mut round_trips = RoundTrips::default();
    for _ in 0..100 {
        round_trips.record("near".to_owned(), milliseconds(1));
        round_trips.record(FAR.to_owned(), milliseconds(200));
    }
    assert!(round_trips.timeout("near") < milliseconds(60));
}

/// Guards against a timeout below replies that vary.
#[test]
fn timeout_covers_samples_that_vary() {
    let mut round_trips = RoundTrips::default();
    for _ in 0..100 {
        round_trips.record(FAR.to_owned(), milliseconds(20));
        round_trips.record(FAR.to_owned(), milliseconds(100));
    }
    assert!(round_trips.timeout(FAR) > milliseconds(100));
}
