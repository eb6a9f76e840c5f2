//! Prefixes of paused programs: leased, exported or released, and accounting of wasted tokens.

mod common;

use std::time::Duration;

use common::{Driver, branch, call, policy, usage};
use courseshed_dispatch::{BranchStats, DispatchCounters};
use courseshed_types::{
    BranchPolicy, ProgramId, Tokens,
    dispatch::{
        CacheChange, CacheEvent, DispatchRequestBody, EngineOrderBody, LeaseEntry, WaitingCall,
    },
};

/// Engines with 65,536 KV tokens each, and branches `a` and `b` with equal shares.
fn driver(engines: &[&str]) -> Driver {
    let mut driver = Driver::with_engines(engines, 8);
    driver.set_policy(policy(&[("a", 1.0), ("b", 1.0)]));
    driver
}

fn turn(number: u64, sequence: u64, path: &str, prompt: u64, driver: &Driver) -> WaitingCall {
    let mut turn = call(number, sequence, path, driver.now);
    turn.prompt_tokens = Tokens(prompt);
    turn
}

/// Runs one call of a program to completion.
fn run_turn(driver: &mut Driver, (number, sequence, path, prompt): (u64, u64, &str, u64)) {
    let turn = turn(number, sequence, path, prompt, driver);
    driver.enqueue(turn.clone());
    driver.tick();
    driver.finished(turn.call, usage(turn.prompt_tokens.0, 0, 10));
    driver.tick();
}

/// Records pauses of length `pause` for 40 programs of branch `a`, all of which resume.
fn record_pauses(driver: &mut Driver, pause: Duration) {
    for number in 1_000..1_040 {
        run_turn(driver, (number, 1, "a", 100));
    }
    driver.advance(pause);
    for number in 1_000..1_040 {
        run_turn(driver, (number, 2, "a", 100));
        let program = common::program(number);
        driver.send(DispatchRequestBody::ProgramEnded(program));
    }
    driver.tick();
    driver.orders.clear();
}

fn counters(driver: &Driver) -> DispatchCounters {
    driver.dispatcher.stats(driver.now).counters
}

fn stats_of(driver: &Driver, path: &str) -> BranchStats {
    let stats = driver.dispatcher.stats(driver.now);
    let mut branches = stats.branches.into_iter();
    branches
        .find(|stats| stats.branch == branch(path) && !stats.own_queue)
        .expect("the branch exists")
}

fn has_order(driver: &Driver, wanted: impl Fn(&EngineOrderBody) -> bool) -> bool {
    driver.orders.iter().any(|order| wanted(&order.body))
}

fn is_export_of(program: ProgramId) -> impl Fn(&EngineOrderBody) -> bool {
    move |body| *body == EngineOrderBody::Export { program }
}

#[test]
fn a_prefix_is_leased_through_a_typically_short_pause() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(4));
    run_turn(&mut driver, (1, 1, "a", 30_000));
    driver.advance(Duration::from_secs(4));
    assert_eq!(stats_of(&driver, "a").leased_tokens, 30_010);
    assert_eq!(
        stats_of(&driver, "/").leased_tokens,
        30_010,
        "leased tokens count for ancestors"
    );
}

#[test]
fn a_lease_is_released_when_a_pause_exceeds_all_samples() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(4));
    run_turn(&mut driver, (1, 1, "a", 30_000));
    driver.advance(Duration::from_secs(30));
    assert_eq!(stats_of(&driver, "a").leased_tokens, 0);
}

/// Fills most of an engine's memory with calls of branch `b`.
fn apply_memory_pressure(driver: &mut Driver) {
    for number in 500..504 {
        let prompt = 7_000;
        let next = turn(number, 1, "b", prompt, driver);
        driver.enqueue(next);
    }
    driver.tick();
}

#[test]
fn under_pressure_a_long_pause_is_exported_and_imported_before_the_next_call() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(100));
    apply_memory_pressure(&mut driver);
    run_turn(&mut driver, (1, 1, "a", 30_000));
    let program = common::program(1);
    driver.advance(Duration::from_secs(20));
    assert!(has_order(&driver, is_export_of(program)));
    assert_eq!(stats_of(&driver, "a").leased_tokens, 0);
    let gone = CacheEvent {
        number: 1,
        program,
        change: CacheChange::Evicted(Tokens(0)),
    };
    driver
        .dispatcher
        .on_cache_event(driver.now, &"e1".into(), gone);
    assert_eq!(
        stats_of(&driver, "b").waste.evicted,
        0,
        "an exported copy exists"
    );
    let next = turn(1, 2, "a", 30_020, &driver);
    driver.enqueue(next);
    assert!(
        driver.tick().is_empty(),
        "the call is assigned only after the import"
    );
    assert!(has_order(&driver, |body| *body == EngineOrderBody::Import { program }));
    assert_eq!(driver.advance(Duration::from_millis(300)).len(), 1);
    assert_eq!(
        (counters(&driver).exports, counters(&driver).imports),
        (1, 1)
    );
}

#[test]
fn nothing_is_exported_without_pressure() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(100));
    run_turn(&mut driver, (1, 1, "a", 10_000));
    driver.advance(Duration::from_secs(400));
    assert_eq!(counters(&driver).exports, 0);
}

#[test]
fn a_listing_without_a_lease_ends_the_lease_but_not_the_prefix() {
    let mut driver = driver(&["e1", "e2"]);
    run_turn(&mut driver, (1, 1, "a", 10_000));
    driver.advance(Duration::from_secs(4));
    assert!(stats_of(&driver, "a").leased_tokens > 0);
    driver
        .dispatcher
        .on_cache_listing(driver.now, &"e1".into(), &[]);
    let stats = stats_of(&driver, "a");
    assert_eq!(
        stats.cached_tokens, 10_010,
        "the prefix may be cached without a lease"
    );
    assert_eq!(stats.waste.total(), 0);
    assert_eq!(counters(&driver).leases_lost, 1);
}

#[test]
fn a_listing_with_fewer_tokens_corrects_the_lease() {
    let mut driver = driver(&["e1"]);
    run_turn(&mut driver, (1, 1, "a", 10_000));
    driver.advance(Duration::from_secs(4));
    let entry = LeaseEntry {
        program: common::program(1),
        tokens: Tokens(4_000),
        leased_for: Some(Duration::from_secs(5)),
    };
    driver
        .dispatcher
        .on_cache_listing(driver.now, &"e1".into(), &[entry]);
    assert_eq!(stats_of(&driver, "a").leased_tokens, 4_000);
}

#[test]
fn a_cache_share_includes_descendant_branches() {
    let mut driver = Driver::with_engines(&["e1"], 8);
    let mut tree = policy(&[("a", 1.0), ("a/x", 1.0), ("b", 1.0)]);
    let capped = BranchPolicy {
        cache_share: 0.1,
        ..BranchPolicy::default()
    };
    tree.branches.insert(branch("a"), capped);
    driver.set_policy(tree);
    run_turn(&mut driver, (1, 1, "a/x", 10_000));
    run_turn(&mut driver, (2, 1, "b", 10_000));
    driver.advance(Duration::from_secs(6));
    assert_eq!(
        stats_of(&driver, "a/x").leased_tokens,
        0,
        "the cache share is 6,553 tokens"
    );
    assert_eq!(stats_of(&driver, "b").leased_tokens, 10_010);
}

#[test]
fn an_eviction_is_charged_to_the_branch_that_exceeds_its_share() {
    let mut driver = driver(&["e1"]);
    run_turn(&mut driver, (1, 1, "a", 5_000));
    run_turn(&mut driver, (2, 1, "b", 40_000));
    let evicted = CacheEvent {
        number: 1,
        program: common::program(1),
        change: CacheChange::Evicted(Tokens(1_000)),
    };
    driver
        .dispatcher
        .on_cache_event(driver.now, &"e1".into(), evicted);
    assert_eq!(stats_of(&driver, "a").waste.evicted, 0);
    assert_eq!(stats_of(&driver, "b").waste.evicted, 4_010);
}

#[test]
fn missing_cached_tokens_count_as_evicted() {
    let mut driver = driver(&["e1"]);
    run_turn(&mut driver, (1, 1, "a", 5_000));
    let next = turn(1, 2, "a", 5_100, &driver);
    driver.enqueue(next.clone());
    driver.tick();
    driver.finished(next.call, usage(5_100, 2_000, 10));
    driver.tick();
    assert_eq!(stats_of(&driver, "a").waste.evicted, 3_010);
}

#[test]
fn an_unused_export_is_abandoned_when_its_program_ends() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(100));
    let before = stats_of(&driver, "a").waste.abandoned;
    apply_memory_pressure(&mut driver);
    run_turn(&mut driver, (1, 1, "a", 30_000));
    driver.advance(Duration::from_secs(20));
    assert_eq!(counters(&driver).exports, 1);
    let program = common::program(1);
    driver.send(DispatchRequestBody::ProgramEnded(program));
    assert_eq!(stats_of(&driver, "a").waste.abandoned - before, 30_010);
}

#[test]
fn a_listed_prefix_without_a_lease_does_not_confirm_a_lease() {
    let mut driver = driver(&["e1"]);
    run_turn(&mut driver, (1, 1, "a", 10_000));
    driver.advance(Duration::from_secs(4));
    let entry = LeaseEntry {
        program: common::program(1),
        tokens: Tokens(10_000),
        leased_for: None,
    };
    driver
        .dispatcher
        .on_cache_listing(driver.now, &"e1".into(), &[entry]);
    assert_eq!(counters(&driver).leases_lost, 1);
}

#[test]
fn a_prefix_is_not_exported_when_a_pause_exceeds_all_samples() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(4));
    run_turn(&mut driver, (1, 1, "a", 30_000));
    driver.advance(Duration::from_secs(1));
    apply_memory_pressure(&mut driver);
    assert_eq!(stats_of(&driver, "a").leased_tokens, 30_010);
    driver.advance(Duration::from_secs(19));
    assert_eq!(stats_of(&driver, "a").leased_tokens, 0);
    assert_eq!(counters(&driver).exports, 0);
}

#[test]
fn shards_are_asked_about_programs_with_leases() {
    let mut driver = driver(&["e1"]);
    record_pauses(&mut driver, Duration::from_secs(20));
    driver.checked_programs.clear();
    run_turn(&mut driver, (1, 1, "a", 4_000));
    driver.advance(Duration::from_secs(8));
    let program = common::program(1);
    assert!(renewals(&driver, program) > 0, "the prefix is leased");
    assert!(
        driver.checked_programs.contains(&program),
        "{:?}",
        driver.checked_programs
    );
    driver.send(DispatchRequestBody::ProgramEnded(program));
    driver.advance(Duration::from_secs(2));
    let before = renewals(&driver, program);
    driver.checked_programs.clear();
    driver.advance(Duration::from_secs(30));
    assert_eq!(renewals(&driver, program), before);
    assert!(!driver.checked_programs.contains(&program));
}

fn renewals(driver: &Driver, program: ProgramId) -> usize {
    let renews = |body: &EngineOrderBody| matches!(body, EngineOrderBody::RenewLease { program: of, .. } if *of == program);
    let orders = driver.orders.iter().filter(|order| renews(&order.body));
    orders.count()
}
