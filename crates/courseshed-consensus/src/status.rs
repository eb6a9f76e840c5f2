//! A summary of a peer for operators and metrics.

use crate::{Configuration, LogIndex, ReplicaAddress, ReplicaId, RoleName, Term};

/// A summary of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica and its incarnation.
    pub address: ReplicaAddress,
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The leader, as far as known.
    pub leader: Option<ReplicaId>,
    /// The members in force.
    pub configuration: Configuration,
    /// The first entry in memory.
    pub first_index: LogIndex,
    /// The last entry.
    pub last_index: LogIndex,
    /// The last durable entry.
    pub stable_index: LogIndex,
    /// The last committed entry.
    pub commit_index: LogIndex,
    /// The last applied entry.
    pub applied_index: LogIndex,
    /// Index of the latest snapshot.
    pub snapshot_index: LogIndex,
    /// The followers as the leader sees them; empty on others.
    pub followers: Vec<FollowerStatus>,
}

/// A follower as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The follower.
    pub replica: ReplicaId,
    /// Up to where its durable log is known to equal the leader's.
    pub matched: LogIndex,
    /// Whether it is receiving a snapshot.
    pub snapshotting: bool,
}
