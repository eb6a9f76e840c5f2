//! Each baseline policy schedules as its reference describes.

mod common;

use std::collections::BTreeMap;

use common::{Driver, branch, call, policy, usage};
use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_types::{CallId, Tokens, dispatch::WaitingCall};

fn driver(kind: PolicyKind, engines: &[&str], batch: u32) -> Driver {
    let config = DispatcherConfig {
        slot_overcommit: 0.0,
        ..DispatcherConfig::default()
    };
    let mut driver = Driver::new(kind, config);
    driver.list_engines(engines);
    for engine in engines {
        let mut report = common::load(0, batch);
        report.total_blocks = 1 << 20;
        driver.report(engine, report);
    }
    driver.set_policy(policy(&[("a", 1.0), ("b", 1.0)]));
    driver
}

fn turn(number: u64, sequence: u64, path: &str, prompt: u64, driver: &Driver) -> WaitingCall {
    let mut turn = call(number, sequence, path, driver.now);
    turn.prompt_tokens = Tokens(prompt);
    turn.accepted_at.0 += number;
    turn
}

#[test]
fn fifo_order_ignores_branch_and_priority() {
    let mut driver = driver(PolicyKind::FirstComeLeastLoad, &["e1"], 1);
    for number in 0..10 {
        let path = if number < 8 { "a" } else { "b" };
        let mut added = turn(number, 1, path, 500, &driver);
        added.priority = number as i32;
        added.attained = Tokens(1_000_000 / (number + 1));
        driver.enqueue(added);
    }
    for number in 0..10 {
        let assigned = driver.tick();
        assert_eq!(assigned[0].call.program, common::program(number));
        assert_eq!(assigned[0].priority, 0);
        driver.finished(assigned[0].call, usage(500, 0, 20));
    }
}

#[test]
fn least_load_ignores_prefixes() {
    let mut driver = driver(PolicyKind::FirstComeLeastLoad, &["e1", "e2"], 8);
    let first = turn(1, 1, "a", 20_000, &driver);
    driver.enqueue(first.clone());
    assert_eq!(driver.tick()[0].engine, "e1".into());
    driver.finished(first.call, usage(20_000, 0, 20));
    let other = turn(2, 1, "a", 500, &driver);
    driver.enqueue(other);
    driver.tick();
    let second = turn(1, 2, "a", 20_100, &driver);
    driver.enqueue(second);
    assert_eq!(driver.tick()[0].engine, "e2".into());
    assert!(driver.orders.is_empty(), "no leases, no exports");
}

/// A program's first call ran on `e1`, which has since received `busy` other calls.
fn with_prefix_on_busy_engine(busy: u64) -> Driver {
    let mut driver = driver(PolicyKind::PrefixAffinity, &["e1", "e2"], 128);
    let first = turn(1, 1, "a", 20_000, &driver);
    driver.enqueue(first.clone());
    assert_eq!(driver.tick()[0].engine, "e1".into());
    driver.finished(first.call, usage(20_000, 0, 20));
    for number in 0..busy {
        let added = turn(100 + number, 1, "b", 500, &driver);
        driver.started(added, "e1");
    }
    driver
}

#[test]
fn affinity_follows_the_prefix_while_loads_are_balanced() {
    let mut driver = with_prefix_on_busy_engine(20);
    let second = turn(1, 2, "a", 20_100, &driver);
    driver.enqueue(second);
    assert_eq!(driver.tick()[0].engine, "e1".into());
}

#[test]
fn affinity_is_disabled_when_loads_are_imbalanced() {
    let mut driver = with_prefix_on_busy_engine(40);
    let second = turn(1, 2, "a", 20_100, &driver);
    driver.enqueue(second);
    assert_eq!(driver.tick()[0].engine, "e2".into());
}

#[test]
fn affinity_ignores_a_small_cached_fraction() {
    let mut driver = with_prefix_on_busy_engine(20);
    let second = turn(1, 2, "a", 50_000, &driver);
    driver.enqueue(second);
    assert_eq!(driver.tick()[0].engine, "e2".into());
}

/// Keeps branches `a` and `b` backlogged; calls of `a` find 900 of their 1,000 prompt tokens
/// cached. Returns the number of calls served per branch.
fn serve_cached_and_uncached(kind: PolicyKind) -> BTreeMap<String, usize> {
    let mut driver = driver(kind, &["e1"], 1);
    let mut waiting: BTreeMap<CallId, WaitingCall> = BTreeMap::new();
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..400 {
        let path = if number < 200 { "a" } else { "b" };
        let added = turn(number, 1, path, 1_000, &driver);
        waiting.insert(added.call, added.clone());
        driver.enqueue(added);
    }
    for _ in 0..120 {
        let assigned = driver.tick().remove(0);
        let ended = waiting.remove(&assigned.call).expect("the call was queued");
        let cached = if ended.branch == branch("a") { 900 } else { 0 };
        driver.finished(ended.call, usage(1_000, cached, 10));
        *served.entry(ended.branch.to_string()).or_default() += 1;
    }
    served
}

#[test]
fn virtual_tokens_count_the_whole_prompt() {
    let served = serve_cached_and_uncached(PolicyKind::PerCallFair);
    assert!(served["a"].abs_diff(served["b"]) <= 1, "{served:?}");
    let served = serve_cached_and_uncached(PolicyKind::Courseshed);
    assert!(served["a"] > 5 * served["b"], "by service: {served:?}");
}

#[test]
fn the_counter_of_an_idle_client_is_lifted() {
    let mut driver = driver(PolicyKind::PerCallFair, &["e1"], 1);
    for number in 0..50 {
        let added = turn(number, 1, "a", 1_000, &driver);
        driver.enqueue(added.clone());
        driver.tick();
        driver.finished(added.call, usage(1_000, 0, 10));
    }
    for number in 100..120 {
        let path = if number < 110 { "a" } else { "b" };
        let added = turn(number, 1, path, 1_000, &driver);
        driver.enqueue(added);
    }
    let mut of_b = 0;
    for _ in 0..10 {
        let assigned = driver.tick().remove(0);
        of_b += usize::from(assigned.call.program.number >= 110);
        driver.finished(assigned.call, usage(1_000, 0, 10));
    }
    assert!((4..=6).contains(&of_b), "{of_b} of 10");
}
