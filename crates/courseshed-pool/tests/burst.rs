//! A burst of programs that exceeds the engines' capacity.

mod support;

use courseshed_pool::CallEnd;
use support::{
    CallOutcome, CallRecord, Outcome, OutcomeShares, Simulation, check, engines, loose, tight,
};
use yare::parameterized;

const BURST_MS: std::ops::Range<u64> = 8_000..14_000;
const LOAD_END_MS: u64 = 24_000;
const END_MS: u64 = 30_000;

fn run_burst(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, engines(44, |_| 1.0));
    simulation.load(tight(), 0.4, 0..LOAD_END_MS);
    simulation.load(loose(), 0.2, 0..LOAD_END_MS);
    simulation.load(tight(), 0.65, BURST_MS);
    simulation.load(loose(), 0.35, BURST_MS);
    simulation.run_until(END_MS);
    simulation
}

/// Number of programs that ended on time in each second.
fn on_time_by_second(simulation: &Simulation) -> Vec<usize> {
    let mut seconds = vec![0; 30];
    for (ended_ms, outcome) in simulation
        .programs
        .iter()
        .filter_map(|program| program.ended)
    {
        if outcome == Outcome::OnTime {
            seconds[(ended_ms / 1_000).min(29) as usize] += 1;
        }
    }
    seconds
}

fn started_in(simulation: &Simulation, period: std::ops::Range<u64>) -> OutcomeShares {
    simulation.shares(|program| period.contains(&program.started_ms))
}

/// Nearly half of the programs that start during the burst must end on time, which is most of what
/// the capacity allows. Programs that start 3 s or more after the burst must be unaffected.
fn check_shares(simulation: &Simulation, failures: &mut Vec<String>) {
    let (before, during) = (
        started_in(simulation, 1_000..4_000),
        started_in(simulation, BURST_MS),
    );
    let (right_after, after) = (
        started_in(simulation, 14_000..17_000),
        started_in(simulation, 17_000..LOAD_END_MS),
    );
    println!(" before {before:?}\n during {during:?}");
    println!(" right after {right_after:?}\n after {after:?}");
    check(
        failures,
        before.on_time >= 95.0,
        format!("before: {before:?}"),
    );
    check(
        failures,
        during.on_time >= 45.0,
        format!("during: {during:?}"),
    );
    check(failures, after.on_time >= 95.0, format!("after: {after:?}"));
}

/// In each second of the burst and after it, at least half as many programs must end on time as
/// before.
fn check_seconds(simulation: &Simulation, failures: &mut Vec<String>) {
    let seconds = on_time_by_second(simulation);
    println!(" programs ended on time by second {seconds:?}");
    let usual = seconds[5..8].iter().sum::<usize>() / 3;
    let least = *seconds[8..24].iter().min().expect("seconds");
    check(
        failures,
        least * 2 >= usual,
        format!("{least} programs on time in a second, {usual} before"),
    );
}

/// Calls that are not served must be refused early: at most one in ten may wait until its deadline.
fn check_refusals(simulation: &Simulation, failures: &mut Vec<String>) {
    let is_refused = |record: &CallRecord| record.outcome == CallOutcome::RefusedByScheduler;
    let is_expired = |record: &CallRecord| record.outcome == CallOutcome::Ended(CallEnd::Abandoned);
    let is_late = |record: &CallRecord| is_refused(record) && record.elapsed_ms >= 2_500;
    let refused = simulation.count_calls(0..END_MS, is_refused);
    let late = simulation.count_calls(0..END_MS, is_late);
    let expired = simulation.count_calls(0..END_MS, is_expired);
    let served = simulation.completed_turns(0..END_MS);
    println!(
        " served {served}, refused {refused}, of these {late} after 2.5 s, waited until deadline {expired}"
    );
    let is_early = (expired + late) * 10 <= refused + expired + 100;
    check(
        failures,
        is_early,
        format!(
            "{} of {} unserved calls waited until their deadline",
            expired + late,
            refused + expired
        ),
    );
}

/// Runs 44 engines of equal speed at 60 % of their capacity, and at 160 % for 6 s. Guards against a
/// collapse of throughput during the burst, slow recovery and late refusals.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn a_burst_costs_what_there_is_no_room_for_and_ends_with_it(seed: u64) {
    println!("seed {seed}");
    let simulation = run_burst(seed);
    let mut failures = Vec::new();
    check_shares(&simulation, &mut failures);
    check_seconds(&simulation, &mut failures);
    check_refusals(&simulation, &mut failures);
    assert!(failures.is_empty(), "seed {seed}: {failures:#?}");
}
