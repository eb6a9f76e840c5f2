//! Handing leadership to another voter, and giving it up when the own disk fails.

use std::time::Duration;

use crate::{LogIndex, MessageBody, ReplicaId, TransferError};

use super::Peer;

/// A hand-over under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Handover {
    pub(super) to: ReplicaId,
    /// When it is given up and proposals are taken again.
    pub(super) deadline: Duration,
    asked: bool,
}

impl Peer {
    /// Hands leadership to another voter, once that has the whole log. Until then, and for at most
    /// an election timeout, proposals are refused.
    ///
    /// # Errors
    /// [`TransferError`].
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
        state.handover = Some(Handover {
            to,
            deadline,
            asked: false,
        });
        self.drive_handover();
        Ok(())
    }

    /// Asks the target to start its election, once it has the whole log.
    pub(super) fn drive_handover(&mut self) {
        let last_index = self.log.last_index();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let Some(handover) = &mut leader.handover else {
            return;
        };
        let target = leader.followers.get(&handover.to);
        let has_all = target.is_some_and(|progress| progress.matched >= last_index);
        if handover.asked || !has_all {
            return;
        }
        handover.asked = true;
        leader.lease_surrendered = true;
        let to = handover.to;
        self.send(to, MessageBody::TimeoutNow);
    }

    pub(super) fn expire_handover(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if leader
            .handover
            .is_some_and(|handover| now >= handover.deadline)
        {
            leader.handover = None;
        }
    }

    /// Gives up leadership at once, for example since the disk fails, and asks the voter that has
    /// most of the log to take over. Does nothing on others.
    pub fn step_down(&mut self) {
        if !self.is_leader() {
            return;
        }
        let successor = self.best_successor();
        self.become_follower(self.hard_state.term, None);
        if let Some(to) = successor {
            self.send(to, MessageBody::TimeoutNow);
        }
    }

    fn best_successor(&self) -> Option<ReplicaId> {
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
        if !self.is_leader() && self.may_campaign() {
            self.ask_for_votes(true);
        }
    }
}
