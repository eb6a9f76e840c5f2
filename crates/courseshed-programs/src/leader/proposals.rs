//! Commands proposed and not applied yet, and the requests that wait for them.

use std::collections::BTreeMap;

use courseshed_types::{CallId, ProgramId, RequestId, Timestamp, shard::ShardReply};

use super::submit::ParkedSubmit;
use super::{
    ShardLeader,
    live::Waiter,
    output::{ProposalLoss, RequestToken, ShardOutput},
};
use crate::{
    command::{BudgetPeriod, CommandBody, ProposalId, ShardCommand},
    digest::BodyDigest,
    verdicts,
};

/// Why a command was proposed.
#[derive(Debug, Clone, PartialEq, Hash)]
pub(super) enum Purpose {
    Create {
        token: RequestToken,
    },
    Accept(PendingAccept),
    Dispatch {
        request: RequestId,
        token: RequestToken,
    },
    /// A refusal, retry or settlement of a call.
    EndAttempt {
        call: CallId,
    },
    /// Replies with the program.
    ShowProgram {
        token: RequestToken,
        program: ProgramId,
    },
    Grant(BudgetPeriod),
    Return(BudgetPeriod),
    /// Nobody waits.
    Upkeep,
}

/// A call being accepted, and the requests that wait for it.
#[derive(Debug, Clone, PartialEq, Hash)]
pub(super) struct PendingAccept {
    pub call: CallId,
    pub digest: BodyDigest,
    pub idempotency_key: Option<String>,
    pub waiters: Vec<Waiter>,
    /// The request as it came, to try it again.
    pub parked: Box<ParkedSubmit>,
}

/// Proposals in flight, by number.
#[derive(Debug, Clone, Default)]
pub(super) struct ProposalTable {
    last_number: u64,
    in_flight: BTreeMap<u64, Purpose>,
    accepting: BTreeMap<ProgramId, u64>,
}

impl ProposalTable {
    /// Proposals in flight, oldest first.
    pub fn in_flight(&self) -> impl Iterator<Item = &Purpose> {
        self.in_flight.values()
    }

    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    fn add(&mut self, purpose: Purpose) -> u64 {
        self.last_number += 1;
        if let Purpose::Accept(pending) = &purpose {
            self.accepting
                .insert(pending.call.program, self.last_number);
        }
        self.in_flight.insert(self.last_number, purpose);
        self.last_number
    }

    fn take(&mut self, number: u64) -> Option<Purpose> {
        let purpose = self.in_flight.remove(&number)?;
        if let Purpose::Accept(pending) = &purpose {
            self.accepting.remove(&pending.call.program);
        }
        Some(purpose)
    }

    fn take_all(&mut self) -> Vec<Purpose> {
        self.accepting.clear();
        std::mem::take(&mut self.in_flight).into_values().collect()
    }

    /// The call of a program that is being accepted.
    pub fn accepting(&mut self, program: ProgramId) -> Option<&mut PendingAccept> {
        let number = self.accepting.get(&program)?;
        match self.in_flight.get_mut(number) {
            Some(Purpose::Accept(pending)) => Some(pending),
            _ => None,
        }
    }

    /// Takes a request out of those that wait for a call being accepted.
    pub fn forget_waiter(&mut self, token: RequestToken) {
        for purpose in self.in_flight.values_mut() {
            if let Purpose::Accept(pending) = purpose {
                pending.waiters.retain(|waiter| waiter.token != token);
            }
        }
    }

    /// Whether an equal proposal that nobody waits for is in flight.
    pub fn contains(&self, purpose: &Purpose) -> bool {
        self.in_flight.values().any(|other| other == purpose)
    }
}

impl ShardLeader {
    pub(super) fn propose(&mut self, now: Timestamp, purpose: Purpose, body: CommandBody) {
        let Some(term) = self.term() else {
            return;
        };
        let number = self.proposals.add(purpose);
        let origin = ProposalId {
            node: self.config.node,
            term,
            number,
        };
        let command = ShardCommand {
            at: now,
            origin,
            body,
        };
        self.outputs.push(ShardOutput::Propose(Box::new(command)));
    }

    /// The purpose of an applied command, if this leader proposed it in this term.
    pub(super) fn take_own(&mut self, origin: ProposalId) -> Option<Purpose> {
        let is_own = origin.node == self.config.node && Some(origin.term) == self.term();
        is_own.then(|| self.proposals.take(origin.number)).flatten()
    }

    /// A proposal will not be applied, or may not be.
    pub fn on_proposal_dropped(&mut self, now: Timestamp, origin: ProposalId, loss: ProposalLoss) {
        let Some(purpose) = self.take_own(origin) else {
            return;
        };
        self.lose(now, purpose, loss);
    }

    pub(super) fn answer_lost_proposals(&mut self) {
        for purpose in self.proposals.take_all() {
            self.answer_lost(purpose, ProposalLoss::Unknown);
        }
    }

    fn lose(&mut self, now: Timestamp, purpose: Purpose, loss: ProposalLoss) {
        match &purpose {
            Purpose::Dispatch { request, .. } => self.dispatch_lost(*request),
            Purpose::EndAttempt { call } => {
                if let Some(live) = self.live_mut(*call) {
                    live.is_ending = false;
                    live.query_at = live.query_at.min(now);
                }
            }
            _ => {}
        }
        self.answer_lost(purpose, loss);
    }

    fn answer_lost(&mut self, purpose: Purpose, loss: ProposalLoss) {
        let error = match loss {
            ProposalLoss::NeverAppended => verdicts::never_proposed(),
            ProposalLoss::Unknown => verdicts::leader_lost_after_proposal(),
        };
        match purpose {
            Purpose::Create { token } | Purpose::ShowProgram { token, .. } => {
                self.reply_error(token, error);
            }
            Purpose::Accept(pending) => {
                for waiter in pending.waiters {
                    self.reply_error(waiter.token, error.clone());
                }
            }
            Purpose::Dispatch { .. }
            | Purpose::EndAttempt { .. }
            | Purpose::Grant(_)
            | Purpose::Return(_)
            | Purpose::Upkeep => {}
        }
    }

    /// Whether new work should be refused for now.
    pub(super) fn is_overloaded(&self) -> bool {
        self.proposals.len() >= self.config.max_in_flight
    }

    pub(super) fn reply_not_leader(&mut self, token: RequestToken) {
        let leader = self.known_leader();
        self.reply(token, ShardReply::NotLeader { leader });
    }
}
