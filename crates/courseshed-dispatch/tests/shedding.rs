//! Load shedding keeps queues bounded per branch and returns retry delays.

mod common;

use std::time::Duration;

use common::{Driver, call, policy, usage};
use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_types::{CallId, ErrorCode, Verdict};

/// One engine with four slots, and branches `a` and `b` with equal shares.
fn driver(config: DispatcherConfig) -> Driver {
    let mut driver = Driver::new(PolicyKind::Courseshed, config);
    driver.list_engines(&["e1"]);
    driver.report("e1", common::load(0, 4));
    driver.set_policy(policy(&[("a", 1.0), ("b", 1.0)]));
    driver
}

/// Serves one call of branch `a` per second.
fn serve(driver: &mut Driver, seconds: u64) {
    for number in 0..seconds {
        let served = call(10_000 + number, 1, "a", driver.now);
        driver.enqueue(served);
        for assigned in driver.tick() {
            driver.finished(assigned.call, usage(500, 0, 20));
        }
        driver.advance(Duration::from_secs(1));
    }
}

fn shed_of(driver: &Driver, programs: std::ops::Range<u64>) -> Vec<CallId> {
    let is_of = |call: &&CallId| programs.contains(&call.program.number);
    let calls = driver.shed.iter().map(|(call, _)| call);
    calls.filter(is_of).copied().collect()
}

#[test]
fn the_branch_that_most_exceeds_its_share_is_shed_first() {
    let config = DispatcherConfig {
        max_waiting: 50,
        min_branch_waiting: 10,
        ..DispatcherConfig::default()
    };
    let mut driver = driver(config);
    for number in 0..20 {
        driver.enqueue(call(number, 1, "b", driver.now));
    }
    for number in 100..200 {
        driver.enqueue(call(number, 1, "a", driver.now));
    }
    driver.tick();
    assert_eq!(driver.dispatcher.stats(driver.now).waiting, 50);
    assert_eq!(shed_of(&driver, 0..20), []);
    let all_not_run = driver.shed.iter().all(|(_, error)| {
        error.verdict == Verdict::NotRun
            && error.code == ErrorCode::Overloaded
            && error.retry_after.is_some()
    });
    assert!(all_not_run);
}

#[test]
fn a_call_that_can_not_be_served_in_time_is_shed_immediately() {
    let mut driver = driver(DispatcherConfig::default());
    serve(&mut driver, 30);
    for number in 0..400 {
        driver.enqueue(call(number, 1, "a", driver.now));
    }
    driver.tick();
    let waiting = driver.dispatcher.stats(driver.now).waiting;
    assert!(
        (60..=120).contains(&waiting),
        "one call per second for 1.5 times the 60 s deadline: {waiting}"
    );
    let (_, error) = &driver.shed[0];
    let retry = error.retry_after.expect("a retry delay");
    assert!((50..=60).contains(&retry.as_secs()), "{retry:?}");
}

#[test]
fn a_short_queue_is_not_shed_for_the_queue_of_another_branch() {
    let mut driver = driver(DispatcherConfig::default());
    serve(&mut driver, 30);
    for number in 0..400 {
        driver.enqueue(call(number, 1, "a", driver.now));
    }
    for number in 1_000..1_020 {
        driver.enqueue(call(number, 1, "b", driver.now));
    }
    driver.tick();
    assert_eq!(shed_of(&driver, 1_000..1_020), []);
    assert!(!shed_of(&driver, 0..400).is_empty());
}
