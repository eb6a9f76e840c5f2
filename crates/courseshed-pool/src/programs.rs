//! Progress of programs, and whether they can still meet their target times.
//!
//! A program does not announce its number of turns. It is estimated from the program's budget and
//! the fraction of the budget that programs of its route have used. The interval between turns
//! (generation, tools and pauses) is estimated per route, excluding the time that turns were
//! queued.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{NameHash, ProgramContext};

/// Fraction of the budgeted turns assumed before any program of a route has ended.
const DEFAULT_BUDGET_FRACTION: f64 = 0.7;
/// Weight of an ended program in the budget fraction of its route.
const PROGRAM_WEIGHT: f64 = 0.05;
/// Weight of an answer in the mean answer length of its route.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of a turn in the mean turn interval of its route.
const INTERVAL_WEIGHT: f64 = 0.02;
/// Upper bound of an interval sample, relative to the mean: long intervals of single programs are
/// caused outside the pool.
const MAX_INTERVAL_RATIO: f64 = 4.0;
/// Turn interval assumed for routes without samples, in milliseconds.
const DEFAULT_INTERVAL_MS: f64 = 400.0;
/// A program without turns for this long is considered ended.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a program is kept after its last turn; one that returns later counts as new.
const PROGRAM_RETENTION: Duration = Duration::from_secs(60);
/// Upper bound of the number of programs kept.
const MAX_PROGRAMS: usize = 100_000;

/// Statistics of a route's calls.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    answer_tokens: Option<f64>,
    turn_interval_ms: f64,
    budget_fraction: f64,
}

impl Default for RouteStats {
    fn default() -> Self {
        Self {
            answer_tokens: None,
            turn_interval_ms: DEFAULT_INTERVAL_MS,
            budget_fraction: DEFAULT_BUDGET_FRACTION,
        }
    }
}

impl RouteStats {
    fn record_interval(&mut self, turn_interval_ms: f64) {
        let bounded = turn_interval_ms.clamp(0.0, MAX_INTERVAL_RATIO * self.turn_interval_ms);
        self.turn_interval_ms += INTERVAL_WEIGHT * (bounded - self.turn_interval_ms);
        self.turn_interval_ms = self.turn_interval_ms.max(1.0);
    }
}

#[derive(Clone, Copy, Debug)]
struct ProgramEntry {
    route: NameHash,
    turns: u32,
    budgeted_turns: Option<f32>,
    target_at: Option<Duration>,
    last_turn_at: Duration,
    /// Queueing time of the last turn, in milliseconds; none until an engine is granted.
    waited_ms: Option<f64>,
    is_recorded: bool,
}

/// Progress of a call's program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProgramProgress {
    /// Whether this is the program's first turn.
    pub is_first: bool,
    /// Whether no turn of the program was granted an engine yet.
    pub is_new: bool,
    /// Target time for the program's end, if it has one.
    pub target_at: Option<Duration>,
    /// Estimated number of remaining turns, this one included.
    pub turns_left: f64,
    /// Mean interval between the starts of two turns, in milliseconds.
    pub turn_interval_ms: f64,
}

impl ProgramProgress {
    /// Progress of a call that belongs to no program.
    pub(crate) fn single_call() -> Self {
        Self {
            is_first: false,
            is_new: false,
            target_at: None,
            turns_left: 1.0,
            turn_interval_ms: DEFAULT_INTERVAL_MS,
        }
    }

    /// Time left divided by the estimated time needed; below 1 the program is expected to be late.
    /// None without a target time.
    pub(crate) fn slack(&self, now: Duration) -> Option<f64> {
        let left = self.target_at?.saturating_sub(now);
        Some(left.as_secs_f64() * 1000.0 / (self.turns_left * self.turn_interval_ms))
    }

    /// Delay that this turn can absorb without making the program late, in milliseconds.
    pub(crate) fn spare_ms(&self, now: Duration) -> Option<f64> {
        let left = self.target_at?.saturating_sub(now).as_secs_f64() * 1000.0;
        Some((left - self.turns_left * self.turn_interval_ms) / (self.turns_left + 1.0))
    }
}

/// Programs of a pool, and statistics of their routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Programs {
    entries: BTreeMap<NameHash, ProgramEntry>,
    routes: BTreeMap<NameHash, RouteStats>,
}

impl Programs {
    /// Records the arrival of a program's turn and returns the program's progress.
    pub(crate) fn begin_turn(
        &mut self,
        now: Duration,
        route: NameHash,
        standing: &ProgramContext,
    ) -> ProgramProgress {
        let stats = self.routes.entry(route).or_default();
        let left = standing
            .time_left_ms
            .map(|left| Duration::from_millis(left.into()));
        let target_at = left.map(|left| now + left);
        let existing = self.entries.get_mut(&standing.program);
        let is_first = existing.is_none();
        let entry = match existing {
            Some(entry) => {
                let interval = now.saturating_sub(entry.last_turn_at).as_secs_f64() * 1000.0;
                // A turn that was not granted an engine is retried; it does not count as a new
                // turn.
                if let Some(waited_ms) = entry.waited_ms.take() {
                    stats.record_interval(interval - waited_ms);
                    entry.turns += 1;
                }
                entry.last_turn_at = now;
                *entry
            }
            None => {
                let entry = ProgramEntry {
                    route,
                    turns: 1,
                    budgeted_turns: standing.budgeted_turns,
                    target_at,
                    last_turn_at: now,
                    waited_ms: None,
                    is_recorded: false,
                };
                self.entries.insert(standing.program, entry);
                entry
            }
        };
        let expected_turns = standing.budgeted_turns.map_or(1.0, f64::from) * stats.budget_fraction;
        let turns_done = f64::from(entry.turns - 1);
        ProgramProgress {
            is_first,
            is_new: entry.turns == 1,
            // The latest target takes precedence, unless it has passed already.
            target_at: target_at
                .filter(|_| left > Some(Duration::ZERO))
                .or(entry.target_at),
            turns_left: (expected_turns - turns_done).max(1.0),
            turn_interval_ms: stats.turn_interval_ms,
        }
    }

    /// Records that a program's turn was granted an engine after `waited`.
    pub(crate) fn record_grant(&mut self, program: NameHash, waited: Duration) {
        if let Some(entry) = self.entries.get_mut(&program) {
            entry.waited_ms = Some(waited.as_secs_f64() * 1000.0);
        }
    }

    /// Records the length of an answer.
    pub(crate) fn record_answer(&mut self, route: NameHash, generated: u32) {
        let stats = self.routes.entry(route).or_default();
        let sample = f64::from(generated);
        let mean = *stats.answer_tokens.get_or_insert(sample);
        stats.answer_tokens = Some(mean + ANSWER_WEIGHT * (sample - mean));
    }

    /// Expected answer length: the mean of the route, or half of `most_tokens` without samples.
    pub(crate) fn expected_tokens(&self, route: NameHash, most_tokens: u32) -> f64 {
        let mean = self
            .routes
            .get(&route)
            .and_then(|stats| stats.answer_tokens);
        mean.unwrap_or(f64::from(most_tokens) / 2.0).max(1.0)
    }

    /// Updates route statistics from ended programs and drops expired ones.
    pub(crate) fn expire(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            let idle = now.saturating_sub(entry.last_turn_at);
            if entry.is_recorded || idle < PROGRAM_IDLE_TIMEOUT {
                continue;
            }
            entry.is_recorded = true;
            let stats = self.routes.entry(entry.route).or_default();
            if let Some(budgeted) = entry.budgeted_turns.filter(|budgeted| *budgeted > 0.0) {
                // Programs that exhaust their budget count as the full budget.
                let fraction = (f64::from(entry.turns) / f64::from(budgeted)).min(1.0);
                stats.budget_fraction += PROGRAM_WEIGHT * (fraction - stats.budget_fraction);
            }
        }
        let mut limit = PROGRAM_RETENTION;
        loop {
            self.entries
                .retain(|_, entry| now.saturating_sub(entry.last_turn_at) < limit);
            if self.entries.len() <= MAX_PROGRAMS {
                return;
            }
            limit /= 2;
        }
    }
}
