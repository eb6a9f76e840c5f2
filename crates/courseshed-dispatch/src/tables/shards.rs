//! Shards known to the dispatcher: their leaders and announcement state.

use std::collections::BTreeMap;

use courseshed_types::{NodeId, ShardId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShardEntry {
    pub(crate) leader: NodeId,
    pub(crate) term: u64,
    /// Announcement generation; calls named by the shard are tagged with it.
    pub(crate) generation: u64,
    /// Whether the shard has announced all its calls to this dispatcher.
    pub(crate) announced: bool,
    /// Number of announcement requests sent.
    pub(crate) announce_requests: u32,
}

/// Result of checking a message's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermCheck {
    /// From a replaced leader.
    Stale,
    /// From the current leader.
    Current,
    /// From a new shard or a new leader.
    New,
}

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

    /// Checks a message's term. A newer term replaces the leader and starts a new announcement.
    pub(crate) fn check_term(&mut self, shard: ShardId, leader: NodeId, term: u64) -> TermCheck {
        let Some(entry) = self.shards.get_mut(&shard) else {
            let entry = ShardEntry {
                leader,
                term,
                generation: 0,
                announced: false,
                announce_requests: 0,
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
        entry.announce_requests = 0;
        TermCheck::New
    }
}
