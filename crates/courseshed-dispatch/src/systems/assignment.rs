//! Gives waiting calls to engines while there is room: decided as late as engines stay full.

use courseshed_types::{
    CallId, EngineId, Timestamp, Tokens,
    dispatch::{DispatchEventBody, WaitingCall},
};

use crate::{
    state::State,
    systems::{engine_choice, fairness, pauses, queueing},
    tables::{CallPhase, NodeIndex, Placement, Rank, Timer},
    units::Service,
};

/// Calls that fit no engine now and are passed over in one run.
const MAX_PASSED_OVER: usize = 8;

/// Assigns calls until no engine has room or no call is left that fits.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    let mut passed_over: Vec<(NodeIndex, Rank, CallId)> = Vec::new();
    while passed_over.len() < MAX_PASSED_OVER && engine_choice::any_room(state, now) {
        let Some((queue, call)) = fairness::next_call(&state.branches) else {
            break;
        };
        match engine_choice::choose(state, now, call) {
            Some(engine) => {
                fairness::begin_service(&mut state.branches, queue);
                queueing::dequeue(state, call);
                queueing::stop_waiting(state, call);
                place(state, now, call, &engine);
                announce(state, call);
                state.counters.assigned += 1;
            }
            None => {
                let Some((queue, rank)) = queueing::dequeue(state, call) else {
                    break;
                };
                passed_over.push((queue, rank, call));
            }
        }
    }
    for (queue, rank, call) in passed_over {
        queueing::put_back(state, queue, rank, call);
    }
}

/// Accounts for a call on an engine: its room, its charge, its program's lease.
pub(crate) fn place(state: &mut State, now: Timestamp, call: CallId, engine: &EngineId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let queue = entry.queue;
    let placement = estimate(state, &entry.call, engine, now);
    pauses::resume(state, call.program);
    if let Some(engine) = state.engines.get_mut(engine) {
        engine.add_call(placement.memory);
    }
    let warp = state.config.warp_per_priority;
    fairness::charge(&mut state.branches, queue, placement.charged, warp);
    let resend_at = now + state.config.assignment_resend;
    state.timers.set(resend_at, Timer::Resend(call));
    state.calls.set_phase(&call, CallPhase::Assigned(placement));
}

/// Tells the shard where a call that was assigned shall run.
pub(crate) fn announce(state: &mut State, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let CallPhase::Assigned(placement) = &entry.phase else {
        return;
    };
    let Some(engine) = state.engines.get(&placement.engine) else {
        return;
    };
    let body = DispatchEventBody::Assigned {
        call,
        attempt: entry.call.attempt,
        engine: placement.engine.clone(),
        engine_address: engine.member.address.clone(),
        priority: placement.priority,
    };
    let shard = entry.shard;
    state.say(shard, body);
}

/// Sends an assignment again that was not confirmed.
pub(crate) fn resend(state: &mut State, now: Timestamp, call: CallId) {
    let is_unconfirmed = state
        .calls
        .get(&call)
        .is_some_and(|entry| matches!(entry.phase, CallPhase::Assigned(_)));
    if !is_unconfirmed {
        return;
    }
    state.counters.resent += 1;
    announce(state, call);
    let at = now + state.config.assignment_resend;
    state.timers.set(at, Timer::Resend(call));
}

fn estimate(state: &State, call: &WaitingCall, engine: &EngineId, now: Timestamp) -> Placement {
    let output = state.shapes.expected_output(&call.branch, call.max_output);
    let cached = state
        .programs
        .get(&call.call.program)
        .map_or(Tokens::ZERO, |program| program.cached_on(engine));
    let uncached = call.prompt_tokens.saturating_sub(cached);
    let priority = match state.strategy.honours_priority {
        true => call.priority,
        false => 0,
    };
    Placement {
        engine: engine.clone(),
        charged: Service::weigh(&state.config, uncached, output),
        memory: call.prompt_tokens.saturating_add(output),
        since: now,
        priority,
    }
}
