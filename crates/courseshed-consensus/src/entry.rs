//! What a replica keeps: log entries, the hard state of elections, and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Configuration, LogIndex, ReplicaAddress, Term};

/// Bytes that an entry is taken to need besides its payload, when batches are measured.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 24;

/// What an entry asks the group to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing. A new leader commits one first, since it may not count replicas of older terms.
    Noop,
    /// A command of the state machine, opaque to the log.
    Data(Bytes),
    /// The members from this entry on. In force as soon as it is in the log.
    Configuration(Configuration),
}

/// One position of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
    /// What it asks for.
    pub payload: EntryPayload,
}

impl Entry {
    /// The bytes this entry counts for in a batch.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Data(data) => data.len(),
            EntryPayload::Configuration(configuration) => {
                configuration.len() * ENTRY_OVERHEAD_BYTES
            }
        };
        payload + ENTRY_OVERHEAD_BYTES
    }
}

/// What must be durable before a replica answers in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term the replica has seen.
    pub term: Term,
    /// The candidate it voted for in that term.
    pub vote: Option<ReplicaAddress>,
}

/// The state that a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The last entry included.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub configuration: Configuration,
}

/// The state machine's content as of an index, which replaces the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// What it stands for.
    pub metadata: SnapshotMetadata,
    /// The state machine's content; empty at index 0.
    pub data: Bytes,
}

/// What a storage held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// The incarnation this storage belongs to, where it keeps one.
    pub incarnation: Option<u64>,
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// An entry up to which all are known to be committed; later ones may be, too.
    pub committed: LogIndex,
}

impl Restored {
    /// Whether the storage held nothing: a replica that never took part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
}
