//! One fault of a settings text, in the shape an operator reads it.
//!
//! Invariant: a problem names the place, the key, the reason and a value that
//! would have been accepted, and prints as exactly one line.

use std::fmt;

/// A fault found in a settings file or a settings tree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line of the text the fault stands on, from 1; `None` where no line can be named.
    pub line: Option<u32>,
    /// The file, or the branch of the tree, that holds the key.
    pub path: String,
    /// The key with its groups, as in `limits.turns`; empty where no key is at fault.
    pub key: String,
    /// Why the value cannot be accepted.
    pub reason: String,
    /// A line that would be accepted; empty where none can be given.
    pub example: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.path)?;
        if let Some(line) = self.line {
            write!(formatter, " line {line}")?;
        }
        if !self.key.is_empty() {
            write!(formatter, ": {}", self.key)?;
        }
        write!(formatter, ": {}", one_line(&self.reason))?;
        if !self.example.is_empty() {
            write!(formatter, " (example: {})", one_line(&self.example))?;
        }
        Ok(())
    }
}

/// Joins the lines of a text, so that a fault stays on one line of a log.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The candidate closest to `name` in spelling, if one is close enough to be meant.
///
/// A candidate with groups, such as `limits.turns`, is compared by its last part.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    /// Similarity (Damerau-Levenshtein, normalized) below which a hint would mislead.
    const LEAST_SIMILARITY: f64 = 0.5;
    candidates
        .into_iter()
        .map(|candidate| {
            let last = candidate.rsplit('.').next().unwrap_or(candidate);
            let similarity = strsim::normalized_damerau_levenshtein(name, last);
            (similarity, candidate)
        })
        .filter(|(similarity, _)| *similarity >= LEAST_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
