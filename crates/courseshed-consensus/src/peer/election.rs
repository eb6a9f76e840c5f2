//! Elections: pre-votes, votes, and rejecting elections while a leader is active.
//!
//! Invariants: at most one vote per term, durable before it is sent; a vote counts only from a voter
//! in its admitted incarnation, and only for the incarnation that requested it. Any replica may grant
//! a vote, even one that doesn't know yet that it is a voter: the candidate counts votes by the
//! configuration in its own log.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{LogEnd, Message, MessageBody, ReplicaAddress, ReplicaId, Term};

use super::{Defect, Peer, Role};

/// What makes an election possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ElectionKind {
    /// No leader was heard from for an election timeout.
    Timeout,
    /// The leader transfers its leadership.
    Handover,
    /// All voters stated after a restart that there is no leader.
    AfterRestart,
}

/// The votes granted to a candidate so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VoteSet {
    granted: BTreeSet<ReplicaId>,
    kind: ElectionKind,
}

impl Peer {
    /// Starts an election immediately, unless this replica is the leader or can't campaign.
    pub fn campaign(&mut self) {
        if self.halted || self.is_leader() || !self.can_campaign() {
            return;
        }
        if self.config.pre_vote {
            self.start_pre_vote();
        } else {
            self.start_election(ElectionKind::Timeout);
        }
    }

    /// Whether this replica is a voter in the latest or in the committed configuration. A leader that
    /// removed itself may have the only complete log, and the other voters reject candidates with a
    /// shorter one: it must be electable until its removal is committed (Ongaro, section 4.2.2).
    pub(super) fn can_campaign(&self) -> bool {
        let committed = self.log.committed_configuration();
        self.configuration().is_voter(self.address()) || committed.is_voter(self.address())
    }

    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.role = Role::PreCandidate(self.own_vote(ElectionKind::Timeout));
        let log_end = self.log.end();
        self.send_to_other_voters(&MessageBody::PreVoteRequest {
            log_end,
            after_restart: false,
        });
        self.check_pre_vote_quorum();
    }

    pub(super) fn start_election(&mut self, kind: ElectionKind) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.address());
        self.leader = None;
        self.partial_snapshot = None;
        self.restart_election = None;
        self.role = Role::Candidate(self.own_vote(kind));
        self.reset_election_deadline();
        let log_end = self.log.end();
        let handover = kind != ElectionKind::Timeout;
        self.send_to_other_voters(&MessageBody::VoteRequest { log_end, handover });
        self.check_vote_quorum();
    }

    fn own_vote(&self, kind: ElectionKind) -> VoteSet {
        let granted = BTreeSet::from([self.config.id]);
        VoteSet { granted, kind }
    }

    pub(super) fn send_to_other_voters(&mut self, body: &MessageBody) {
        let voters: Vec<ReplicaId> = self.configuration().voters().collect();
        for voter in voters {
            if voter != self.config.id {
                self.send(voter, body.clone());
            }
        }
    }

    pub(super) fn on_pre_vote_request(
        &mut self,
        from: ReplicaAddress,
        term: Term,
        log_end: LogEnd,
        after_restart: bool,
    ) {
        let leaderless = after_restart && self.state_leaderless(from, term, log_end);
        let is_not_stale = term >= self.hard_state.term;
        let granted = is_not_stale && self.is_log_up_to_date(log_end) && !self.has_active_leader();
        let body = MessageBody::PreVoteResponse {
            candidate: from,
            asked_in: term,
            granted,
            leaderless,
        };
        self.send(from.replica, body);
    }

    pub(super) fn on_pre_vote_response(&mut self, message: &Message) {
        let MessageBody::PreVoteResponse {
            candidate,
            asked_in,
            granted,
            leaderless,
        } = message.body
        else {
            return;
        };
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            self.repeat_request();
            return;
        }
        let is_ours = candidate == self.address() && asked_in == self.hard_state.term;
        if is_ours && leaderless {
            self.record_leaderless(message.from);
        }
        if is_ours && granted && self.counts_towards_quorum(message.from) {
            if let Role::PreCandidate(votes) = &mut self.role {
                votes.granted.insert(message.from.replica);
            }
            self.check_pre_vote_quorum();
        }
    }

    fn check_pre_vote_quorum(&mut self) {
        if matches!(&self.role, Role::PreCandidate(votes) if self.has_quorum(votes)) {
            self.start_election(ElectionKind::Timeout);
        }
    }

    pub(super) fn on_vote_request(&mut self, from: ReplicaAddress, log_end: LogEnd) {
        let can_vote = self
            .hard_state
            .vote
            .is_none_or(|candidate| candidate == from);
        let granted = can_vote && self.is_log_up_to_date(log_end);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election_deadline();
            self.postpone_request();
        }
        let body = MessageBody::VoteResponse {
            candidate: from,
            granted,
        };
        self.send(from.replica, body);
    }

    /// Whether a candidate's log is at least as up to date as this replica's.
    fn is_log_up_to_date(&self, log_end: LogEnd) -> bool {
        log_end >= self.log.end() || self.defect == Defect::IgnoresLogEnds
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: ReplicaAddress,
        candidate: ReplicaAddress,
        granted: bool,
    ) {
        let ignores_incarnations = self.defect == Defect::IgnoresIncarnations;
        let is_ours = candidate == self.address() || ignores_incarnations;
        if is_ours && granted && self.counts_towards_quorum(from) {
            if let Role::Candidate(votes) = &mut self.role {
                votes.granted.insert(from.replica);
            }
            self.check_vote_quorum();
        }
    }

    fn check_vote_quorum(&mut self) {
        if let Role::Candidate(votes) = &self.role
            && self.has_quorum(votes)
        {
            let kind = votes.kind;
            self.become_leader(kind);
        }
    }

    fn has_quorum(&self, votes: &VoteSet) -> bool {
        let configuration = self.configuration();
        let granted = configuration
            .voters()
            .filter(|voter| votes.granted.contains(voter));
        granted.count() >= configuration.quorum()
    }

    /// Whether the sender is a voter in its admitted incarnation.
    pub(super) fn counts_towards_quorum(&self, from: ReplicaAddress) -> bool {
        let configuration = self.configuration();
        if self.defect == Defect::IgnoresIncarnations {
            return configuration.voters().any(|voter| voter == from.replica);
        }
        configuration.is_voter(from)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.partial_snapshot = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline();
    }

    /// Whether this replica leads or heard from a leader within the election timeout, so that it must
    /// reject elections for the leader's lease to hold.
    pub(super) fn has_active_leader(&self) -> bool {
        let is_following = self
            .leader_contact
            .is_some_and(|contact| self.is_within_election_timeout(contact));
        self.config.check_quorum && (self.is_leader() || is_following)
    }

    pub(super) fn is_within_election_timeout(&self, time: Duration) -> bool {
        self.now < time + self.config.election_timeout
    }

    /// Replies to a message of an older term, so that its sender learns the current term.
    pub(super) fn reply_to_stale(&mut self, message: &Message) {
        let from = message.from;
        let body = match &message.body {
            MessageBody::VoteRequest { .. } => MessageBody::VoteResponse {
                candidate: from,
                granted: false,
            },
            MessageBody::Append {
                previous_index,
                probe,
                ..
            } => {
                let hint = self.log.last_index();
                let outcome = crate::AppendOutcome::Rejected {
                    previous: *previous_index,
                    hint,
                };
                MessageBody::AppendResponse {
                    outcome,
                    probe: *probe,
                }
            }
            MessageBody::SnapshotChunk { metadata, .. } => MessageBody::SnapshotResponse {
                index: metadata.index,
                next_offset: 0,
            },
            _ => return,
        };
        self.send(from.replica, body);
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let min_timeout = self.config.election_timeout;
        let jitter_range = min_timeout.as_nanos().max(1) as u64;
        let jitter = Duration::from_nanos(self.timeout_hash() % jitter_range);
        self.election_deadline = self.now + min_timeout + jitter;
    }

    /// A pseudorandom number derived from the seed, the replica ID, the term and the time.
    fn timeout_hash(&self) -> u64 {
        let mut state = self.config.seed;
        for part in [
            self.config.id.0,
            self.hard_state.term.0,
            self.now.as_nanos() as u64,
        ] {
            state = splitmix64(splitmix64(state).wrapping_add(part));
        }
        state
    }
}

/// The output function of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn splitmix64(value: u64) -> u64 {
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut state = value.wrapping_add(INCREMENT);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
