//! The shard's part of branch budgets: escrow granted by the controller, reserved before and settled after.
//!
//! Invariant for each branch and period: spent + reserved ≤ granted, as long as engines count no more than the
//! worst case that was reserved. A settlement always goes to the period in which it was reserved.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    ShardId, Timestamp, Tokens,
    control::{Grant, GrantReturn},
    shard::EscrowBalance,
};
use serde::{Deserialize, Serialize};

use crate::command::{ApplyGrant, BudgetPeriod};

/// How long the account of a period is kept after its end. A leader whose clock lags further behind could ask
/// for the period's first grant again.
const KEPT_AFTER_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// The escrow of one branch in one period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowAccount {
    /// Tokens granted and not given back.
    pub granted: Tokens,
    /// Tokens spent, as engines counted, or at the worst case where that is unknown.
    pub spent: Tokens,
    /// Tokens reserved by attempts under way.
    pub reserved: Tokens,
    /// Tokens spent beyond the reservation that covered them; engines that count more than the worst case.
    pub overdrawn: Tokens,
    /// Number of the last grant applied; the next request carries the next number.
    pub last_grant: u64,
    /// Number of the last return made.
    pub last_return: u64,
    /// When the period ends.
    pub period_ends_at: Timestamp,
    /// A return that the controller has not confirmed.
    pub pending_return: Option<GrantReturn>,
}

impl EscrowAccount {
    /// Tokens that may still be reserved.
    pub fn available(&self) -> Tokens {
        let bound = self.spent.saturating_add(self.reserved);
        self.granted.saturating_sub(bound)
    }

    fn is_old(&self, now: Timestamp) -> bool {
        let is_quiet = self.reserved == Tokens::ZERO && self.pending_return.is_none();
        is_quiet && self.period_ends_at + KEPT_AFTER_PERIOD < now
    }
}

/// All escrow of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowLedger {
    accounts: BTreeMap<BudgetPeriod, EscrowAccount>,
}

/// Tokens reserved for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The worst case of the attempt.
    pub tokens: Tokens,
    /// The budgets that cover it, each in full.
    pub budgets: Vec<BudgetPeriod>,
}

impl EscrowLedger {
    /// The account of a branch in a period.
    pub fn account(&self, budget: &BudgetPeriod) -> Option<&EscrowAccount> {
        self.accounts.get(budget)
    }

    /// All accounts, by branch and period.
    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetPeriod, &EscrowAccount)> {
        self.accounts.iter()
    }

    /// Tokens that may still be reserved from a budget.
    pub fn available(&self, budget: &BudgetPeriod) -> Tokens {
        self.account(budget)
            .map_or(Tokens::ZERO, EscrowAccount::available)
    }

    /// The first of the budgets that does not cover `tokens`.
    pub fn first_short(&self, budgets: &[BudgetPeriod], tokens: Tokens) -> Option<BudgetPeriod> {
        let short = |budget: &&BudgetPeriod| self.available(budget) < tokens;
        budgets.iter().find(short).cloned()
    }

    /// Reserves `tokens` from every budget; the caller has checked that all cover them.
    pub fn reserve(&mut self, budgets: Vec<BudgetPeriod>, tokens: Tokens) -> Reservation {
        for budget in &budgets {
            let account = self.accounts.entry(budget.clone()).or_default();
            account.reserved = account.reserved.saturating_add(tokens);
        }
        Reservation { tokens, budgets }
    }

    /// Ends a reservation and records what was spent of it.
    pub fn settle(&mut self, reservation: &Reservation, spent: Tokens) {
        for budget in &reservation.budgets {
            let account = self.accounts.entry(budget.clone()).or_default();
            account.reserved = account.reserved.saturating_sub(reservation.tokens);
            account.spent = account.spent.saturating_add(spent);
            let beyond = spent.saturating_sub(reservation.tokens);
            account.overdrawn = account.overdrawn.saturating_add(beyond);
        }
    }

    /// Adds a grant; false if it was added before or is not the next one.
    pub fn apply_grant(&mut self, apply: &ApplyGrant) -> bool {
        let grant = &apply.grant;
        let account = self.accounts.entry(budget_of_grant(grant)).or_default();
        account.period_ends_at = account.period_ends_at.max(apply.period_ends_at);
        if grant.request.number != account.last_grant + 1 {
            return false;
        }
        account.last_grant = grant.request.number;
        account.granted = account.granted.saturating_add(grant.granted);
        true
    }

    /// Takes what is not reserved or spent out of an account, unless an earlier return is still unconfirmed.
    pub fn begin_return(
        &mut self,
        shard: ShardId,
        generation: u32,
        budget: &BudgetPeriod,
    ) -> Option<GrantReturn> {
        let account = self.accounts.get_mut(budget)?;
        let unspent = account.available();
        if account.pending_return.is_some() || unspent == Tokens::ZERO {
            return None;
        }
        account.granted = account.granted.saturating_sub(unspent);
        account.last_return += 1;
        let returned = GrantReturn {
            shard,
            generation,
            number: account.last_return,
            branch: budget.branch.clone(),
            period: budget.period,
            returned: unspent,
        };
        account.pending_return = Some(returned.clone());
        Some(returned)
    }

    /// Forgets a return that the controller has taken.
    pub fn finish_return(&mut self, taken: &GrantReturn) {
        let budget = BudgetPeriod {
            branch: taken.branch.clone(),
            period: taken.period,
        };
        if let Some(account) = self.accounts.get_mut(&budget)
            && account.pending_return.as_ref() == Some(taken)
        {
            account.pending_return = None;
        }
    }

    /// Drops accounts of periods that ended long ago, once nothing of them is under way.
    pub fn drop_old_periods(&mut self, now: Timestamp) {
        self.accounts.retain(|_, account| !account.is_old(now));
    }

    /// Whether an account could be dropped.
    pub fn has_old_periods(&self, now: Timestamp) -> bool {
        self.accounts.values().any(|account| account.is_old(now))
    }

    /// The balances as operators see them.
    pub fn balances(&self) -> impl Iterator<Item = (&BudgetPeriod, EscrowBalance)> {
        self.accounts.iter().map(|(budget, account)| {
            let balance = EscrowBalance {
                period: budget.period,
                granted: account.granted,
                spent: account.spent,
                reserved: account.reserved,
            };
            (budget, balance)
        })
    }
}

fn budget_of_grant(grant: &Grant) -> BudgetPeriod {
    BudgetPeriod {
        branch: grant.request.branch.clone(),
        period: grant.request.period,
    }
}
