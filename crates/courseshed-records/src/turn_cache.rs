//! Size-bounded in-memory cache of recently written or read turns.
//!
//! Two generations approximate LRU eviction: a hit promotes a turn to the young generation. When
//! that is full, it becomes the old generation, and the previous old generation is dropped. Each
//! operation takes constant time.

use std::collections::HashMap;

use crate::{Location, Turn};

/// Overhead of an entry beyond the turn's input and output: its ids and its share of the table.
const ENTRY_OVERHEAD_BYTES: usize = 256;

#[derive(Debug, Default)]
struct Generation {
    turns: HashMap<Location, Turn>,
    bytes: usize,
}

#[derive(Debug)]
pub(crate) struct TurnCache {
    max_bytes: usize,
    young: Generation,
    old: Generation,
}

impl TurnCache {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Size of the cached turns in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.young.bytes + self.old.bytes
    }

    /// The cached turn of a location.
    pub(crate) fn get(&mut self, location: Location) -> Option<Turn> {
        if let Some(turn) = self.young.turns.get(&location) {
            return Some(turn.clone());
        }
        let turn = self.old.turns.remove(&location)?;
        self.old.bytes -= entry_bytes(&turn);
        self.insert(location, turn.clone());
        Some(turn)
    }

    pub(crate) fn insert(&mut self, location: Location, turn: Turn) {
        let size = entry_bytes(&turn);
        if self.young.bytes + size > self.max_bytes / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        if size <= self.max_bytes / 2 && self.young.turns.insert(location, turn).is_none() {
            self.young.bytes += size;
        }
    }
}

fn entry_bytes(turn: &Turn) -> usize {
    turn.content_bytes() + ENTRY_OVERHEAD_BYTES
}
