//! Routing hints: which servers have the prompts of a program cached.
//!
//! Hints are held in memory only, for recent programs, and are lost on restart. Without a hint a
//! server recomputes the prompt, which costs time but does not affect correctness.

use std::collections::{HashMap, VecDeque};

use courseshed_types::CachedPrompt;

/// Conversations remembered per program: its main one and those of its sub-agents.
const MAX_CONVERSATIONS: usize = 4;
/// Lifetime of a hint. Under load, servers evict cached prompts within seconds.
const HINT_TTL_MS: u64 = 30_000;
/// Number of programs beyond which the oldest are evicted.
const MAX_PROGRAMS: usize = 20_000;

#[derive(Clone, Debug, Default)]
struct ProgramHints {
    conversations: VecDeque<CachedPrompt>,
    updated_ms: u64,
}

/// The prompt cache hints of a store.
#[derive(Clone, Debug, Default)]
pub struct PromptHints {
    programs: HashMap<String, ProgramHints>,
}

impl PromptHints {
    /// Records what a server has cached after it answered a call of a program.
    pub fn record(&mut self, now_ms: u64, program: &str, cached: CachedPrompt) {
        let Some(conversation) = cached.parts.last().map(|part| part.id) else {
            return;
        };
        let hints = self.programs.entry(program.to_owned()).or_default();
        hints.updated_ms = now_ms;
        hints
            .conversations
            .retain(|hint| hint.parts.last().is_none_or(|part| part.id != conversation));
        hints.conversations.push_back(cached);
        if hints.conversations.len() > MAX_CONVERSATIONS {
            hints.conversations.pop_front();
        }
    }

    /// The cached prompts of a program, the newest last.
    #[must_use]
    pub fn of(&self, program: &str) -> Vec<CachedPrompt> {
        let hints = self.programs.get(program);
        hints.map_or_else(Vec::new, |hints| {
            hints.conversations.iter().cloned().collect()
        })
    }

    /// Number of programs with hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether there are no hints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Removes expired hints, and the oldest ones while there are too many.
    pub fn expire(&mut self, now_ms: u64) {
        let mut ttl_ms = HINT_TTL_MS;
        loop {
            self.programs
                .retain(|_, hints| now_ms.saturating_sub(hints.updated_ms) < ttl_ms);
            if self.programs.len() <= MAX_PROGRAMS {
                return;
            }
            ttl_ms /= 2;
        }
    }
}
