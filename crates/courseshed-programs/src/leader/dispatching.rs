//! Between the leader and the dispatchers: enqueueing accepted calls and taking assignments.
//!
//! An assignment is only an intention. It becomes a dispatch when it is committed, and only a call for which a
//! gateway waits is dispatched.

use courseshed_types::{
    CallId, EngineId, ModelName, ProgramId, RequestId, Timestamp, Verdict,
    dispatch::{
        DispatchEvent, DispatchEventBody, DispatchRequest, DispatchRequestBody, PoolId, WaitingCall,
    },
};

use super::{
    ShardLeader,
    live::{Assignment, LiveCall, Stage, Waiter},
    output::ShardOutput,
    proposals::Purpose,
};
use crate::{
    command::{CommandBody, DispatchCall},
    state::ShardState,
};

impl ShardLeader {
    /// A dispatcher speaks.
    pub fn on_dispatch_event(&mut self, now: Timestamp, state: &ShardState, event: DispatchEvent) {
        if self.term().is_none() || event.shard != self.config.shard {
            return;
        }
        match event.body {
            DispatchEventBody::Assigned {
                call,
                attempt,
                engine,
                engine_address,
                priority,
            } => {
                let assignment = Assignment {
                    attempt,
                    engine,
                    engine_address,
                    priority,
                    received_at: now,
                };
                self.assigned(now, state, &event.pool.model, call, assignment);
            }
            DispatchEventBody::Shed { call, mut error } => {
                // Nothing was sent anywhere; what earlier attempts did is added when this is applied.
                error.verdict = Verdict::NotRun;
                self.refuse(now, state, call, error);
            }
            DispatchEventBody::AnnounceAll => self.announce_pool(state, event.pool.model),
            DispatchEventBody::CheckPrograms(programs) => {
                self.check_programs(state, &event.pool.model, programs);
            }
        }
    }

    /// Names those of the programs that have ended: the word of their end may have been lost.
    fn check_programs(&mut self, state: &ShardState, model: &ModelName, programs: Vec<ProgramId>) {
        for program in programs {
            let record = state.program(program);
            if record.is_none_or(|record| record.ended.is_some()) {
                let ended = DispatchRequestBody::ProgramEnded(program);
                self.tell_dispatcher(model.clone(), ended);
            }
        }
    }

    fn assigned(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        model: &ModelName,
        call: CallId,
        assignment: Assignment,
    ) {
        let Some(open) = state.open_call(call) else {
            return self.tell_dispatcher(model.clone(), DispatchRequestBody::Withdraw(call));
        };
        if open.attempt != assignment.attempt {
            let request = RequestId {
                call,
                attempt: assignment.attempt,
            };
            return self.tell_dispatcher(model.clone(), attempt_failed(request, false));
        }
        if open.dispatch.is_some() {
            return;
        }
        let Some(live) = self.live.get_mut(&call) else {
            return;
        };
        if live.is_ending || live.stage == Stage::Dispatching {
            return;
        }
        live.stage = Stage::Held(assignment);
        self.dispatch_held(now, call);
    }

    /// Proposes the dispatch of a held assignment, if a gateway waits to run it.
    pub(super) fn dispatch_held(&mut self, now: Timestamp, call: CallId) {
        let Some(live) = self.live.get_mut(&call) else {
            return;
        };
        let (Stage::Held(held), Some((token, gateway))) = (&live.stage, live.runner()) else {
            return;
        };
        let request = RequestId {
            call,
            attempt: held.attempt,
        };
        let dispatch = DispatchCall {
            request,
            engine: held.engine.clone(),
            engine_address: held.engine_address.clone(),
            priority: held.priority,
            gateway,
        };
        live.stage = Stage::Dispatching;
        let purpose = Purpose::Dispatch { request, token };
        self.propose(now, purpose, CommandBody::DispatchCall(dispatch));
    }

    /// The proposal of a dispatch may be lost: wait for another assignment. If it does commit, the applied
    /// command is treated like one of another leader.
    pub(super) fn dispatch_lost(&mut self, request: RequestId) {
        if let Some(live) = self.live_mut(request.call)
            && live.stage == Stage::Dispatching
        {
            live.stage = Stage::BackingOff;
        }
    }

    /// Lets a request wait for the attempt of an accepted call, and moves the call on if it can run it.
    pub(super) fn wait_for_attempt(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        call: CallId,
        waiter: Waiter,
    ) {
        let fresh = || LiveCall::new(Stage::Parked);
        let live = self.live.entry(call).or_insert_with(fresh);
        live.waiters.push(waiter);
        if waiter.runner.is_none() {
            return;
        }
        match live.stage {
            Stage::Parked => self.enqueue(now, state, call),
            Stage::Held(_) => self.dispatch_held(now, call),
            _ => {}
        }
    }

    /// Enqueues an accepted call at its dispatcher, or lets it back off before.
    pub(super) fn enqueue(&mut self, now: Timestamp, state: &ShardState, call: CallId) {
        let Some(open) = state.open_call(call).filter(|open| open.dispatch.is_none()) else {
            return;
        };
        let is_due = open.not_before <= now;
        let Some(live) = self.live.get_mut(&call) else {
            return;
        };
        if !is_due {
            live.stage = Stage::BackingOff;
            return;
        }
        live.stage = Stage::Enqueued;
        if let Some(waiting) = waiting_call(state, call) {
            let model = waiting.model.clone();
            self.tell_dispatcher(model, DispatchRequestBody::Enqueue(Box::new(waiting)));
        }
    }

    /// Announces all calls of a pool to a dispatcher that knows none.
    pub(super) fn announce_pool(&mut self, state: &ShardState, model: ModelName) {
        let of_pool = state.open_calls().filter(|(_, open)| open.model == model);
        let calls: Vec<CallId> = of_pool.map(|(call, _)| call).collect();
        for call in calls {
            self.announce(state, call);
        }
        self.tell_dispatcher(model, DispatchRequestBody::AnnounceComplete);
    }

    fn announce(&mut self, state: &ShardState, call: CallId) {
        let Some(waiting) = waiting_call(state, call) else {
            return;
        };
        let model = waiting.model.clone();
        let open = state.open_call(call);
        if let Some(dispatch) = open.and_then(|open| open.dispatch.as_ref()) {
            let started = started(waiting, dispatch.engine.clone());
            return self.tell_dispatcher(model, started);
        }
        let Some(live) = self.live.get_mut(&call) else {
            return;
        };
        if matches!(live.stage, Stage::Held(_)) {
            live.stage = Stage::Enqueued;
        }
        if live.stage == Stage::Enqueued {
            self.tell_dispatcher(model, DispatchRequestBody::Enqueue(Box::new(waiting)));
        }
    }

    /// Tells the dispatcher that an attempt is under way.
    pub(super) fn tell_started(&mut self, state: &ShardState, call: CallId) {
        let dispatch = state.open_call(call).and_then(|open| open.dispatch.clone());
        let (Some(waiting), Some(dispatch)) = (waiting_call(state, call), dispatch) else {
            return;
        };
        let model = waiting.model.clone();
        self.tell_dispatcher(model, started(waiting, dispatch.engine));
    }

    pub(super) fn tell_dispatcher(&mut self, model: ModelName, body: DispatchRequestBody) {
        let Some(term) = self.term() else {
            return;
        };
        let pool = PoolId {
            region: self.config.region.clone(),
            model,
        };
        self.outputs.push(ShardOutput::Dispatch(DispatchRequest {
            pool,
            shard: self.config.shard,
            leader: self.config.node,
            term,
            body,
        }));
    }
}

fn started(call: WaitingCall, engine: EngineId) -> DispatchRequestBody {
    DispatchRequestBody::Started {
        call: Box::new(call),
        engine,
    }
}

/// The word to a dispatcher that an attempt ended without an answer.
pub(super) fn attempt_failed(request: RequestId, engine_fault: bool) -> DispatchRequestBody {
    DispatchRequestBody::Failed {
        request,
        engine_fault,
    }
}

/// An open call as its dispatcher sees it: worth, aim and attained service are those of its whole family.
fn waiting_call(state: &ShardState, call: CallId) -> Option<WaitingCall> {
    let program = state.program(call.program)?;
    let open = program.call(call.sequence)?.open()?;
    let root = state.program(program.root).unwrap_or(program);
    let root_started_at = root.first_call_at.unwrap_or(open.accepted_at);
    Some(WaitingCall {
        call,
        attempt: open.attempt,
        root: program.root,
        branch: program.branch.clone(),
        model: open.model.clone(),
        priority: open.priority,
        prompt_tokens: open.prompt.estimated,
        max_output: open.max_output,
        attained: root.attained,
        turn: program.history.segments() as u32,
        root_started_at,
        aim_at: root.aim.map(|aim| root_started_at + aim),
        worth: root.worth,
        accepted_at: open.accepted_at,
        give_up_at: open.give_up_at,
        last_engine: program.last_engine.clone(),
        avoid: open.avoid.clone(),
        repeatable: open.repeatable,
    })
}
