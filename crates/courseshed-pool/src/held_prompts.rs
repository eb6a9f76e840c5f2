//! What one engine holds of prompts, followed from the calls that it was given.
//!
//! An engine keeps what it read and made until it needs the room; what was unused for longest gives way. All calls
//! of a pool go through its scheduler, so following them in order tells what is still there. A wrong guess costs
//! time only: the engine reads again.

use std::collections::{BTreeMap, HashMap};

use courseshed_types::PromptPart;

/// Parts followed of an engine whose memory isn't known: some 8 calls at once with the parts of the hundred before.
const MOST_PARTS: usize = 512;
/// The part of its memory that an engine is taken to have for what it keeps; calls under way are among it.
const USABLE: f64 = 0.95;

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: u32,
    used: u64,
}

/// The parts that an engine holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldPrompts {
    /// Tokens that fit; none if that isn't known.
    capacity: Option<u64>,
    parts: HashMap<u64, HeldPart>,
    /// Parts by their last use, the oldest first.
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl HeldPrompts {
    /// Sets how many tokens the engine's memory holds.
    pub(crate) fn set_memory(&mut self, memory_tokens: Option<u64>) {
        self.capacity = memory_tokens.map(|tokens| (tokens as f64 * USABLE) as u64);
        self.give_way();
    }

    /// How many tokens of a prompt the engine has still to read.
    pub(crate) fn unread_tokens(&self, parts: &[PromptPart]) -> u32 {
        let mut unread: u32 = 0;
        let mut is_prefix_held = true;
        for part in parts {
            let held = self.parts.get(&part.id).filter(|_| is_prefix_held);
            let held = held.map_or(0, |held| held.tokens.min(part.tokens));
            is_prefix_held &= held == part.tokens;
            unread = unread.saturating_add(part.tokens - held);
        }
        unread
    }

    /// Notes that the engine reads a prompt, or has made so many tokens behind its last part.
    pub(crate) fn note_used(&mut self, parts: &[PromptPart], generated: u32) {
        let last = parts.len().saturating_sub(1);
        for (place, part) in parts.iter().enumerate() {
            let made = if place == last { generated } else { 0 };
            self.note_part(part.id, part.tokens.saturating_add(made));
        }
        self.give_way();
    }

    fn note_part(&mut self, part: u64, tokens: u32) {
        self.uses += 1;
        let used = self.uses;
        let before = self.parts.insert(part, HeldPart { tokens, used });
        if let Some(before) = before {
            self.by_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(used, part);
        self.tokens += u64::from(tokens);
    }

    fn give_way(&mut self) {
        while self.is_over() {
            let Some((_, part)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(gone) = self.parts.remove(&part) {
                self.tokens -= u64::from(gone.tokens);
            }
        }
    }

    fn is_over(&self) -> bool {
        let is_full = self.capacity.is_some_and(|capacity| self.tokens > capacity);
        is_full || (self.capacity.is_none() && self.parts.len() > MOST_PARTS)
    }
}
