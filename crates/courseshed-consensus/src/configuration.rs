//! Group membership and membership changes.
//!
//! Invariant: a change adds or removes at most one voter, so that every majority before it overlaps
//! every majority after it (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
//! Readmitting a replica that lost its state therefore takes two changes: the old incarnation is
//! replaced by a non-voter, which is later promoted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use crate::{ReplicaAddress, ReplicaId};

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes in elections and counts towards the commit quorum.
    Voter,
    /// Receives the log; the leader promotes it to voter once it has caught up.
    Joining,
    /// Receives the log; becomes a voter only by explicit promotion, or as decided by a leader with
    /// [`crate::PeerConfig::voter_silence`].
    Learner,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The admitted incarnation; votes and acknowledgements of others are ignored.
    pub incarnation: u64,
    /// The member's role.
    pub role: MemberRole,
}

/// A membership change that affects at most one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(ReplicaAddress),
    /// Adds a member that the leader promotes to voter once it has caught up.
    AddVoter(ReplicaAddress),
    /// Promotes a non-voting member to voter.
    PromoteLearner(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
    /// Removes a voter in favor of a learner, which the leader promotes to voter once it has caught
    /// up. Both are one change, so that every later leader knows that the learner takes the place.
    Replace {
        /// The voter that is removed.
        voter: ReplicaId,
        /// The learner that takes its place.
        successor: ReplicaId,
    },
    /// Replaces a member with a later incarnation, which doesn't vote until promoted.
    Readmit(ReplicaAddress),
}

/// Errors of a membership change that is invalid for the current members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MembershipError {
    /// The replica is already a member.
    #[snafu(display("replica {replica} is already a member"))]
    AlreadyMember {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The replica is not a member.
    #[snafu(display("replica {replica} is not a member"))]
    UnknownMember {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The replica is already a voter.
    #[snafu(display("replica {replica} is already a voter"))]
    AlreadyVoter {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The incarnation is not later than the admitted one.
    #[snafu(display("{address} is not later than the admitted incarnation of the replica"))]
    StaleIncarnation {
        /// The replica and incarnation in question.
        address: ReplicaAddress,
    },
    /// The change would leave the group without voters.
    #[snafu(display("replica {replica} is the only voter of the group"))]
    LastVoter {
        /// The replica in question.
        replica: ReplicaId,
    },
}

/// The members of a group as of a log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Configuration {
    members: BTreeMap<ReplicaId, Member>,
}

impl Configuration {
    /// A configuration with only voters, for bootstrapping a group.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaAddress>) -> Self {
        let members = voters
            .into_iter()
            .map(|address| (address.replica, Member::voter(address.incarnation)))
            .collect();
        Self { members }
    }

    /// Number of members, including non-voters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members, as in a replica that has not joined its group yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with this ID, in any incarnation.
    #[must_use]
    pub fn member(&self, replica: ReplicaId) -> Option<Member> {
        self.members.get(&replica).copied()
    }

    /// All members in ascending order of their IDs.
    pub fn members(&self) -> impl Iterator<Item = (ReplicaId, Member)> + '_ {
        self.members.iter().map(|(id, member)| (*id, *member))
    }

    /// The IDs of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members()
            .filter(|(_, member)| member.role == MemberRole::Voter)
            .map(|(id, _)| id)
    }

    /// Whether this incarnation of the replica is a member.
    #[must_use]
    pub fn contains(&self, address: ReplicaAddress) -> bool {
        self.member(address.replica)
            .is_some_and(|member| member.incarnation == address.incarnation)
    }

    /// Whether this incarnation of the replica is a voter.
    #[must_use]
    pub fn is_voter(&self, address: ReplicaAddress) -> bool {
        self.member(address.replica)
            .is_some_and(|member| member == Member::voter(address.incarnation))
    }

    /// Number of voters in a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The greatest value reached by a majority of the voters; `None` without voters.
    pub fn quorum_value<T: Ord>(&self, value_of: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// The configuration after a change.
    ///
    /// # Errors
    /// [`MembershipError`] if the change is invalid for these members.
    pub fn with(&self, change: MembershipChange) -> Result<Self, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(address) => next.add(address, MemberRole::Learner)?,
            MembershipChange::AddVoter(address) => next.add(address, MemberRole::Joining)?,
            MembershipChange::PromoteLearner(replica) => next.promote(replica)?,
            MembershipChange::Remove(replica) => next.remove(replica)?,
            MembershipChange::Replace { voter, successor } => next.replace(voter, successor)?,
            MembershipChange::Readmit(address) => next.readmit(address)?,
        }
        Ok(next)
    }

    fn add(&mut self, address: ReplicaAddress, role: MemberRole) -> Result<(), MembershipError> {
        let replica = address.replica;
        let incarnation = address.incarnation;
        ensure!(
            !self.members.contains_key(&replica),
            AlreadyMemberSnafu { replica }
        );
        self.members.insert(replica, Member { incarnation, role });
        Ok(())
    }

    fn promote(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        self.set_role_of_non_voter(replica, MemberRole::Voter)
    }

    fn set_role_of_non_voter(
        &mut self,
        replica: ReplicaId,
        role: MemberRole,
    ) -> Result<(), MembershipError> {
        let member = self
            .members
            .get_mut(&replica)
            .context(UnknownMemberSnafu { replica })?;
        ensure!(
            member.role != MemberRole::Voter,
            AlreadyVoterSnafu { replica }
        );
        member.role = role;
        Ok(())
    }

    fn remove(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        ensure!(
            self.members.contains_key(&replica),
            UnknownMemberSnafu { replica }
        );
        self.ensure_other_voter(replica)?;
        self.members.remove(&replica);
        Ok(())
    }

    fn replace(&mut self, voter: ReplicaId, successor: ReplicaId) -> Result<(), MembershipError> {
        self.set_role_of_non_voter(successor, MemberRole::Joining)?;
        self.remove(voter)
    }

    fn readmit(&mut self, address: ReplicaAddress) -> Result<(), MembershipError> {
        let replica = address.replica;
        let member = self
            .member(replica)
            .context(UnknownMemberSnafu { replica })?;
        ensure!(
            member.incarnation < address.incarnation,
            StaleIncarnationSnafu { address }
        );
        self.ensure_other_voter(replica)?;
        let role = match member.role {
            MemberRole::Voter | MemberRole::Joining => MemberRole::Joining,
            MemberRole::Learner => MemberRole::Learner,
        };
        let incarnation = address.incarnation;
        self.members.insert(replica, Member { incarnation, role });
        Ok(())
    }

    fn ensure_other_voter(&self, replica: ReplicaId) -> Result<(), MembershipError> {
        ensure!(
            self.voters().any(|voter| voter != replica),
            LastVoterSnafu { replica }
        );
        Ok(())
    }
}

impl Member {
    fn voter(incarnation: u64) -> Self {
        Self {
            incarnation,
            role: MemberRole::Voter,
        }
    }
}
