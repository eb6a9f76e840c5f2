//! Model of a shard: the production escrow accounts and the leader that uses them.

use courseshed_programs::{
    ApplyGrant, BudgetPeriod,
    escrow::{EscrowLedger, Reservation},
};
use courseshed_types::{
    ShardId, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn},
};

use super::scenario::{Defect, ShardWork};

/// Tokens per grant request.
pub(super) const WANTED: Tokens = Tokens(2);
/// Maximum tokens of an attempt.
pub(super) const WORST_CASE: Tokens = Tokens(1);

/// One shard: its replicated state and the state of its leader.
#[derive(Debug, Clone)]
pub(super) struct ModelShard {
    pub id: ShardId,
    pub generation: u32,
    pub escrow: EscrowLedger,
    pub attempts: Vec<Reservation>,
    /// Pending requests of the current leader; lost when the leader is lost.
    pub pending: Vec<GrantRequest>,
    /// Index of the settings that the shard has received.
    pub received_settings: usize,
    pub remaining: ShardWork,
}

impl ModelShard {
    pub fn new(id: u32, work: ShardWork) -> ModelShard {
        ModelShard {
            id: ShardId(id),
            generation: 1,
            escrow: EscrowLedger::default(),
            attempts: Vec::new(),
            pending: Vec::new(),
            received_settings: 0,
            remaining: work,
        }
    }

    /// Loses all replicas and starts the next generation without data.
    pub fn bootstrap_again(&mut self, defect: Defect) {
        let starts_generation = defect != Defect::GenerationIgnored;
        self.generation += u32::from(starts_generation);
        self.escrow = EscrowLedger::default();
        self.attempts.clear();
        self.pending.clear();
    }

    /// Creates a grant request for a budget, unless one is pending.
    pub fn request_grant(&mut self, budget: &BudgetPeriod) -> Option<GrantRequest> {
        let is_pending = self
            .pending
            .iter()
            .any(|pending| budget_of(pending) == *budget);
        if is_pending || self.remaining.requests == 0 {
            return None;
        }
        self.remaining.requests -= 1;
        let last = self.escrow.account(budget);
        let request = GrantRequest {
            shard: self.id,
            generation: self.generation,
            number: last.map_or(0, |account| account.last_grant) + 1,
            branch: budget.branch.clone(),
            period: budget.period,
            wanted: WANTED,
            needed: WANTED,
        };
        self.pending.push(request.clone());
        Some(request)
    }

    /// Handles a grant; applies it if it matches a pending request.
    pub fn on_grant(&mut self, grant: &Grant, defect: Defect) {
        let matches = |pending: &GrantRequest| match defect {
            Defect::ReplyNotMatched => {
                budget_of(pending) == budget_of(&grant.request)
                    && pending.number == grant.request.number
            }
            _ => *pending == grant.request,
        };
        let position = self.pending.iter().position(matches);
        if position.is_none() && defect != Defect::GrantAppliedTwice {
            return;
        }
        let mut grant = grant.clone();
        if defect == Defect::GrantAppliedTwice {
            let account = self.escrow.account(&budget_of(&grant.request));
            grant.request.number = account.map_or(0, |account| account.last_grant) + 1;
        }
        self.escrow.apply_grant(&ApplyGrant {
            grant,
            period_ends_at: Timestamp::MAX,
        });
        if let Some(position) = position {
            self.pending.remove(position);
        }
    }

    /// Starts an attempt if the escrow of every budget covers it.
    pub fn start_attempt(&mut self, budgets: Vec<BudgetPeriod>) -> bool {
        let is_insufficient = self.escrow.first_short(&budgets, WORST_CASE).is_some();
        if is_insufficient || self.remaining.attempts == 0 || budgets.is_empty() {
            return false;
        }
        self.remaining.attempts -= 1;
        let reservation = self.escrow.reserve(budgets, WORST_CASE);
        self.attempts.push(reservation);
        true
    }

    /// Ends the oldest attempt and returns the budgets charged.
    pub fn end_attempt(
        &mut self,
        spent: Tokens,
        period: u64,
        defect: Defect,
    ) -> Option<Vec<BudgetPeriod>> {
        if self.attempts.is_empty() {
            return None;
        }
        let mut reservation = self.attempts.remove(0);
        let charged = reservation.budgets.clone();
        if defect == Defect::SettledInCurrentPeriod {
            for budget in &mut reservation.budgets {
                budget.period = period;
            }
        }
        self.escrow.settle(&reservation, spent);
        Some(charged)
    }

    /// Returns unspent tokens of a budget.
    pub fn return_unspent(&mut self, budget: &BudgetPeriod, defect: Defect) -> Option<GrantReturn> {
        let is_in_use = self
            .attempts
            .iter()
            .any(|attempt| attempt.budgets.contains(budget));
        if self.remaining.returns == 0 || is_in_use {
            return None;
        }
        let returned = if defect == Defect::ReturnNotCommitted {
            self.clone()
                .escrow
                .begin_return(self.id, self.generation, budget)
        } else {
            self.escrow.begin_return(self.id, self.generation, budget)
        };
        self.remaining.returns -= u8::from(returned.is_some());
        returned
    }

    /// Whether the shard has no pending requests or returns.
    pub fn is_idle(&self) -> bool {
        let mut accounts = self.escrow.accounts();
        self.pending.is_empty() && accounts.all(|(_, account)| account.pending_return.is_none())
    }

    /// Tokens of a budget that the shard has spent or can still spend.
    pub fn spent_or_spendable(&self, budget: &BudgetPeriod) -> Tokens {
        let account = self.escrow.account(budget);
        account.map_or(Tokens::ZERO, |account| {
            account
                .granted
                .max(account.spent.saturating_add(account.reserved))
        })
    }
}

pub(super) fn budget_of(request: &GrantRequest) -> BudgetPeriod {
    BudgetPeriod {
        branch: request.branch.clone(),
        period: request.period,
    }
}
