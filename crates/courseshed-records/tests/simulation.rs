//! The simulation of the records: no promise is broken, and it would see if one were.

use courseshed_records::simulation::{RecordVariant, run_seed};
use yare::parameterized;

const SEEDS: u64 = 1500;

#[test]
fn no_promise_is_broken() {
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
fn a_variant_broken_on_purpose_is_caught(variant: RecordVariant) {
    let is_caught = |seed: &u64| !run_seed(*seed, variant).violations.is_empty();
    assert!((0..SEEDS).any(|seed| is_caught(&seed)));
}
