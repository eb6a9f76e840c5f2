//! What follows when a command was applied: replies, words to dispatchers, and the next step of a call.

use courseshed_types::{
    CallError, CallId, ErrorCode, ProgramId, RequestId, Timestamp, dispatch::DispatchRequestBody,
    shard::ShardReply,
};

use super::{
    ShardLeader,
    dispatching::attempt_failed,
    live::{LiveCall, Stage, Waiter},
    output::ShardOutput,
    proposals::{PendingAccept, Purpose},
};
use crate::{
    call::CallPhase,
    result::{ApplyResult, Effect, EndedEffect, RetriedEffect, SettledEffect},
    state::ShardState,
};

impl ShardLeader {
    /// A command was applied to `state`.
    pub fn on_applied(&mut self, now: Timestamp, state: &ShardState, result: &ApplyResult) {
        if self.term().is_none() {
            return;
        }
        let own = self.take_own(result.origin);
        match &result.effect {
            Effect::Accepted(call) => self.accepted(now, state, *call, own),
            Effect::Known(call) => self.known(now, state, *call, own),
            Effect::Dispatched(request) => self.dispatched(now, state, *request, own),
            Effect::Retried(retried) => self.retried(now, state, *retried),
            Effect::Settled(settled) => self.settled(state, settled),
            Effect::Ended(ended) => {
                self.ended(state, ended);
                self.finish_own(now, state, own);
            }
            Effect::Program(program) => {
                if let Some(Purpose::Create { token }) = own {
                    self.reply_view(state, token, *program);
                }
            }
            Effect::Rejected(error) => self.rejected(now, state, own, error),
            Effect::Returning(returned) => {
                self.outputs
                    .push(ShardOutput::ReturnGrant(returned.clone()));
            }
            Effect::Granted(budget) => self.granted(now, state, budget),
            Effect::Active(_) | Effect::Nothing => self.finish_own(now, state, own),
        }
    }

    /// Ends a proposal that had no further effect.
    fn finish_own(&mut self, now: Timestamp, state: &ShardState, own: Option<Purpose>) {
        match own {
            Some(Purpose::ShowProgram { token, program }) => self.reply_view(state, token, program),
            Some(Purpose::Dispatch { request, .. }) => self.dispatch_lost(request),
            Some(Purpose::EndAttempt { call }) => self.ending_failed(now, state, call),
            _ => {}
        }
    }

    /// A refusal or settlement changed nothing, because the call had moved on: go on from where it is now.
    fn ending_failed(&mut self, now: Timestamp, state: &ShardState, call: CallId) {
        let is_open = state.open_call(call).is_some();
        if let Some(live) = self.live_mut(call).filter(|_| is_open) {
            live.is_ending = false;
            live.query_at = live.query_at.min(now);
        }
    }

    fn rejected(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        own: Option<Purpose>,
        error: &CallError,
    ) {
        match own {
            Some(Purpose::Accept(pending)) if error.code == ErrorCode::BudgetSpent => {
                self.submit_again(now, state, pending);
            }
            Some(Purpose::Accept(pending)) => {
                for waiter in pending.waiters {
                    self.reply_error(waiter.token, error.clone());
                }
            }
            Some(Purpose::Create { token } | Purpose::ShowProgram { token, .. }) => {
                self.reply_error(token, error.clone());
            }
            other => self.finish_own(now, state, other),
        }
    }

    fn accepted(&mut self, now: Timestamp, state: &ShardState, call: CallId, own: Option<Purpose>) {
        self.retries.call_accepted();
        let mut live = LiveCall::new(Stage::Enqueued);
        live.waiters = own.map(waiters_of).unwrap_or_default();
        self.live.insert(call, live);
        self.enqueue(now, state, call);
        self.note_escrow_use(now, state, call);
    }

    fn known(&mut self, now: Timestamp, state: &ShardState, call: CallId, own: Option<Purpose>) {
        for waiter in own.map(waiters_of).unwrap_or_default() {
            self.answer_or_wait(now, state, call, waiter);
        }
    }

    fn dispatched(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        request: RequestId,
        own: Option<Purpose>,
    ) {
        let call = request.call;
        let silence = self.config.stream_silence;
        let fresh = || LiveCall::new(Stage::Running);
        let live = self.live.entry(call).or_insert_with(fresh);
        live.stage = Stage::Running;
        live.unreachable_since = None;
        let runner = match own {
            Some(Purpose::Dispatch { token, .. }) => live.remove(token),
            _ => None,
        };
        // Nobody can have started an attempt without a runner; its engine is asked, so that the call goes on.
        live.query_at = match runner {
            Some(_) => now + silence,
            None => now,
        };
        let others = std::mem::take(&mut live.waiters);
        self.tell_started(state, call);
        if let Some(runner) = runner {
            self.reply_start(state, request, runner);
        }
        for waiter in others {
            self.answer_or_wait(now, state, call, waiter);
        }
    }

    fn reply_start(&mut self, state: &ShardState, request: RequestId, runner: Waiter) {
        if let Some(order) = state.start_order(request) {
            self.reply(runner.token, ShardReply::Start(Box::new(order)));
        }
    }

    fn retried(&mut self, now: Timestamp, state: &ShardState, ended: RetriedEffect) {
        let call = ended.request.call;
        if let Some(open) = state.open_call(call) {
            let model = open.model.clone();
            self.tell_dispatcher(model, attempt_failed(ended.request, ended.engine_fault));
        }
        let fresh = || LiveCall::new(Stage::Parked);
        let live = self.live.entry(call).or_insert_with(fresh);
        live.is_ending = false;
        live.unreachable_since = None;
        live.query_at = Timestamp::MAX;
        live.stage = Stage::Parked;
        if live.runner().is_some() {
            self.enqueue(now, state, call);
        }
    }

    fn settled(&mut self, state: &ShardState, settled: &SettledEffect) {
        let call = settled.call;
        self.tell_end(state, settled);
        let live = self.live.remove(&call);
        let waiters = live.map(|live| live.waiters).unwrap_or_default();
        for waiter in waiters {
            if let Some(reply) = state.settled_reply(call) {
                self.reply(waiter.token, reply);
            }
        }
    }

    /// Tells the dispatcher how the call ended.
    fn tell_end(&mut self, state: &ShardState, settled: &SettledEffect) {
        let Some(program) = state.program(settled.call.program) else {
            return;
        };
        let phase = program.call(settled.call.sequence).map(|call| &call.phase);
        let body = match (settled.request, phase) {
            (Some(request), Some(CallPhase::Answered(answered))) => DispatchRequestBody::Finished {
                request,
                usage: answered.usage,
            },
            (Some(request), _) => attempt_failed(request, true),
            (None, _) => DispatchRequestBody::Withdraw(settled.call),
        };
        let ended = program.ended.is_some().then_some(program.id);
        let Some(model) = program.models.last().cloned() else {
            return;
        };
        self.tell_dispatcher(model.clone(), body);
        // Its prefix may have been stored after the program's end was announced.
        if let Some(program) = ended {
            self.tell_dispatcher(model, DispatchRequestBody::ProgramEnded(program));
        }
    }

    fn ended(&mut self, state: &ShardState, ended: &EndedEffect) {
        for call in &ended.refused {
            let refused = SettledEffect {
                call: *call,
                request: None,
            };
            self.settled(state, &refused);
        }
        for program in &ended.programs {
            self.tell_program_ended(state, *program);
        }
    }

    fn tell_program_ended(&mut self, state: &ShardState, program: ProgramId) {
        let Some(record) = state.program(program) else {
            return;
        };
        for model in record.models.clone() {
            self.tell_dispatcher(model, DispatchRequestBody::ProgramEnded(program));
        }
    }
}

fn waiters_of(purpose: Purpose) -> Vec<Waiter> {
    match purpose {
        Purpose::Accept(PendingAccept { waiters, .. }) => waiters,
        _ => Vec::new(),
    }
}
