//! The rules that decide what may be said about whether a request ran, and whether it may run again.
//!
//! All refusals of the shard are worded here, so that the verdicts can be checked in one place. An error that
//! is not committed speaks about the copy of the request that was refused; a committed outcome speaks about the
//! call for ever.

mod attempt_end;

use std::time::Duration;

use courseshed_types::{
    BranchPath, CallError, ErrorCode, ProgramId, Sequence, Tokens, Verdict, program::EndReason,
};

pub use self::attempt_end::{AttemptEnd, AttemptLimits, NextStep};

/// How long a caller should wait before a call that came too early is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(500);
/// How long a caller should wait when a limit of calls or programs at once is reached.
const LIMIT_RETRY: Duration = Duration::from_secs(1);
/// How long a caller should wait before asking a shard that changes its leader.
const LEADER_RETRY: Duration = Duration::from_millis(500);

/// How to find out what became of a call in doubt.
const ASK_AGAIN: &str = "send the same call again with the same sequence or idempotency key, \
     or read the program, to learn what became of it";

/// No such program. A program that existed may have run what is asked for again.
pub fn missing_program(program: ProgramId, was_created: bool) -> CallError {
    if was_created {
        let message = format!("program {program} ended long ago and its records are gone");
        return CallError::may_have_run(ErrorCode::NotFound, message);
    }
    CallError::not_run(
        ErrorCode::NotFound,
        format!("there is no program {program}"),
    )
}

/// No such call in a program that exists.
pub fn missing_call(program: ProgramId, sequence: Sequence) -> CallError {
    let message = format!("program {program} has made no call {sequence}");
    CallError::not_run(ErrorCode::NotFound, message)
}

/// The program ended; `ran_before` tells that a call with this sequence was accepted and its answer is gone.
pub fn program_ended(program: ProgramId, reason: EndReason, ran_before: bool) -> CallError {
    let message = format!("program {program} has ended ({})", reason_text(reason));
    if ran_before {
        let message = format!("{message}; its answers are no longer kept");
        return CallError::may_have_run(ErrorCode::ProgramEnded, message);
    }
    CallError::not_run(ErrorCode::ProgramEnded, message)
}

/// A call of the program is still open.
pub fn call_under_way(open: Sequence) -> CallError {
    let message = format!("call {open} is not settled; calls of a program run one after the other");
    CallError::not_run(ErrorCode::SequenceConflict, message).retry_after(ORDER_RETRY)
}

/// The sequence number skips calls.
pub fn sequence_skipped(given: Sequence, next: Sequence) -> CallError {
    let message = format!("the next call must carry sequence {next}, not {given}");
    CallError::not_run(ErrorCode::SequenceConflict, message)
}

/// The same sequence or key came with another body. This body did not run; the recorded one may have.
pub fn body_differs(sequence: Sequence) -> CallError {
    let message =
        format!("call {sequence} was made with another body or key; this one did not run");
    CallError::not_run(ErrorCode::BodyConflict, message)
}

/// A call without new messages.
pub fn no_messages() -> CallError {
    CallError::not_run(ErrorCode::InvalidRequest, "the call has no new messages")
}

/// The full list of messages does not begin with the kept history.
pub fn history_differs(kept: usize) -> CallError {
    let message =
        format!("the list of messages must begin with the {kept} messages of the history");
    CallError::not_run(ErrorCode::BodyConflict, message)
}

/// The same key named another program before.
pub fn program_key_differs(program: ProgramId) -> CallError {
    let message = format!("the key was used for program {program}, which was described otherwise");
    CallError::not_run(ErrorCode::BodyConflict, message)
}

/// The program made as many calls as allowed.
pub fn turns_used(limit: u32) -> CallError {
    CallError::not_run(
        ErrorCode::LimitReached,
        format!("the program has made the {limit} calls it may make"),
    )
}

/// The history would pass its limit.
pub fn history_full(limit: Tokens) -> CallError {
    CallError::not_run(
        ErrorCode::TooLarge,
        format!("the program's messages would pass the limit of {limit} tokens"),
    )
}

/// Too many calls at once.
pub fn calls_full(branch: &BranchPath, limit: u32) -> CallError {
    let message = format!("branch {branch} has {limit} calls under way here, its limit");
    CallError::not_run(ErrorCode::LimitReached, message).retry_after(LIMIT_RETRY)
}

/// Too many programs at once.
pub fn programs_full(branch: &BranchPath, limit: u32) -> CallError {
    let message = format!("branch {branch} has {limit} programs under way here, its limit");
    CallError::not_run(ErrorCode::LimitReached, message).retry_after(LIMIT_RETRY)
}

/// Too deep a nesting of sub-agents.
pub fn too_deep(limit: u32) -> CallError {
    CallError::not_run(
        ErrorCode::LimitReached,
        format!("sub-agents may be nested {limit} levels deep"),
    )
}

/// A sub-agent on a branch that its parent's branch does not contain.
pub fn foreign_branch(branch: &BranchPath, parent: &BranchPath) -> CallError {
    CallError::not_run(
        ErrorCode::Forbidden,
        format!("a sub-agent's branch must be {parent} or below it, not {branch}"),
    )
}

/// The budget of the program does not cover the worst case.
pub fn program_budget_spent(needed: Tokens, left: Tokens) -> CallError {
    CallError::not_run(
        ErrorCode::BudgetSpent,
        format!("the call may take {needed} tokens and the program's budget has {left} left"),
    )
}

/// The escrow of a branch does not cover the worst case.
pub fn branch_budget_spent(branch: &BranchPath, needed: Tokens) -> CallError {
    CallError::not_run(
        ErrorCode::BudgetSpent,
        format!(
            "the call may take {needed} tokens and the budget of branch {branch} does not cover them"
        ),
    )
}

/// The leader stepped down, or its proposal may be lost, after it proposed to accept the call.
pub fn leader_lost_after_proposal() -> CallError {
    let message =
        format!("the shard's leader changed while the call was being accepted; {ASK_AGAIN}");
    CallError::may_have_run(ErrorCode::Unavailable, message).retry_after(LEADER_RETRY)
}

/// The leader stepped down while the caller waited for the outcome of an accepted call.
pub fn leader_lost_while_waiting() -> CallError {
    let message = format!("the shard's leader changed while the call was under way; {ASK_AGAIN}");
    CallError::may_have_run(ErrorCode::Unavailable, message).retry_after(LEADER_RETRY)
}

/// The proposal was never put into the log.
pub fn never_proposed() -> CallError {
    CallError::not_run(
        ErrorCode::Unavailable,
        "the shard has no leader that can commit",
    )
    .retry_after(LEADER_RETRY)
}

/// Too much is in flight in this shard.
pub fn overloaded() -> CallError {
    CallError::not_run(ErrorCode::Overloaded, "the shard has too much in flight")
        .retry_after(LIMIT_RETRY)
}

/// The call waited for an engine until its limit.
pub fn waited_too_long() -> CallError {
    CallError::not_run(
        ErrorCode::DeadlineExceeded,
        "no engine was free before the call's waiting time ran out",
    )
    .retry_after(LIMIT_RETRY)
}

/// The controller did not grant escrow in time.
pub fn no_grant(branch: &BranchPath) -> CallError {
    let message = format!("no budget could be got for branch {branch}: the controller is silent");
    CallError::not_run(ErrorCode::Unavailable, message).retry_after(LIMIT_RETRY)
}

/// The settings have not arrived yet.
pub fn no_settings() -> CallError {
    let message = "the shard's leader has no settings yet";
    CallError::not_run(ErrorCode::Unavailable, message).retry_after(LIMIT_RETRY)
}

/// The request is of another shard.
pub fn wrong_shard() -> CallError {
    CallError::not_run(
        ErrorCode::InvalidRequest,
        "the request is for another shard",
    )
}

/// The error as it is committed for a call whose earlier attempts leave `doubt`.
pub fn with_doubt(error: &CallError, doubt: Verdict) -> CallError {
    CallError {
        verdict: error.verdict.combine(doubt),
        ..error.clone()
    }
}

fn reason_text(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Caller => "by its caller",
        EndReason::Operator => "by an operator",
        EndReason::PauseLimit => "its tool pause passed the limit",
        EndReason::TurnLimit => "it made more calls than allowed",
        EndReason::HistoryLimit => "its history passed the limit",
        EndReason::Parent => "its parent ended",
    }
}
