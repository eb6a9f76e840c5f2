//! How far programs are, and whether they can still end in their aim.
//!
//! A program doesn't say how many turns it will make. Its budget tells: budgets are made for so many turns, and how
//! many turns of a budget programs of a route make is learned. The time that a turn takes with the tools and the pause
//! behind it is learned, too, without the time that turns waited for engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{NameKey, ProgramStanding};

/// Turns made of those that a budget holds, before any program of a route was seen to its end.
const ASSUMED_PART: f64 = 0.7;
/// Weight of a program that ended in what is learned of its route.
const PROGRAM_WEIGHT: f64 = 0.05;
/// Weight of an answer in what is learned of its route's answers.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of a turn in the time that turns of its route take.
const SPAN_WEIGHT: f64 = 0.02;
/// A turn counts for so many usual ones at most: a program that was held up elsewhere says nothing of others.
const LONGEST_SPAN: f64 = 4.0;
/// Time from turn to turn assumed of a route that wasn't seen yet, in milliseconds.
const ASSUMED_SPAN_MS: f64 = 400.0;
/// A program that was silent for so long has ended, as far as its turns are counted.
const ENDED_AFTER: Duration = Duration::from_secs(5);
/// How long a program is remembered: one that comes back later counts as new.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Programs remembered at most; 20 bytes each and some, so that a pool stays under some 10 MB.
const MOST_PROGRAMS: usize = 100_000;

/// What is learned of a route's calls.
#[derive(Clone, Copy, Debug)]
struct RouteShape {
    answer_tokens: Option<f64>,
    span_ms: f64,
    part_of_budget: f64,
}

impl Default for RouteShape {
    fn default() -> Self {
        Self {
            answer_tokens: None,
            span_ms: ASSUMED_SPAN_MS,
            part_of_budget: ASSUMED_PART,
        }
    }
}

impl RouteShape {
    fn note_span(&mut self, span_ms: f64) {
        let bounded = span_ms.clamp(0.0, LONGEST_SPAN * self.span_ms);
        self.span_ms += SPAN_WEIGHT * (bounded - self.span_ms);
        self.span_ms = self.span_ms.max(1.0);
    }
}

#[derive(Clone, Copy, Debug)]
struct ProgramEntry {
    route: NameKey,
    turns: u32,
    turns_budgeted: Option<f32>,
    aim_at: Option<Duration>,
    last_turn: Duration,
    /// How long its last turn waited for an engine, in milliseconds; none while it waits, or if it was never granted
    /// one.
    waited_ms: Option<f64>,
    is_counted: bool,
}

/// How a call's program stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Standing {
    /// Whether it is the program's first turn.
    pub is_first: bool,
    /// When the program should be over; none if it doesn't say.
    pub aim_at: Option<Duration>,
    /// Turns left with this one, as far as known.
    pub turns_left: f64,
    /// Time that a turn takes with the pause behind it, in milliseconds.
    pub span_ms: f64,
}

impl Standing {
    /// The standing of a call that belongs to no program.
    pub(crate) fn of_single_call() -> Self {
        Self {
            is_first: false,
            aim_at: None,
            turns_left: 1.0,
            span_ms: ASSUMED_SPAN_MS,
        }
    }

    /// Time left against the time that the rest needs: below 1 the program will be late; none if it has no aim.
    pub(crate) fn slack(&self, now: Duration) -> Option<f64> {
        let left = self.aim_at?.saturating_sub(now);
        Some(left.as_secs_f64() * 1000.0 / (self.turns_left * self.span_ms))
    }

    /// Time that may be lost at this turn without the program being late for it, in milliseconds.
    pub(crate) fn spare_ms(&self, now: Duration) -> Option<f64> {
        let left = self.aim_at?.saturating_sub(now).as_secs_f64() * 1000.0;
        Some((left - self.turns_left * self.span_ms) / (self.turns_left + 1.0))
    }
}

/// The programs of a pool, and what is learned of their routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Programs {
    entries: BTreeMap<NameKey, ProgramEntry>,
    routes: BTreeMap<NameKey, RouteShape>,
}

impl Programs {
    /// Takes in that a turn of a program came, and says how the program stands.
    pub(crate) fn begin_turn(
        &mut self,
        now: Duration,
        route: NameKey,
        claim: &ProgramStanding,
    ) -> Standing {
        let shape = self.routes.entry(route).or_default();
        let left = claim.left_ms.map(|left| Duration::from_millis(left.into()));
        let aim_at = left.map(|left| now + left);
        let known = self.entries.get_mut(&claim.program);
        let is_first = known.is_none();
        let entry = match known {
            Some(entry) => {
                let span = now.saturating_sub(entry.last_turn).as_secs_f64() * 1000.0;
                // A turn that got no engine is asked for again: it is no other one.
                if let Some(waited_ms) = entry.waited_ms.take() {
                    shape.note_span(span - waited_ms);
                    entry.turns += 1;
                }
                entry.last_turn = now;
                *entry
            }
            None => {
                let entry = ProgramEntry {
                    route,
                    turns: 1,
                    turns_budgeted: claim.turns_budgeted,
                    aim_at,
                    last_turn: now,
                    waited_ms: None,
                    is_counted: false,
                };
                self.entries.insert(claim.program, entry);
                entry
            }
        };
        let expected = claim.turns_budgeted.map_or(1.0, f64::from) * shape.part_of_budget;
        let done = f64::from(entry.turns - 1);
        Standing {
            is_first,
            // What the program says now counts; one that is late may say nothing more.
            aim_at: aim_at
                .filter(|_| left > Some(Duration::ZERO))
                .or(entry.aim_at),
            turns_left: (expected - done).max(1.0),
            span_ms: shape.span_ms,
        }
    }

    /// Takes in that a program's turn got an engine, after so long.
    pub(crate) fn note_granted(&mut self, program: NameKey, waited: Duration) {
        if let Some(entry) = self.entries.get_mut(&program) {
            entry.waited_ms = Some(waited.as_secs_f64() * 1000.0);
        }
    }

    /// Takes in how many tokens an answer had.
    pub(crate) fn note_answer(&mut self, route: NameKey, generated: u32) {
        let shape = self.routes.entry(route).or_default();
        let seen = f64::from(generated);
        let usual = *shape.answer_tokens.get_or_insert(seen);
        shape.answer_tokens = Some(usual + ANSWER_WEIGHT * (seen - usual));
    }

    /// Tokens expected of an answer: as many as answers of the route had, half the most before any was seen.
    pub(crate) fn expected_tokens(&self, route: NameKey, most_tokens: u32) -> f64 {
        let seen = self
            .routes
            .get(&route)
            .and_then(|shape| shape.answer_tokens);
        seen.unwrap_or(f64::from(most_tokens) / 2.0).max(1.0)
    }

    /// Learns from programs that ended, and forgets those that were silent for long.
    pub(crate) fn tidy(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            let silent = now.saturating_sub(entry.last_turn);
            if entry.is_counted || silent < ENDED_AFTER {
                continue;
            }
            entry.is_counted = true;
            let shape = self.routes.entry(entry.route).or_default();
            if let Some(budgeted) = entry.turns_budgeted.filter(|budgeted| *budgeted > 0.0) {
                // A program that uses its budget up is one that doesn't end by itself.
                let part = (f64::from(entry.turns) / f64::from(budgeted)).min(1.0);
                shape.part_of_budget += PROGRAM_WEIGHT * (part - shape.part_of_budget);
            }
        }
        let mut limit = REMEMBERED_FOR;
        loop {
            self.entries
                .retain(|_, entry| now.saturating_sub(entry.last_turn) < limit);
            if self.entries.len() <= MOST_PROGRAMS {
                return;
            }
            limit /= 2;
        }
    }
}
