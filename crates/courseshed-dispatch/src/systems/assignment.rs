//! Assigns queued calls to engines with capacity. Calls stay queued while all engines are full, so
//! that decisions are made as late as possible.
//!
//! A call for which no engine has enough memory first reclaims memory leased by paused programs. If
//! that does not help, smaller calls may bypass it for a limited time; then an engine is reserved
//! for it until it fits.

use courseshed_types::{
    CallId, EngineId, Timestamp, Tokens,
    dispatch::{DispatchEventBody, WaitingCall},
};

use crate::{
    state::State,
    strategy::Charging,
    systems::{
        engine_selection, engine_selection::ClosedEngines, fairness, parking, pauses, queueing,
        reclaim, requests, transfers,
    },
    tables::{Assignment, CallPhase, EngineEntry, NodeIndex, Rank, Timer},
    units::Service,
};

/// Maximum number of calls that may be bypassed in one run because they fit on no engine.
const MAX_BYPASSED: usize = 8;

/// Assigns calls until no engine has a slot or no remaining call fits.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    parking::run(state, now);
    let mut bypassed: Vec<(NodeIndex, Rank, CallId)> = Vec::new();
    let mut closed = ClosedEngines::default();
    while bypassed.len() < MAX_BYPASSED {
        let Some((queue, call)) = fairness::next_call(&state.branches) else {
            break;
        };
        if !engine_selection::any_slot(state, now, call) {
            break;
        }
        if parking::park(state, now, queue, call) {
            continue;
        }
        if let Some(engine) = choose(state, now, call, &closed) {
            fairness::begin_service(&mut state.branches, queue);
            queueing::dequeue(state, call);
            assign(state, now, call, &engine);
            continue;
        }
        reserve_engine(state, now, call, &mut closed);
        let Some((queue, rank)) = queueing::dequeue(state, call) else {
            break;
        };
        bypassed.push((queue, rank, call));
    }
    for (queue, rank, call) in bypassed {
        queueing::restore(state, queue, rank, call);
    }
}

/// Selects an engine for a call, reclaiming leased memory if necessary.
fn choose(
    state: &mut State,
    now: Timestamp,
    call: CallId,
    closed: &ClosedEngines,
) -> Option<EngineId> {
    let chosen = engine_selection::choose(state, now, call, closed);
    if chosen.is_some() || !reclaim::reclaim_for(state, now, call, closed) {
        return chosen;
    }
    engine_selection::choose(state, now, call, closed)
}

/// Assigns a dequeued call to an engine.
pub(crate) fn assign(state: &mut State, now: Timestamp, call: CallId, engine: &EngineId) {
    queueing::cancel_queue_timers(state, call);
    let import = transfers::import(state, call, engine);
    place(state, now, call, engine);
    match import {
        Some(wait) => transfers::set_import_timer(state, now, call, wait),
        None => send_assignment(state, call),
    }
    state.counters.assigned += 1;
    state.drain_rate.record(now, 1.0);
}

/// Records that a call is being bypassed; after `max_bypass`, closes an engine to other calls.
fn reserve_engine(state: &mut State, now: Timestamp, call: CallId, closed: &mut ClosedEngines) {
    let limit = state.config.max_bypass;
    let Some(entry) = state.calls.get_mut(&call) else {
        return;
    };
    let since = *entry.bypassed_since.get_or_insert(now);
    if now.since(since) < limit {
        return;
    }
    if let Some(engine) = engine_selection::engine_to_reserve(state, now, call, closed) {
        closed.close(engine);
    }
}

/// Accounts for a call on an engine: slot, memory, charge, and the end of its program's lease.
pub(crate) fn place(state: &mut State, now: Timestamp, call: CallId, engine: &EngineId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let queue = entry.queue;
    let assignment = estimate(state, &entry.call, engine, now);
    pauses::resume(state, call.program);
    if let Some(engine) = state.engines.get_mut(engine) {
        engine.add_call(assignment.memory, assignment.priority);
    }
    let warp = state.config.warp_per_priority;
    fairness::charge(&mut state.branches, queue, assignment.charged, warp);
    let resend_at = now + state.config.assignment_resend;
    state.timers.set(resend_at, Timer::Resend(call));
    state
        .calls
        .set_phase(&call, CallPhase::Assigned(assignment));
}

/// Sends a call's assignment to its shard.
pub(crate) fn send_assignment(state: &mut State, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let CallPhase::Assigned(assignment) = &entry.phase else {
        return;
    };
    let Some(engine) = state.engines.get(&assignment.engine) else {
        return;
    };
    let body = DispatchEventBody::Assigned {
        call,
        attempt: entry.call.attempt,
        engine: assignment.engine.clone(),
        engine_address: engine.member.address.clone(),
        priority: assignment.priority,
    };
    let shard = entry.shard;
    state.send_event(shard, body);
}

/// Resends an unconfirmed assignment. If the engine is draining, the assignment is revoked and the
/// call queued again; a shard that had committed the first assignment reports so in `Started`.
pub(crate) fn resend(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let CallPhase::Assigned(assignment) = &entry.phase else {
        return;
    };
    let engine = state.engines.get(&assignment.engine);
    if engine.is_none_or(EngineEntry::is_leaving) {
        return requests::requeue(state, now, call);
    }
    state.counters.resent += 1;
    send_assignment(state, call);
    let at = now + state.config.assignment_resend;
    state.timers.set(at, Timer::Resend(call));
}

/// Expected service of a call on an engine.
pub(crate) fn expected_charge(state: &State, call: CallId, engine: &EngineId) -> Service {
    let program = state.programs.get(&call.program);
    let cached = program.map_or(Tokens::ZERO, |program| program.cached_on(engine));
    expected_service(state, call, cached)
}

/// Expected service of a call when `cached` tokens of its prompt are cached.
pub(crate) fn expected_service(state: &State, call: CallId, cached: Tokens) -> Service {
    let Some(entry) = state.calls.get(&call) else {
        return Service(1);
    };
    let call = &entry.call;
    let output = state
        .workload
        .expected_output(&call.branch, call.max_output);
    match state.strategy.charging {
        Charging::Service => {
            let uncached = call.prompt_tokens.saturating_sub(cached);
            Service::weighted(&state.config, uncached, output)
        }
        Charging::VirtualTokens => {
            Service::weighted(&state.config, call.prompt_tokens, Tokens::ZERO)
        }
    }
}

fn estimate(state: &State, call: &WaitingCall, engine: &EngineId, now: Timestamp) -> Assignment {
    Assignment {
        engine: engine.clone(),
        charged: expected_charge(state, call.call, engine),
        memory: engine_selection::needed_memory(state, call.call),
        since: now,
        priority: engine_selection::sent_priority(state, call.call),
    }
}
