//! Engines of unequal speed.

mod support;

use support::{Simulation, engines, loose, tight};
use yare::parameterized;

/// A quarter of 44 engines is twice as fast as the rest, at a load of 75 % of their capacity.
/// Guards against late or failed programs of either rank.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn nearly_all_programs_end_on_time_on_uneven_engines(seed: u64) {
    let slowdown = |index: u32| if index.is_multiple_of(4) { 0.5 } else { 1.0 };
    let mut simulation = Simulation::new(seed, engines(44, slowdown));
    simulation.load(tight(), 0.5, 0..20_000);
    simulation.load(loose(), 0.25, 0..20_000);
    simulation.run_until(30_000);

    let tight = simulation.shares(|program| program.kind.rank == 0 && program.started_ms > 2_000);
    let loose = simulation.shares(|program| program.kind.rank == 1 && program.started_ms > 2_000);
    println!("seed {seed}: tight {tight:?}, loose {loose:?}");
    assert!(tight.on_time >= 95.0, "tight programs: {tight:?}");
    assert!(loose.on_time >= 95.0, "loose programs: {loose:?}");
    assert!(
        tight.failed + loose.failed < 0.5,
        "failed: {tight:?}, {loose:?}"
    );
}
