//! New calls: read the policy, resolve the sequence number and the history, and propose to accept.

use std::hash::{Hash, Hasher};

use courseshed_types::{
    CallError, CallId, ChatRole, Sequence, Timestamp, chat::ChatMessage, program::EndReason,
    shard::SubmitCall,
};

use super::{
    ShardLeader,
    live::Waiter,
    output::RequestToken,
    proposals::{PendingAccept, Purpose},
    resolve::{ResolvedCall, max_output},
};
use crate::{
    command::{AcceptCall, BudgetPeriod, CommandBody, EndProgram},
    digest::BodyDigest,
    program::ProgramRecord,
    state::{AcceptCheck, ShardState},
    verdicts,
};

/// A call that waits for escrow before it is proposed.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ParkedSubmit {
    pub token: RequestToken,
    pub submit: SubmitCall,
    pub since: Timestamp,
    /// Budgets that were found spent while it waited.
    pub granted: Vec<BudgetPeriod>,
}

/// The body of the call is left out: its digest stands beside it wherever this is hashed.
impl Hash for ParkedSubmit {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.token.hash(hasher);
        self.since.hash(hasher);
        self.granted.hash(hasher);
    }
}

impl ShardLeader {
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        token: RequestToken,
        submit: SubmitCall,
    ) {
        let parked = ParkedSubmit {
            token,
            submit,
            since: now,
            granted: Vec::new(),
        };
        self.try_submit(now, state, parked);
    }

    /// Accepts, attaches, refuses, or lets the call wait for escrow.
    pub(super) fn try_submit(&mut self, now: Timestamp, state: &ShardState, parked: ParkedSubmit) {
        let token = parked.token;
        let prepared = self.prepare(now, state, &parked.submit);
        let accept = match prepared {
            Ok(accept) => accept,
            Err(error) => return self.reply_error(token, error),
        };
        let waiter = Waiter {
            token,
            runner: Some(parked.submit.gateway),
        };
        let checked = state.check_accept(&accept);
        // What was accepted before is answered first, whatever else of the program is under way.
        if let Ok(AcceptCheck::Known(call)) = checked {
            return self.answer_or_wait(now, state, call, waiter);
        }
        if self.join_pending(&parked.submit, &accept, waiter) {
            return;
        }
        match checked {
            Ok(_) if self.is_overloaded() => self.reply_error(token, verdicts::overloaded()),
            Ok(_) => self.propose_accept(now, accept, waiter, parked),
            Err(error) => self.refuse_submit(now, state, parked, &accept, error),
        }
    }

    fn propose_accept(
        &mut self,
        now: Timestamp,
        accept: AcceptCall,
        waiter: Waiter,
        parked: ParkedSubmit,
    ) {
        let pending = PendingAccept {
            call: accept.call,
            digest: accept.digest,
            idempotency_key: accept.idempotency_key.clone(),
            waiters: vec![waiter],
            parked: Box::new(parked),
        };
        let body = CommandBody::AcceptCall(Box::new(accept));
        self.propose(now, Purpose::Accept(pending), body);
    }

    /// Calls proposed before this one took the escrow that both counted on: all that wait for it try again, and
    /// wait for more escrow if that is all they lack.
    pub(super) fn submit_again(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        pending: PendingAccept,
    ) {
        for waiter in pending.waiters {
            let mut parked = (*pending.parked).clone();
            parked.token = waiter.token;
            parked.submit.gateway = waiter.runner.unwrap_or(parked.submit.gateway);
            self.try_submit(now, state, parked);
        }
    }

    /// Joins the call of the program that is being accepted, or refuses; false if there is none.
    fn join_pending(&mut self, submit: &SubmitCall, accept: &AcceptCall, waiter: Waiter) -> bool {
        let Some(pending) = self.proposals.accepting(accept.call.program) else {
            return false;
        };
        let same_key =
            submit.idempotency_key.is_some() && submit.idempotency_key == pending.idempotency_key;
        let same_sequence = submit.sequence == Some(pending.call.sequence);
        let error = match same_key || same_sequence {
            true if pending.digest == accept.digest => {
                pending.waiters.push(waiter);
                return true;
            }
            true => verdicts::body_differs(pending.call.sequence),
            false => verdicts::call_under_way(pending.call.sequence),
        };
        self.reply_error(waiter.token, error);
        true
    }

    fn refuse_submit(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        parked: ParkedSubmit,
        accept: &AcceptCall,
        error: CallError,
    ) {
        if self.park_for_escrow(now, state, &parked, accept, &error) {
            return;
        }
        self.end_runaway(now, state, accept);
        self.reply_error(parked.token, error);
    }

    /// Ends a program that asks for more than its limits allow it ever to have.
    fn end_runaway(&mut self, now: Timestamp, state: &ShardState, accept: &AcceptCall) {
        let Some(program) = state.program(accept.call.program) else {
            return;
        };
        let is_next = accept.call.sequence == program.next_sequence();
        let turns_used = program.calls.len() as u64 >= u64::from(accept.limits.turns);
        let history_full = program.history.tokens() >= accept.limits.history_tokens;
        let reason = match (turns_used, history_full) {
            (true, _) => EndReason::TurnLimit,
            (false, true) => EndReason::HistoryLimit,
            (false, false) => return,
        };
        if program.ended.is_some() || program.open_call().is_some() || !is_next {
            return;
        }
        let end = EndProgram {
            program: program.id,
            reason,
            idle_since: Some(program.active_at),
        };
        self.propose(now, Purpose::Upkeep, CommandBody::EndProgram(end));
    }

    /// The command that would accept a call.
    fn prepare(
        &self,
        now: Timestamp,
        state: &ShardState,
        submit: &SubmitCall,
    ) -> Result<AcceptCall, CallError> {
        let Some(program) = state.program(submit.program) else {
            return Err(missing(state, submit));
        };
        let sequence = resolve_sequence(program, submit);
        let call = CallId {
            program: program.id,
            sequence,
        };
        let messages = new_messages(program, sequence, submit)?;
        let is_known = program.call(sequence).is_some();
        let resolved = self.resolve_call(now, program, submit);
        let resolved = match resolved {
            // A call made before is answered whatever the settings say now.
            Err(_) if is_known => ResolvedCall::of_known_call(),
            other => other?,
        };
        Ok(AcceptCall {
            call,
            idempotency_key: submit.idempotency_key.clone(),
            digest: digest_of(submit, &messages),
            model: resolved.model,
            messages,
            max_output: resolved.max_output,
            repeatable: submit.call.repeatable,
            parameters: submit.call.parameters.clone(),
            gateway: submit.gateway,
            priority: resolved.priority,
            give_up_at: resolved.give_up_at,
            limits: resolved.limits,
        })
    }

    fn resolve_call(
        &self,
        now: Timestamp,
        program: &ProgramRecord,
        submit: &SubmitCall,
    ) -> Result<ResolvedCall, CallError> {
        let settings = self.settings()?;
        let policy = settings.branch(now, &program.branch)?;
        let kind = policy.kind(program.kind.as_deref());
        Ok(ResolvedCall {
            model: settings.model(policy, submit)?,
            max_output: max_output(policy, submit),
            priority: policy.priority.saturating_add(kind.priority),
            give_up_at: now + policy.limits.queue_wait,
            limits: settings.call_limits(now, program, policy),
        })
    }
}

/// The place the call takes: the caller's number, or that of its key, or the next one.
fn resolve_sequence(program: &ProgramRecord, submit: &SubmitCall) -> Sequence {
    let key = submit.idempotency_key.as_deref();
    let by_key = || key.and_then(|key| program.call_with_key(key));
    let sequence = submit.sequence.or_else(|| Some(by_key()?.sequence));
    sequence.unwrap_or(program.next_sequence())
}

/// The new messages of a call; a full list must begin with the history before the call.
fn new_messages(
    program: &ProgramRecord,
    sequence: Sequence,
    submit: &SubmitCall,
) -> Result<Vec<ChatMessage>, CallError> {
    let given = &submit.call.messages;
    if !submit.full_history {
        return check_not_empty(given.clone());
    }
    let before = match program.call(sequence) {
        Some(known) => known.segments_before as usize,
        None => program.history.segments(),
    };
    let kept = program.history.messages_of_first(before);
    match begins_with(given, &kept) {
        true => check_not_empty(given[kept.len()..].to_vec()),
        false => Err(verdicts::history_differs(kept.len())),
    }
}

fn check_not_empty(messages: Vec<ChatMessage>) -> Result<Vec<ChatMessage>, CallError> {
    if messages.is_empty() {
        return Err(verdicts::no_messages());
    }
    Ok(messages)
}

fn begins_with(given: &[ChatMessage], kept: &[ChatMessage]) -> bool {
    let pairs = given.iter().zip(kept);
    given.len() >= kept.len() && pairs.into_iter().all(|(given, kept)| is_same(given, kept))
}

/// Callers' libraries drop or add empty fields of an assistant's message; those make no difference.
fn is_same(given: &ChatMessage, kept: &ChatMessage) -> bool {
    if given == kept {
        return true;
    }
    let is_assistant = given.role == ChatRole::Assistant && kept.role == ChatRole::Assistant;
    is_assistant && without_nulls(given) == without_nulls(kept)
}

fn without_nulls(message: &ChatMessage) -> ChatMessage {
    let mut message = message.clone();
    message.other.retain(|_, value| !value.is_null());
    message
}

/// The digest over what is new, so that a full list and the new messages alone are the same request.
fn digest_of(submit: &SubmitCall, messages: &[ChatMessage]) -> BodyDigest {
    let mut request = submit.call.clone();
    request.messages = messages.to_vec();
    BodyDigest::of_call(&request)
}

fn missing(state: &ShardState, submit: &SubmitCall) -> CallError {
    let unknown = Sequence(u64::MAX);
    let could_be_old = submit.idempotency_key.is_some();
    let sequence = match submit.sequence {
        Some(sequence) => sequence,
        None if could_be_old => Sequence(1),
        None => unknown,
    };
    state.missing_call(CallId {
        program: submit.program,
        sequence,
    })
}
