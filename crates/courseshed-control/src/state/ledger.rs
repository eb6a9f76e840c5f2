//! Ledger of budget grants that shards hold as escrow.
//!
//! An account records the grants to shards from one branch's budget in one period. A grant never raises the total
//! above the budget in force at that time. Lowering a budget below the granted total stops further grants but revokes
//! none, because a shard may already be spending its tokens.
//!
//! A branch and each budgeted ancestor have separate accounts with separate periods; a shard needs escrow from all of
//! them before it starts an attempt.
//!
//! A request is granted what its call needs, or up to an eighth of the remaining budget if that is more, so that one
//! shard can't exhaust a nearly spent budget by requesting in advance.
//!
//! Request numbers increase: repeating the last number returns the same grant and older numbers are rejected, so
//! resent or delayed requests are not granted twice. Numbers belong to a generation of the shard. Escrow of a lost
//! generation stays held until the end of the period. Unspent escrow lapses with its period.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    BranchPath, CallError, ErrorCode, ShardId, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn},
    policy::PeriodBudget,
};
use serde::{Deserialize, Serialize};

use crate::state::ApplyOutcome;

/// A grant is at most the remaining budget divided by this, unless the pending call needs more.
const MAX_GRANT_DIVISOR: u64 = 8;
/// Retention time of accounts for grants made while the branch had no budget.
const UNBUDGETED_RETENTION: Duration = Duration::from_secs(2 * 24 * 60 * 60);

/// Identifies one branch's budget in one period.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct AccountId {
    branch: BranchPath,
    period: u64,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Account {
    /// Time after which the account is deleted.
    forget_at: Timestamp,
    /// Tokens held by shards.
    held: Tokens,
    shards: BTreeMap<ShardId, ShardEscrow>,
}

impl Account {
    /// Grants the requested tokens up to the remaining budget, once per request number.
    fn grant_up_to(&mut self, request: &GrantRequest, limit: Tokens) -> Result<Tokens, CallError> {
        let escrow = self.shards.entry(request.shard).or_default();
        escrow.advance_generation(request)?;
        if request.number == escrow.last_request {
            return Ok(escrow.last_granted);
        }
        if request.number < escrow.last_request {
            return Err(rejected(format!(
                "grant request {} of shard {} is older than its last request {}",
                request.number, request.shard, escrow.last_request
            )));
        }
        let left = limit.saturating_sub(self.held);
        let granted = request.wanted.min(max_grant(left, request.needed));
        escrow.last_request = request.number;
        escrow.last_granted = granted;
        escrow.held = escrow.held.saturating_add(granted);
        self.held = self.held.saturating_add(granted);
        Ok(granted)
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ShardEscrow {
    /// Shard generation to which the numbers below belong.
    generation: u32,
    last_request: u64,
    last_granted: Tokens,
    last_return: u64,
    held: Tokens,
}

impl ShardEscrow {
    /// Resets the request numbers for a new generation of the shard, which has no record of earlier grants. Tokens of
    /// the lost generation stay held until the period ends, since they may have been spent.
    fn advance_generation(&mut self, request: &GrantRequest) -> Result<(), CallError> {
        if request.generation < self.generation {
            return Err(rejected(format!(
                "generation {} of shard {} was lost and replaced by generation {}",
                request.generation, request.shard, self.generation
            )));
        }
        if request.generation > self.generation {
            *self = ShardEscrow {
                generation: request.generation,
                held: self.held,
                ..ShardEscrow::default()
            };
        }
        Ok(())
    }
}

/// The last grant to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastGrant {
    /// The request number.
    pub number: u64,
    /// Tokens granted.
    pub granted: Tokens,
}

/// Accounts of current and recent periods.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BudgetLedger {
    accounts: BTreeMap<AccountId, Account>,
}

impl BudgetLedger {
    /// Tokens of a branch's budget that shards hold in a period, whether spent or not.
    pub fn held(&self, branch: &BranchPath, period: u64) -> Tokens {
        let id = AccountId {
            branch: branch.clone(),
            period,
        };
        self.accounts
            .get(&id)
            .map_or(Tokens::ZERO, |account| account.held)
    }

    /// The last grant to a shard from a branch's budget in a period.
    pub fn last_grant(
        &self,
        shard: ShardId,
        branch: &BranchPath,
        period: u64,
    ) -> Option<LastGrant> {
        let id = AccountId {
            branch: branch.clone(),
            period,
        };
        let escrow = self.accounts.get(&id)?.shards.get(&shard)?;
        Some(LastGrant {
            number: escrow.last_request,
            granted: escrow.last_granted,
        })
    }

    /// Number of accounts.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    pub(super) fn grant(
        &mut self,
        at: Timestamp,
        request: GrantRequest,
        budget: Result<Option<PeriodBudget>, CallError>,
    ) -> Result<ApplyOutcome, CallError> {
        self.delete_expired(at);
        let Some(budget) = budget? else {
            let granted = self.grant_without_budget(at, &request)?;
            return Ok(ApplyOutcome::Granted(Grant { request, granted }));
        };
        if !is_current_or_adjacent(at, request.period, budget.period) {
            return Err(rejected(format!(
                "budget period {} of {} is neither the current period nor adjacent to it",
                request.period, request.branch
            )));
        }
        let granted = self.grant_in_period(&request, budget)?;
        Ok(ApplyOutcome::Granted(Grant { request, granted }))
    }

    fn grant_in_period(
        &mut self,
        request: &GrantRequest,
        budget: PeriodBudget,
    ) -> Result<Tokens, CallError> {
        let account = self.account_for(request);
        account.forget_at = forget_at(request.period, budget.period).max(account.forget_at);
        account.grant_up_to(request, budget.tokens)
    }

    /// Grants a request in full for a branch without a budget, which a shard with outdated settings may still send. The
    /// grant is recorded, because the budget may be set again while the shard holds the tokens.
    fn grant_without_budget(
        &mut self,
        at: Timestamp,
        request: &GrantRequest,
    ) -> Result<Tokens, CallError> {
        let account = self.account_for(request);
        account.forget_at = account.forget_at.max(at + UNBUDGETED_RETENTION);
        account.grant_up_to(request, Tokens(u64::MAX))
    }

    fn account_for(&mut self, request: &GrantRequest) -> &mut Account {
        let id = AccountId {
            branch: request.branch.clone(),
            period: request.period,
        };
        self.accounts.entry(id).or_default()
    }

    pub(super) fn return_grant(
        &mut self,
        returned: &GrantReturn,
    ) -> Result<ApplyOutcome, CallError> {
        let id = AccountId {
            branch: returned.branch.clone(),
            period: returned.period,
        };
        let Some(account) = self.accounts.get_mut(&id) else {
            return Ok(ApplyOutcome::Done);
        };
        let Some(escrow) = account.shards.get_mut(&returned.shard) else {
            return Ok(ApplyOutcome::Done);
        };
        if returned.generation == escrow.generation && returned.number > escrow.last_return {
            let tokens = returned.returned.min(escrow.held);
            escrow.last_return = returned.number;
            escrow.held = escrow.held.saturating_sub(tokens);
            account.held = account.held.saturating_sub(tokens);
        }
        Ok(ApplyOutcome::Done)
    }

    fn delete_expired(&mut self, at: Timestamp) {
        self.accounts.retain(|_, account| account.forget_at > at);
    }
}

/// Maximum grant for one request.
fn max_grant(left: Tokens, needed: Tokens) -> Tokens {
    Tokens(left.0 / MAX_GRANT_DIVISOR).max(needed).min(left)
}

/// Whether a period is current or adjacent to it; adjacent periods are accepted because of clock skew.
fn is_current_or_adjacent(at: Timestamp, period: u64, length: Duration) -> bool {
    let length = length.as_micros().max(1);
    let current = u64::try_from(u128::from(at.0) / length).unwrap_or(u64::MAX);
    current.abs_diff(period) <= 1
}

/// Deletion time of an account: two periods after its own, when no more requests for it are accepted.
fn forget_at(period: u64, length: Duration) -> Timestamp {
    let micros = length.as_micros().saturating_mul(u128::from(period) + 3);
    Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn rejected(message: String) -> CallError {
    CallError::not_run(ErrorCode::InvalidRequest, message)
}
