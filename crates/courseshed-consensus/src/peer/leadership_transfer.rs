//! Transferring leadership to another voter, and stepping down when the local storage fails.

use std::time::Duration;

use crate::{LogIndex, MessageBody, ReplicaId, TransferError};

use super::Peer;
use super::election::ElectionKind;

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeadershipTransfer {
    pub(super) to: ReplicaId,
    /// When the transfer is aborted and proposals are accepted again.
    pub(super) deadline: Duration,
    timeout_now_sent: bool,
}

impl Peer {
    /// Transfers leadership to another voter once its log is complete. Proposals are rejected
    /// meanwhile, for at most an election timeout.
    ///
    /// # Errors
    /// [`TransferError`] if this replica is not the leader, or the target is not another voter.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        let leader = self.leader;
        let deadline = self.now + self.config.election_timeout;
        let is_target = to != self.config.id && self.configuration().voters().any(|id| id == to);
        let Some(state) = self.leader_state_mut() else {
            return Err(TransferError::NoLeadership { leader });
        };
        if !is_target {
            return Err(TransferError::NotAVoter { to });
        }
        state.transfer = Some(LeadershipTransfer {
            to,
            deadline,
            timeout_now_sent: false,
        });
        self.advance_transfer();
        Ok(())
    }

    /// Sends `TimeoutNow` to the target once its log is complete.
    pub(super) fn advance_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let target = leader.followers.get(&transfer.to);
        let is_caught_up = target.is_some_and(|progress| progress.matched >= last_index);
        if transfer.timeout_now_sent || !is_caught_up {
            return;
        }
        transfer.timeout_now_sent = true;
        leader.lease_revoked = true;
        let to = transfer.to;
        self.send(to, MessageBody::TimeoutNow);
    }

    pub(super) fn expire_transfer(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if leader
            .transfer
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            leader.transfer = None;
        }
    }

    /// Steps down immediately, for example after a storage failure, and asks the voter with the most
    /// up-to-date log to start an election. Does nothing if this replica is not the leader.
    pub fn step_down(&mut self) {
        if !self.is_leader() {
            return;
        }
        let successor = self.most_up_to_date_voter();
        self.become_follower(self.hard_state.term, None);
        if let Some(to) = successor {
            self.send(to, MessageBody::TimeoutNow);
        }
    }

    fn most_up_to_date_voter(&self) -> Option<ReplicaId> {
        let leader = self.leader_state()?;
        let others = self
            .configuration()
            .voters()
            .filter(|id| *id != self.config.id);
        let matched = |id: &ReplicaId| -> LogIndex {
            leader
                .followers
                .get(id)
                .map_or(LogIndex(0), |progress| progress.matched)
        };
        others.max_by_key(matched)
    }

    pub(super) fn on_timeout_now(&mut self) {
        if !self.is_leader() && self.can_campaign() {
            self.start_election(ElectionKind::Handover);
        }
    }
}
