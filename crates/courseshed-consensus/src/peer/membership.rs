//! Single-server membership changes, and readmission of replicas that lost their state.
//!
//! Invariant: a change is proposed only when the previous change and an entry of the leader's own
//! term are committed (Ongaro's 2015 correction to single-server changes).

use crate::progress::ReplicationState;
use crate::{
    ChangeError, Configuration, EntryPayload, LogIndex, MemberRole, MembershipChange, ProposalId,
    ReplicaAddress, ReplicaId,
};

use super::{Defect, Peer};

impl Peer {
    /// Proposes a membership change. It takes effect as soon as it is in the log.
    ///
    /// # Errors
    /// [`ChangeError`]: nothing was written.
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<ProposalId, ChangeError> {
        self.check_can_propose()?;
        if let Some(pending) = self.pending_change() {
            return Err(ChangeError::Pending { pending });
        }
        let next = self.configuration().with(change)?;
        if let MembershipChange::PromoteLearner(replica) = change {
            self.check_caught_up(replica)?;
        }
        self.check_quorum_active(&next)?;
        let id = self.append_to_own_log(EntryPayload::Configuration(next));
        self.adopt_configuration(change);
        Ok(id)
    }

    /// Admits a replica that asks to join, and returns the change that was proposed; none if it is a
    /// member already. A new one joins as a learner if the leader decides when learners become voters.
    ///
    /// # Errors
    /// [`ChangeError`]: nothing was written.
    pub fn admit(
        &mut self,
        address: ReplicaAddress,
    ) -> Result<Option<MembershipChange>, ChangeError> {
        let change = match self.configuration().member(address.replica) {
            Some(member) if member.incarnation >= address.incarnation => {
                self.check_can_propose()?;
                return Ok(None);
            }
            Some(_) => MembershipChange::Readmit(address),
            None if self.config.voter_silence.is_some() => MembershipChange::AddLearner(address),
            None => MembershipChange::AddVoter(address),
        };
        self.propose_membership(change)?;
        Ok(Some(change))
    }

    /// Index of the uncommitted entry that blocks membership changes, if any.
    fn pending_change(&self) -> Option<LogIndex> {
        if self.defect == Defect::ChangesAtOnce {
            return None;
        }
        let first = self.leader_state()?.first_index;
        let pending = first.max(self.log.configuration_index());
        (pending > self.log.committed()).then_some(pending)
    }

    /// Checks that a quorum of the new voters was in contact within the election timeout.
    fn check_quorum_active(&self, next: &Configuration) -> Result<(), ChangeError> {
        let is_active = |voter: &ReplicaId| {
            let leader = self.leader_state();
            let follower = leader.and_then(|leader| leader.followers.get(voter));
            // Only this replica itself has no follower progress.
            follower.is_none_or(|follower| self.is_within_election_timeout(follower.last_contact))
        };
        let active = next.voters().filter(is_active).count();
        let required = next.quorum();
        if active >= required {
            return Ok(());
        }
        Err(ChangeError::InsufficientActiveVoters { active, required })
    }

    pub(super) fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeError> {
        let last = self.log.last_index();
        let follower = self
            .leader_state()
            .and_then(|leader| leader.followers.get(&replica));
        let matched = follower.map_or(LogIndex(0), |progress| progress.matched);
        let is_replicating = follower
            .is_some_and(|progress| matches!(progress.state, ReplicationState::Replicating { .. }));
        let is_within_promotion_lag = matched.0 + self.config.promotion_lag >= last.0;
        if is_replicating && is_within_promotion_lag {
            return Ok(());
        }
        Err(ChangeError::NotCaughtUp {
            replica,
            matched,
            last,
        })
    }

    fn adopt_configuration(&mut self, change: MembershipChange) {
        let own = self.config.id;
        let now = self.now;
        let last_index = self.log.last_index();
        let configuration = self.log.configuration().clone();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if let MembershipChange::Readmit(address) = change {
            leader.followers.remove(&address.replica);
            leader.returned.remove(&address.replica);
        }
        leader.sync_followers(own, &configuration, last_index, now);
    }

    /// Records a member that returned in a later incarnation than the admitted one.
    pub(super) fn record_returned_member(&mut self, from: ReplicaAddress) {
        let member = self.configuration().member(from.replica);
        let is_later = member.is_some_and(|member| member.incarnation < from.incarnation);
        if !is_later || !self.config.readmit {
            return;
        }
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let recorded = leader.returned.entry(from.replica).or_default();
        if *recorded < from.incarnation {
            *recorded = from.incarnation;
            self.advance_membership();
        }
    }

    /// Proposes the next pending readmission or promotion, if any.
    pub(super) fn advance_membership(&mut self) {
        if self.check_can_propose().is_err() || self.pending_change().is_some() {
            return;
        }
        let change = self
            .next_readmission()
            .or_else(|| self.next_promotion())
            .or_else(|| self.next_replacement());
        if let Some(change) = change {
            let refused = self.propose_membership(change).is_err();
            if refused && let MembershipChange::Readmit(address) = change {
                self.remove_returned(address.replica);
            }
        }
    }

    fn next_readmission(&self) -> Option<MembershipChange> {
        let returned = self.leader_state()?.returned.iter().next();
        let address =
            |(id, incarnation): (&ReplicaId, &u64)| ReplicaAddress::new(*id, *incarnation);
        returned.map(address).map(MembershipChange::Readmit)
    }

    fn next_promotion(&self) -> Option<MembershipChange> {
        let joining = self
            .configuration()
            .members()
            .filter(|(_, member)| member.role == MemberRole::Joining);
        let ready = joining
            .map(|(id, _)| id)
            .find(|id| self.check_caught_up(*id).is_ok());
        ready.map(MembershipChange::PromoteLearner)
    }

    fn remove_returned(&mut self, replica: ReplicaId) {
        if let Some(leader) = self.leader_state_mut() {
            leader.returned.remove(&replica);
        }
    }
}
