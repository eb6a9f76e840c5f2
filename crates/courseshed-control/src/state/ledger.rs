//! Grants of budget to shards, as escrow.
//!
//! An account holds what shards have been granted of one branch's budget in one period. The sum of what they hold
//! never exceeds the budget in force when a grant is made. Lowering a budget below what is granted stops further
//! grants and takes nothing back: a shard that was granted tokens may be spending them just now.
//!
//! A branch and each budgeted branch above it have accounts of their own, with periods of their own; a shard holds
//! escrow of all of them before it lets an attempt start.
//!
//! A request gets what its call needs, and beyond that at most an eighth of what is left: a shard asks for minutes of
//! its spending at once, which must not keep the end of a budget from the others.
//!
//! Requests carry numbers that grow: the last number again gets the same grant, an older one is refused, so that
//! neither a resent request nor a late copy takes tokens twice. The numbers belong to a generation of the shard: one
//! that was lost takes what it held with it until the period is over. Unspent escrow of a period that is over lapses.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    BranchPath, CallError, ErrorCode, ShardId, Timestamp, Tokens,
    control::{Grant, GrantRequest, GrantReturn},
    policy::PeriodBudget,
};
use serde::{Deserialize, Serialize};

use crate::state::ApplyOutcome;

/// A request gets at most this part of what is left, unless the call that waits needs more.
const GRANT_PART: u64 = 8;
/// How long an account is kept that was made while its branch had no budget.
const KEPT_WITHOUT_BUDGET: Duration = Duration::from_secs(2 * 24 * 60 * 60);

/// One branch's budget in one period.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct AccountId {
    branch: BranchPath,
    period: u64,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Account {
    /// When the account may be forgotten.
    forget_at: Timestamp,
    /// Tokens that shards hold.
    held: Tokens,
    shards: BTreeMap<ShardId, ShardEscrow>,
}

impl Account {
    /// Grants what is wanted as far as it is left, once for each number.
    fn grant_within(&mut self, request: &GrantRequest, limit: Tokens) -> Result<Tokens, CallError> {
        let escrow = self.shards.entry(request.shard).or_default();
        escrow.meet_generation(request)?;
        if request.number == escrow.last_request {
            return Ok(escrow.last_granted);
        }
        if request.number < escrow.last_request {
            return Err(refused(format!(
                "request {} of shard {} is older than its request {}",
                request.number, request.shard, escrow.last_request
            )));
        }
        let left = limit.saturating_sub(self.held);
        let granted = request.wanted.min(part_of(left, request.needed));
        escrow.last_request = request.number;
        escrow.last_granted = granted;
        escrow.held = escrow.held.saturating_add(granted);
        self.held = self.held.saturating_add(granted);
        Ok(granted)
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ShardEscrow {
    /// The generation of the shard that the numbers below belong to.
    generation: u32,
    last_request: u64,
    last_granted: Tokens,
    last_return: u64,
    held: Tokens,
}

impl ShardEscrow {
    /// A new generation of a shard has forgotten what it was granted, so its numbers start afresh. What the lost one
    /// held stays held until the period is over, since it may have been spent.
    fn meet_generation(&mut self, request: &GrantRequest) -> Result<(), CallError> {
        if request.generation < self.generation {
            return Err(refused(format!(
                "generation {} of shard {} was lost; generation {} has been founded since",
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

/// The last grant made to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastGrant {
    /// The number of the request.
    pub number: u64,
    /// Tokens granted.
    pub granted: Tokens,
}

/// All accounts of periods that are not long over.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BudgetLedger {
    accounts: BTreeMap<AccountId, Account>,
}

impl BudgetLedger {
    /// Tokens of a branch's budget that shards hold in a period, spent or not.
    pub fn held(&self, branch: &BranchPath, period: u64) -> Tokens {
        let id = AccountId {
            branch: branch.clone(),
            period,
        };
        self.accounts
            .get(&id)
            .map_or(Tokens::ZERO, |account| account.held)
    }

    /// The last grant made to a shard out of a branch's budget of a period.
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

    /// Accounts kept.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    pub(super) fn grant(
        &mut self,
        at: Timestamp,
        request: GrantRequest,
        budget: Result<Option<PeriodBudget>, CallError>,
    ) -> Result<ApplyOutcome, CallError> {
        self.forget_old(at);
        let Some(budget) = budget? else {
            let granted = self.grant_without_budget(at, &request)?;
            return Ok(ApplyOutcome::Granted(Grant { request, granted }));
        };
        if !period_is_near(at, request.period, budget.period) {
            return Err(refused(format!(
                "period {} of {} is not the present one nor next to it",
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
        account.grant_within(request, budget.tokens)
    }

    /// A shard that has not seen yet that a budget was lifted asks all the same. It gets all it wants, and that is
    /// accounted for: the budget may be set again while the shard still holds the tokens.
    fn grant_without_budget(
        &mut self,
        at: Timestamp,
        request: &GrantRequest,
    ) -> Result<Tokens, CallError> {
        let account = self.account_for(request);
        account.forget_at = account.forget_at.max(at + KEPT_WITHOUT_BUDGET);
        account.grant_within(request, Tokens(u64::MAX))
    }

    fn account_for(&mut self, request: &GrantRequest) -> &mut Account {
        let id = AccountId {
            branch: request.branch.clone(),
            period: request.period,
        };
        self.accounts.entry(id).or_default()
    }

    pub(super) fn give_back(&mut self, returned: &GrantReturn) -> Result<ApplyOutcome, CallError> {
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

    fn forget_old(&mut self, at: Timestamp) {
        self.accounts.retain(|_, account| account.forget_at > at);
    }
}

/// The most that one request gets, so that a shard which asks for much leaves something for the others.
fn part_of(left: Tokens, needed: Tokens) -> Tokens {
    Tokens(left.0 / GRANT_PART).max(needed).min(left)
}

/// Clocks differ, so the periods next to the present one are accepted too.
fn period_is_near(at: Timestamp, period: u64, length: Duration) -> bool {
    let length = length.as_micros().max(1);
    let present = u64::try_from(u128::from(at.0) / length).unwrap_or(u64::MAX);
    present.abs_diff(period) <= 1
}

/// Two periods after the end: no request is accepted for it any more.
fn forget_at(period: u64, length: Duration) -> Timestamp {
    let micros = length.as_micros().saturating_mul(u128::from(period) + 3);
    Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn refused(message: String) -> CallError {
    CallError::not_run(ErrorCode::InvalidRequest, message)
}
