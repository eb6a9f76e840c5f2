//! Seeds of the simulation keep all promises, and broken variants are caught.

use std::collections::BTreeSet;

use courseshed_consensus::simulation::{
    Fault, Scenario, SimulationOptions, SimulationReport, Variant, run_seed,
};
use yare::parameterized;

/// Seeds within which a broken variant must be caught.
const SEEDS_PER_VARIANT: u64 = 120;

fn run(seed: u64) -> SimulationReport {
    run_seed(seed, &SimulationOptions::default())
}

fn run_all(seeds: std::ops::Range<u64>) {
    let reports: Vec<SimulationReport> = seeds.map(run).collect();
    let broken: Vec<_> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let faults: BTreeSet<Fault> = reports
        .iter()
        .flat_map(|report| report.faults.keys().copied())
        .collect();
    assert_eq!(
        faults.len(),
        Fault::ALL.len(),
        "not all faults came: {faults:?}"
    );
    let confirmed: u64 = reports.iter().map(|report| report.writes_confirmed).sum();
    let elected: u64 = reports.iter().map(|report| report.restart_elections).sum();
    println!("{elected} elections after a restart");
    assert!(elected > 0, "no election after a restart took place");
    assert!(confirmed > 100 * reports.len() as u64, "{confirmed} writes");
}

#[parameterized(
    first = { 0 }, second = { 1 }, third = { 2 }, fourth = { 3 },
)]
fn promises_hold(part: u64) {
    const SEEDS: u64 = 60;
    run_all(part * SEEDS..(part + 1) * SEEDS);
}

#[test]
fn same_seed_gives_the_same_run() {
    assert_eq!(run(7), run(7));
}

#[parameterized(
    disk = { Variant::AcknowledgesBeforeFlush },
    incarnation = { Variant::ReturnsUnderOldIncarnation },
    lease = { Variant::ReadsWithoutLease },
    clocks = { Variant::ClocksBeyondBounds },
    alone = { Variant::CommitsAlone },
    log_ends = { Variant::IgnoresLogEnds },
    incarnations = { Variant::IgnoresIncarnations },
    restart_election = { Variant::RestartElectionByQuorum },
)]
fn broken_variant_is_caught(variant: Variant) {
    let options = SimulationOptions {
        variant,
        ..SimulationOptions::default()
    };
    let caught =
        (0..SEEDS_PER_VARIANT).find(|seed| !run_seed(*seed, &options).violations.is_empty());
    println!("{}: caught by seed {caught:?}", variant.name());
    assert!(caught.is_some(), "{} was not caught", variant.name());
}

/// Guards against a persisted commit index that covers entries of the same write: when only part of
/// the write survived, entries that it was to replace counted as committed.
#[parameterized(first = { 2331 }, second = { 3663 }, third = { 4116 })]
fn commit_index_of_a_torn_write_covers_durable_entries_only(seed: u64) {
    let report = run(seed);
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against a group that doesn't serve again after its faults ended. In this seed a member
/// lost its memory just as it was promoted to a voter.
#[test]
fn group_serves_again_after_a_member_lost_its_memory_at_promotion() {
    let report = run(4083);
    assert!(report.violations.is_empty(), "{report:#?}");
}

fn replacements(seed: u64, variant: Variant) -> SimulationReport {
    let options = SimulationOptions {
        variant,
        scenario: Scenario::Replacements,
        ..SimulationOptions::default()
    };
    run_seed(seed, &options)
}

/// Guards against a group that keeps a machine as a voter after its successor has joined: the next losses, as many as
/// it has to bear, then leave it without a leader for good.
#[parameterized(
    first = { 0 }, second = { 1 }, third = { 2 }, fourth = { 3 },
)]
fn group_survives_replacements_and_losses_in_series(part: u64) {
    const SEEDS: u64 = 100;
    let seeds = part * SEEDS..(part + 1) * SEEDS;
    let reports: Vec<_> = seeds
        .map(|seed| replacements(seed, Variant::Faithful))
        .collect();
    let broken = reports.iter().find(|report| !report.violations.is_empty());
    assert!(broken.is_none(), "{broken:#?}");
    let replaced = reports
        .iter()
        .filter_map(|report| report.faults.get(&Fault::Replaced));
    let replaced: u64 = replaced.sum();
    assert!(replaced > SEEDS, "{replaced} machines were replaced");
}

#[parameterized(
    beside = { Variant::AddsBesideSilentVoters },
    without_successor = { Variant::RemovesWithoutSuccessor },
)]
fn broken_replacement_is_caught(variant: Variant) {
    let caught =
        (0..SEEDS_PER_VARIANT).find(|seed| !replacements(*seed, variant).violations.is_empty());
    println!("{}: caught by seed {caught:?}", variant.name());
    assert!(caught.is_some(), "{} was not caught", variant.name());
}
