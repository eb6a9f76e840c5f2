//! A shard's side: the real accounts, and what its leader does with them.

use courseshed_programs::{
    ApplyGrant, BudgetPeriod,
    escrow::{EscrowLedger, Reservation},
};
use courseshed_types::{
    ShardId, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn},
};

use super::scenario::{Defect, ShardWork};

/// Tokens a leader asks for.
pub(super) const WANTED: Tokens = Tokens(2);
/// The worst case of an attempt.
pub(super) const WORST_CASE: Tokens = Tokens(1);

/// One shard: what is replicated, and what its leader remembers.
#[derive(Debug, Clone)]
pub(super) struct ModelShard {
    pub id: ShardId,
    pub generation: u32,
    pub escrow: EscrowLedger,
    pub attempts: Vec<Reservation>,
    /// What the present leader has asked for; lost with it.
    pub asked: Vec<GrantRequest>,
    /// Settings as far as the shard has heard.
    pub settings_seen: usize,
    pub left: ShardWork,
}

impl ModelShard {
    pub fn new(id: u32, work: ShardWork) -> ModelShard {
        ModelShard {
            id: ShardId(id),
            generation: 1,
            escrow: EscrowLedger::default(),
            attempts: Vec::new(),
            asked: Vec::new(),
            settings_seen: 0,
            left: work,
        }
    }

    /// All replicas are lost; the next generation knows nothing.
    pub fn found_again(&mut self, defect: Defect) {
        let is_renumbered = defect != Defect::GenerationIgnored;
        self.generation += u32::from(is_renumbered);
        self.escrow = EscrowLedger::default();
        self.attempts.clear();
        self.asked.clear();
    }

    /// The request for a budget, unless one is under way.
    pub fn ask(&mut self, budget: &BudgetPeriod) -> Option<GrantRequest> {
        let is_asked = self.asked.iter().any(|asked| budget_of(asked) == *budget);
        if is_asked || self.left.requests == 0 {
            return None;
        }
        self.left.requests -= 1;
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
        self.asked.push(request.clone());
        Some(request)
    }

    /// An answer: committed if it is the one waited for.
    pub fn on_grant(&mut self, grant: &Grant, defect: Defect) {
        let is_same = |asked: &GrantRequest| match defect {
            Defect::AnswerNotMatched => {
                budget_of(asked) == budget_of(&grant.request)
                    && asked.number == grant.request.number
            }
            _ => *asked == grant.request,
        };
        let place = self.asked.iter().position(is_same);
        if place.is_none() && defect != Defect::GrantAppliedTwice {
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
        if let Some(place) = place {
            self.asked.remove(place);
        }
    }

    /// Begins an attempt if every budget covers it.
    pub fn begin_attempt(&mut self, budgets: Vec<BudgetPeriod>) -> bool {
        let is_short = self.escrow.first_short(&budgets, WORST_CASE).is_some();
        if is_short || self.left.attempts == 0 || budgets.is_empty() {
            return false;
        }
        self.left.attempts -= 1;
        let reservation = self.escrow.reserve(budgets, WORST_CASE);
        self.attempts.push(reservation);
        true
    }

    /// Ends the first attempt; what it was charged to.
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
        if defect == Defect::SettledInPresentPeriod {
            for budget in &mut reservation.budgets {
                budget.period = period;
            }
        }
        self.escrow.settle(&reservation, spent);
        Some(charged)
    }

    /// Gives back what is unspent of a budget.
    pub fn give_back(&mut self, budget: &BudgetPeriod, defect: Defect) -> Option<GrantReturn> {
        let is_used = self
            .attempts
            .iter()
            .any(|attempt| attempt.budgets.contains(budget));
        if self.left.returns == 0 || is_used {
            return None;
        }
        let returned = if defect == Defect::ReturnNotCommitted {
            self.clone()
                .escrow
                .begin_return(self.id, self.generation, budget)
        } else {
            self.escrow.begin_return(self.id, self.generation, budget)
        };
        self.left.returns -= u8::from(returned.is_some());
        returned
    }

    /// Whether nothing of the shard is under way.
    pub fn is_quiet(&self) -> bool {
        let mut accounts = self.escrow.accounts();
        self.asked.is_empty() && accounts.all(|(_, account)| account.pending_return.is_none())
    }

    /// What the shard has spent and may still spend of a budget.
    pub fn holds(&self, budget: &BudgetPeriod) -> Tokens {
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
