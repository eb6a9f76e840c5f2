//! Seeds of the whole-path simulation keep all promises, and variants broken on purpose are caught.

use std::collections::BTreeSet;

use courseshed_lab::check::fleet::{
    FleetFault, FleetOptions, FleetPromise, FleetReport, FleetVariant, run_seed,
};
use yare::parameterized;

/// Seeds within which a broken variant must be caught.
const SEEDS_PER_VARIANT: u64 = 40;

fn run(seed: u64) -> FleetReport {
    run_seed(seed, &FleetOptions::default())
}

#[parameterized(
    first = { 0 }, second = { 1 }, third = { 2 }, fourth = { 3 },
)]
fn promises_hold(part: u64) {
    const SEEDS: u64 = 30;
    let reports: Vec<FleetReport> = (part * SEEDS..(part + 1) * SEEDS).map(run).collect();
    let broken: Vec<_> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let faults: BTreeSet<FleetFault> = reports
        .iter()
        .flat_map(|report| report.faults.keys().copied())
        .collect();
    assert_eq!(faults.len(), FleetFault::ALL.len(), "{faults:?}");
    let answered: u64 = reports.iter().map(|report| report.answered).sum();
    assert!(answered > 20 * SEEDS, "{answered} calls answered");
}

#[parameterized(
    unconfirmed_assignment_to_a_leaving_engine = { 1968 },
)]
fn seed_that_broke_a_promise_holds_it(seed: u64) {
    let violations = run(seed).violations;
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn same_seed_gives_the_same_run() {
    assert_eq!(run(11), run(11));
}

#[parameterized(
    late = { FleetVariant::LateOrdersRun, &[FleetPromise::AtMostOnce, FleetPromise::NotRun] },
    denies = { FleetVariant::GatewayDeniesDoubt, &[FleetPromise::NotRun] },
    mixes = { FleetVariant::GatewayMixesAnswers, &[FleetPromise::Answer] },
    cuts = { FleetVariant::GatewayCutsAnswers, &[FleetPromise::Answer] },
    doubles = { FleetVariant::GatewayDoublesAttempts, &[FleetPromise::AtMostOnce] },
    grants = { FleetVariant::LedgerGrantsAll, &[FleetPromise::Budget] },
    leaving = { FleetVariant::LeavingUnheard, &[FleetPromise::Leaving] },
    leases = { FleetVariant::LeasesForever, &[FleetPromise::Memory] },
)]
fn broken_variant_breaks_its_promise(variant: FleetVariant, promises: &[FleetPromise]) {
    let options = FleetOptions {
        variant,
        ..FleetOptions::default()
    };
    let breaks = |seed: &u64| {
        let violations = run_seed(*seed, &options).violations;
        violations
            .iter()
            .any(|violation| promises.contains(&violation.promise))
    };
    let caught = (0..SEEDS_PER_VARIANT).find(breaks);
    assert!(caught.is_some(), "{} was not caught", variant.name());
}
