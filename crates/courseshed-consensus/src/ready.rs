//! Work that a peer hands to its driver, and the driver's report of its completion.
//!
//! The driver must work in this order: send `messages`, make `install`, `hard_state` and `entries` durable, then send
//! `messages_after_persist`, apply `committed`, and call `advance`.

use crate::{Entry, HardState, LogIndex, Message, ReplicaId, Snapshot, Term};

/// Work for the driver of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages that may be sent before anything is persisted.
    pub messages: Vec<Message>,
    /// A snapshot from the leader, which replaces the log and the state machine's state.
    pub install: Option<Snapshot>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to persist. They replace all entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// Messages to send after all of the above is durable.
    pub messages_after_persist: Vec<Message>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Confirmed reads, to be served once their index is applied.
    pub reads: Vec<ReadReady>,
    /// The new role, leader and term, if any of them changed.
    pub role_change: Option<RoleChange>,
}

impl Ready {
    /// Whether anything must be persisted.
    #[must_use]
    pub fn must_persist(&self) -> bool {
        self.install.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// The report to pass to `Peer::advance` when all of this is done.
    #[must_use]
    pub fn persisted(&self) -> Persisted {
        Persisted {
            hard_state: self.hard_state,
            entry: self.entries.last().map(|entry| (entry.index, entry.term)),
            installed: self
                .install
                .as_ref()
                .map(|snapshot| snapshot.metadata.index),
            applied: self.committed.last().map(|entry| entry.index),
        }
    }
}

/// Report that the work of a [`Ready`] is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Persisted {
    /// The persisted hard state.
    pub hard_state: Option<HardState>,
    /// Index and term of the last persisted entry.
    pub entry: Option<(LogIndex, Term)>,
    /// Index of the installed snapshot.
    pub installed: Option<LogIndex>,
    /// Index of the last applied entry.
    pub applied: Option<LogIndex>,
}

/// Identifies a read barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// A confirmed read barrier: the replica was still the leader after the read was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadReady {
    /// ID of the barrier.
    pub id: ReadId,
    /// The index that must be applied before the read.
    pub index: LogIndex,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleName {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends to the log and replicates it.
    Leader,
}

/// A change of the replica's role, its leader or its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoleChange {
    /// The new role.
    pub role: RoleName,
    /// The new term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<ReplicaId>,
}
