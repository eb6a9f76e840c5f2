//! Replacement of a scheduler by a new one without state.

mod support;

use support::{Simulation, engines, loose, tight};
use yare::parameterized;

const REPLACED_MS: u64 = 8_000;

/// Maximum number of calls on one engine at any time until `end_ms`.
fn max_calls(simulation: &mut Simulation, end_ms: u64) -> usize {
    let mut highest = 0;
    while simulation.now < end_ms {
        simulation.run_until(simulation.now + 10);
        let calls = (0..simulation.engines.len()).map(|index| simulation.calls_at(index));
        highest = highest.max(calls.max().unwrap_or(0));
    }
    highest
}

/// 44 engines at 75 % of their capacity, or at 110 % for a while. After 8 s a new scheduler learns
/// the engines and the running calls from the gateways, and undelivered decisions are lost. Guards
/// against calls granted a second engine, overloaded engines, and a gap in grants.
#[parameterized(
    below_capacity = { 1, 0.0 }, below_capacity_2 = { 2, 0.0 }, above_capacity = { 3, 0.35 }, above_capacity_2 = { 4, 0.35 }
)]
fn new_scheduler_continues_with_the_running_calls(seed: u64, additional_load: f64) {
    let mut simulation = Simulation::new(seed, engines(44, |_| 1.0));
    simulation.load(tight(), 0.5, 0..14_000);
    simulation.load(loose(), 0.25, 0..14_000);
    simulation.load(tight(), additional_load, 6_000..10_000);
    let before = max_calls(&mut simulation, REPLACED_MS);
    simulation.replace_scheduler();
    let after = max_calls(&mut simulation, 12_000);
    let longest_ms = simulation.longest_wait_ms();
    simulation.run_until(24_000);

    let granted = |from, until| {
        simulation
            .grants
            .iter()
            .filter(|grant| (from..until).contains(&grant.0))
            .count()
    };
    let rates = (
        granted(REPLACED_MS - 300, REPLACED_MS),
        granted(REPLACED_MS, REPLACED_MS + 300),
    );
    let running_programs =
        simulation.shares(|program| (6_000..8_000).contains(&program.started_ms));
    let unfinished = simulation
        .programs
        .iter()
        .filter(|program| program.ended.is_none())
        .count();
    println!(
        "seed {seed}: maximum calls on an engine {before}, then {after}; longest wait {longest_ms} ms"
    );
    println!(
        " grants in 0.3 s {rates:?}, conflicting grants {}, {running_programs:?}",
        simulation.conflicting_grants
    );
    assert_eq!(unfinished, 0, "programs that did not end");
    assert_eq!(
        simulation.conflicting_grants, 0,
        "calls granted a second engine"
    );
    assert!(
        after <= before.max(8) + 2,
        "{after} calls on an engine, {before} before"
    );
    assert!(
        rates.1 * 10 >= rates.0 * 6,
        "grants in 0.3 s before and after: {rates:?}"
    );
    if additional_load == 0.0 {
        assert!(
            running_programs.on_time >= 94.0 && running_programs.failed < 0.5,
            "{running_programs:?}"
        );
    }
}
