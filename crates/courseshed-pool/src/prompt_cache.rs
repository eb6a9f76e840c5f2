//! Model of one engine's prompt cache, derived from the calls that it was granted.
//!
//! Engines keep prompts and answers until they need the memory, and evict the least recently used
//! first. All calls of a pool pass its scheduler, so the order of use is known. A wrong estimate
//! only costs time, as the engine prefills the prompt again.

use std::collections::{BTreeMap, HashMap};

use courseshed_types::PromptPart;

/// Parts tracked for an engine of unknown memory size.
const MAX_PARTS: usize = 512;
/// Fraction of an engine's memory that is assumed to be usable for the cache, calls in progress
/// included.
const USABLE_FRACTION: f64 = 0.95;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

/// LRU model of the prompt parts that an engine has cached.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCache {
    /// Capacity in tokens; none if unknown.
    capacity: Option<u64>,
    parts: HashMap<u64, CachedPart>,
    /// Part ids by last use, least recent first.
    by_last_use: BTreeMap<u64, u64>,
    cached_tokens: u64,
    use_count: u64,
}

impl PromptCache {
    /// Sets the engine's memory size, in tokens.
    pub(crate) fn set_memory(&mut self, memory_tokens: Option<u64>) {
        self.capacity = memory_tokens.map(|tokens| (tokens as f64 * USABLE_FRACTION) as u64);
        self.evict();
    }

    /// Tokens of a prompt that the engine must prefill.
    pub(crate) fn uncached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let mut uncached: u32 = 0;
        let mut is_prefix_cached = true;
        for part in parts {
            let cached = self.parts.get(&part.id).filter(|_| is_prefix_cached);
            let cached = cached.map_or(0, |cached| cached.tokens.min(part.tokens));
            is_prefix_cached &= cached == part.tokens;
            uncached = uncached.saturating_add(part.tokens - cached);
        }
        uncached
    }

    /// Records the use of a prompt, extended by `generated` tokens after its last part.
    pub(crate) fn record_use(&mut self, parts: &[PromptPart], generated: u32) {
        let last = parts.len().saturating_sub(1);
        for (index, part) in parts.iter().enumerate() {
            let appended = if index == last { generated } else { 0 };
            self.record_part(part.id, part.tokens.saturating_add(appended));
        }
        self.evict();
    }

    fn record_part(&mut self, part: u64, tokens: u32) {
        self.use_count += 1;
        let last_use = self.use_count;
        let previous = self.parts.insert(part, CachedPart { tokens, last_use });
        if let Some(previous) = previous {
            self.by_last_use.remove(&previous.last_use);
            self.cached_tokens -= u64::from(previous.tokens);
        }
        self.by_last_use.insert(last_use, part);
        self.cached_tokens += u64::from(tokens);
    }

    fn evict(&mut self) {
        while self.is_over_capacity() {
            let Some((_, part)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some(evicted) = self.parts.remove(&part) {
                self.cached_tokens -= u64::from(evicted.tokens);
            }
        }
    }

    fn is_over_capacity(&self) -> bool {
        let is_full = self
            .capacity
            .is_some_and(|capacity| self.cached_tokens > capacity);
        is_full || (self.capacity.is_none() && self.parts.len() > MAX_PARTS)
    }
}
