//! What a peer wants done, and what it is told once that is done.
//!
//! The order matters: send `messages`, make `install`, `hard_state` and `entries` durable, then send
//! `messages_after_persist`, apply `committed`, and call `advance`.

use crate::{Entry, HardState, LogIndex, Message, ReplicaId, Snapshot, Term};

/// Work for the driver of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages that promise nothing about this replica's disk: send them before writing.
    pub messages: Vec<Message>,
    /// A snapshot from the leader, which replaces the whole log and the state machine.
    pub install: Option<Snapshot>,
    /// Term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// Entries to make durable. They replace everything from the first one's index on.
    pub entries: Vec<Entry>,
    /// Messages to send only when all of the above is durable.
    pub messages_after_persist: Vec<Message>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the state machine has applied their index.
    pub reads: Vec<ReadReady>,
    /// The new role, when it changed.
    pub role_change: Option<RoleChange>,
}

impl Ready {
    /// Whether something must reach the disk.
    #[must_use]
    pub fn must_persist(&self) -> bool {
        self.install.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// What to tell the peer when all of this is done.
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
    /// The hard state that is durable now.
    pub hard_state: Option<HardState>,
    /// The last durable entry with its term.
    pub entry: Option<(LogIndex, Term)>,
    /// The index of the snapshot that was installed.
    pub installed: Option<LogIndex>,
    /// The last applied entry.
    pub applied: Option<LogIndex>,
}

/// Names a read barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// A confirmed read barrier: the replica was the leader after the read was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadReady {
    /// Which barrier.
    pub id: ReadId,
    /// The index that must be applied before the read.
    pub index: LogIndex,
}

/// The part a replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleName {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// A change of the replica's role, its leader or its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoleChange {
    /// The role now.
    pub role: RoleName,
    /// The term now.
    pub term: Term,
    /// The leader, as far as known.
    pub leader: Option<ReplicaId>,
}
