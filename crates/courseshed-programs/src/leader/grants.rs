//! Getting escrow from the controller and giving it back.
//!
//! A request carries the number after the last grant applied, so that any leader that asks again gets the same
//! grant and the log applies it once. A return is committed before it is sent, so that tokens are never counted
//! in two places.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, CallError, CallId, ErrorCode, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn},
};

use super::{
    ShardLeader,
    output::{RequestToken, ShardOutput},
    pace::{GrantPace, PaceLimits},
    proposals::Purpose,
    submit::ParkedSubmit,
};
use crate::{
    command::{AcceptCall, ApplyGrant, BudgetPeriod, CommandBody},
    state::ShardState,
    verdicts,
};

/// Soft state of escrow requests.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantTable {
    parked: Vec<ParkedSubmit>,
    asked: BTreeMap<BudgetPeriod, AskedGrant>,
    used_at: BTreeMap<BudgetPeriod, Timestamp>,
    paces: BTreeMap<BranchPath, GrantPace>,
    returned_at: Timestamp,
}

#[derive(Debug, Clone)]
struct AskedGrant {
    request: GrantRequest,
    sent_at: Timestamp,
    /// What was granted, while that is being committed.
    granted: Option<Tokens>,
}

impl AskedGrant {
    /// Whether the budget could not even give what the call that asked needs.
    fn shows_budget_spent(&self) -> bool {
        self.granted
            .is_some_and(|granted| granted < self.request.needed)
    }
}

impl GrantTable {
    pub fn has_no_parked(&self) -> bool {
        self.parked.is_empty()
    }

    pub fn take_parked(&mut self) -> Vec<ParkedSubmit> {
        std::mem::take(&mut self.parked)
    }

    /// How many calls' worth to ask for now.
    fn next_multiple(&mut self, now: Timestamp, branch: &BranchPath, limits: &PaceLimits) -> u64 {
        let last = self.paces.get(branch);
        let pace = GrantPace::after(last, now, limits);
        self.paces.insert(branch.clone(), pace);
        pace.multiple()
    }

    /// Takes a request out of those that wait for escrow.
    pub fn forget_waiter(&mut self, token: RequestToken) {
        self.parked.retain(|parked| parked.token != token);
    }
}

impl ShardLeader {
    /// Lets a call wait for escrow if that is all it lacks; false if it must be refused.
    pub(super) fn park_for_escrow(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        parked: &ParkedSubmit,
        accept: &AcceptCall,
        error: &CallError,
    ) -> bool {
        if error.code != ErrorCode::BudgetSpent || now.since(parked.since) > self.config.grant_wait
        {
            return false;
        }
        let Some(worst_case) = worst_case(state, accept) else {
            return false;
        };
        let short = state
            .escrow()
            .first_short(&accept.limits.budgets, worst_case);
        let Some(short) = short else {
            return false;
        };
        if !self.grants.may_help(&short, parked) {
            return false;
        }
        self.ask_for_escrow(now, state, short, worst_case);
        self.grants.parked.push(parked.clone());
        true
    }

    /// Asks the controller for enough to cover `needed` and some more.
    fn ask_for_escrow(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        budget: BudgetPeriod,
        needed: Tokens,
    ) {
        if self.grants.asked.contains_key(&budget) {
            return;
        }
        let last = state
            .escrow()
            .account(&budget)
            .map_or(0, |account| account.last_grant);
        let multiple = self
            .grants
            .next_multiple(now, &budget.branch, &self.config.grant_pace);
        let wanted = Tokens(needed.0.saturating_mul(multiple));
        let request = GrantRequest {
            shard: self.config.shard,
            generation: state.generation(),
            number: last + 1,
            branch: budget.branch.clone(),
            period: budget.period,
            wanted: wanted.saturating_sub(state.escrow().available(&budget)),
            needed: needed.saturating_sub(state.escrow().available(&budget)),
        };
        self.outputs
            .push(ShardOutput::RequestGrant(request.clone()));
        let asked = AskedGrant {
            request,
            sent_at: now,
            granted: None,
        };
        self.grants.asked.insert(budget, asked);
    }

    /// The controller's answer to a request for escrow.
    pub fn on_grant(&mut self, now: Timestamp, state: &ShardState, grant: Grant) {
        let budget = BudgetPeriod {
            branch: grant.request.branch.clone(),
            period: grant.request.period,
        };
        let purpose = Purpose::Grant(budget.clone());
        let asked = self.grants.asked.get(&budget);
        // A late answer to a lost generation names a number that this one uses again.
        let is_asked = asked.is_some_and(|asked| asked.request == grant.request);
        if self.term().is_none() || !is_asked || self.proposals.contains(&purpose) {
            return;
        }
        let last = state
            .escrow()
            .account(&budget)
            .map_or(0, |account| account.last_grant);
        if grant.request.number != last + 1 {
            return;
        }
        if let Some(asked) = self.grants.asked.get_mut(&budget) {
            asked.granted = Some(grant.granted);
        }
        let settings = self.settings().ok();
        let period_ends_at = settings.map_or(now, |settings| settings.period_end(&budget));
        let apply = ApplyGrant {
            grant,
            period_ends_at,
        };
        self.propose(now, purpose, CommandBody::ApplyGrant(apply));
    }

    /// Escrow arrived: the calls that waited for it try again. More may wait than it covers; those ask once more,
    /// unless the budget is spent.
    pub(super) fn granted(&mut self, now: Timestamp, state: &ShardState, budget: &BudgetPeriod) {
        let asked = self.grants.asked.remove(budget);
        let is_spent = asked.is_some_and(|asked| asked.shows_budget_spent());
        self.grants.used_at.insert(budget.clone(), now);
        for mut parked in self.grants.take_parked() {
            if is_spent {
                parked.tried_after_grant(budget);
            }
            self.try_submit(now, state, parked);
        }
    }

    /// Notes that a branch's escrow is in use, and asks for more when the next such call would not be covered.
    pub(super) fn note_escrow_use(&mut self, now: Timestamp, state: &ShardState, call: CallId) {
        let Some(open) = state.open_call(call) else {
            return;
        };
        let reservation = open.reservation.clone();
        for budget in reservation.budgets {
            self.grants.used_at.insert(budget.clone(), now);
            if state.escrow().available(&budget) < reservation.tokens {
                self.ask_for_escrow(now, state, budget, reservation.tokens);
            }
        }
    }

    /// Sends requests again, refuses calls that waited too long, and gives idle escrow back.
    pub(super) fn tend_escrow(&mut self, now: Timestamp, state: &ShardState) {
        self.resend_requests(now);
        self.refuse_overdue(now, state);
        if now.since(self.grants.returned_at) >= self.config.grant_resend {
            self.grants.returned_at = now;
            self.resend_returns(state);
            self.return_idle(now, state);
        }
    }

    fn resend_requests(&mut self, now: Timestamp) {
        for asked in self.grants.asked.values_mut() {
            if now.since(asked.sent_at) >= self.config.grant_resend {
                asked.sent_at = now;
                let request = asked.request.clone();
                self.outputs.push(ShardOutput::RequestGrant(request));
            }
        }
    }

    fn refuse_overdue(&mut self, now: Timestamp, state: &ShardState) {
        let limit = self.config.grant_wait;
        let is_overdue = |parked: &ParkedSubmit| now.since(parked.since) > limit;
        let parked = self.grants.take_parked();
        let (overdue, rest) = parked.into_iter().partition(is_overdue);
        self.grants.parked = rest;
        let overdue: Vec<ParkedSubmit> = overdue;
        for parked in overdue {
            let branch = state
                .program(parked.submit.program)
                .map(|record| &record.branch);
            let error = match branch {
                Some(branch) => verdicts::no_grant(branch),
                None => verdicts::never_proposed(),
            };
            self.reply_error(parked.token, error);
        }
        if self.grants.parked.is_empty() {
            self.forget_old_requests(now);
        }
    }

    /// A controller that stays silent is asked no more once nobody waits.
    fn forget_old_requests(&mut self, now: Timestamp) {
        let limit = self.config.grant_wait;
        let used_at = &self.grants.used_at;
        self.grants.asked.retain(|budget, _| {
            let used = used_at.get(budget).copied().unwrap_or_default();
            now.since(used) <= limit
        });
    }

    fn return_idle(&mut self, now: Timestamp, state: &ShardState) {
        let idle = self.config.escrow_idle;
        let mut idle_budgets = Vec::new();
        for (budget, account) in state.escrow().accounts() {
            let used = *self.grants.used_at.entry(budget.clone()).or_insert(now);
            let is_idle = now.since(used) >= idle && account.reserved == Tokens::ZERO;
            let has_unspent = account.available() > Tokens::ZERO;
            if is_idle && has_unspent && account.pending_return.is_none() {
                idle_budgets.push(budget.clone());
            }
        }
        let known: Vec<&BudgetPeriod> = state
            .escrow()
            .accounts()
            .map(|(budget, _)| budget)
            .collect();
        self.grants
            .used_at
            .retain(|budget, _| known.contains(&budget));
        for budget in idle_budgets {
            let purpose = Purpose::Return(budget.clone());
            if !self.proposals.contains(&purpose) {
                self.propose(now, purpose, CommandBody::ReturnEscrow(budget));
            }
        }
    }

    pub(super) fn resend_returns(&mut self, state: &ShardState) {
        for (_, account) in state.escrow().accounts() {
            if let Some(returned) = &account.pending_return {
                self.outputs
                    .push(ShardOutput::ReturnGrant(returned.clone()));
            }
        }
    }

    /// The controller has taken a return.
    pub fn on_grant_returned(&mut self, now: Timestamp, state: &ShardState, taken: GrantReturn) {
        let mut accounts = state.escrow().accounts();
        if accounts.any(|(_, account)| account.pending_return.as_ref() == Some(&taken)) {
            self.propose(now, Purpose::Upkeep, CommandBody::ReturnTaken(taken));
        }
    }
}

impl GrantTable {
    /// Whether asking for this budget could still let the call through.
    fn may_help(&self, budget: &BudgetPeriod, parked: &ParkedSubmit) -> bool {
        !parked.granted.contains(budget)
    }
}

impl ParkedSubmit {
    /// Notes that this budget was found spent while the call waited, so that it does not ask again.
    fn tried_after_grant(&mut self, budget: &BudgetPeriod) {
        if !self.granted.contains(budget) {
            self.granted.push(budget.clone());
        }
    }
}

fn worst_case(state: &ShardState, accept: &AcceptCall) -> Option<Tokens> {
    let program = state.program(accept.call.program)?;
    let size = program.history.prompt_size(&accept.model, &accept.messages);
    Some(size.worst_case.saturating_add(accept.max_output))
}
