//! Programs on engines of which some are twice as fast as the rest.

mod support;

use support::{World, engines, loose, tight};
use yare::parameterized;

/// 44 engines of 8 slots, a quarter twice as fast as the rest, and programs for 20 s that take 75 % of what these can
/// do, two thirds of it tight ones of rank 0 and the rest loose ones of rank 1. Nearly all end in aim, and none fails.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn nearly_all_programs_end_in_aim_on_uneven_engines(seed: u64) {
    let slowness = |place: u32| if place.is_multiple_of(4) { 0.5 } else { 1.0 };
    let mut world = World::new(seed, engines(44, slowness));
    world.load(tight(), 0.5, 0..20_000);
    world.load(loose(), 0.25, 0..20_000);
    world.run_until(30_000);

    let tight = world.shares(|program| program.kind.rank == 0 && program.started_ms > 2_000);
    let loose = world.shares(|program| program.kind.rank == 1 && program.started_ms > 2_000);
    println!("seed {seed}: tight {tight:?}, loose {loose:?}");
    assert!(tight.in_aim >= 95.0, "tight programs: {tight:?}");
    assert!(loose.in_aim >= 95.0, "loose programs: {loose:?}");
    assert!(
        tight.failed + loose.failed < 0.5,
        "failed: {tight:?}, {loose:?}"
    );
}
