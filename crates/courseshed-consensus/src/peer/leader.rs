//! What a leader remembers, and how it starts, orders proposals, and loses its place.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use crate::progress::{Feed, Progress};
use crate::{
    Configuration, Entry, EntryPayload, FollowerStatus, LogIndex, ProposalId, ProposeError,
    ReplicaId,
};

use super::handover::Handover;
use super::reads::PendingRead;
use super::{Peer, Role};

/// What a leader remembers for its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<ReplicaId, Progress>,
    /// The no-op of this term: until it is committed, what is committed isn't known for certain.
    pub(super) first_index: LogIndex,
    /// Counts heartbeat rounds and read barriers.
    pub(super) round: u64,
    /// Every follower must get an append with the present round.
    pub(super) probe_requested: bool,
    /// A follower may want an append: something changed since the last `ready`.
    pub(super) replication_due: bool,
    pub(super) heartbeat_deadline: Duration,
    pub(super) pending_reads: VecDeque<PendingRead>,
    pub(super) handover: Option<Handover>,
    /// Another replica was asked to start an election against our lease.
    pub(super) lease_surrendered: bool,
    /// Members heard in a later incarnation than the admitted one.
    pub(super) returned: BTreeMap<ReplicaId, u64>,
}

impl LeaderState {
    /// Makes the followers those of the configuration.
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
        let handover = self
            .handover
            .as_ref()
            .map_or(Duration::MAX, |handover| handover.deadline);
        self.heartbeat_deadline.min(handover)
    }

    pub(super) fn follower_status(&self) -> Vec<FollowerStatus> {
        let status = |(id, progress): (&ReplicaId, &Progress)| FollowerStatus {
            replica: *id,
            matched: progress.matched,
            snapshotting: matches!(progress.feed, Feed::Snapshotting(_)),
        };
        self.followers.iter().map(status).collect()
    }
}

impl Peer {
    pub(super) fn become_leader(&mut self) {
        let mut leader = LeaderState {
            followers: BTreeMap::new(),
            first_index: self.log.last_index().next(),
            round: 1,
            probe_requested: false,
            replication_due: true,
            heartbeat_deadline: self.now + self.config.heartbeat_interval,
            pending_reads: VecDeque::new(),
            handover: None,
            lease_surrendered: false,
            returned: BTreeMap::new(),
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
        self.append_own(EntryPayload::Noop);
    }

    /// Proposes a command. It is replicated with the next `ready`, together with others proposed
    /// until then.
    ///
    /// # Errors
    /// [`ProposeError`]: nothing was written, and the command may be proposed again.
    pub fn propose(&mut self, data: impl Into<Bytes>) -> Result<ProposalId, ProposeError> {
        let data = data.into();
        self.check_can_propose()?;
        let limit = self.config.max_entry_bytes;
        let size = data.len();
        if size > limit {
            return Err(ProposeError::TooLarge { size, limit });
        }
        Ok(self.append_own(EntryPayload::Data(data)))
    }

    pub(super) fn check_can_propose(&self) -> Result<(), ProposeError> {
        let leader = self.leader;
        let state = self
            .leader_state()
            .ok_or(ProposeError::NotLeader { leader })?;
        if let Some(handover) = &state.handover {
            return Err(ProposeError::HandingOver { to: handover.to });
        }
        let uncommitted = self.log.last_index().0 - self.log.committed().0;
        if uncommitted >= self.config.max_uncommitted_entries {
            return Err(ProposeError::Busy { uncommitted });
        }
        Ok(())
    }

    pub(super) fn append_own(&mut self, payload: EntryPayload) -> ProposalId {
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
        self.expire_handover();
        let now = self.now;
        let interval = self.config.heartbeat_interval;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if now < leader.heartbeat_deadline {
            return;
        }
        leader.heartbeat_deadline = now + interval;
        if self.hears_quorum() {
            self.request_heartbeat();
            self.drive_membership();
        } else {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Lets the next `ready` look at what followers want.
    pub(super) fn request_replication(&mut self) {
        if let Some(leader) = self.leader_state_mut() {
            leader.replication_due = true;
        }
    }

    /// Sends every follower an append with the next `ready`, entries or not.
    pub(crate) fn request_heartbeat(&mut self) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        leader.round += 1;
        leader.probe_requested = true;
        leader
            .followers
            .values_mut()
            .for_each(Progress::heartbeat_passed);
    }

    fn hears_quorum(&self) -> bool {
        if !self.config.check_quorum {
            return true;
        }
        let heard = self.quorum_of_followers(self.now, |progress| progress.last_heard);
        heard.is_some_and(|heard| self.is_recent(heard))
    }

    /// The greatest value that a quorum reaches, where we ourselves count with `own`.
    pub(super) fn quorum_of_followers<T: Ord + Clone>(
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
