//! Reads the policy of a branch into the limits that commands carry.

use std::time::Duration;

use courseshed_types::{
    BranchPath, BranchPolicy, CallError, ErrorCode, ModelName, PolicySnapshot, Timestamp, Tokens,
    policy::{CutOffPolicy, PeriodBudget},
    program::NewProgram,
    shard::SubmitCall,
};

use crate::{
    command::{BranchLimit, BudgetPeriod, CallLimits, CreateProgram},
    digest::BodyDigest,
    program::ProgramRecord,
};

/// Aim and worth of numbers that make no sense are refused above this worth.
const MAX_WORTH: f64 = 1e9;

/// The settings a leader goes by, and until when it may.
#[derive(Debug, Clone, Copy)]
pub(super) struct Settings<'a> {
    pub policy: &'a PolicySnapshot,
    pub lease_valid_until: Timestamp,
    pub shards_in_region: u32,
    /// Shards over which the programs of one tenant are spread.
    pub shards_of_tenant: u32,
}

/// What the settings make of a call.
#[derive(Debug, Clone)]
pub(super) struct ResolvedCall {
    pub model: ModelName,
    pub max_output: Tokens,
    pub priority: i32,
    pub give_up_at: Timestamp,
    pub limits: CallLimits,
}

impl ResolvedCall {
    /// For a call that was accepted before: none of this is looked at.
    pub fn of_known_call() -> ResolvedCall {
        ResolvedCall {
            model: ModelName::from(""),
            max_output: Tokens::ZERO,
            priority: 0,
            give_up_at: Timestamp::ZERO,
            limits: CallLimits {
                turns: 0,
                history_tokens: Tokens::ZERO,
                calls_at_once: Vec::new(),
                budgets: Vec::new(),
            },
        }
    }
}

impl Settings<'_> {
    /// The policy of a branch that may start new work now.
    pub fn branch(&self, now: Timestamp, branch: &BranchPath) -> Result<&BranchPolicy, CallError> {
        let Some(policy) = self.policy.branch(branch) else {
            let message = format!("there is no branch {branch}");
            return Err(CallError::not_run(ErrorCode::NotFound, message));
        };
        if now > self.lease_valid_until && policy.when_cut_off == CutOffPolicy::Refuse {
            let message =
                "the settings lease has run out and the branch asks to start nothing then";
            let error = CallError::not_run(ErrorCode::SettingsLeaseExpired, message);
            return Err(error.retry_after(Duration::from_secs(1)));
        }
        Ok(policy)
    }

    /// The command that starts a program.
    pub fn create(&self, now: Timestamp, new: NewProgram) -> Result<CreateProgram, CallError> {
        let policy = self.branch(now, &new.branch)?;
        let kind = policy.kind(new.kind.as_deref());
        let worth = new.worth.unwrap_or(kind.worth);
        if !(0.0..=MAX_WORTH).contains(&worth) {
            let message = format!("worth must be a number from 0 to {MAX_WORTH}");
            return Err(CallError::not_run(ErrorCode::InvalidRequest, message));
        }
        let digest = BodyDigest::of_program(&new);
        Ok(CreateProgram {
            programs_at_once: self.limits(&new.branch, |policy| policy.limits.programs_at_once),
            aim: new.aim.or(kind.aim),
            worth,
            budget: policy.program_budget,
            depth_limit: policy.limits.depth,
            branch: new.branch,
            kind: new.kind,
            parent: new.parent,
            idempotency_key: new.idempotency_key,
            digest,
        })
    }

    /// What the policy allows a call of a program.
    pub fn call_limits(
        &self,
        now: Timestamp,
        program: &ProgramRecord,
        policy: &BranchPolicy,
    ) -> CallLimits {
        CallLimits {
            turns: policy.limits.turns,
            history_tokens: policy.limits.history_tokens,
            calls_at_once: self.limits(&program.branch, |policy| policy.limits.calls_at_once),
            budgets: self.budgets(now, &program.branch),
        }
    }

    /// The budgets that must cover an attempt now: of the branch and of all above it.
    pub fn budgets(&self, now: Timestamp, branch: &BranchPath) -> Vec<BudgetPeriod> {
        let budgeted = |branch: BranchPath| {
            let budget = self.policy.branch(&branch)?.budget?;
            let period = period_at(now, budget);
            Some(BudgetPeriod { branch, period })
        };
        branch.ancestry().filter_map(budgeted).collect()
    }

    /// When the current period of a branch's budget ends.
    pub fn period_end(&self, budget: &BudgetPeriod) -> Timestamp {
        let policy = self.policy.branch(&budget.branch);
        match policy.and_then(|policy| policy.budget) {
            Some(period) => Timestamp((budget.period + 1).saturating_mul(period_micros(period))),
            None => Timestamp::MAX,
        }
    }

    /// The model of a call.
    pub fn model(
        &self,
        policy: &BranchPolicy,
        submit: &SubmitCall,
    ) -> Result<ModelName, CallError> {
        let chosen = submit.call.model.clone().or(policy.default_model.clone());
        let Some(model) = chosen else {
            let message = "name a model: the branch has no default";
            return Err(CallError::not_run(ErrorCode::InvalidRequest, message));
        };
        let allowed = match policy.models.is_empty() {
            true => &self.policy.models,
            false => &policy.models,
        };
        if allowed.is_empty() || allowed.contains(&model) {
            return Ok(model);
        }
        let message = format!("the branch may not use model {model}");
        Err(CallError::not_run(ErrorCode::Forbidden, message))
    }

    fn limits(&self, branch: &BranchPath, of: impl Fn(&BranchPolicy) -> u32) -> Vec<BranchLimit> {
        let limit = |branch: BranchPath| {
            let limit = of(self.policy.branch(&branch)?);
            let limit = limit.div_ceil(self.shards_of(&branch).max(1));
            Some(BranchLimit { branch, limit })
        };
        branch.ancestry().filter_map(limit).collect()
    }

    /// Shards that the programs of a branch are spread over.
    fn shards_of(&self, branch: &BranchPath) -> u32 {
        match branch.is_root() {
            true => self.shards_in_region,
            false => self.shards_of_tenant,
        }
    }
}

/// The most tokens a call may generate.
pub(super) fn max_output(policy: &BranchPolicy, submit: &SubmitCall) -> Tokens {
    let limit = policy.limits.output_tokens;
    submit
        .call
        .max_tokens
        .map_or(limit, |asked| asked.min(limit))
}

fn period_at(now: Timestamp, budget: PeriodBudget) -> u64 {
    now.0 / period_micros(budget)
}

fn period_micros(budget: PeriodBudget) -> u64 {
    u64::try_from(budget.period.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
