//! A scheduler that is told the same decides the same.

mod support;

use support::{World, engines, loose, tight};
use yare::parameterized;

fn grants(seed: u64) -> Vec<(u64, courseshed_pool::Ticket, usize)> {
    let mut world = World::new(seed, engines(44, |_| 1.0));
    world.load(tight(), 0.5, 0..20_000);
    world.load(loose(), 0.25, 0..20_000);
    world.load(tight(), 0.45, 6_000..12_000);
    world.run_until(20_000);
    world.grants
}

/// 44 engines at 75 % of what they can do for 20 s, and at 120 % for 6 s of them, played twice: each call is granted the
/// same engine at the same time.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn the_same_load_is_decided_in_the_same_way(seed: u64) {
    let (first, second) = (grants(seed), grants(seed));
    let same = first
        .iter()
        .zip(&second)
        .take_while(|(left, right)| left == right)
        .count();
    println!(
        "seed {seed}: {} grants, the first {same} the same",
        first.len()
    );
    assert!(!first.is_empty(), "nothing was granted");
    assert_eq!(
        first.get(same),
        second.get(same),
        "the first grant that differs"
    );
}
