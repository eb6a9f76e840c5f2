//! Why a replica refuses a request.

use snafu::Snafu;

use crate::{LogIndex, MembershipError, ReplicaId, Term};

/// Where a proposal stands in the log. Committed if an entry with this term is applied there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The leader's term.
    pub term: Term,
    /// The entry's index.
    pub index: LogIndex,
}

/// Why a proposal was not taken. Nothing was written to the log, so it is safe to retry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// The replica isn't the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// The leader, as far as known.
        leader: Option<ReplicaId>,
    },
    /// Too many entries are uncommitted: retry with backoff.
    #[snafu(display("{uncommitted} entries are uncommitted"))]
    Busy {
        /// Number of uncommitted entries.
        uncommitted: u64,
    },
    /// The leader is handing over: retry with the next leader.
    #[snafu(display("leadership is being handed over to replica {to}"))]
    TransferInProgress {
        /// The next leader.
        to: ReplicaId,
    },
    /// The proposal is larger than the settings allow.
    #[snafu(display("{size} bytes are more than the limit of {limit}"))]
    TooLarge {
        /// Size of the proposal in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The replica's storage failed; it takes part no more until it is reopened.
    #[snafu(display("the storage of this replica failed"))]
    StorageFailed,
}

/// Why a membership change was not taken. Nothing was written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The replica can't take proposals.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// Why not.
        source: ProposeError,
    },
    /// The change makes no sense for the present members.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// Why not.
        source: MembershipError,
    },
    /// An earlier change, or the leader's first entry, isn't committed yet.
    #[snafu(display("the change at index {pending} is not committed yet"))]
    Pending {
        /// The entry that must be committed first.
        pending: LogIndex,
    },
    /// Too few of the voters there would be are alive to commit the change or anything after it.
    #[snafu(display(
        "only {alive} of the {needed} voters needed after the change were heard lately"
    ))]
    InsufficientActiveVoters {
        /// Voters after the change that were heard within an election timeout.
        alive: usize,
        /// Voters that make a majority after the change.
        needed: usize,
    },
    /// The learner lacks too much of the log to vote.
    #[snafu(display("replica {replica} has the log up to {matched} of {last}"))]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// Up to where it has the log.
        matched: LogIndex,
        /// The last entry.
        last: LogIndex,
    },
}

/// Why leadership can't be handed over.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TransferError {
    /// The replica isn't the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NoLeadership {
        /// The leader, as far as known.
        leader: Option<ReplicaId>,
    },
    /// The target isn't another voter.
    #[snafu(display("replica {to} is not another voter of the group"))]
    NotAVoter {
        /// The target.
        to: ReplicaId,
    },
}
