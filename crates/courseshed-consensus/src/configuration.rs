//! The members of a group, and the changes that may be made to them.
//!
//! Invariant: one change adds or removes at most one voter, so that every majority of the members
//! before it meets every majority of the members after it (Ongaro, "Consensus: Bridging Theory and
//! Practice", section 4.1). A replica that returns without its state therefore takes two changes:
//! its earlier incarnation stops voting, and later the new one starts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use crate::{ReplicaAddress, ReplicaId};

/// What a member takes part in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes, and counts towards commits.
    Voter,
    /// Receives the log; the leader makes it a voter once it has caught up.
    Joining,
    /// Receives the log, until it is promoted explicitly.
    Learner,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The life of the replica that was admitted; other lives don't count.
    pub incarnation: u64,
    /// What it takes part in.
    pub role: MemberRole,
}

/// A change of at most one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that receives the log without voting.
    AddLearner(ReplicaAddress),
    /// Adds a member that the leader makes a voter once it has caught up.
    AddVoter(ReplicaAddress),
    /// Lets a member vote that receives the log already.
    PromoteLearner(ReplicaId),
    /// Takes a member out.
    Remove(ReplicaId),
    /// Replaces a member by a later incarnation of it, which doesn't vote until promoted.
    Readmit(ReplicaAddress),
}

/// Why a membership change makes no sense for the present members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MembershipError {
    /// The replica is a member already.
    #[snafu(display("replica {replica} is a member already"))]
    AlreadyMember {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The replica is no member.
    #[snafu(display("replica {replica} is not a member"))]
    UnknownMember {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The replica votes already.
    #[snafu(display("replica {replica} is a voter already"))]
    AlreadyVoter {
        /// The replica in question.
        replica: ReplicaId,
    },
    /// The incarnation isn't later than the one that is a member.
    #[snafu(display("{address} is not a later incarnation of its replica"))]
    StaleIncarnation {
        /// The replica and incarnation in question.
        address: ReplicaAddress,
    },
    /// The group would be left without voters.
    #[snafu(display("replica {replica} is the only voter"))]
    LastVoter {
        /// The replica in question.
        replica: ReplicaId,
    },
}

/// The members of a group at one point of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Configuration {
    members: BTreeMap<ReplicaId, Member>,
}

impl Configuration {
    /// A group whose members all vote: the one to bootstrap with.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaAddress>) -> Self {
        let members = voters
            .into_iter()
            .map(|address| (address.replica, Member::voter(address.incarnation)))
            .collect();
        Self { members }
    }

    /// Number of members of any role.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members: the replica has not joined a group yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with this id, in whichever incarnation.
    #[must_use]
    pub fn member(&self, replica: ReplicaId) -> Option<Member> {
        self.members.get(&replica).copied()
    }

    /// All members, by id.
    pub fn members(&self) -> impl Iterator<Item = (ReplicaId, Member)> + '_ {
        self.members.iter().map(|(id, member)| (*id, *member))
    }

    /// The ids of the voters, ascending.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members()
            .filter(|(_, member)| member.role == MemberRole::Voter)
            .map(|(id, _)| id)
    }

    /// Whether this very incarnation is a member.
    #[must_use]
    pub fn contains(&self, address: ReplicaAddress) -> bool {
        self.member(address.replica)
            .is_some_and(|member| member.incarnation == address.incarnation)
    }

    /// Whether this very incarnation is a voter.
    #[must_use]
    pub fn is_voter(&self, address: ReplicaAddress) -> bool {
        self.member(address.replica)
            .is_some_and(|member| member == Member::voter(address.incarnation))
    }

    /// Number of voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The greatest value that a majority of the voters reaches; none without voters.
    pub fn quorum_value<T: Ord>(&self, value_of: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// The members after a change.
    ///
    /// # Errors
    /// [`MembershipError`] where the change makes no sense for these members.
    pub fn with(&self, change: MembershipChange) -> Result<Self, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(address) => next.add(address, MemberRole::Learner)?,
            MembershipChange::AddVoter(address) => next.add(address, MemberRole::Joining)?,
            MembershipChange::PromoteLearner(replica) => next.promote(replica)?,
            MembershipChange::Remove(replica) => next.remove(replica)?,
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
        let member = self
            .members
            .get_mut(&replica)
            .context(UnknownMemberSnafu { replica })?;
        ensure!(
            member.role != MemberRole::Voter,
            AlreadyVoterSnafu { replica }
        );
        member.role = MemberRole::Voter;
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
