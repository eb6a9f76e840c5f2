//! Elections: pre-votes, votes, and the promise not to disturb a working leader.
//!
//! Invariants: one vote per term, durable before it is sent; a vote counts only from a voter in its
//! admitted incarnation, and only for the incarnation that asked. Any replica may give a vote, even
//! one that doesn't know it is a voter yet: the candidate decides by its own log who counts.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{LogEnd, Message, MessageBody, ReplicaAddress, ReplicaId, Term};

use super::{Defect, Peer, Role};

/// The votes a candidate has so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Ballot {
    granted: BTreeSet<ReplicaId>,
}

impl Peer {
    /// Starts an election at once, if this replica is a voter and not the leader.
    pub fn campaign(&mut self) {
        if self.halted || self.is_leader() || !self.may_campaign() {
            return;
        }
        if self.config.pre_vote {
            self.ask_for_pre_votes();
        } else {
            self.ask_for_votes(false);
        }
    }

    /// Whether this replica is a voter, or would be if its last change of the members didn't become
    /// committed. A leader that removed itself may be the only one with the entries that the others
    /// need, and they don't elect anyone with a shorter log: it must lead until its removal is
    /// committed (Ongaro, section 4.2.2).
    pub(super) fn may_campaign(&self) -> bool {
        let committed = self.log.committed_configuration();
        self.configuration().is_voter(self.address()) || committed.is_voter(self.address())
    }

    fn ask_for_pre_votes(&mut self) {
        self.leader = None;
        self.role = Role::PreCandidate(self.own_ballot());
        let log_end = self.log.end();
        self.send_to_other_voters(&MessageBody::PreVoteRequest { log_end });
        self.finish_pre_votes();
    }

    pub(super) fn ask_for_votes(&mut self, handover: bool) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.address());
        self.leader = None;
        self.partial_snapshot = None;
        self.role = Role::Candidate(self.own_ballot());
        self.reset_election_deadline();
        let log_end = self.log.end();
        self.send_to_other_voters(&MessageBody::VoteRequest { log_end, handover });
        self.finish_votes();
    }

    fn own_ballot(&self) -> Ballot {
        let granted = BTreeSet::from([self.config.id]);
        Ballot { granted }
    }

    fn send_to_other_voters(&mut self, body: &MessageBody) {
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
    ) {
        let in_time = term >= self.hard_state.term;
        let granted = in_time && self.is_complete(log_end) && !self.protects_leader();
        let body = MessageBody::PreVoteResponse {
            candidate: from,
            asked_in: term,
            granted,
        };
        self.send(from.replica, body);
    }

    pub(super) fn on_pre_vote_response(&mut self, message: &Message) {
        let MessageBody::PreVoteResponse {
            candidate,
            asked_in,
            granted,
        } = message.body
        else {
            return;
        };
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            return;
        }
        let is_ours = candidate == self.address() && asked_in == self.hard_state.term;
        if is_ours && granted && self.counts(message.from) {
            if let Role::PreCandidate(ballot) = &mut self.role {
                ballot.granted.insert(message.from.replica);
            }
            self.finish_pre_votes();
        }
    }

    fn finish_pre_votes(&mut self) {
        if matches!(&self.role, Role::PreCandidate(ballot) if self.has_quorum(ballot)) {
            self.ask_for_votes(false);
        }
    }

    pub(super) fn on_vote_request(&mut self, from: ReplicaAddress, log_end: LogEnd) {
        let is_free = self
            .hard_state
            .vote
            .is_none_or(|candidate| candidate == from);
        let granted = is_free && self.is_complete(log_end);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election_deadline();
        }
        let body = MessageBody::VoteResponse {
            candidate: from,
            granted,
        };
        self.send(from.replica, body);
    }

    /// Whether a candidate's log has all that ours has.
    fn is_complete(&self, log_end: LogEnd) -> bool {
        log_end >= self.log.end() || self.defect == Defect::IgnoresLogEnds
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: ReplicaAddress,
        candidate: ReplicaAddress,
        granted: bool,
    ) {
        let lax = self.defect == Defect::IgnoresIncarnations;
        let is_ours = candidate == self.address() || lax;
        if is_ours && granted && self.counts(from) {
            if let Role::Candidate(ballot) = &mut self.role {
                ballot.granted.insert(from.replica);
            }
            self.finish_votes();
        }
    }

    fn finish_votes(&mut self) {
        if matches!(&self.role, Role::Candidate(ballot) if self.has_quorum(ballot)) {
            self.become_leader();
        }
    }

    fn has_quorum(&self, ballot: &Ballot) -> bool {
        let configuration = self.configuration();
        let granted = configuration
            .voters()
            .filter(|voter| ballot.granted.contains(voter));
        granted.count() >= configuration.quorum()
    }

    /// Whether answers of this incarnation count towards a quorum.
    pub(super) fn counts(&self, from: ReplicaAddress) -> bool {
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

    /// Whether a leader may rely on us not to elect another one now.
    pub(super) fn protects_leader(&self) -> bool {
        let is_following = self
            .leader_contact
            .is_some_and(|contact| self.is_recent(contact));
        self.config.check_quorum && (self.is_leader() || is_following)
    }

    /// Whether a time lies less than an election timeout back.
    pub(super) fn is_recent(&self, time: Duration) -> bool {
        self.now < time + self.config.election_timeout
    }

    /// Answers a message of an older term, so that its sender learns of ours.
    pub(super) fn answer_stale(&mut self, message: &Message) {
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
        let least = self.config.election_timeout;
        let spread = least.as_nanos().max(1) as u64;
        let jitter = Duration::from_nanos(self.draw() % spread);
        self.election_deadline = self.now + least + jitter;
    }

    /// A number that depends on the seed, the replica, the term and the time alone.
    fn draw(&self) -> u64 {
        let mut state = self.config.seed;
        for part in [
            self.config.id.0,
            self.hard_state.term.0,
            self.now.as_nanos() as u64,
        ] {
            state = mix(mix(state).wrapping_add(part));
        }
        state
    }
}

/// The output function of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn mix(value: u64) -> u64 {
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut state = value.wrapping_add(INCREMENT);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
