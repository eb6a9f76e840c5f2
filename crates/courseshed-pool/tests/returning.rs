//! A scheduler that is replaced by one that knows nothing.

mod support;

use support::{World, engines, loose, tight};
use yare::parameterized;

const REPLACED_MS: u64 = 8_000;

/// Most calls that gateways have at one engine, at any time until `end_ms`.
fn most_calls(world: &mut World, end_ms: u64) -> usize {
    let mut most = 0;
    while world.now < end_ms {
        world.run_until(world.now + 10);
        let calls = (0..world.engines.len()).map(|place| world.calls_at(place));
        most = most.max(calls.max().unwrap_or(0));
    }
    most
}

/// 44 engines at 75 % of what they can do, or at 110 % for a while; after 8 s a new scheduler learns the engines and
/// from each gateway the calls it has there; what the old one said last is lost. Calls keep their engines, are granted
/// one only once, no engine gets more than it had before, and grants go on within 0.3 s.
#[parameterized(
    with_room = { 1, 0.0 }, with_room_again = { 2, 0.0 }, full = { 3, 0.35 }, full_again = { 4, 0.35 }
)]
fn a_new_scheduler_goes_on_where_the_old_one_was(seed: u64, more: f64) {
    let mut world = World::new(seed, engines(44, |_| 1.0));
    world.load(tight(), 0.5, 0..14_000);
    world.load(loose(), 0.25, 0..14_000);
    world.load(tight(), more, 6_000..10_000);
    let before = most_calls(&mut world, REPLACED_MS);
    world.replace_scheduler();
    let after = most_calls(&mut world, 12_000);
    let longest_ms = world.longest_wait_ms();
    world.run_until(24_000);

    let granted = |from, until| {
        world
            .grants
            .iter()
            .filter(|grant| (from..until).contains(&grant.0))
            .count()
    };
    let rates = (
        granted(REPLACED_MS - 300, REPLACED_MS),
        granted(REPLACED_MS, REPLACED_MS + 300),
    );
    let under_way = world.shares(|program| (6_000..8_000).contains(&program.started_ms));
    let unended = world
        .programs
        .iter()
        .filter(|program| program.ended.is_none())
        .count();
    println!(
        "seed {seed}: most calls at an engine {before}, then {after}; longest {longest_ms} ms"
    );
    println!(
        " grants in 0.3 s {rates:?}, granted twice {}, {under_way:?}",
        world.granted_twice
    );
    assert_eq!(unended, 0, "programs without an end");
    assert_eq!(world.granted_twice, 0, "calls granted twice");
    assert!(
        after <= before.max(8) + 2,
        "{after} calls at an engine, {before} before"
    );
    assert!(
        rates.1 * 10 >= rates.0 * 6,
        "grants in 0.3 s before and after: {rates:?}"
    );
    if more == 0.0 {
        assert!(
            under_way.in_aim >= 94.0 && under_way.failed < 0.5,
            "{under_way:?}"
        );
    }
}
