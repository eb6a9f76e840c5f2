//! Messages between the replicas of a group.
//!
//! Invariant: a response is matched to its request by its term and the echoed probe or candidate, so
//! that late, duplicate and reordered messages are harmless.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Entry, GroupId, LogIndex, ReplicaAddress, ReplicaId, SnapshotMetadata, Term};

/// One message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The group of both replicas.
    pub group: GroupId,
    /// The sender and its incarnation.
    pub from: ReplicaAddress,
    /// The receiver, in any incarnation.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// Round and send time of a leader's append. Echoed by followers to renew the leader's lease and to
/// confirm reads.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Probe {
    /// Number of the leader's heartbeat or read barrier round.
    pub round: u64,
    /// Send time by the leader's monotonic clock; not comparable between replicas.
    pub sent_at: Duration,
}

/// Term and index of the last entry of a log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogEnd {
    /// Term of the last entry. Compared first.
    pub term: Term,
    /// Index of the last entry.
    pub index: LogIndex,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's durable log matches the leader's up to `matched`.
    Accepted {
        /// The last index known to match.
        matched: LogIndex,
    },
    /// The follower's log has no matching entry before the appended ones.
    Rejected {
        /// The `previous_index` of the append.
        previous: LogIndex,
        /// The last index at which the logs may match.
        hint: LogIndex,
    },
}

/// The content of a message.
///
/// Fields that were added are last in their variant and skipped while they have their default, since
/// `courseshed-node` encodes fields by position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote in the next term. Doesn't change its state, unless
    /// `after_restart` is set: then a receiver without a leader may enter the sender's term.
    PreVoteRequest {
        /// The end of the sender's log.
        log_end: LogEnd,
        /// The sender has restarted, and also asks whether the receiver is leaderless.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        after_restart: bool,
    },
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// The candidate that sent the request.
        candidate: ReplicaAddress,
        /// The term of the request.
        asked_in: Term,
        /// Whether the vote would be granted.
        granted: bool,
        /// In the term of the request, the sender is neither leader nor candidate.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        leaderless: bool,
    },
    /// Requests a vote in the message's term.
    VoteRequest {
        /// The end of the candidate's log.
        log_end: LogEnd,
        /// The election is part of a leadership transfer, or all voters stated that they are
        /// leaderless, so an earlier leader's lease doesn't prevent it.
        handover: bool,
    },
    /// Response to a vote request.
    VoteResponse {
        /// The candidate that sent the request.
        candidate: ReplicaAddress,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Index of the entry before the appended ones.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Contiguous entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Echoed in the response.
        probe: Probe,
    },
    /// Response to an append.
    AppendResponse {
        /// Whether the entries were accepted.
        outcome: AppendOutcome,
        /// The probe of the append.
        probe: Probe,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Metadata of the snapshot.
        metadata: SnapshotMetadata,
        /// Offset of the chunk in the snapshot data, in bytes.
        offset: u64,
        /// Total size of the snapshot data in bytes.
        total: u64,
        /// The chunk's data.
        data: Bytes,
    },
    /// Response to a snapshot chunk.
    SnapshotResponse {
        /// The last index of the snapshot.
        index: LogIndex,
        /// Offset of the next chunk needed; the total size if the snapshot is complete.
        next_offset: u64,
    },
    /// Tells the target of a leadership transfer to start an election immediately.
    TimeoutNow,
}
