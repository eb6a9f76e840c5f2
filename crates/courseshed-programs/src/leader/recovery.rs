//! The ends of attempts: reports of gateways, and what engines tell when a gateway or a leader was lost.

use std::time::Duration;

use courseshed_types::{
    CallAnswer, CallError, CallId, NodeId, RequestId, Timestamp,
    shard::{AttemptReport, AttemptResult, EngineFinding},
};

use super::{
    ShardLeader,
    live::{LiveCall, Stage, Waiter},
    output::{EngineQuery, RequestToken, ShardOutput},
    proposals::Purpose,
    retry::backoff,
};
use crate::{
    call::{Dispatch, OpenCall},
    command::{CommandBody, RetryCall},
    state::{START_ORDER_VALIDITY, ShardState},
    verdicts::{AttemptEnd, AttemptLimits, NextStep},
};

impl ShardLeader {
    /// A gateway tells how an attempt ended. Its request waits for what becomes of the call.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        token: RequestToken,
        report: AttemptReport,
    ) {
        let request = report.request;
        let waiter = Waiter {
            token,
            runner: Some(report.gateway),
        };
        if !is_running(state, request) {
            return self.answer_or_wait(now, state, request.call, waiter);
        }
        let fresh = || LiveCall::new(Stage::Running);
        let live = self.live.entry(request.call).or_insert_with(fresh);
        live.waiters.push(waiter);
        match report.result {
            AttemptResult::Answered(answer) => self.complete(now, request, answer),
            // Only the gateway that got the order to start can be certain that it did not follow it.
            AttemptResult::NotStarted(_) if !is_runner(state, request, report.gateway) => {
                self.query_soon(now, request.call);
            }
            AttemptResult::NotStarted(reason) => {
                self.attempt_ended(now, state, request, AttemptEnd::Refused(reason));
            }
            AttemptResult::Failed(reason) => {
                self.attempt_ended(now, state, request, AttemptEnd::Failed(reason));
            }
            AttemptResult::Lost(_) => self.query_soon(now, request.call),
        }
    }

    /// What an engine told about an attempt.
    pub fn on_engine_finding(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        request: RequestId,
        finding: EngineFinding,
    ) {
        if self.term().is_none() || !is_running(state, request) {
            return;
        }
        match finding {
            EngineFinding::Answered(answer) => self.complete(now, request, answer),
            EngineFinding::Running => self.still_running(now, request.call),
            EngineFinding::NeverStarted => {
                self.attempt_ended(now, state, request, AttemptEnd::NeverArrived);
            }
            EngineFinding::Failed(reason) => {
                self.attempt_ended(now, state, request, AttemptEnd::Failed(reason));
            }
            EngineFinding::Forgotten => {
                let reason = "it restarted or forgot the call".to_owned();
                self.attempt_ended(now, state, request, AttemptEnd::Forgotten(reason));
            }
            EngineFinding::Unreachable(reason) => self.unreachable(now, state, request, reason),
        }
    }

    /// A gateway is known to be dead: the engines of its attempts are asked at once.
    pub fn on_gateway_down(&mut self, now: Timestamp, state: &ShardState, gateway: NodeId) {
        let of_gateway = |open: &OpenCall| {
            let dispatch = open.dispatch.as_ref();
            dispatch.is_some_and(|dispatch| dispatch.gateway == gateway)
        };
        let calls = state.open_calls().filter(|(_, open)| of_gateway(open));
        let calls: Vec<CallId> = calls.map(|(call, _)| call).collect();
        for call in calls {
            self.query_soon(now, call);
        }
    }

    /// The driver lost the connection of a request that waits: no reply can be delivered any more.
    pub fn on_request_gone(&mut self, token: RequestToken) {
        for live in self.live.values_mut() {
            live.remove(token);
        }
        self.proposals.forget_waiter(token);
        self.grants.forget_waiter(token);
    }

    /// Takes over all open calls as a new leader.
    pub(super) fn take_over(&mut self, now: Timestamp, state: &ShardState) {
        let calls: Vec<(CallId, bool)> = state
            .open_calls()
            .map(|(call, open)| (call, open.dispatch.is_some()))
            .collect();
        for (call, is_dispatched) in calls {
            let stage = match is_dispatched {
                true => Stage::Running,
                false => Stage::Enqueued,
            };
            let mut live = LiveCall::new(stage);
            if is_dispatched {
                live.query_at = now;
            }
            self.live.insert(call, live);
        }
        for model in self.pool_models(state) {
            self.announce_pool(state, model);
        }
        self.resend_returns(state);
        self.ask_engines(now, state);
    }

    /// Asks the engines of attempts that were not heard of for too long.
    pub(super) fn ask_engines(&mut self, now: Timestamp, state: &ShardState) {
        let interval = self.config.query_interval;
        let order_age = START_ORDER_VALIDITY + self.config.start_margin;
        for (call, live) in &mut self.live {
            if live.stage != Stage::Running || live.is_ending || live.query_at > now {
                continue;
            }
            let open = state.open_call(*call);
            let Some((open, dispatch)) =
                open.and_then(|open| Some((open, open.dispatch.as_ref()?)))
            else {
                continue;
            };
            let ask_from = earliest_question(open, dispatch, order_age);
            if now < ask_from {
                live.query_at = ask_from;
                continue;
            }
            live.query_at = now + interval;
            self.outputs.push(ShardOutput::QueryEngine(EngineQuery {
                request: open.request(*call),
                engine: dispatch.engine.clone(),
                engine_address: dispatch.engine_address.clone(),
                dispatched_at: dispatch.at,
            }));
        }
    }

    fn query_soon(&mut self, now: Timestamp, call: CallId) {
        if let Some(live) = self.live_mut(call) {
            live.query_at = now;
        }
    }

    fn still_running(&mut self, now: Timestamp, call: CallId) {
        let interval = self.config.query_interval;
        if let Some(live) = self.live_mut(call) {
            live.unreachable_since = None;
            live.query_at = live.query_at.max(now + interval);
        }
    }

    fn unreachable(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        request: RequestId,
        reason: String,
    ) {
        let repeatable = state
            .open_call(request.call)
            .is_some_and(|open| open.repeatable);
        let limit = match repeatable {
            true => self.config.unreachable_repeatable,
            false => self.config.unreachable_limit,
        };
        let limit = limit.min(self.config.unreachable_limit);
        let interval = self.config.query_interval;
        let Some(live) = self.live_mut(request.call) else {
            return;
        };
        let since = *live.unreachable_since.get_or_insert(now);
        live.query_at = now + interval;
        if now.since(since) >= limit {
            self.attempt_ended(now, state, request, AttemptEnd::Forgotten(reason));
        }
    }

    fn complete(&mut self, now: Timestamp, request: RequestId, mut answer: CallAnswer) {
        answer.attempt = request.attempt;
        let body = CommandBody::CompleteCall {
            request,
            answer: Box::new(answer),
        };
        self.propose_ending(now, request.call, body);
    }

    /// Proposes what follows the end of an attempt without an answer.
    fn attempt_ended(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        request: RequestId,
        end: AttemptEnd,
    ) {
        let Some(open) = state.open_call(request.call) else {
            return;
        };
        let limits = AttemptLimits {
            attempts: self.config.max_attempts,
            doubtful: self.config.max_doubtful_attempts,
        };
        let may_retry = end.next_step(open, limits) == NextStep::Retry;
        let retry = may_retry && (!end.is_doubtful() || self.retries.take());
        let body = match retry {
            true => self.retry_body(now, state, request, &end),
            false => CommandBody::FailCall {
                request,
                charge: end.charge(),
                error: end.error(),
            },
        };
        self.propose_ending(now, request.call, body);
    }

    fn retry_body(
        &self,
        now: Timestamp,
        state: &ShardState,
        request: RequestId,
        end: &AttemptEnd,
    ) -> CommandBody {
        let branch = state
            .program(request.call.program)
            .map(|record| &record.branch);
        let settings = self.settings().ok();
        let budgets = branch.zip(settings.as_ref());
        let budgets = budgets.map(|(branch, settings)| settings.budgets(now, branch));
        let wait = self.queue_wait(state, request.call);
        let (base, cap) = (self.config.retry_base, self.config.retry_cap);
        CommandBody::RetryCall(RetryCall {
            request,
            charge: end.charge(),
            not_before: now + backoff(request, base, cap),
            engine_fault: end.is_engine_fault(),
            give_up_at: now + wait,
            budgets: budgets.unwrap_or_default(),
        })
    }

    /// How long an attempt of a call may wait, as its branch's policy says now.
    fn queue_wait(&self, state: &ShardState, call: CallId) -> Duration {
        let program = state.program(call.program);
        let policy = self.policy.as_ref();
        let policy = program.zip(policy);
        let policy = policy.and_then(|(program, policy)| policy.branch(&program.branch));
        let limits = policy.map(|policy| policy.limits.clone());
        limits.unwrap_or_default().queue_wait
    }

    /// Settles a call that was not dispatched, by a committed tombstone.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        call: CallId,
        error: CallError,
    ) {
        let open = state.open_call(call);
        if open.is_some_and(|open| open.dispatch.is_none()) {
            self.propose_ending(now, call, CommandBody::RefuseCall { call, error });
        }
    }

    /// Proposes the end of a call or of its attempt, unless one is proposed already.
    fn propose_ending(&mut self, now: Timestamp, call: CallId, body: CommandBody) {
        let Some(live) = self.live.get_mut(&call).filter(|live| !live.is_ending) else {
            return;
        };
        live.is_ending = true;
        self.propose(now, Purpose::EndAttempt { call }, body);
    }
}

/// When an engine may be asked about an attempt first. While a gateway may still follow the order to start it, the
/// answer "never started" proves nothing if the engine restarts after it: it forgets to refuse the attempt. So a
/// call that is not repeatable is not asked about before the order has run out. A repeatable one need not wait.
fn earliest_question(open: &OpenCall, dispatch: &Dispatch, order_age: Duration) -> Timestamp {
    match open.repeatable {
        true => dispatch.at,
        false => dispatch.at + order_age + Duration::from_micros(1),
    }
}

/// Whether the order to start the current attempt went to this gateway.
fn is_runner(state: &ShardState, request: RequestId, gateway: NodeId) -> bool {
    let open = state.open_call(request.call);
    let dispatch = open.and_then(|open| open.dispatch.as_ref());
    dispatch.is_some_and(|dispatch| dispatch.gateway == gateway)
}

/// Whether this is the current attempt of an open call, and dispatched.
fn is_running(state: &ShardState, request: RequestId) -> bool {
    let open = state.open_call(request.call);
    open.is_some_and(|open| open.attempt == request.attempt && open.dispatch.is_some())
}
