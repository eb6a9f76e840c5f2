//! Status of a peer for operators and metrics.

use std::time::Duration;

use crate::{Configuration, LogIndex, ReplicaAddress, ReplicaId, RoleName, Term};

/// The status of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica's ID and incarnation.
    pub address: ReplicaAddress,
    /// The current role.
    pub role: RoleName,
    /// The latest term it has seen.
    pub term: Term,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// The latest configuration in the log.
    pub configuration: Configuration,
    /// Index of the first entry in memory.
    pub first_index: LogIndex,
    /// Index of the last entry.
    pub last_index: LogIndex,
    /// Index of the last durable entry.
    pub stable_index: LogIndex,
    /// Index of the last entry known to be committed.
    pub commit_index: LogIndex,
    /// Index of the last applied entry.
    pub applied_index: LogIndex,
    /// Index of the latest snapshot.
    pub snapshot_index: LogIndex,
    /// Progress of the followers; empty unless this replica is the leader.
    pub followers: Vec<FollowerStatus>,
}

/// Replication progress of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The follower's ID.
    pub replica: ReplicaId,
    /// Last index up to which its durable log is known to match the leader's.
    pub matched: LogIndex,
    /// Whether it is receiving a snapshot.
    pub snapshotting: bool,
    /// When it last replied, by the leader's clock; at first the time of the election or of its admission.
    pub last_contact: Duration,
}
