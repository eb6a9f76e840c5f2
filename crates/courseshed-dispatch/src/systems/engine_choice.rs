//! Chooses the engine of a call: prefill saved by the cached prefix against load, memory and zone.
//!
//! Every engine that may be chosen has a free slot, so affinity never makes a call wait and can't bend the shares:
//! the charge of a call is at most that of a call without any cached prefix.

use courseshed_types::{CallId, EngineId, Timestamp, Tokens, dispatch::WaitingCall};

use crate::{baselines::Choice, state::State, tables::EngineEntry};

/// Whether any engine has a free slot.
pub(crate) fn any_room(state: &State, now: Timestamp) -> bool {
    state
        .engines
        .iter()
        .any(|(_, engine)| has_slot(state, engine, now))
}

/// The engine for a waiting call, if one has room for it.
pub(crate) fn choose(state: &State, now: Timestamp, call: CallId) -> Option<EngineId> {
    let call = &state.calls.get(&call)?.call;
    let output = state.shapes.expected_output(&call.branch, call.max_output);
    let memory = call.prompt_tokens.saturating_add(output);
    let best = state
        .engines
        .iter()
        .filter(|(_, engine)| has_slot(state, engine, now))
        .filter(|(_, engine)| fits(state, engine, call, memory))
        .map(|(id, engine)| (cost(state, now, call, engine), id))
        .min();
    best.map(|(_, engine)| engine.clone())
}

fn has_slot(state: &State, engine: &EngineEntry, now: Timestamp) -> bool {
    let in_grace = now < state.grace_until && engine.report.is_none();
    !in_grace
        && engine.takes_work(now, &state.pool.model)
        && engine.in_flight < engine.call_limit(&state.config, now)
}

fn fits(state: &State, engine: &EngineEntry, call: &WaitingCall, memory: Tokens) -> bool {
    let Some(room) = engine.memory_room(&state.config) else {
        return true;
    };
    let held = held_for(state, call, &engine.member.engine);
    engine.in_flight == 0 || room.saturating_add(held) >= memory
}

/// Memory already held on the engine for the call's own program.
fn held_for(state: &State, call: &WaitingCall, engine: &EngineId) -> Tokens {
    let program = state.programs.get(&call.call.program);
    let prefix = program.and_then(|program| program.prefix.as_ref());
    match prefix {
        Some(prefix) if prefix.engine == *engine => prefix.leased_tokens,
        _ => Tokens::ZERO,
    }
}

/// What the choice costs, in units of service; the call's own decode is the same everywhere.
fn cost(state: &State, now: Timestamp, call: &WaitingCall, engine: &EngineEntry) -> u64 {
    let limit = u64::from(engine.call_limit(&state.config, now).max(1));
    let load = u64::from(engine.in_flight) * state.config.load_penalty / limit;
    let cached = cached_on(state, call, &engine.member.engine);
    let uncached = call.prompt_tokens.saturating_sub(cached).0 * state.config.prefill_weight;
    let avoided = call.avoid.contains(&engine.member.engine);
    let avoidance = if avoided { u64::MAX / 4 } else { 0 };
    let base = match state.strategy.choice {
        Choice::LeastLoad => load,
        Choice::Affinity if cached > Tokens::ZERO => 0,
        Choice::Affinity => 1 + load,
        Choice::Balanced => uncached + load + zone_cost(state, call, engine),
    };
    base + avoidance
}

fn cached_on(state: &State, call: &WaitingCall, engine: &EngineId) -> Tokens {
    let program = state.programs.get(&call.call.program);
    match program {
        Some(program) if program.prefix.is_some() => program.cached_on(engine),
        _ if call.last_engine.as_ref() == Some(engine) => call.prompt_tokens,
        _ => Tokens::ZERO,
    }
}

/// Moving a prefix or a stream over zones costs; the program's last engine names its zone.
fn zone_cost(state: &State, call: &WaitingCall, engine: &EngineEntry) -> u64 {
    let last = call
        .last_engine
        .as_ref()
        .and_then(|last| state.engines.get(last));
    match last {
        Some(last) if last.member.zone != engine.member.zone => state.config.zone_penalty,
        _ => 0,
    }
}
