//! Runs the simulation of conversations whose stores are away, and checks that it detects injected defects.

use courseshed_records::chain_simulation::{ChainReport, ChainVariant, run_seed};
use yare::parameterized;

const SEEDS: u64 = 1500;

fn is_violated(report: &ChainReport) -> bool {
    let ChainReport {
        unreadable,
        uncounted,
        not_replicated,
        ..
    } = report;
    [unreadable, uncounted, not_replicated]
        .iter()
        .any(|violations| !violations.is_empty())
}

/// Guards against conversations that can't go on at some quorum of stores, against programs that are granted more than
/// their budget, and against replicas that don't get back what they missed.
#[parameterized(
    first = { 0 },
    second = { 1 },
    third = { 2 },
    fourth = { 3 },
)]
fn conversations_go_on_at_any_quorum(quarter: u64) {
    let mut assembled = 0;
    for seed in (quarter * SEEDS / 4)..((quarter + 1) * SEEDS / 4) {
        let report = run_seed(seed, ChainVariant::Sound);
        assert!(!is_violated(&report), "seed {seed}: {report:?}");
        assembled += report.assembled;
    }
    assert!(assembled > 0, "no chain was spread over several replicas");
}

#[parameterized(
    no_assembly = { ChainVariant::NoAssembly },
    no_extension_over_gaps = { ChainVariant::NoExtensionOverGaps },
    no_repair = { ChainVariant::NoRepair },
    no_copy_after_absence = { ChainVariant::NoCopyAfterAbsence },
    no_repair_of_reservations = { ChainVariant::NoRepairOfReservations },
)]
fn injected_defects_are_detected(variant: ChainVariant) {
    let is_detected = |seed: &u64| is_violated(&run_seed(*seed, variant));
    assert!((0..SEEDS).any(|seed| is_detected(&seed)));
}
