//! What replicas of a group say to each other.
//!
//! Invariant: an answer can be matched to the request it is for by its term, and by the echoed
//! probe or candidate, so late, repeated and reordered copies are harmless.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Entry, GroupId, LogIndex, ReplicaAddress, ReplicaId, SnapshotMetadata, Term};

/// One message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The group both belong to.
    pub group: GroupId,
    /// The sender, with its incarnation: only an admitted incarnation counts.
    pub from: ReplicaAddress,
    /// The receiver, in whichever incarnation it lives now.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// What is said.
    pub body: MessageBody,
}

/// When and in which round a leader sent something. Echoed by the receiver, so that the leader
/// knows up to when it was the leader for certain.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Probe {
    /// Counts heartbeat rounds and read barriers of this leader.
    pub round: u64,
    /// The leader's own monotonic clock; means nothing to others.
    pub sent_at: Duration,
}

/// Where a candidate's log ends.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogEnd {
    /// Term of the last entry. Compared first.
    pub term: Term,
    /// Index of the last entry.
    pub index: LogIndex,
}

/// A follower's answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's durable log equals the leader's up to here.
    Accepted {
        /// The last index that is known to be equal.
        matched: LogIndex,
    },
    /// The follower lacks the entry before the appended ones.
    Rejected {
        /// The index that the leader asked about.
        previous: LogIndex,
        /// The last index at which the logs may still be equal.
        hint: LogIndex,
    },
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether an election in the next term could succeed. Changes nothing at the receiver.
    PreVoteRequest {
        /// The end of the asker's log.
        log_end: LogEnd,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// Who asked.
        candidate: ReplicaAddress,
        /// The term in which it asked.
        asked_in: Term,
        /// Whether the receiver would vote for it.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    VoteRequest {
        /// The end of the candidate's log.
        log_end: LogEnd,
        /// The leader asked for this election, so its lease doesn't stand against it.
        handover: bool,
    },
    /// Answers a vote request.
    VoteResponse {
        /// Who asked.
        candidate: ReplicaAddress,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Appends entries, or is a heartbeat when there are none.
    Append {
        /// Index of the entry before the appended ones.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// The entries, without gaps.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// To be echoed.
        probe: Probe,
    },
    /// Answers an append.
    AppendResponse {
        /// Whether the entries fitted.
        outcome: AppendOutcome,
        /// The append's probe.
        probe: Probe,
    },
    /// A piece of a snapshot.
    SnapshotChunk {
        /// Which snapshot.
        metadata: SnapshotMetadata,
        /// Where in its data this piece starts, in bytes.
        offset: u64,
        /// Size of all its data in bytes.
        total: u64,
        /// The piece.
        data: Bytes,
    },
    /// Answers a piece of a snapshot.
    SnapshotResponse {
        /// The last index of the snapshot.
        index: LogIndex,
        /// The offset from which the follower needs the rest; the total when it has all.
        next_offset: u64,
    },
    /// Asks the receiver to start an election at once, since the leader hands over to it.
    TimeoutNow,
}
