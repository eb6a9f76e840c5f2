//! Parking of calls for the engine that caches their prefix, and its limits.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Driver, call, policy, usage};
use courseshed_types::{
    CallId, EngineId, Tokens,
    dispatch::{DispatchRequestBody, WaitingCall},
};
use proptest::prelude::*;

const PROMPT: u64 = 16_000;

fn turn(number: u64, sequence: u64, driver: &Driver) -> WaitingCall {
    let mut turn = call(number, sequence, "/", driver.now);
    turn.prompt_tokens = Tokens(PROMPT);
    turn
}

/// Two engines with one slot each. Program 1 has its prefix cached on `e1`, which is now busy with
/// the returned call of another program.
fn prefix_on_a_full_engine() -> (Driver, CallId) {
    let mut driver = Driver::with_engines(&["e1", "e2"], 1);
    let first = turn(1, 1, &driver);
    driver.enqueue(first.clone());
    assert_eq!(driver.tick()[0].engine, "e1".into());
    driver.finished(first.call, usage(PROMPT, 0, 50));
    let other = turn(2, 1, &driver);
    driver.enqueue(other.clone());
    driver.enqueue(turn(3, 1, &driver));
    assert_eq!(driver.tick().len(), 2);
    let on_e2 = driver
        .assigned
        .iter()
        .find(|made| made.engine == "e2".into());
    let (freed, kept) = match on_e2.map(|made| made.call) {
        Some(call) if call == other.call => (call, turn(3, 1, &driver).call),
        _ => (turn(3, 1, &driver).call, other.call),
    };
    driver.finished(freed, usage(PROMPT, 0, 50));
    driver.tick();
    (driver, kept)
}

#[test]
fn a_parked_call_precedes_later_calls() {
    let (mut driver, kept) = prefix_on_a_full_engine();
    let next = turn(1, 2, &driver);
    driver.enqueue(next.clone());
    assert!(
        driver.tick().is_empty(),
        "e2 is free, but e1 caches the prefix"
    );
    let reason = driver.dispatcher.explain(driver.now, next.call);
    assert!(reason.expect("the call is queued").reason.contains("e1"));
    driver.enqueue(turn(4, 1, &driver));
    assert_eq!(
        driver.tick()[0].engine,
        "e2".into(),
        "another call takes the free slot"
    );
    driver.enqueue(turn(5, 1, &driver));
    driver.finished(kept, usage(PROMPT, 0, 50));
    let assigned = driver.tick();
    assert_eq!(
        (assigned[0].call, &assigned[0].engine),
        (next.call, &"e1".into())
    );
    let stats = driver.dispatcher.stats(driver.now);
    assert_eq!(stats.branches[0].waste.moved, 0);
}

#[test]
fn parking_is_limited_to_the_recompute_time() {
    let (mut driver, _) = prefix_on_a_full_engine();
    let next = turn(1, 2, &driver);
    driver.enqueue(next.clone());
    driver.tick();
    assert!(driver.advance(Duration::from_millis(900)).is_empty());
    let assigned = driver.advance(Duration::from_millis(200));
    assert_eq!(
        (assigned[0].call, &assigned[0].engine),
        (next.call, &"e2".into())
    );
}

#[test]
fn a_parked_call_is_charged_and_refunded_on_withdrawal() {
    let (mut driver, _) = prefix_on_a_full_engine();
    let served = |driver: &Driver| driver.dispatcher.stats(driver.now).branches[0].served;
    let before = served(&driver);
    let next = turn(1, 2, &driver);
    driver.enqueue(next.clone());
    driver.tick();
    assert!(served(&driver) > before);
    driver.send(DispatchRequestBody::Withdraw(next.call));
    assert_eq!(served(&driver), before, "the charge is refunded");
}

#[test]
fn a_call_with_a_small_prefix_is_not_parked() {
    let (mut driver, _) = prefix_on_a_full_engine();
    let mut next = turn(1, 2, &driver);
    next.prompt_tokens = Tokens(100);
    driver.enqueue(next);
    assert_eq!(driver.tick().len(), 1);
}

#[test]
fn a_call_is_unparked_when_its_engine_is_ejected() {
    let (mut driver, _) = prefix_on_a_full_engine();
    driver.enqueue(turn(1, 2, &driver));
    assert!(driver.tick().is_empty());
    driver
        .dispatcher
        .on_engine_unreachable(driver.now, &"e1".into());
    assert_eq!(driver.tick()[0].engine, "e2".into());
}

#[test]
fn a_parked_call_is_shed_at_its_queue_deadline() {
    let (mut driver, _) = prefix_on_a_full_engine();
    let mut next = turn(1, 2, &driver);
    next.give_up_at = driver.now + Duration::from_millis(100);
    driver.enqueue(next.clone());
    driver.advance(Duration::from_millis(200));
    assert_eq!(driver.shed[0].0, next.call);
    assert_eq!(driver.dispatcher.stats(driver.now).waiting, 0);
}

#[test]
fn leased_memory_does_not_count_as_load() {
    let mut driver = Driver::with_engines(&["e1", "e2"], 8);
    let mut first = turn(1, 1, &driver);
    first.prompt_tokens = Tokens(40_000);
    driver.enqueue(first.clone());
    driver.tick();
    driver.finished(first.call, usage(40_000, 0, 50));
    let busy = turn(2, 1, &driver);
    driver.started(busy, "e2");
    driver.tick();
    let stats = driver.dispatcher.stats(driver.now);
    assert!(stats.engines[&"e1".into()].leased_tokens > 0);
    let mut fresh = turn(3, 1, &driver);
    fresh.prompt_tokens = Tokens(500);
    driver.enqueue(fresh);
    assert_eq!(driver.tick()[0].engine, "e1".into());
}

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const SLOTS: u32 = 2;
const PROGRAMS: u64 = 24;

/// Keeps two branches backlogged with programs that make one call after another.
struct Workload {
    driver: Driver,
    sequences: BTreeMap<u64, u64>,
    running: Vec<(WaitingCall, EngineId)>,
    waiting: BTreeMap<CallId, WaitingCall>,
    served: BTreeMap<String, f64>,
    cached: BTreeMap<u64, EngineId>,
}

impl Workload {
    fn new(shares: [f64; 2]) -> Workload {
        let mut driver = Driver::with_engines(&ENGINES, SLOTS);
        for engine in ENGINES {
            let mut report = common::load(0, SLOTS);
            report.total_blocks = 1 << 20;
            driver.report(engine, report);
        }
        driver.set_policy(policy(&[("a", shares[0]), ("b", shares[1])]));
        let mut workload = Workload {
            driver,
            sequences: BTreeMap::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            served: BTreeMap::new(),
            cached: BTreeMap::new(),
        };
        (0..PROGRAMS).for_each(|number| workload.enqueue_next_call(number));
        workload
    }

    fn enqueue_next_call(&mut self, number: u64) {
        let sequence = self.sequences.entry(number).or_default();
        *sequence += 1;
        let path = if number.is_multiple_of(2) { "a" } else { "b" };
        let mut next = call(number, *sequence, path, self.driver.now);
        next.prompt_tokens = Tokens(PROMPT);
        next.max_output = Tokens(1);
        next.give_up_at = self.driver.now + Duration::from_secs(100_000);
        self.waiting.insert(next.call, next.clone());
        self.driver.enqueue(next);
    }

    fn assign(&mut self) {
        for assigned in self.driver.tick() {
            if let Some(call) = self.waiting.remove(&assigned.call) {
                self.driver.started(call.clone(), assigned.engine.as_str());
                self.running.push((call, assigned.engine));
            }
        }
    }

    /// Finishes a running call and counts the service it took, given its engine's cache.
    fn finish(&mut self, choice: usize) {
        let (ended, engine) = self.running.swap_remove(choice % self.running.len());
        let number = ended.call.program.number;
        let was_there = self.cached.insert(number, engine.clone()) == Some(engine);
        let cached = if was_there { PROMPT } else { 0 };
        self.driver.finished(ended.call, usage(PROMPT, cached, 1));
        let service = (PROMPT - cached + 4) as f64;
        *self.served.entry(ended.branch.to_string()).or_default() += service;
        self.enqueue_next_call(number);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    #[test]
    fn parking_preserves_shares(
        shares in prop::array::uniform2(0.5f64..4.0),
        steps in prop::collection::vec((0usize..64, 0u64..400), 600),
    ) {
        let mut workload = Workload::new(shares);
        let slots = (ENGINES.len() as u32 * SLOTS) as f64;
        // Per branch: one call, the running calls, which count when they finish and may be
        // overcharged by a whole prompt, and one parked call per engine.
        let uncertain = (1.0 + 2.0 * slots + ENGINES.len() as f64) * (PROMPT + 4) as f64;
        let bound = uncertain * (1.0 / shares[0] + 1.0 / shares[1]);
        for (choice, millis) in steps {
            workload.assign();
            workload.finish(choice);
            workload.driver.now += Duration::from_millis(millis);
            let of = |branch: &str| workload.served.get(branch).copied().unwrap_or(0.0);
            let drift = of("a") / shares[0] - of("b") / shares[1];
            prop_assert!(drift.abs() <= bound, "{drift} > {bound}");
        }
        let stats = workload.driver.dispatcher.stats(workload.driver.now);
        prop_assert!(stats.counters.parked > 20, "calls were parked");
    }
}
