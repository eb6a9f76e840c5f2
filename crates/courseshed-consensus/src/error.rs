//! Errors of requests to a replica.

use snafu::Snafu;

use crate::{LogIndex, MembershipError, ReplicaId, Term};

/// The log position of a proposal. It is committed if the entry applied at this index has this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The leader's term.
    pub term: Term,
    /// The entry's index.
    pub index: LogIndex,
}

/// Errors of a proposal. Nothing was written to the log, so it is safe to retry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// The replica is not the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Too many entries are uncommitted; retry with backoff.
    #[snafu(display("too many uncommitted entries: {uncommitted}"))]
    Busy {
        /// Number of uncommitted entries.
        uncommitted: u64,
    },
    /// A leadership transfer is in progress; retry with the new leader.
    #[snafu(display("leadership is being transferred to replica {to}"))]
    TransferInProgress {
        /// The target of the transfer.
        to: ReplicaId,
    },
    /// The proposal exceeds the configured size limit.
    #[snafu(display("proposal of {size} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Size of the proposal in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The replica has stopped, usually after a storage failure, and must be reopened.
    #[snafu(display("the storage of this replica failed; it must be reopened"))]
    StorageFailed,
}

/// Errors of a membership change. Nothing was written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The replica can't accept proposals.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// The cause.
        source: ProposeError,
    },
    /// The change is invalid for the current members.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// The cause.
        source: MembershipError,
    },
    /// An earlier change or the leader's first entry is not committed yet.
    #[snafu(display(
        "the entry at index {pending} must be committed before another membership change"
    ))]
    Pending {
        /// Index of the entry that must be committed first.
        pending: LogIndex,
    },
    /// Too few of the new voters are active to commit the change.
    #[snafu(display(
        "only {active} of the {required} voters required after the change were in contact within the election timeout"
    ))]
    InsufficientActiveVoters {
        /// New voters in contact within the election timeout.
        active: usize,
        /// Quorum after the change.
        required: usize,
    },
    /// The learner lags too far behind to be promoted.
    #[snafu(display(
        "replica {replica} has not caught up: matched index {matched}, last index {last}"
    ))]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// Last index known to match the leader's log.
        matched: LogIndex,
        /// Last index of the leader's log.
        last: LogIndex,
    },
}

/// Errors of a leadership transfer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TransferError {
    /// The replica is not the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NoLeadership {
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The target is not another voter.
    #[snafu(display("replica {to} is not another voter of the group"))]
    NotAVoter {
        /// The target.
        to: ReplicaId,
    },
}
