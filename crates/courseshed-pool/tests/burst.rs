//! A burst of programs that is more than the engines can do.

mod support;

use courseshed_pool::CallEnd;
use support::{Ending, How, Outcome, Shares, World, check, engines, loose, tight};
use yare::parameterized;

const BURST_MS: std::ops::Range<u64> = 8_000..14_000;
const LOAD_END_MS: u64 = 24_000;
const END_MS: u64 = 30_000;

fn in_burst(seed: u64) -> World {
    let mut world = World::new(seed, engines(44, |_| 1.0));
    world.load(tight(), 0.4, 0..LOAD_END_MS);
    world.load(loose(), 0.2, 0..LOAD_END_MS);
    world.load(tight(), 0.65, BURST_MS);
    world.load(loose(), 0.35, BURST_MS);
    world.run_until(END_MS);
    world
}

/// How many programs ended in aim in each second.
fn in_aim_by_second(world: &World) -> Vec<usize> {
    let mut seconds = vec![0; 30];
    for (ended_ms, outcome) in world.programs.iter().filter_map(|program| program.ended) {
        if outcome == Outcome::InAim {
            seconds[(ended_ms / 1_000).min(29) as usize] += 1;
        }
    }
    seconds
}

fn started(world: &World, period: std::ops::Range<u64>) -> Shares {
    world.shares(|program| period.contains(&program.started_ms))
}

/// Of the programs that start in the burst near half end in aim, which is most of what there is room for; those that
/// start 3 s after it or later do as if it had not been.
fn check_shares(world: &World, faults: &mut Vec<String>) {
    let (before, during) = (started(world, 1_000..4_000), started(world, BURST_MS));
    let (right_after, after) = (
        started(world, 14_000..17_000),
        started(world, 17_000..LOAD_END_MS),
    );
    println!(" before {before:?}\n during {during:?}");
    println!(" right after {right_after:?}\n after {after:?}");
    check(faults, before.in_aim >= 95.0, format!("before: {before:?}"));
    check(faults, during.in_aim >= 45.0, format!("during: {during:?}"));
    check(faults, after.in_aim >= 95.0, format!("after: {after:?}"));
}

/// In no second of the burst or after it do fewer programs end in aim than half of what do before it.
fn check_seconds(world: &World, faults: &mut Vec<String>) {
    let seconds = in_aim_by_second(world);
    println!(" ended in aim by second {seconds:?}");
    let usual = seconds[5..8].iter().sum::<usize>() / 3;
    let least = *seconds[8..24].iter().min().expect("seconds");
    check(
        faults,
        least * 2 >= usual,
        format!("{least} in aim in a second, {usual} before"),
    );
}

/// A call that is not served hears so early: at most one in ten of them is held to its deadline.
fn check_refusals(world: &World, faults: &mut Vec<String>) {
    let is_refused = |ending: &Ending| ending.how == How::RefusedByScheduler;
    let is_held = |ending: &Ending| ending.how == How::Ended(CallEnd::Given);
    let is_late = |ending: &Ending| is_refused(ending) && ending.after_ms >= 2_500;
    let refused = world.count_endings(0..END_MS, is_refused);
    let late = world.count_endings(0..END_MS, is_late);
    let held = world.count_endings(0..END_MS, is_held);
    let served = world.turns_served(0..END_MS);
    println!(" served {served}, refused {refused}, of these {late} after 2.5 s, held {held}");
    let is_early = (held + late) * 10 <= refused + held + 100;
    check(
        faults,
        is_early,
        format!("{} of {} not served were held", held + late, refused + held),
    );
}

/// 44 even engines at 60 % of what they can do, and at 160 % for 6 s: what the burst costs, what goes on in it, and
/// what callers hear that are not served.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn a_burst_costs_what_there_is_no_room_for_and_ends_with_it(seed: u64) {
    println!("seed {seed}");
    let world = in_burst(seed);
    let mut faults = Vec::new();
    check_shares(&world, &mut faults);
    check_seconds(&world, &mut faults);
    check_refusals(&world, &mut faults);
    assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
}
