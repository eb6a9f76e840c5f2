//! When restricted calls may try to reach a region.

use std::time::Duration;

use courseshed_edge::gateway::RegionReach;

const EAST: &str = "east";

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn unreachable_since(now: Duration) -> RegionReach {
    let mut reach = RegionReach::default();
    for _ in 0..3 {
        assert!(reach.may_try(EAST, now));
        reach.record_timeout(EAST, now);
    }
    reach
}

#[test]
fn region_counts_as_unreachable_after_timeouts_in_a_row() {
    let now = milliseconds(10_000);
    let mut reach = unreachable_since(now);
    assert!(!reach.may_try(EAST, now + milliseconds(499)));
    assert!(reach.may_try("west", now));
}

/// Guards against refusing calls because single servers fail while others can be reached.
#[test]
fn connection_in_between_shows_that_the_region_can_be_reached() {
    let now = milliseconds(10_000);
    let mut reach = RegionReach::default();
    for _ in 0..10 {
        reach.record_timeout(EAST, now);
        reach.record_timeout(EAST, now);
        reach.record_reached(EAST);
    }
    assert!(reach.may_try(EAST, now));
}

/// Guards against an outage that never ends, and against probes by many calls at once.
#[test]
fn one_call_per_interval_probes_and_its_success_ends_the_outage() {
    let now = milliseconds(10_000);
    let mut reach = unreachable_since(now);
    let later = now + milliseconds(500);
    assert!(reach.may_try(EAST, later));
    assert!(!reach.may_try(EAST, later + milliseconds(1)));
    reach.record_timeout(EAST, later + milliseconds(300));
    assert!(!reach.may_try(EAST, later + milliseconds(600)));
    assert!(reach.may_try(EAST, later + milliseconds(800)));
    reach.record_reached(EAST);
    assert!(reach.may_try(EAST, later + milliseconds(801)));
}
