//! Programs that begin with long shared prompts, which engines hold only some of.

mod support;

use support::{Kind, SHARED_TOKENS, World, engines, loose, tight};
use yare::parameterized;

fn with_many_shared_parts(kind: Kind) -> Kind {
    Kind {
        shared_parts: 16,
        hot_percent: 50,
        ..kind
    }
}

fn shared_reads(world: &World) -> u64 {
    let tokens: u64 = world.engines.iter().map(|engine| engine.shared_read).sum();
    tokens / u64::from(SHARED_TOKENS)
}

/// 44 engines that hold 226,000 tokens each, at 70 % of what they can do; programs begin with one of 16 shared parts of
/// 12,600 tokens, half of them with the same. Shared parts are read less than once for each place in all engines, and
/// seldom once all is warm; the hot one is at hand on as many engines as half of the load fills; nearly all programs
/// end in aim.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn shared_prompts_are_seldom_read_again_and_a_hot_one_is_spread(seed: u64) {
    let mut world = World::new(seed, engines(44, |_| 1.0));
    world.load(with_many_shared_parts(tight()), 0.45, 0..20_000);
    world.load(with_many_shared_parts(loose()), 0.25, 0..20_000);
    world.run_until(5_000);
    let (warming, before) = (shared_reads(&world), world.programs.len());
    world.run_until(20_000);
    let reads = shared_reads(&world) - warming;
    let programs = world.programs.len() - before;
    let hot = world
        .engines
        .iter()
        .filter(|engine| engine.holds(0))
        .count();
    world.run_until(28_000);

    let shares = world.shares(|program| program.started_ms > 5_000);
    println!("seed {seed}: shared parts read {warming} times in 5 s, then {reads} times");
    println!(" for {programs} programs; the hot one is on {hot} engines; {shares:?}");
    assert!(
        warming <= 44 * 16,
        "{warming} reads of shared parts at first"
    );
    assert!(
        reads as usize * 20 <= programs,
        "{reads} reads for {programs} programs"
    );
    assert!(hot >= 16, "the hot part is on {hot} engines");
    assert!(shares.in_aim >= 95.0, "{shares:?}");
}
