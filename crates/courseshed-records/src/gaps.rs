//! Gaps in the chains of a replica: ancestors that it lacks of turns that it stores.
//!
//! Invariant: a gap lasts as long as a descendant of the missing turn is retained, so that the turn, once
//! it arrives, is retained as long as its descendants.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Age at which a gap is due for repair. A turn that arrives out of order closes the gap by itself.
pub const GAP_REPAIR_DELAY_MS: u64 = 1_000;
/// Delay after the first attempt to repair a gap. Doubles with each attempt.
const FIRST_RETRY_DELAY_MS: u64 = 1_000;
const MAX_RETRY_DELAY_MS: u64 = 16_000;

/// A turn that a replica lacks although it stores turns that continue it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingTurn {
    /// Id of the turn.
    pub id: String,
    /// Until when its descendants are retained, in Unix milliseconds.
    pub expires_ms: u64,
    /// Number of consecutive newer turns of the chain that were missing too and have arrived since.
    pub repaired_turns: u32,
}

/// What a replica knows of a missing turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap {
    pub expires_ms: u64,
    repaired_turns: u32,
    /// When the next attempt to repair the gap is due.
    due_ms: u64,
    retry_delay_ms: u64,
}

/// The gaps of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Gaps {
    by_missing_turn: BTreeMap<String, Gap>,
}

impl Gaps {
    /// Registers that a turn is missing whose descendants are retained until `expires_ms`.
    pub(crate) fn open(&mut self, id: &str, now_ms: u64, expires_ms: u64) {
        let gap = Gap {
            expires_ms,
            repaired_turns: 0,
            due_ms: now_ms + GAP_REPAIR_DELAY_MS,
            retry_delay_ms: FIRST_RETRY_DELAY_MS,
        };
        self.insert(id, gap);
    }

    /// Registers the gap that remains because a turn that closed one arrived without its predecessor.
    pub(crate) fn reopen(&mut self, id: &str, now_ms: u64, expires_ms: u64, closed: Gap) {
        let gap = Gap {
            expires_ms,
            repaired_turns: closed.repaired_turns.saturating_add(1),
            due_ms: now_ms,
            retry_delay_ms: FIRST_RETRY_DELAY_MS,
        };
        self.insert(id, gap);
    }

    fn insert(&mut self, id: &str, gap: Gap) {
        let expires_ms = gap.expires_ms;
        let known = self.by_missing_turn.entry(id.to_owned()).or_insert(gap);
        known.expires_ms = known.expires_ms.max(expires_ms);
    }

    /// Removes the gap of a turn that has arrived.
    pub(crate) fn close(&mut self, id: &str) -> Option<Gap> {
        self.by_missing_turn.remove(id)
    }

    /// Removes gaps whose descendants have expired.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.by_missing_turn
            .retain(|_, gap| gap.expires_ms > now_ms);
    }

    pub(crate) fn len(&self) -> usize {
        self.by_missing_turn.len()
    }

    /// Starts an attempt to repair the gaps that are due, and returns them. Those of the conversations that
    /// went on last come first.
    pub(crate) fn start_repairs(&mut self, now_ms: u64, limit: usize) -> Vec<MissingTurn> {
        let gaps = self.by_missing_turn.iter_mut();
        let is_due = |gap: &Gap| gap.due_ms <= now_ms && gap.expires_ms > now_ms;
        let mut due: Vec<_> = gaps.filter(|(_, gap)| is_due(gap)).collect();
        due.sort_by_key(|(_, gap)| Reverse(gap.expires_ms));
        due.truncate(limit);
        let started = due.into_iter().map(|(id, gap)| {
            gap.due_ms = now_ms + gap.retry_delay_ms;
            gap.retry_delay_ms = (gap.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
            MissingTurn {
                id: id.clone(),
                expires_ms: gap.expires_ms,
                repaired_turns: gap.repaired_turns,
            }
        });
        started.collect()
    }
}
