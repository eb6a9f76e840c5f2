//! Order of calls within a branch.
//!
//! A call's rank is its arrival time adjusted by bounded amounts, so a call is overtaken only by
//! calls that arrive within a bounded time after it and cannot starve. Programs with little
//! attained service go first (least attained service over the whole call tree, as in Autellix, Luo
//! et al. 2025), because most programs are short and their lengths are unknown; the effect is
//! scaled by the program's value weight. Programs that have missed their target completion time are
//! deferred.

use std::time::Duration;

use courseshed_types::{Timestamp, dispatch::WaitingCall};

use crate::{
    config::DispatcherConfig,
    strategy::{CallOrdering, Strategy},
    tables::Rank,
};

/// Delay per doubling of attained service.
const DELAY_PER_DOUBLING: Duration = Duration::from_millis(500);
/// Attained service in tokens up to which no delay applies.
const LEAST_ATTAINED: f64 = 1_000.0;
/// Maximum delay from attained service.
const MAX_DELAY: Duration = Duration::from_secs(8);
/// Delay of a program that has missed its target completion time.
const MISSED_DELAY: Duration = Duration::from_secs(20);
/// Head start per priority step.
const PRIORITY_HEAD_START: Duration = Duration::from_secs(4);
/// Value weights are clamped to this factor around one.
const WORTH_RANGE: f64 = 8.0;

/// The rank of a call, and the time at which it next changes.
pub(crate) fn rank(
    config: &DispatcherConfig,
    strategy: Strategy,
    call: &WaitingCall,
    now: Timestamp,
) -> (Rank, Option<Timestamp>) {
    let steps = config.max_priority_steps;
    let urgency = match strategy.honors_priority {
        true => call.priority.clamp(-steps, steps),
        false => 0,
    };
    let arrival = call.accepted_at.0 as i64;
    if strategy.ordering == CallOrdering::FirstCome {
        let rank = Rank {
            adjusted_arrival: arrival,
            urgency,
        };
        return (rank, None);
    }
    let missed = call.aim_at.is_some_and(|aim| aim <= now);
    let delay = attained_delay(call) + if missed { micros(MISSED_DELAY) } else { 0 };
    let head_start = i64::from(urgency) * micros(PRIORITY_HEAD_START);
    let rank = Rank {
        adjusted_arrival: arrival + delay - head_start,
        urgency,
    };
    (rank, call.aim_at.filter(|_| !missed))
}

fn attained_delay(call: &WaitingCall) -> i64 {
    let doublings = (call.attained.0 as f64 / LEAST_ATTAINED).max(1.0).log2();
    let worth = call.worth.clamp(1.0 / WORTH_RANGE, WORTH_RANGE);
    let delay = doublings * micros(DELAY_PER_DOUBLING) as f64 / worth;
    (delay as i64).min(micros(MAX_DELAY))
}

fn micros(duration: Duration) -> i64 {
    duration.as_micros() as i64
}
