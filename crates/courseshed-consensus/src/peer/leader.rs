//! Leader state: taking office, appending proposals, heartbeats, and stepping down without a quorum.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use crate::progress::{Progress, ReplicationState};
use crate::{
    Configuration, Entry, EntryPayload, FollowerStatus, LogIndex, ProposalId, ProposeError,
    ReplicaId,
};

use super::election::ElectionKind;
use super::leadership_transfer::LeadershipTransfer;
use super::reads::PendingRead;
use super::{Peer, Role};

/// The state of a leader during its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<ReplicaId, Progress>,
    /// Index of this term's no-op. The commit index may be outdated until it is committed.
    pub(super) first_index: LogIndex,
    /// Counts heartbeat rounds and read barriers.
    pub(super) round: u64,
    /// Every follower must be sent an append with the current round.
    pub(super) heartbeat_requested: bool,
    /// Log or follower progress changed since the last `ready`, so appends may be due.
    pub(super) replication_requested: bool,
    pub(super) heartbeat_deadline: Duration,
    pub(super) pending_reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// `TimeoutNow` was sent: another leader may be elected before the lease expires.
    pub(super) lease_revoked: bool,
    /// Members that sent messages in a later incarnation than the admitted one.
    pub(super) returned: BTreeMap<ReplicaId, u64>,
    pub(super) won_restart_election: bool,
}

impl LeaderState {
    /// Adds and removes followers to match the configuration.
    pub(super) fn sync_followers(
        &mut self,
        own: ReplicaId,
        configuration: &Configuration,
        last_index: LogIndex,
        now: Duration,
    ) {
        self.followers
            .retain(|id, _| configuration.member(*id).is_some());
        for (id, _) in configuration.members().filter(|(id, _)| *id != own) {
            let progress = || Progress::new(last_index, now);
            self.followers.entry(id).or_insert_with(progress);
        }
    }

    pub(super) fn next_wakeup(&self) -> Duration {
        let transfer = self
            .transfer
            .as_ref()
            .map_or(Duration::MAX, |transfer| transfer.deadline);
        self.heartbeat_deadline.min(transfer)
    }

    pub(super) fn follower_status(&self) -> Vec<FollowerStatus> {
        let status = |(id, progress): (&ReplicaId, &Progress)| FollowerStatus {
            replica: *id,
            matched: progress.matched,
            snapshotting: matches!(progress.state, ReplicationState::Snapshotting(_)),
            last_contact: progress.last_contact,
        };
        self.followers.iter().map(status).collect()
    }
}

impl Peer {
    pub(super) fn become_leader(&mut self, kind: ElectionKind) {
        let mut leader = LeaderState {
            followers: BTreeMap::new(),
            first_index: self.log.last_index().next(),
            round: 1,
            heartbeat_requested: false,
            replication_requested: true,
            heartbeat_deadline: self.now + self.config.heartbeat_interval,
            pending_reads: VecDeque::new(),
            transfer: None,
            lease_revoked: false,
            returned: BTreeMap::new(),
            won_restart_election: kind == ElectionKind::AfterRestart,
        };
        let last_index = self.log.last_index();
        leader.sync_followers(
            self.config.id,
            self.log.configuration(),
            last_index,
            self.now,
        );
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.config.id);
        self.append_to_own_log(EntryPayload::Noop);
    }

    /// Appends a command to the log. All commands proposed before the next `ready` are replicated
    /// together.
    ///
    /// # Errors
    /// [`ProposeError`]: nothing was written, and the command may be retried.
    pub fn propose(&mut self, data: impl Into<Bytes>) -> Result<ProposalId, ProposeError> {
        let data = data.into();
        self.check_can_propose()?;
        let limit = self.config.max_entry_bytes;
        let size = data.len();
        if size > limit {
            return Err(ProposeError::TooLarge { size, limit });
        }
        Ok(self.append_to_own_log(EntryPayload::Data(data)))
    }

    pub(super) fn check_can_propose(&self) -> Result<(), ProposeError> {
        let leader = self.leader;
        let state = self
            .leader_state()
            .ok_or(ProposeError::NotLeader { leader })?;
        if let Some(transfer) = &state.transfer {
            return Err(ProposeError::TransferInProgress { to: transfer.to });
        }
        let uncommitted = self.log.last_index().0 - self.log.committed().0;
        if uncommitted >= self.config.max_uncommitted_entries {
            return Err(ProposeError::Busy { uncommitted });
        }
        Ok(())
    }

    pub(super) fn append_to_own_log(&mut self, payload: EntryPayload) -> ProposalId {
        let term = self.hard_state.term;
        let index = self.log.last_index().next();
        self.log.append(Entry {
            term,
            index,
            payload,
        });
        self.request_replication();
        ProposalId { term, index }
    }

    pub(super) fn tick_leader(&mut self) {
        self.expire_transfer();
        let now = self.now;
        let interval = self.config.heartbeat_interval;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if now < leader.heartbeat_deadline {
            return;
        }
        leader.heartbeat_deadline = now + interval;
        if self.has_quorum_contact() {
            self.request_heartbeat();
            self.advance_membership();
        } else {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Makes the next `ready` send pending entries and commit indexes.
    pub(super) fn request_replication(&mut self) {
        if let Some(leader) = self.leader_state_mut() {
            leader.replication_requested = true;
        }
    }

    /// Makes the next `ready` send every follower an append, even if empty.
    pub(crate) fn request_heartbeat(&mut self) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        leader.round += 1;
        leader.heartbeat_requested = true;
        leader
            .followers
            .values_mut()
            .for_each(Progress::on_heartbeat);
    }

    fn has_quorum_contact(&self) -> bool {
        if !self.config.check_quorum {
            return true;
        }
        let last_contact = self.quorum_progress(self.now, |progress| progress.last_contact);
        last_contact.is_some_and(|time| self.is_within_election_timeout(time))
    }

    /// The greatest value reached by a quorum of voters, with `own` as this replica's value.
    pub(super) fn quorum_progress<T: Ord + Clone>(
        &self,
        own: T,
        value_of: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let leader = self.leader_state()?;
        self.configuration().quorum_value(|id| {
            let follower = leader.followers.get(&id);
            follower.map_or_else(|| own.clone(), &value_of)
        })
    }
}
