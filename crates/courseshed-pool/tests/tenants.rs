//! A tenant that exceeds its usual load while capacity is short.

mod support;

use support::{OutcomeShares, ProgramKind, Simulation, engines, tight};
use yare::parameterized;

const HEAVY_TENANT: u64 = 0;
const PEAK_MS: std::ops::Range<u64> = 6_000..16_000;

fn program_of_tenant(tenant: u64) -> ProgramKind {
    ProgramKind {
        tenant,
        factor: 1.4,
        turns: 3..8,
        ..tight()
    }
}

fn completed_turns(simulation: &Simulation, tenant: u64, period_ms: std::ops::Range<u64>) -> usize {
    simulation.count_calls(period_ms, |record| {
        simulation.programs[record.program].kind.tenant == tenant
            && matches!(
                record.outcome,
                support::CallOutcome::Ended(courseshed_pool::CallEnd::Completed { .. })
            )
    })
}

/// Ten tenants use 80 % of the capacity of 44 engines; for 10 s one sends six times its usual load,
/// 120 % in total. Guards against other tenants being slowed down or starved, and against the heavy
/// tenant being held below twice its usual throughput.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn heavy_tenant_uses_only_the_capacity_left_by_others(seed: u64) {
    let mut simulation = Simulation::new(seed, engines(44, |_| 1.0));
    for tenant in 0..10 {
        simulation.load(program_of_tenant(tenant), 0.08, 0..20_000);
    }
    simulation.load(program_of_tenant(HEAVY_TENANT), 0.4, PEAK_MS);
    simulation.run_until(28_000);

    let at_peak = |tenant: u64| {
        simulation.shares(|program| {
            program.kind.tenant == tenant && PEAK_MS.contains(&program.started_ms)
        })
    };
    let others: Vec<OutcomeShares> = (1..10).map(at_peak).collect();
    let least = others
        .iter()
        .map(|shares| shares.on_time)
        .fold(100.0, f64::min);
    let mean = others.iter().map(|shares| shares.on_time).sum::<f64>() / 9.0;
    let usual_rate = completed_turns(&simulation, HEAVY_TENANT, 2_000..6_000) as f64 / 4.0;
    let at_peak_rate = completed_turns(&simulation, HEAVY_TENANT, 8_000..16_000) as f64 / 8.0;
    let heavy = at_peak(HEAVY_TENANT);
    println!(
        "seed {seed}: other tenants on time {mean:.1} %, minimum {least:.1} %; heavy tenant {heavy:?}"
    );
    println!(" turns of the heavy tenant: {usual_rate:.0}/s, at the peak {at_peak_rate:.0}/s");
    assert!(mean >= 90.0, "other tenants on time: {mean:.1} %");
    assert!(
        least >= 80.0,
        "worst of the other tenants: {least:.1} % on time"
    );
    assert!(
        at_peak_rate >= 2.0 * usual_rate,
        "the heavy tenant got {at_peak_rate:.0} turns/s, {usual_rate:.0} before"
    );
}
