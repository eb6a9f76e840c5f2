//! Programs with long shared prompt prefixes, of which each engine can cache only some.

mod support;

use support::{ProgramKind, SHARED_TOKENS, Simulation, engines, loose, tight};
use yare::parameterized;

fn with_many_shared_parts(kind: ProgramKind) -> ProgramKind {
    ProgramKind {
        shared_parts: 16,
        hot_percent: 50,
        ..kind
    }
}

fn shared_prefills(simulation: &Simulation) -> u64 {
    let tokens: u64 = simulation
        .engines
        .iter()
        .map(|engine| engine.shared_prefill_tokens)
        .sum();
    tokens / u64::from(SHARED_TOKENS)
}

/// 44 engines with a cache of 226,000 tokens, at 70 % of their capacity; programs begin with one of
/// 16 shared parts of 12,600 tokens, half of them with the same one. Guards against repeated
/// prefills of shared parts, and against a hot part that is cached on too few engines.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn shared_prompts_are_rarely_prefilled_again_and_hot_ones_are_replicated(seed: u64) {
    let mut simulation = Simulation::new(seed, engines(44, |_| 1.0));
    simulation.load(with_many_shared_parts(tight()), 0.45, 0..20_000);
    simulation.load(with_many_shared_parts(loose()), 0.25, 0..20_000);
    simulation.run_until(5_000);
    let (warm_up, before) = (shared_prefills(&simulation), simulation.programs.len());
    simulation.run_until(20_000);
    let prefills = shared_prefills(&simulation) - warm_up;
    let programs = simulation.programs.len() - before;
    let hot_engines = simulation
        .engines
        .iter()
        .filter(|engine| engine.has_cached(0))
        .count();
    simulation.run_until(28_000);

    let shares = simulation.shares(|program| program.started_ms > 5_000);
    println!("seed {seed}: {warm_up} prefills of shared parts in 5 s, then {prefills}");
    println!(
        " for {programs} programs; the hot part is cached on {hot_engines} engines; {shares:?}"
    );
    assert!(
        warm_up <= 44 * 16,
        "{warm_up} prefills of shared parts in the first 5 s"
    );
    assert!(
        prefills as usize * 20 <= programs,
        "{prefills} prefills for {programs} programs"
    );
    assert!(
        hot_engines >= 16,
        "the hot part is cached on {hot_engines} engines"
    );
    assert!(shares.on_time >= 95.0, "{shares:?}");
}
