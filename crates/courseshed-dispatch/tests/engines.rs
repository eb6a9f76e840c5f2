//! Engine limits: probing after an ejection, slow start, urgent calls, memory.

mod common;

use std::time::Duration;

use common::{Driver, call, usage};
use courseshed_types::{
    CallId, Tokens,
    dispatch::{EngineOrderBody, WaitingCall},
};

/// Enqueues the first calls of new programs.
fn enqueue_many(driver: &mut Driver, programs: std::ops::Range<u64>) -> Vec<WaitingCall> {
    let calls: Vec<WaitingCall> = programs
        .map(|number| call(number, 1, "/", driver.now))
        .collect();
    for call in &calls {
        driver.enqueue(call.clone());
    }
    calls
}

fn finish(driver: &mut Driver, call: CallId) {
    driver.finished(call, usage(500, 0, 20));
}

fn running(driver: &Driver) -> u32 {
    driver.dispatcher.stats(driver.now).engines[&"e1".into()].in_flight
}

#[test]
fn an_ejected_engine_is_probed_with_one_call_until_it_succeeds() {
    let mut driver = Driver::with_engines(&["e1"], 10);
    let calls = enqueue_many(&mut driver, 1..4);
    driver.tick();
    for call in &calls {
        driver.failed(call.call, true);
    }
    enqueue_many(&mut driver, 10..30);
    assert!(driver.tick().is_empty(), "the engine is ejected");
    let probed = driver.advance(Duration::from_secs(8));
    assert_eq!(
        running(&driver),
        1,
        "only one call runs until a probe succeeds"
    );
    finish(&mut driver, probed[0].call);
    driver.tick();
    assert!(
        running(&driver) < 3,
        "slow start begins after the probe succeeds"
    );
    driver.advance(Duration::from_secs(6));
    assert_eq!(running(&driver), 10);
}

#[test]
fn an_engine_that_fails_its_probe_is_ejected_for_longer() {
    let mut driver = Driver::with_engines(&["e1"], 10);
    driver
        .dispatcher
        .on_engine_unreachable(driver.now, &"e1".into());
    enqueue_many(&mut driver, 1..5);
    let probed = driver.advance(Duration::from_millis(1_100));
    assert_eq!(probed.len(), 1);
    driver.failed(probed[0].call, true);
    assert!(driver.advance(Duration::from_millis(1_500)).is_empty());
    assert_eq!(driver.advance(Duration::from_millis(600)).len(), 1);
}

#[test]
fn an_urgent_call_overtakes_on_a_full_engine_but_only_less_urgent_ones() {
    let mut driver = Driver::with_engines(&["e1"], 10);
    enqueue_many(&mut driver, 1..20);
    assert_eq!(driver.tick().len(), 10);
    let urgent = |number: u64, driver: &Driver| {
        let mut urgent = call(number, 1, "/", driver.now);
        urgent.priority = 5;
        urgent
    };
    let (first, second) = (urgent(50, &driver), urgent(51, &driver));
    driver.enqueue(first.clone());
    driver.enqueue(second);
    let assigned = driver.tick();
    assert_eq!(
        assigned.len(),
        1,
        "urgent calls may exceed the batch by a tenth"
    );
    assert_eq!((assigned[0].call, assigned[0].priority), (first.call, 5));
}

#[test]
fn urgent_calls_do_not_overtake_each_other() {
    let mut driver = Driver::with_engines(&["e1"], 4);
    for number in 1..10 {
        let mut urgent = call(number, 1, "/", driver.now);
        urgent.priority = 5;
        driver.enqueue(urgent);
    }
    assert_eq!(driver.tick().len(), 4);
}

/// An engine with 65,536 KV tokens, 62,259 of which may be used.
fn with_memory(max_batch: u32) -> Driver {
    Driver::with_engines(&["e1"], max_batch)
}

fn call_with_prompt(number: u64, prompt: u64, driver: &Driver) -> WaitingCall {
    let mut large = call(number, 1, "/", driver.now);
    large.prompt_tokens = Tokens(prompt);
    large
}

#[test]
fn a_large_call_is_not_bypassed_indefinitely() {
    let mut driver = with_memory(64);
    let mut running = Vec::new();
    for number in 0..6 {
        let small = call_with_prompt(number, 10_000, &driver);
        running.push(small.call);
        driver.enqueue(small);
    }
    assert_eq!(driver.tick().len(), 6);
    let wanted = call_with_prompt(100, 50_000, &driver);
    driver.enqueue(wanted.clone());
    for round in 0..40 {
        driver.enqueue(call_with_prompt(200 + round, 10_000, &driver));
        driver.now += Duration::from_millis(300);
        if running.is_empty() {
            break;
        }
        driver.finished(running.remove(0), usage(10_000, 0, 20));
        let assigned = driver.tick();
        running.extend(assigned.iter().map(|assigned| assigned.call));
    }
    assert!(
        driver
            .assigned
            .iter()
            .any(|assigned| assigned.call == wanted.call)
    );
    assert!(
        driver.assigned.len() > 8,
        "smaller calls bypass it at first"
    );
}

#[test]
fn a_call_reclaims_memory_leased_by_a_paused_program() {
    let mut driver = with_memory(8);
    let paused = call_with_prompt(1, 40_000, &driver);
    driver.enqueue(paused.clone());
    driver.tick();
    driver.finished(paused.call, usage(40_000, 0, 100));
    driver.tick();
    let small = call_with_prompt(3, 1_000, &driver);
    driver.enqueue(small);
    driver.tick();
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.engines[&"e1".into()].leased_tokens, 40_100);
    let wanted = call_with_prompt(2, 30_000, &driver);
    driver.enqueue(wanted.clone());
    let assigned = driver.tick();
    assert_eq!(assigned.len(), 1, "the lease is reclaimed immediately");
    let released = driver.orders.iter().any(|order| {
        let program = paused.call.program;
        order.body == EngineOrderBody::ReleaseLease { program }
    });
    assert!(released);
    assert_eq!(
        driver
            .dispatcher
            .stats(driver.now)
            .counters
            .leases_reclaimed,
        1
    );
}

#[test]
fn a_lease_is_kept_if_releasing_it_would_not_help() {
    let mut driver = with_memory(8);
    let paused = call_with_prompt(1, 20_000, &driver);
    driver.enqueue(paused.clone());
    driver.tick();
    driver.finished(paused.call, usage(20_000, 0, 100));
    let running = call_with_prompt(2, 40_000, &driver);
    driver.enqueue(running);
    driver.tick();
    let wanted = call_with_prompt(3, 50_000, &driver);
    driver.enqueue(wanted);
    assert!(driver.tick().is_empty());
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.counters.leases_reclaimed, 0);
}
