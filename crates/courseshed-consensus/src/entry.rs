//! Persistent state of a replica: log entries, hard state and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Configuration, LogIndex, ReplicaAddress, Term};

/// Accounted size of an entry without its payload, and of a member in a configuration.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 24;

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No operation. Appended by a new leader, which can't commit entries of older terms directly.
    Noop,
    /// A state machine command, opaque to the log.
    Data(Bytes),
    /// A new configuration, in effect as soon as it is in the log.
    Configuration(Configuration),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// The payload.
    pub payload: EntryPayload,
}

impl Entry {
    /// Accounted size in bytes: the payload plus a fixed overhead.
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

/// Election state that must be durable before a replica sends messages that depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term the replica has seen.
    pub term: Term,
    /// The candidate that received the replica's vote in that term.
    pub vote: Option<ReplicaAddress>,
}

/// The position and configuration of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// Index of the last included entry.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Configuration as of that entry.
    pub configuration: Configuration,
}

/// The state machine's state as of an index, which replaces the log up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and configuration.
    pub metadata: SnapshotMetadata,
    /// The serialized state; empty at index 0.
    pub data: Bytes,
}

/// The state loaded from a storage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// The stored incarnation, if the storage records one.
    pub incarnation: Option<u64>,
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The stored commit index, which may lag behind the actual one.
    pub committed: LogIndex,
}

impl Restored {
    /// Whether the storage was empty, as for a new replica.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
}
