//! Engines that fail every call immediately and therefore always appear idle.

mod support;

use courseshed_pool::CallEnd;
use support::{CallOutcome, EngineHealth, Simulation, engines, loose, tight};
use yare::parameterized;

const FAILING: std::ops::Range<usize> = 20..23;

/// Three of 44 engines fail every call for 10 s while they remain listed as ready. Guards against
/// calls being drawn to failing engines, and against engines that are not used again after they
/// recover.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn failing_engines_are_avoided_until_they_recover(seed: u64) {
    let mut simulation = Simulation::new(seed, engines(44, |_| 1.0));
    simulation.load(tight(), 0.4, 0..26_000);
    simulation.load(loose(), 0.2, 0..26_000);
    simulation.run_until(5_000);
    simulation.set_health(FAILING, EngineHealth::Failing);
    simulation.run_until(15_000);
    simulation.set_health(FAILING, EngineHealth::Healthy);
    simulation.run_until(34_000);

    let failed = |from, until| {
        simulation.count_calls(from..until, |record| {
            record.outcome == CallOutcome::Ended(CallEnd::Failed)
        })
    };
    let (first, total) = (failed(5_000, 6_000), failed(5_000, 34_000));
    let during = simulation.shares(|program| (4_000..15_000).contains(&program.started_ms));
    let granted = |failing: bool| {
        let is_after_recovery = |grant: &&(u64, _, usize)| (19_000..26_000).contains(&grant.0);
        let grants = simulation.grants.iter().filter(is_after_recovery);
        grants
            .filter(|grant| FAILING.contains(&grant.2) == failing)
            .count()
    };
    let (recovered, others) = (granted(true) as f64 / 3.0, granted(false) as f64 / 41.0);
    println!("seed {seed}: {first} failures in the first second, {total} in total, {during:?}");
    println!(
        " calls per engine after recovery: {recovered:.0} on failed ones, {others:.0} on others"
    );
    assert!(first <= 3 * 10, "{first} calls failed in the first second");
    assert!(total <= 3 * 30, "{total} calls failed");
    assert!(
        during.on_time >= 94.0 && during.failed < 0.5,
        "during the failure: {during:?}"
    );
    assert!(
        recovered >= 0.5 * others,
        "{recovered} calls per recovered engine, {others} per other engine"
    );
}
