//! Handles messages from shard leaders. Messages may be duplicated, delayed, or sent by a replaced
//! leader.

use std::cmp::Ordering;

use courseshed_types::{
    CallId, EngineId, ProgramId, RequestId, ShardId, Timestamp, Tokens, Usage,
    dispatch::{DispatchRequest, DispatchRequestBody, WaitingCall},
};

use crate::{
    state::State,
    strategy::Charging,
    systems::{announcement, assignment, cache_view, engine_health, fairness, pauses, queueing},
    tables::{CallEntry, CallPhase, TermCheck, Timer},
    units::Service,
};

pub(crate) fn handle(state: &mut State, now: Timestamp, request: DispatchRequest) {
    if request.pool != state.pool {
        return;
    }
    let shard = request.shard;
    match state.shards.check_term(shard, request.leader, request.term) {
        TermCheck::Stale => {
            state.counters.stale_terms += 1;
            return;
        }
        TermCheck::New => announcement::start_timeout(state, now, shard),
        TermCheck::Current => {}
    }
    match request.body {
        DispatchRequestBody::Enqueue(call) => enqueue(state, now, shard, call),
        DispatchRequestBody::Withdraw(call) => remove_call(state, call),
        DispatchRequestBody::Started { call, engine } => started(state, now, shard, call, engine),
        DispatchRequestBody::Finished { request, usage } => finished(state, now, request, usage),
        DispatchRequestBody::Failed {
            request,
            engine_fault,
        } => failed(state, now, request, engine_fault),
        DispatchRequestBody::ProgramEnded(program) => program_ended(state, program),
        DispatchRequestBody::AnnounceComplete => announcement::complete(state, shard),
    }
}

/// Removes a call in any phase and refunds its charge.
pub(crate) fn remove_call(state: &mut State, call: CallId) {
    if let Some(entry) = queueing::remove(state, call) {
        settle(state, &entry, Some(Service(0)));
    }
}

/// Revokes a call's assignment and queues it again.
pub(crate) fn requeue(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let shard = entry.shard;
    let waiting = entry.call.clone();
    remove_call(state, call);
    insert(state, shard, waiting);
    queueing::enqueue(state, now, call);
}

fn enqueue(state: &mut State, now: Timestamp, shard: ShardId, call: Box<WaitingCall>) {
    if !admit(state, shard, &call) {
        return;
    }
    let id = call.call;
    record_resumption(state, now, shard, &call);
    record_demand(state, now, &call);
    insert(state, shard, call);
    queueing::enqueue(state, now, id);
}

/// Records a call's expected demand, excluding cached prompt tokens.
fn record_demand(state: &mut State, now: Timestamp, call: &WaitingCall) {
    let program = state.programs.get(&call.call.program);
    let prefix = program.and_then(|program| program.prefix.as_ref());
    let cached = prefix.map_or(Tokens::ZERO, |prefix| prefix.tokens);
    let uncached = call.prompt_tokens.saturating_sub(cached);
    let output = state
        .workload
        .expected_output(&call.branch, call.max_output);
    let prefill = uncached.0.saturating_mul(state.config.prefill_weight);
    let decode = output.0.saturating_mul(state.config.decode_weight);
    state.demand.prefill.record(now, prefill as f64);
    state.demand.decode.record(now, decode as f64);
}

fn started(
    state: &mut State,
    now: Timestamp,
    shard: ShardId,
    call: Box<WaitingCall>,
    engine: EngineId,
) {
    let id = call.call;
    if confirm(state, shard, &call, &engine) {
        return;
    }
    if has_ended(state, &call) {
        state.counters.stale_attempts += 1;
        return;
    }
    let known = state.calls.of_program(id.program);
    if let Some(known) = known.map(CallEntry::request) {
        if known > request_of(&call) {
            state.counters.stale_attempts += 1;
            return;
        }
        remove_call(state, known.call);
    }
    record_resumption(state, now, shard, &call);
    insert(state, shard, call);
    assignment::place(state, now, id, &engine);
    confirm_phase(state, id);
}

fn finished(state: &mut State, now: Timestamp, request: RequestId, usage: Usage) {
    let Some(entry) = end_attempt(state, &request) else {
        return;
    };
    let reported = reported_service(state, &usage);
    settle(state, &entry, Some(reported));
    state
        .workload
        .record_output(entry.branch(), usage.completion_tokens);
    let Some(engine) = entry
        .assignment()
        .map(|assignment| assignment.engine.clone())
    else {
        return;
    };
    engine_health::record_success(state, now, &engine);
    cache_view::record_filled(state, request.call.program, &engine, &usage);
    let turns = entry.call.turn + 1;
    if let Some(program) = state.programs.get_mut(&request.call.program) {
        program.turns = turns;
        program.paused_since = Some(now);
    }
    pauses::begin(state, now, request.call.program);
}

fn reported_service(state: &State, usage: &Usage) -> Service {
    let cached = match state.strategy.charging {
        Charging::Service => usage.cached_tokens,
        Charging::VirtualTokens => Tokens::ZERO,
    };
    let uncached = usage.prompt_tokens.saturating_sub(cached);
    Service::weighted(&state.config, uncached, usage.completion_tokens)
}

fn failed(state: &mut State, now: Timestamp, request: RequestId, engine_fault: bool) {
    let Some(entry) = end_attempt(state, &request) else {
        return;
    };
    settle(state, &entry, Some(Service(0)));
    let engine = entry
        .assignment()
        .map(|assignment| assignment.engine.clone());
    if let (true, Some(engine)) = (engine_fault, engine) {
        engine_health::record_failure(state, now, &engine);
    }
}

fn program_ended(state: &mut State, program: ProgramId) {
    if let Some(entry) = pauses::end_program(state, program) {
        state.workload.record_turns(&entry.branch, entry.turns);
    }
}

/// Whether a call should be enqueued. An earlier attempt or call of its program is removed, since
/// the program's shard must have settled it.
fn admit(state: &mut State, shard: ShardId, call: &WaitingCall) -> bool {
    if has_ended(state, call) {
        state.counters.stale_attempts += 1;
        return false;
    }
    let known = state.calls.of_program(call.call.program);
    let Some(known) = known.map(CallEntry::request) else {
        return true;
    };
    match known.cmp(&request_of(call)) {
        Ordering::Greater => {
            state.counters.stale_attempts += 1;
            false
        }
        Ordering::Less => {
            remove_call(state, known.call);
            true
        }
        Ordering::Equal => {
            refresh_known(state, shard, call.call);
            false
        }
    }
}

/// Refreshes a call that its shard named again, and resends its assignment in case it was lost.
fn refresh_known(state: &mut State, shard: ShardId, call: CallId) {
    let generation = generation_of(state, shard);
    if let Some(known) = state.calls.get_mut(&call) {
        known.generation = generation;
        known.shard = shard;
    }
    assignment::send_assignment(state, call);
}

fn insert(state: &mut State, shard: ShardId, call: Box<WaitingCall>) {
    let queue = state.branches.queue_of(&call.branch);
    let generation = generation_of(state, shard);
    state.calls.insert(CallEntry {
        call,
        shard,
        queue,
        generation,
        bypassed_since: None,
        was_parked: false,
        phase: CallPhase::Waiting(Default::default()),
    });
}

/// Confirms an assignment made by this dispatcher; false if there is no matching assignment.
fn confirm(state: &mut State, shard: ShardId, call: &WaitingCall, engine: &EngineId) -> bool {
    let generation = generation_of(state, shard);
    let Some(known) = state.calls.get_mut(&call.call) else {
        return false;
    };
    let placed_there = known
        .assignment()
        .is_some_and(|assignment| assignment.engine == *engine);
    if known.call.attempt != call.attempt || !placed_there {
        return false;
    }
    known.generation = generation;
    confirm_phase(state, call.call);
    true
}

fn confirm_phase(state: &mut State, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    if let CallPhase::Assigned(assignment) = &entry.phase {
        state.timers.cancel(Timer::Resend(call));
        let assignment = assignment.clone();
        state.calls.set_phase(&call, CallPhase::Running(assignment));
    }
}

/// Records the end of an attempt, and removes its call unless a later attempt is known.
fn end_attempt(state: &mut State, request: &RequestId) -> Option<CallEntry> {
    let program = state.programs.get_mut(&request.call.program)?;
    if program.has_ended(request) {
        state.counters.stale_attempts += 1;
        return None;
    }
    program.record_ended(request);
    let known = state.calls.get(&request.call)?;
    if known.call.attempt > request.attempt {
        return None;
    }
    queueing::remove(state, request.call)
}

/// Releases the call's capacity on its engine and replaces the estimated charge by `reported`.
fn settle(state: &mut State, entry: &CallEntry, reported: Option<Service>) {
    let Some(assignment) = entry.assignment() else {
        return;
    };
    if let Some(engine) = state.engines.get_mut(&assignment.engine) {
        engine.remove_call(assignment.memory, assignment.priority);
    }
    if let Some(reported) = reported {
        let warp = state.config.warp_per_priority;
        let charged = assignment.charged;
        fairness::correct(&mut state.branches, entry.queue, charged, reported, warp);
    }
}

/// Marks a program as active again and records the length of its pause.
fn record_resumption(state: &mut State, now: Timestamp, shard: ShardId, call: &WaitingCall) {
    let program = call.call.program;
    let entry = state.programs.get_or_insert(program, &call.branch, shard);
    entry.shard = shard;
    pauses::restart_idle_timer(state, now, program);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    if let Some(since) = entry.paused_since.take() {
        let pause = now.since(since);
        state.workload.record_pause(&call.branch, pause);
    }
}

fn has_ended(state: &State, call: &WaitingCall) -> bool {
    let request = request_of(call);
    state
        .programs
        .get(&call.call.program)
        .is_some_and(|program| program.has_ended(&request))
}

fn request_of(call: &WaitingCall) -> RequestId {
    RequestId {
        call: call.call,
        attempt: call.attempt,
    }
}

fn generation_of(state: &State, shard: ShardId) -> u64 {
    state.shards.get(shard).map_or(0, |entry| entry.generation)
}
