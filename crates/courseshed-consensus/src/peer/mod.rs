//! The state machine of one replica.
//!
//! A [`Peer`] takes messages and the current time as input, and returns through `ready` what to
//! send, persist and apply. It has no clock, socket, thread or random source, and is deterministic:
//! the same inputs give the same outputs.
//!
//! Invariants: a replica votes at most once per term; entries are acknowledged only when durable; a
//! leader commits by counting replicas only for entries of its own term, and counts only voters in
//! the admitted incarnation.

mod defect;
mod election;
mod follower;
mod leader;
mod leadership_transfer;
mod membership;
mod output;
mod reads;
mod replacement;
mod replication;
mod restart_election;

use std::time::Duration;

use crate::replica_log::ReplicaLog;
use crate::{
    Configuration, FollowerStatus, GroupId, HardState, LogIndex, Message, MessageBody, PeerConfig,
    PeerStatus, ReadReady, ReplicaAddress, ReplicaId, Restored, RoleChange, RoleName, Snapshot,
    Term,
};

pub(crate) use defect::Defect;
use election::VoteSet;
use follower::PartialSnapshot;
use leader::LeaderState;
use restart_election::RestartElection;

/// The Raft role of a replica, with the state specific to that role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    PreCandidate(VoteSet),
    Candidate(VoteSet),
    Leader(Box<LeaderState>),
}

/// The state machine of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    config: PeerConfig,
    defect: Defect,
    now: Duration,
    hard_state: HardState,
    persisted_hard_state: HardState,
    log: ReplicaLog,
    role: Role,
    leader: Option<ReplicaId>,
    election_deadline: Duration,
    /// When the leader last contacted this replica. After a restart in a term above 0 it is the start
    /// time, since a lease granted before the restart may still be valid.
    leader_contact: Option<Duration>,
    /// The attempt to be elected right after the start, while it lasts.
    restart_election: Option<RestartElection>,
    partial_snapshot: Option<PartialSnapshot>,
    pending_snapshot: Option<Snapshot>,
    outbox: Vec<Message>,
    reads_ready: Vec<ReadReady>,
    /// ID of the latest read barrier. Not reset between terms, so IDs are never reused.
    last_read: u64,
    reported_role: Option<RoleChange>,
    /// Set when a leader tried to overwrite committed entries; the replica then stops for good.
    halted: bool,
}

impl Peer {
    /// Creates a replica from its restored storage.
    ///
    /// `now` is monotonic time since an arbitrary origin; all later times must use the same clock.
    #[must_use]
    pub fn new(config: PeerConfig, now: Duration, restored: Restored) -> Self {
        let hard_state = restored.hard_state;
        let log = ReplicaLog::new(restored, &config.initial_members);
        let has_seen_term = hard_state.term > Term(0);
        let attempt = || RestartElection::new(now, config.election_timeout);
        let restart_election = config.restart_election.then(attempt);
        let mut peer = Self {
            config,
            defect: Defect::None,
            now,
            hard_state,
            persisted_hard_state: hard_state,
            log,
            role: Role::Follower,
            leader: None,
            election_deadline: now,
            leader_contact: has_seen_term.then_some(now),
            restart_election,
            partial_snapshot: None,
            pending_snapshot: None,
            outbox: Vec::new(),
            reads_ready: Vec::new(),
            last_read: 0,
            reported_role: None,
            halted: false,
        };
        peer.reset_election_deadline();
        peer.reported_role = Some(peer.role_change());
        peer
    }

    /// Injects a protocol defect, to test the model checker.
    pub(crate) fn with_defect(mut self, defect: Defect) -> Self {
        self.defect = defect;
        self
    }

    pub(crate) fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Processes a message. Drops messages of other groups, messages to other replicas, and messages
    /// from incarnations that have been replaced.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.observe(now);
        if self.halted || !self.should_process(&message) {
            return;
        }
        self.record_returned_member(message.from);
        match message.body {
            MessageBody::PreVoteRequest {
                log_end,
                after_restart,
            } => {
                self.on_pre_vote_request(message.from, message.term, log_end, after_restart);
            }
            MessageBody::PreVoteResponse { .. } => self.on_pre_vote_response(&message),
            MessageBody::VoteRequest { handover, .. } if !handover && self.has_active_leader() => {}
            _ => self.step_in_term(message),
        }
    }

    /// Advances the clock without firing timers.
    pub(crate) fn observe(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn step_in_term(&mut self, message: Message) {
        if message.term < self.hard_state.term {
            self.reply_to_stale(&message);
            return;
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
        }
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest { log_end, .. } => self.on_vote_request(from, log_end),
            MessageBody::VoteResponse { candidate, granted } => {
                self.on_vote_response(from, candidate, granted);
            }
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                probe,
            } => {
                let previous = crate::LogEnd {
                    term: previous_term,
                    index: previous_index,
                };
                self.on_append(from.replica, previous, entries, commit, probe);
            }
            MessageBody::AppendResponse { outcome, probe } => {
                self.on_append_response(from, outcome, probe);
            }
            MessageBody::SnapshotChunk {
                metadata,
                offset,
                total,
                data,
            } => {
                self.on_snapshot_chunk(from.replica, metadata, offset, total, &data);
            }
            MessageBody::SnapshotResponse { index, next_offset } => {
                self.on_snapshot_response(from, index, next_offset);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(),
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteResponse { .. } => {}
        }
    }

    /// Advances the clock and fires expired timers (elections, heartbeats, transfers). Call it no
    /// later than [`Peer::next_wakeup`]; calling it more often is harmless.
    pub fn tick(&mut self, now: Duration) {
        self.observe(now);
        if self.halted {
            return;
        }
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.reset_election_deadline();
            self.campaign();
        } else {
            self.tick_restart_election();
        }
    }

    /// When the next timer expires; `Duration::MAX` if there is none.
    #[must_use]
    pub fn next_wakeup(&self) -> Duration {
        if self.halted {
            return Duration::MAX;
        }
        match &self.role {
            Role::Leader(leader) => leader.next_wakeup(),
            _ if self.can_campaign() => {
                let attempt = self.restart_election.as_ref();
                let next = attempt.map_or(Duration::MAX, RestartElection::next_wakeup);
                next.min(self.election_deadline)
            }
            _ => Duration::MAX,
        }
    }

    fn should_process(&self, message: &Message) -> bool {
        let addressed = message.group == self.config.group && message.to == self.config.id;
        let sender = self.log.configuration().member(message.from.replica);
        let replaced = sender.is_some_and(|member| member.incarnation > message.from.incarnation);
        addressed && !replaced && message.from.replica != self.config.id
    }

    fn send(&mut self, to: ReplicaId, body: MessageBody) {
        self.outbox.push(Message {
            group: self.config.group,
            from: self.config.address(),
            to,
            term: self.hard_state.term,
            body,
        });
    }

    /// Whether this replica is the leader of its term.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The latest term this replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.log.committed()
    }

    /// Index of the last applied entry.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.log.applied()
    }

    /// The latest configuration in this replica's log, committed or not.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        self.log.configuration()
    }

    /// The latest configuration, if its entry is known to be committed.
    #[must_use]
    pub fn committed_configuration(&self) -> Option<&Configuration> {
        let is_committed = self.log.configuration_index() <= self.log.committed();
        is_committed.then(|| self.configuration())
    }

    /// The replica's ID and current incarnation.
    #[must_use]
    pub fn address(&self) -> ReplicaAddress {
        self.config.address()
    }

    /// The group this replica belongs to.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.config.group
    }

    /// Whether the replica stopped because a leader tried to overwrite committed entries.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// A snapshot of the replica's state for operators and metrics.
    #[must_use]
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            address: self.address(),
            role: self.role_name(),
            term: self.term(),
            leader: self.leader,
            configuration: self.configuration().clone(),
            first_index: self.log.first_index(),
            last_index: self.log.last_index(),
            stable_index: self.log.stable(),
            commit_index: self.log.committed(),
            applied_index: self.log.applied(),
            snapshot_index: self.log.snapshot().metadata.index,
            followers: self.follower_status(),
        }
    }

    fn follower_status(&self) -> Vec<FollowerStatus> {
        match &self.role {
            Role::Leader(leader) => leader.follower_status(),
            _ => Vec::new(),
        }
    }

    fn role_name(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate(_) => RoleName::PreCandidate,
            Role::Candidate(_) => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    fn role_change(&self) -> RoleChange {
        RoleChange {
            role: self.role_name(),
            term: self.term(),
            leader: self.leader,
        }
    }

    fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
