//! The shards that speak to the dispatcher: who leads each, and which of its calls it has announced.

use std::collections::BTreeMap;

use courseshed_types::{NodeId, ShardId};

/// A shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShardEntry {
    pub(crate) leader: NodeId,
    pub(crate) term: u64,
    /// Counts announcements; calls named since the last one carry it.
    pub(crate) generation: u64,
    /// Whether the shard has announced all its calls to this dispatcher.
    pub(crate) announced: bool,
    /// How often it was asked to.
    pub(crate) times_asked: u32,
}

/// What became of a message's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermCheck {
    /// From a leader that was replaced.
    Stale,
    /// From the leader known.
    Current,
    /// From a shard or leader heard for the first time.
    New,
}

/// All shards that have spoken.
#[derive(Debug, Default)]
pub(crate) struct ShardTable {
    shards: BTreeMap<ShardId, ShardEntry>,
}

impl ShardTable {
    pub(crate) fn get(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(&shard)
    }

    pub(crate) fn get_mut(&mut self, shard: ShardId) -> Option<&mut ShardEntry> {
        self.shards.get_mut(&shard)
    }

    /// Checks a message's term; a newer one replaces the leader and starts a new announcement.
    pub(crate) fn check(&mut self, shard: ShardId, leader: NodeId, term: u64) -> TermCheck {
        let Some(entry) = self.shards.get_mut(&shard) else {
            let entry = ShardEntry {
                leader,
                term,
                generation: 0,
                announced: false,
                times_asked: 0,
            };
            self.shards.insert(shard, entry);
            return TermCheck::New;
        };
        if term < entry.term {
            return TermCheck::Stale;
        }
        if term == entry.term {
            return TermCheck::Current;
        }
        entry.leader = leader;
        entry.term = term;
        entry.generation += 1;
        entry.announced = false;
        entry.times_asked = 0;
        TermCheck::New
    }
}
