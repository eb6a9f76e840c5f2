//! Elections after a restart of all voters, without waiting for an election timeout.
//!
//! A restarted replica may have acknowledged a leader's append before its restart, so it must respect
//! that leader's lease for an election timeout. The wait is unnecessary if no leader exists. A replica
//! that has just started asks all voters, and starts an election if each of them states that it is
//! *leaderless* in the term of the request.
//!
//! Invariant: a replica makes that statement only in exactly the requested term, and only while it is
//! neither leader nor candidate of it. It can then never lead that term or an earlier one, so a
//! statement doesn't become outdated while the requesting replica stays in its term. A lease is valid
//! only at a leader that has committed an entry of its own term; a candidate that wins has that entry,
//! and so has that leader in its configuration, or in an earlier one that was replaced by a committed
//! entry. Hence the configuration must be known to be committed: a leader that removed itself leads
//! until its removal is committed.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::{LogEnd, MessageBody, ReplicaAddress, ReplicaId, Term};

use super::election::ElectionKind;
use super::{Defect, Peer, Role};

/// Requests per heartbeat interval. Voters start at different times, and the last one makes the
/// election possible.
const REQUESTS_PER_HEARTBEAT: u32 = 4;

/// The attempt of a restarted replica to be elected by the statements of all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RestartElection {
    /// End of the attempt, from which ordinary elections are possible.
    until: Duration,
    next_request: Duration,
    /// The term of the statements.
    term: Term,
    /// Voters that stated to be leaderless in `term`. Contains this replica from its request on.
    leaderless: BTreeSet<ReplicaId>,
}

impl RestartElection {
    pub(super) fn new(now: Duration, election_timeout: Duration) -> Self {
        Self {
            until: now + election_timeout,
            next_request: now,
            term: Term(0),
            leaderless: BTreeSet::new(),
        }
    }

    pub(super) fn next_wakeup(&self) -> Duration {
        self.next_request.min(self.until)
    }
}

impl Peer {
    /// Whether this replica leads after an election that all voters allowed after a restart.
    #[must_use]
    pub fn won_restart_election(&self) -> bool {
        self.leader_state()
            .is_some_and(|leader| leader.won_restart_election)
    }

    pub(super) fn tick_restart_election(&mut self) {
        let Some(attempt) = &self.restart_election else {
            return;
        };
        if self.now >= attempt.until {
            self.restart_election = None;
        } else if self.now >= attempt.next_request {
            self.request_statements();
        }
    }

    /// Asks all voters whether they are leaderless.
    pub(crate) fn request_statements(&mut self) {
        let now = self.now;
        let term = self.hard_state.term;
        let interval = self.statement_interval();
        let can_start = self.can_start_restart_election();
        let own = self.config.id;
        let Some(attempt) = &mut self.restart_election else {
            return;
        };
        attempt.next_request = now + interval;
        if attempt.term != term {
            attempt.term = term;
            attempt.leaderless.clear();
        }
        if !can_start {
            return;
        }
        attempt.leaderless.insert(own);
        let log_end = self.log.end();
        self.send_to_other_voters(&MessageBody::PreVoteRequest {
            log_end,
            after_restart: true,
        });
        self.check_statements();
    }

    fn statement_interval(&self) -> Duration {
        self.config.heartbeat_interval / REQUESTS_PER_HEARTBEAT
    }

    fn can_start_restart_election(&self) -> bool {
        let is_committed = self.log.configuration_index() <= self.log.committed()
            || self.defect == Defect::RestartElectionUncommitted;
        is_committed && self.is_leaderless() && self.configuration().is_voter(self.address())
    }

    /// Whether this replica is neither leader nor candidate of its term, and so never will be.
    fn is_leaderless(&self) -> bool {
        let is_candidate = matches!(self.role, Role::Candidate(_));
        !self.is_leader() && (!is_candidate || self.defect == Defect::CandidatesLeaderless)
    }

    /// Whether to state that this replica is leaderless in the term of a request. Enters that term
    /// first, unless a leader is active.
    pub(super) fn state_leaderless(
        &mut self,
        from: ReplicaAddress,
        term: Term,
        log_end: LogEnd,
    ) -> bool {
        if self.defect == Defect::LeaderlessInAnyTerm {
            return self.is_leaderless();
        }
        let follows_leader = self.leader.is_some() && self.has_active_leader();
        if term > self.hard_state.term && !self.is_leader() && !follows_leader {
            self.become_follower(term, None);
        }
        let is_possible =
            term == self.hard_state.term && self.is_leaderless() && log_end >= self.log.end();
        is_possible && self.yields_to(from, log_end)
    }

    /// Of several replicas that ask at once, the one with the most complete log continues, and among
    /// equals the one with the lowest ID.
    fn yields_to(&mut self, from: ReplicaAddress, log_end: LogEnd) -> bool {
        let own = (self.log.end(), Reverse(self.config.id));
        let now = self.now;
        let interval = self.statement_interval();
        let Some(attempt) = &mut self.restart_election else {
            return true;
        };
        let is_asking = attempt.leaderless.contains(&self.config.id);
        if is_asking && own > (log_end, Reverse(from.replica)) {
            return false;
        }
        attempt.leaderless.clear();
        attempt.next_request = now + interval;
        true
    }

    /// Counts a statement that was made in the current term.
    pub(super) fn record_leaderless(&mut self, from: ReplicaAddress) {
        let term = self.hard_state.term;
        if !self.counts_towards_quorum(from) {
            return;
        }
        let Some(attempt) = &mut self.restart_election else {
            return;
        };
        if attempt.term == term {
            attempt.leaderless.insert(from.replica);
            self.check_statements();
        }
    }

    fn check_statements(&mut self) {
        let Some(attempt) = &self.restart_election else {
            return;
        };
        let configuration = self.configuration();
        let stated = |voter: &ReplicaId| attempt.leaderless.contains(voter);
        let count = configuration.voters().filter(stated).count();
        let required = match self.defect {
            Defect::RestartElectionByQuorum => configuration.quorum(),
            _ => configuration.voters().count(),
        };
        let has_asked = stated(&self.config.id);
        if has_asked && count >= required && self.can_start_restart_election() {
            self.start_election(ElectionKind::AfterRestart);
        }
    }

    /// Makes the next tick repeat the request, in a term that was just learned.
    pub(super) fn repeat_request(&mut self) {
        let now = self.now;
        if let Some(attempt) = &mut self.restart_election {
            attempt.next_request = now;
        }
    }

    /// Leaves another replica's election time to complete.
    pub(super) fn postpone_request(&mut self) {
        let next = self.now + self.statement_interval();
        if let Some(attempt) = &mut self.restart_election {
            attempt.next_request = next;
        }
    }
}
