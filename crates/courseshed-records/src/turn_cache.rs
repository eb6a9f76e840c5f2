//! Turns that were written or read lately, kept in memory up to a number of bytes.
//!
//! Two generations: a turn that is asked for moves to the younger one; when that is full it becomes the
//! older one, and what nobody asked for since goes. So turns of programs that go on stay, each look-up
//! takes the same short time, and memory never exceeds the bound by more than one turn.

use std::collections::HashMap;

use crate::{Location, Turn};

/// What an entry takes beside the turn's input and output, in bytes: its ids, and its places in the
/// table (worked out from the types' sizes).
const ENTRY_BYTES: usize = 256;

#[derive(Debug, Default)]
struct Generation {
    turns: HashMap<Location, Turn>,
    bytes: usize,
}

/// The cache of a store.
#[derive(Debug)]
pub(crate) struct TurnCache {
    most_bytes: usize,
    young: Generation,
    old: Generation,
}

impl TurnCache {
    /// An empty cache that takes `most_bytes` at the most.
    pub(crate) fn new(most_bytes: usize) -> Self {
        Self {
            most_bytes,
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Bytes that the cached turns take.
    pub(crate) fn bytes(&self) -> usize {
        self.young.bytes + self.old.bytes
    }

    /// A turn that stands at a place of the files, if it is cached.
    pub(crate) fn get(&mut self, location: Location) -> Option<Turn> {
        if let Some(turn) = self.young.turns.get(&location) {
            return Some(turn.clone());
        }
        let turn = self.old.turns.remove(&location)?;
        self.old.bytes -= size_of_entry(&turn);
        self.insert(location, turn.clone());
        Some(turn)
    }

    /// Caches a turn.
    pub(crate) fn insert(&mut self, location: Location, turn: Turn) {
        let size = size_of_entry(&turn);
        if self.young.bytes + size > self.most_bytes / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        if size <= self.most_bytes / 2 && self.young.turns.insert(location, turn).is_none() {
            self.young.bytes += size;
        }
    }
}

fn size_of_entry(turn: &Turn) -> usize {
    turn.input.len() + turn.output.len() + ENTRY_BYTES
}
