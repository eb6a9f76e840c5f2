//! Life cycle of a call in the dispatcher, with duplicated and delayed messages and replaced
//! leaders.

mod common;

use std::time::Duration;

use common::{Driver, call, usage};
use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_types::{
    Attempt, ErrorCode, Verdict,
    dispatch::{DispatchRequestBody, EngineState},
};

#[test]
fn a_call_is_assigned_once_and_releases_its_slot() {
    let mut driver = Driver::with_engines(&["e1"], 1);
    let first = call(1, 1, "/", driver.now);
    let second = call(2, 1, "/", driver.now);
    driver.enqueue(first.clone());
    driver.enqueue(second.clone());
    let assigned = driver.tick();
    assert_eq!(assigned.len(), 1, "one slot, one call");
    assert_eq!(assigned[0].call, first.call);
    driver.started(first.clone(), "e1");
    assert!(driver.tick().is_empty());
    driver.finished(first.call, usage(500, 0, 20));
    assert_eq!(driver.tick()[0].call, second.call);
}

#[test]
fn a_repeated_enqueue_repeats_the_assignment_and_takes_no_second_slot() {
    let mut driver = Driver::with_engines(&["e1", "e2"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    let assigned = driver.tick();
    driver.enqueue(first.clone());
    assert_eq!(driver.tick(), assigned);
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!((stats.waiting, stats.in_flight), (0, 1));
}

#[test]
fn an_unconfirmed_assignment_is_sent_again_until_it_is_confirmed() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    driver.tick();
    assert_eq!(driver.advance(Duration::from_secs(3)).len(), 1);
    driver.started(first, "e1");
    assert!(driver.advance(Duration::from_secs(10)).is_empty());
}

#[test]
fn late_messages_of_an_ended_attempt_are_dropped() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    driver.tick();
    driver.started(first.clone(), "e1");
    driver.finished(first.call, usage(500, 0, 20));
    driver.finished(first.call, usage(500, 0, 20));
    driver.started(first.clone(), "e1");
    driver.enqueue(first);
    assert!(driver.tick().is_empty());
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.in_flight, 0);
    assert_eq!(stats.counters.stale_attempts, 3);
}

#[test]
fn a_failed_attempt_may_be_followed_by_the_next() {
    let mut driver = Driver::with_engines(&["e1", "e2"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    let engine = driver.tick()[0].engine.clone();
    driver.failed(first.call, true);
    let mut second = first.clone();
    second.attempt = Attempt(2);
    second.avoid = vec![engine.clone()];
    driver.enqueue(second);
    driver.enqueue(first);
    let assigned = driver.tick();
    assert_eq!(assigned.len(), 1);
    assert_eq!(assigned[0].attempt, Attempt(2));
    assert_ne!(assigned[0].engine, engine);
}

#[test]
fn messages_of_a_replaced_leader_are_dropped() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    driver.term = 5;
    driver.enqueue(call(1, 1, "/", driver.now));
    driver.term = 4;
    driver.enqueue(call(2, 1, "/", driver.now));
    assert_eq!(driver.tick().len(), 1);
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.counters.stale_terms, 1);
}

#[test]
fn calls_not_announced_by_a_new_leader_are_dropped() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    let (lost, kept) = (call(1, 1, "/", driver.now), call(2, 1, "/", driver.now));
    driver.enqueue(lost);
    driver.enqueue(kept.clone());
    driver.tick();
    driver.term = 2;
    driver.started(kept, "e1");
    driver.send(DispatchRequestBody::AnnounceComplete);
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.in_flight, 1);
    assert_eq!(stats.engines[&"e1".into()].in_flight, 1);
    assert_eq!(stats.counters.dropped_calls, 1);
}

#[test]
fn a_shard_that_does_not_announce_is_asked_a_bounded_number_of_times() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    driver.tick();
    driver.started(first, "e1");
    driver.advance(Duration::from_secs(600));
    assert_eq!(driver.announce_requests, 5);
}

#[test]
fn a_withdrawn_call_releases_its_slot() {
    let mut driver = Driver::with_engines(&["e1"], 1);
    let (first, second) = (call(1, 1, "/", driver.now), call(2, 1, "/", driver.now));
    driver.enqueue(first.clone());
    driver.enqueue(second.clone());
    driver.tick();
    driver.send(DispatchRequestBody::Withdraw(first.call));
    assert_eq!(driver.tick()[0].call, second.call);
}

#[test]
fn a_call_past_its_queue_deadline_is_shed_as_not_run() {
    let mut driver = Driver::with_engines(&["e1"], 1);
    driver.enqueue(call(1, 1, "/", driver.now));
    let late = call(2, 1, "/", driver.now);
    driver.enqueue(late.clone());
    driver.advance(Duration::from_secs(61));
    assert_eq!(driver.shed.len(), 1, "an assigned call is never refused");
    let (refused, error) = &driver.shed[0];
    assert_eq!(*refused, late.call);
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.code, ErrorCode::DeadlineExceeded);
    assert!(error.retry_after.is_some());
}

#[test]
fn a_new_dispatcher_waits_for_reports_before_it_fills_engines() {
    let mut driver = Driver::new(PolicyKind::Courseshed, DispatcherConfig::default());
    driver.list_engines(&["e1"]);
    driver.enqueue(call(1, 1, "/", driver.now));
    assert!(driver.tick().is_empty(), "the engine's load is unknown");
    driver.report("e1", common::load(9, 8));
    assert!(
        driver.tick().is_empty(),
        "the engine is full of calls that were not announced"
    );
    driver.report("e1", common::load(3, 8));
    assert_eq!(driver.tick().len(), 1);
}

#[test]
fn an_engine_that_never_reports_is_used_after_the_grace_period() {
    let mut driver = Driver::new(PolicyKind::Courseshed, DispatcherConfig::default());
    driver.list_engines(&["e1"]);
    driver.enqueue(call(1, 1, "/", driver.now));
    assert!(driver.tick().is_empty());
    assert_eq!(driver.advance(Duration::from_secs(1)).len(), 1);
}

#[test]
fn a_leaving_engine_gets_no_new_calls() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    let mut leaving = common::member("e1");
    leaving.state = EngineState::Leaving;
    driver.dispatcher.on_engines(driver.now, &[leaving]);
    driver.enqueue(call(1, 1, "/", driver.now));
    assert!(driver.tick().is_empty());
    driver.list_engines(&["e1"]);
    let mut report = common::load(0, 4);
    report.leaving = true;
    driver.report("e1", report);
    assert!(
        driver.tick().is_empty(),
        "the engine reports that it is leaving"
    );
}

#[test]
fn an_unconfirmed_assignment_to_a_leaving_engine_is_moved_to_another() {
    let mut driver = Driver::with_engines(&["e1", "e2"], 4);
    let first = call(1, 1, "/", driver.now);
    driver.enqueue(first.clone());
    let given = driver.tick().remove(0).engine;
    let other = if given.as_str() == "e1" { "e2" } else { "e1" };
    let mut leaving = common::member(given.as_str());
    leaving.state = EngineState::Leaving;
    let members = [leaving, common::member(other)];
    driver.dispatcher.on_engines(driver.now, &members);
    let again = driver.advance(Duration::from_secs(9));
    assert!(!again.is_empty(), "the call is assigned again");
    let engines: Vec<&str> = again
        .iter()
        .map(|assigned| assigned.engine.as_str())
        .collect();
    assert!(engines.iter().all(|engine| *engine == other), "{engines:?}");
    driver.started(first, given.as_str());
    let stats = driver.dispatcher.stats(driver.now);
    let in_flight = |engine: &str| stats.engines[&engine.into()].in_flight;
    assert_eq!((in_flight(given.as_str()), in_flight(other)), (1, 0));
}

#[test]
fn demand_is_the_requested_service_per_second() {
    let mut driver = Driver::with_engines(&["e1"], 8);
    assert_eq!(driver.dispatcher.demand(driver.now), None);
    for number in 0..600 {
        let asked = call(number, 1, "/", driver.now);
        driver.enqueue(asked.clone());
        driver.tick();
        driver.finished(asked.call, usage(500, 0, 20));
        driver.advance(Duration::from_millis(500));
    }
    let demand = driver
        .dispatcher
        .demand(driver.now)
        .expect("enough samples");
    assert!((900.0..1_100.0).contains(&demand.prefill), "{demand:?}");
    assert!((130.0..210.0).contains(&demand.decode), "{demand:?}");
}
