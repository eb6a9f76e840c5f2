//! Prompts as the choice of a server sees them: named parts, and who has read them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Names one life of a server in few bytes: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u32);

impl ServerKey {
    /// The key of a server's id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// A part of a prompt, in the order in which servers read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Names the part; the same one may begin other prompts, too.
    pub id: u64,
    /// How many tokens it has now.
    pub tokens: u32,
}

/// What a server held of a prompt when its answer was whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrompt {
    /// The server.
    pub server: ServerKey,
    /// The parts it had read, the last one with what it generated behind it.
    pub parts: Vec<PromptPart>,
}

impl CachedPrompt {
    /// What a server holds that read all parts and generated so many tokens.
    #[must_use]
    pub fn after_answer(server: ServerKey, parts: &[PromptPart], generated: u32) -> Self {
        let mut parts = parts.to_vec();
        if let Some(last) = parts.last_mut() {
            last.tokens = last.tokens.saturating_add(generated);
        }
        Self { server, parts }
    }
}
