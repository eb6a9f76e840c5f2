//! Membership changes, one at a time, and the readmission of replicas that lost their memory.
//!
//! Invariant: a change is proposed only when the one before it, and an entry of the leader's own
//! term, are committed (Ongaro's correction of 2015 to single-server changes).

use crate::progress::Feed;
use crate::{
    ChangeError, Configuration, EntryPayload, LogIndex, MemberRole, MembershipChange, ProposalId,
    ReplicaAddress, ReplicaId,
};

use super::{Defect, Peer};

impl Peer {
    /// Proposes a change of the members. It is in force as soon as it is in the log.
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
        self.check_alive(&next)?;
        let id = self.append_own(EntryPayload::Configuration(next));
        self.adopt_configuration(change);
        Ok(id)
    }

    /// The entry that must be committed before the members may change.
    fn pending_change(&self) -> Option<LogIndex> {
        if self.defect == Defect::ChangesAtOnce {
            return None;
        }
        let first = self.leader_state()?.first_index;
        let pending = first.max(self.log.configuration_index());
        (pending > self.log.committed()).then_some(pending)
    }

    /// Checks that a quorum of the next voters was heard lately.
    fn check_alive(&self, next: &Configuration) -> Result<(), ChangeError> {
        let is_alive = |voter: &ReplicaId| {
            let leader = self.leader_state();
            let follower = leader.and_then(|leader| leader.followers.get(voter));
            // Whoever is no follower yet is this replica itself.
            follower.is_none_or(|follower| self.is_recent(follower.last_heard))
        };
        let alive = next.voters().filter(is_alive).count();
        let needed = next.quorum();
        if alive >= needed {
            return Ok(());
        }
        Err(ChangeError::TooFewAlive { alive, needed })
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeError> {
        let last = self.log.last_index();
        let follower = self
            .leader_state()
            .and_then(|leader| leader.followers.get(&replica));
        let matched = follower.map_or(LogIndex(0), |progress| progress.matched);
        let is_replicating =
            follower.is_some_and(|progress| matches!(progress.feed, Feed::Replicating { .. }));
        let is_near = matched.0 + self.config.promotion_lag >= last.0;
        if is_replicating && is_near {
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

    /// Notes that a member is back in a later incarnation than the admitted one.
    pub(super) fn note_returned_member(&mut self, from: ReplicaAddress) {
        let member = self.configuration().member(from.replica);
        let is_later = member.is_some_and(|member| member.incarnation < from.incarnation);
        if !is_later || !self.config.readmit {
            return;
        }
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let noted = leader.returned.entry(from.replica).or_default();
        if *noted < from.incarnation {
            *noted = from.incarnation;
            self.drive_membership();
        }
    }

    /// Takes the next step of readmitting or promoting a member, if one is due.
    pub(super) fn drive_membership(&mut self) {
        if self.check_can_propose().is_err() || self.pending_change().is_some() {
            return;
        }
        if let Some(change) = self.due_readmission().or_else(|| self.due_promotion()) {
            let refused = self.propose_membership(change).is_err();
            if refused && let MembershipChange::Readmit(address) = change {
                self.forget_returned(address.replica);
            }
        }
    }

    fn due_readmission(&self) -> Option<MembershipChange> {
        let returned = self.leader_state()?.returned.iter().next();
        let address =
            |(id, incarnation): (&ReplicaId, &u64)| ReplicaAddress::new(*id, *incarnation);
        returned.map(address).map(MembershipChange::Readmit)
    }

    fn due_promotion(&self) -> Option<MembershipChange> {
        let joining = self
            .configuration()
            .members()
            .filter(|(_, member)| member.role == MemberRole::Joining);
        let ready = joining
            .map(|(id, _)| id)
            .find(|id| self.check_caught_up(*id).is_ok());
        ready.map(MembershipChange::PromoteLearner)
    }

    fn forget_returned(&mut self, replica: ReplicaId) {
        if let Some(leader) = self.leader_state_mut() {
            leader.returned.remove(&replica);
        }
    }
}
