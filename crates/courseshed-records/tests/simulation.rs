//! Runs the simulation, and checks that it detects injected defects.

use courseshed_records::simulation::{RecordVariant, run_seed};
use yare::parameterized;

const SEEDS: u64 = 1500;

#[test]
fn invariants_hold() {
    for seed in 0..SEEDS {
        let report = run_seed(seed, RecordVariant::Sound);
        assert!(report.violations.is_empty(), "seed {seed}: {report:?}");
    }
}

#[parameterized(
    catch_up_from_too_few = { RecordVariant::CatchUpFromTooFew },
    no_catch_up = { RecordVariant::NoCatchUp },
    old_epochs_accepted = { RecordVariant::OldEpochsAccepted },
    former_forgotten = { RecordVariant::FormerForgotten },
)]
fn injected_defects_are_detected(variant: RecordVariant) {
    let is_detected = |seed: &u64| !run_seed(*seed, variant).violations.is_empty();
    assert!((0..SEEDS).any(|seed| is_detected(&seed)));
}
