//! Model checking: every reachable state of small groups, driving the real [`crate::Peer`].
//!
//! Breadth-first search visits all interleavings of elections, deliveries, losses, restarts and
//! membership changes within the bounds of a scenario, so the first violation found is a shortest
//! one. Each scenario is also run with rules broken on purpose, which the search must find.
//!
//! Not covered, since it depends on time or size: leases, pre-votes, check-quorum and snapshots. The
//! first three only forbid steps that the model takes, so safety without them implies safety with
//! them. The simulation covers all four.

mod action;
mod history;
mod interner;
mod replicas;
mod rules;
mod scenarios;
mod search;
mod state;

use std::fmt;

pub use scenarios::{check, check_all, check_all_within};

/// How far to explore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Depth {
    /// Seconds.
    Quick,
    /// Minutes, and gigabytes of memory.
    Deep,
}

/// The outcome of one scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelReport {
    /// What was explored.
    pub name: &'static str,
    /// Distinct states visited.
    pub states: usize,
    /// Of these, states in which a replica has reached what the scenario is about.
    pub states_at_goal: usize,
    /// The bounds, for people.
    pub bounds: String,
    /// A shortest way to break a promise; none is as it should be.
    pub violation: Option<Counterexample>,
    /// The variants broken on purpose.
    pub broken_variants: Vec<BrokenVariant>,
}

impl ModelReport {
    /// Whether the protocol holds, the scenario's goal is within the bounds, and every broken variant was caught.
    #[must_use]
    pub fn is_as_expected(&self) -> bool {
        let caught = self
            .broken_variants
            .iter()
            .all(|variant| variant.counterexample.is_some());
        self.violation.is_none() && self.states_at_goal > 0 && caught
    }
}

/// A variant of the protocol that breaks a rule on purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenVariant {
    /// The rule that is broken.
    pub name: &'static str,
    /// Distinct states visited until the violation was found.
    pub states: usize,
    /// The shortest way to the violation; none means the checker missed it.
    pub counterexample: Option<Counterexample>,
}

/// A shortest sequence of steps that breaks a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The promise that is broken.
    pub promise: String,
    /// The steps, from the start on.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "{:>3}. {step}", number + 1)?;
        }
        write!(formatter, "     broken: {}", self.promise)
    }
}
