//! The attempts of a call: binding one to an engine, settling the call, or going on to another attempt.
//!
//! Every command names the attempt it speaks of. One that is not the current attempt of an open call changes
//! nothing, so a late, doubled or deposed word about an old attempt is harmless.

use courseshed_types::{
    CallAnswer, CallError, CallId, RequestId, Timestamp, Tokens, Usage, Verdict,
};

use super::ShardState;
use crate::{
    call::{AnsweredCall, CallPhase, CallRecord, Dispatch, OpenCall},
    command::{AttemptCharge, DispatchCall, RetryCall, next_attempt},
    escrow::Reservation,
    history::decode_messages,
    result::{Effect, RetriedEffect, SettledEffect},
    verdicts,
};

/// Engines that failed a call and are remembered for its next attempts.
const MAX_AVOIDED_ENGINES: usize = 4;

impl ShardState {
    pub(super) fn dispatch_call(&mut self, at: Timestamp, dispatch: &DispatchCall) -> Effect {
        let Some(open) = self.open_attempt(dispatch.request) else {
            return Effect::Nothing;
        };
        if open.dispatch.is_some() {
            return Effect::Nothing;
        }
        open.dispatch = Some(Dispatch {
            engine: dispatch.engine.clone(),
            engine_address: dispatch.engine_address.clone(),
            priority: dispatch.priority,
            gateway: dispatch.gateway,
            at,
        });
        Effect::Dispatched(dispatch.request)
    }

    pub(super) fn complete_call(
        &mut self,
        at: Timestamp,
        request: RequestId,
        answer: &CallAnswer,
    ) -> Effect {
        let Some(open) = self.dispatched_attempt(request) else {
            return Effect::Nothing;
        };
        let open = open.clone();
        let spent = spent_by_answer(answer.usage, &open.reservation);
        self.settle_reservation(request.call.program, &open.reservation, spent);
        self.record_answer(at, request, &open, answer);
        self.close(request.call, Some(request))
    }

    fn record_answer(
        &mut self,
        at: Timestamp,
        request: RequestId,
        open: &OpenCall,
        answer: &CallAnswer,
    ) {
        let service = service_tokens(answer.usage);
        self.for_family(request.call.program, |record| {
            record.attained = record.attained.saturating_add(service);
            record.last_answer_at = Some(at);
            record.active_at = record.active_at.max(at);
        });
        let Some(program) = self.programs.get_mut(&request.call.program) else {
            return;
        };
        let mut messages = decode_messages(&open.messages);
        messages.push(answer.message.clone());
        let segment = program.history.segments() as u32;
        program.history.append(&open.model, messages, answer.usage);
        program.last_engine = Some(answer.engine.clone());
        let answered = AnsweredCall {
            segment,
            finish_reason: answer.finish_reason,
            usage: answer.usage,
            attempt: request.attempt,
            engine: answer.engine.clone(),
        };
        if let Some(record) = program.call_mut(request.call.sequence) {
            record.phase = CallPhase::Answered(answered);
        }
    }

    pub(super) fn retry_call(&mut self, at: Timestamp, retry: &RetryCall) -> Effect {
        let Some(open) = self.dispatched_attempt(retry.request) else {
            return Effect::Nothing;
        };
        let ended = open.reservation.clone();
        end_attempt(open, retry.charge);
        let doubt = open.doubt;
        let worst_case = open.worst_case();
        self.settle_charge(retry.request.call, &ended, retry.charge);
        if let Err(short) = self.check_retry(retry, worst_case) {
            let error = verdicts::with_doubt(&short, doubt);
            return self.fail(at, retry.request, error);
        }
        let call = retry.request.call;
        let reservation = self.reserve(call.program, retry.budgets.clone(), worst_case);
        if let Some(open) = self.open_attempt(retry.request) {
            begin_next_attempt(open, retry, reservation);
        }
        self.touch_family(at, call.program, false);
        Effect::Retried(RetriedEffect {
            request: retry.request,
            engine_fault: retry.engine_fault,
        })
    }

    fn check_retry(&self, retry: &RetryCall, worst_case: Tokens) -> Result<(), CallError> {
        let id = retry.request.call.program;
        let program = self.programs.get(&id);
        let program = program.ok_or_else(|| self.missing_program(id))?;
        if let Some(end) = program.ended {
            return Err(verdicts::program_ended(id, end.reason, false));
        }
        self.check_budgets(program.root, &retry.budgets, worst_case)
    }

    pub(super) fn refuse_call(&mut self, at: Timestamp, call: CallId, error: &CallError) -> Effect {
        let open = self.call(call).and_then(CallRecord::open);
        let Some(open) = open.filter(|open| open.dispatch.is_none()) else {
            return Effect::Nothing;
        };
        let reservation = open.reservation.clone();
        let error = verdicts::with_doubt(error, open.doubt);
        self.settle_charge(call, &reservation, AttemptCharge::Nothing);
        self.settle_failed(at, call, error);
        self.close(call, None)
    }

    pub(super) fn fail_call(
        &mut self,
        at: Timestamp,
        request: RequestId,
        charge: AttemptCharge,
        error: &CallError,
    ) -> Effect {
        let Some(open) = self.dispatched_attempt(request) else {
            return Effect::Nothing;
        };
        let reservation = open.reservation.clone();
        end_attempt(open, charge);
        let error = verdicts::with_doubt(error, open.doubt);
        self.settle_charge(request.call, &reservation, charge);
        self.fail(at, request, error)
    }

    fn fail(&mut self, at: Timestamp, request: RequestId, error: CallError) -> Effect {
        self.settle_failed(at, request.call, error);
        self.close(request.call, Some(request))
    }

    fn settle_failed(&mut self, at: Timestamp, call: CallId, error: CallError) {
        self.touch_family(at, call.program, false);
        let program = self.programs.get_mut(&call.program);
        let record = program.and_then(|program| program.call_mut(call.sequence));
        if let Some(record) = record {
            record.phase = CallPhase::Failed(Box::new(error));
        }
    }

    fn settle_charge(&mut self, call: CallId, reservation: &Reservation, charge: AttemptCharge) {
        let spent = match charge {
            AttemptCharge::Nothing => Tokens::ZERO,
            AttemptCharge::WorstCase => reservation.tokens,
        };
        self.settle_reservation(call.program, reservation, spent);
    }

    /// Counts the call as settled, and says so.
    fn close(&mut self, call: CallId, request: Option<RequestId>) -> Effect {
        if let Some(program) = self.programs.get(&call.program) {
            self.usage.call_settled(&program.branch);
        }
        Effect::Settled(SettledEffect { call, request })
    }

    /// The open call whose current attempt this is.
    fn open_attempt(&mut self, request: RequestId) -> Option<&mut OpenCall> {
        let program = self.programs.get_mut(&request.call.program)?;
        let open = program.call_mut(request.call.sequence)?.open_mut()?;
        (open.attempt == request.attempt).then_some(open)
    }

    /// The open call whose current attempt this is, if it was dispatched.
    fn dispatched_attempt(&mut self, request: RequestId) -> Option<&mut OpenCall> {
        let open = self.open_attempt(request)?;
        open.dispatch.is_some().then_some(open)
    }
}

fn end_attempt(open: &mut OpenCall, charge: AttemptCharge) {
    if charge == AttemptCharge::WorstCase {
        open.doubt = open.doubt.combine(Verdict::MayHaveRun);
        open.doubtful_attempts += 1;
    }
}

fn begin_next_attempt(open: &mut OpenCall, retry: &RetryCall, reservation: Reservation) {
    let ended = open.dispatch.take();
    if let Some(dispatch) = ended.filter(|_| retry.engine_fault) {
        open.avoid.retain(|engine| *engine != dispatch.engine);
        open.avoid.push(dispatch.engine);
        let surplus = open.avoid.len().saturating_sub(MAX_AVOIDED_ENGINES);
        open.avoid.drain(..surplus);
    }
    open.attempt = next_attempt(open.attempt);
    open.not_before = retry.not_before;
    open.give_up_at = retry.give_up_at;
    open.reservation = reservation;
}

/// What an answer costs a budget. An engine that did not count leaves the worst case charged.
fn spent_by_answer(usage: Usage, reservation: &Reservation) -> Tokens {
    if usage.prompt_tokens == Tokens::ZERO {
        return reservation.tokens;
    }
    usage.total()
}

/// Tokens of service: prompt tokens that had to be computed, and generated ones.
fn service_tokens(usage: Usage) -> Tokens {
    let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    computed.saturating_add(usage.completion_tokens)
}
