//! Token counts, and the one rule by which text is turned into an estimate of tokens.
//!
//! courseshed has no tokenizer of its own: it estimates before a call and is corrected by the usage the engine
//! reports after it.

use std::{fmt, iter::Sum};

use serde::{Deserialize, Serialize};

use crate::chat::ChatMessage;

/// UTF-8 bytes that count as one token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens a message costs beyond its text (role and separators).
pub const TOKENS_PER_MESSAGE: u64 = 4;

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// The sum, stopping at the largest count.
    pub fn saturating_add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }

    /// The difference, stopping at zero.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(counts: I) -> Tokens {
        counts.fold(Tokens::ZERO, Tokens::saturating_add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The estimated tokens of a text.
pub fn estimate_text(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// The estimated tokens of one message.
pub fn estimate_message(message: &ChatMessage) -> Tokens {
    let text = message.canonical_text();
    Tokens(estimate_text(&text).0 + TOKENS_PER_MESSAGE)
}

/// The estimated prompt tokens of a list of messages.
pub fn estimate_messages(messages: &[ChatMessage]) -> Tokens {
    messages.iter().map(estimate_message).sum()
}
