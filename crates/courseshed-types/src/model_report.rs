//! The result of checking one specification exhaustively within stated bounds.
//!
//! Each core crate that has a specification returns these from its `model::check_all`, so that one command can
//! run and print them all.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The shortest way to a state that breaks a property.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counterexample {
    /// The property broken.
    pub property: String,
    /// The steps from the initial state, in order.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "broken: {}", self.property)?;
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "  {:>3}. {step}", number + 1)?;
        }
        Ok(())
    }
}

/// A variant of the protocol broken on purpose, which the checker must catch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenVariant {
    /// What is broken.
    pub name: String,
    /// What the checker found; none means that the checker is blind to it.
    pub caught: Option<Counterexample>,
}

/// The result of checking one specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// The specification.
    pub name: String,
    /// The bounds within which it was explored, for people.
    pub bounds: String,
    /// Distinct states explored.
    pub states: u64,
    /// What was found in the true protocol; none is success.
    pub violation: Option<Counterexample>,
    /// The broken variants tried.
    pub broken_variants: Vec<BrokenVariant>,
}

impl ModelReport {
    /// Whether the true protocol holds and every broken variant was caught.
    pub fn passed(&self) -> bool {
        let all_caught = self
            .broken_variants
            .iter()
            .all(|variant| variant.caught.is_some());
        self.violation.is_none() && all_caught
    }
}
