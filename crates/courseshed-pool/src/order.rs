//! Queue order of the calls that wait for an engine.
//!
//! Calls are ordered by effective arrival time: the arrival time plus bounded delays for spare time
//! of the program, first turns, lower ranks, programs that are already late, and tenants above
//! their share. As every delay is bounded, a call can only be overtaken by calls that arrive within
//! a bounded time after it, which rules out starvation. Strict priority classes would let the turns
//! of late programs wait until their callers give up.

use std::time::Duration;

use crate::programs::ProgramProgress;

/// Delay per step of rank, in milliseconds. About the queueing time of a turn in a busy pool:
/// urgent calls pass others, and no rank is starved.
const RANK_DELAY_MS: f64 = 100.0;
/// Ranks above this are treated as this one.
const MAX_RANK: u32 = 5;
/// Delay of a program's first turn, in milliseconds, so that programs under way finish before new
/// ones start. Small against the 3 s that a turn waits at most.
const FIRST_TURN_DELAY_MS: f64 = 400.0;
/// Programs with less slack than this are treated as late. Below 1 because the remaining time is an
/// estimate, accurate to about 10 %.
const LATE_SLACK: f64 = 0.9;
/// Delay of a late program's calls, in milliseconds: two thirds of the 3 s that a turn waits at
/// most.
const LATE_DELAY_MS: f64 = 2_000.0;
/// Upper bound of the delay for a program's spare time, in milliseconds; larger estimates are
/// unreliable.
const MAX_SPARE_DELAY_MS: f64 = 300.0;

/// Inputs of a call's queue position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry<'a> {
    pub arrived: Duration,
    pub rank: u32,
    pub progress: &'a ProgramProgress,
    /// Delay of a tenant that is above its share, in milliseconds.
    pub share_delay_ms: f64,
}

/// Effective arrival time in milliseconds; the earliest is served first.
pub(crate) fn effective_arrival_ms(entry: &QueueEntry, now: Duration) -> f64 {
    let progress = entry.progress;
    let spare = progress.spare_ms(now).unwrap_or(0.0);
    let spare = spare.clamp(0.0, MAX_SPARE_DELAY_MS);
    let rank_delay = RANK_DELAY_MS * f64::from(entry.rank.min(MAX_RANK));
    let first_turn_delay = if progress.is_first {
        FIRST_TURN_DELAY_MS
    } else {
        0.0
    };
    let arrived = entry.arrived.as_secs_f64() * 1000.0;
    arrived
        + spare
        + rank_delay
        + first_turn_delay
        + late_delay_ms(entry, now)
        + entry.share_delay_ms
}

/// Delay of a call whose program can no longer meet its target time.
fn late_delay_ms(entry: &QueueEntry, now: Duration) -> f64 {
    match entry.progress.slack(now) {
        Some(slack) if slack < LATE_SLACK => LATE_DELAY_MS,
        _ => 0.0,
    }
}
