//! Chooses the engine of a call: prefill saved by the cached prefix against load, memory and zone.
//!
//! Every engine that may be chosen has a free slot, so affinity never makes a call wait and can't bend the shares:
//! the charge of a call is at most that of a call without any cached prefix.

use std::collections::BTreeSet;

use courseshed_types::{CallId, EngineId, Timestamp, Tokens, dispatch::WaitingCall};

use crate::{
    baselines::Choice,
    state::State,
    systems::transfers,
    tables::{EngineEntry, ProgramEntry},
};

/// Engines that take no more calls in one run, because a large call needs their memory.
#[derive(Debug, Default)]
pub(crate) struct Closed(BTreeSet<EngineId>);

impl Closed {
    /// Closes an engine.
    pub(crate) fn close(&mut self, engine: EngineId) {
        self.0.insert(engine);
    }

    /// Whether an engine still takes calls.
    pub(crate) fn is_open(&self, engine: &EngineId) -> bool {
        !self.0.contains(engine)
    }
}

/// Whether any engine has a free slot, or one that the call may overtake another for.
pub(crate) fn any_room(state: &State, now: Timestamp, call: CallId) -> bool {
    let priority = sent_priority(state, call);
    state
        .engines
        .iter()
        .any(|(_, engine)| has_slot(state, engine, now, priority))
}

/// The priority that engines are told.
pub(crate) fn sent_priority(state: &State, call: CallId) -> i32 {
    match state.calls.get(&call) {
        Some(entry) if state.strategy.honours_priority => entry.call.priority,
        _ => 0,
    }
}

/// The engine for a waiting call, if one has room for it.
pub(crate) fn choose(
    state: &State,
    now: Timestamp,
    call: CallId,
    closed: &Closed,
) -> Option<EngineId> {
    let priority = sent_priority(state, call);
    let memory = needed_memory(state, call);
    let call = &state.calls.get(&call)?.call;
    let best = state
        .engines
        .iter()
        .filter(|(id, engine)| closed.is_open(id) && has_slot(state, engine, now, priority))
        .filter(|(_, engine)| fits(state, now, engine, call, memory))
        .map(|(id, engine)| (cost(state, now, call, engine), id))
        .min();
    best.map(|(_, engine)| engine.clone())
}

/// Whether an engine has a slot and the memory for a call.
pub(crate) fn has_room(state: &State, now: Timestamp, call: CallId, engine: &EngineId) -> bool {
    let priority = sent_priority(state, call);
    let memory = needed_memory(state, call);
    let (Some(entry), Some(engine)) = (state.calls.get(&call), state.engines.get(engine)) else {
        return false;
    };
    has_slot(state, engine, now, priority) && fits(state, now, engine, &entry.call, memory)
}

/// The engine on which the least has to end before a call fits; none if the call is too large for all, or if
/// engines that are closed already would leave less than half.
pub(crate) fn roomiest(
    state: &State,
    now: Timestamp,
    call: CallId,
    closed: &Closed,
) -> Option<EngineId> {
    if (closed.0.len() + 1) * 2 > state.engines.len().max(2) {
        return None;
    }
    let memory = needed_memory(state, call);
    let call = &state.calls.get(&call)?.call;
    let could_fit = |engine: &EngineEntry| engine.memory_size().is_some_and(|size| size >= memory);
    state
        .engines
        .iter()
        .filter(|(id, engine)| closed.is_open(id) && engine.takes_work(now, &state.pool.model))
        .filter(|(_, engine)| could_fit(engine))
        .max_by_key(|(id, engine)| {
            let room = engine.memory_room(&state.config).unwrap_or_default();
            room.saturating_add(held_for(state, call, id))
        })
        .map(|(id, _)| id.clone())
}

/// KV memory a call is expected to take.
pub(crate) fn needed_memory(state: &State, call: CallId) -> Tokens {
    let Some(entry) = state.calls.get(&call) else {
        return Tokens::ZERO;
    };
    let call = &entry.call;
    let output = state.shapes.expected_output(&call.branch, call.max_output);
    call.prompt_tokens.saturating_add(output)
}

/// Whether an engine would take a call of this priority, memory apart.
pub(crate) fn has_slot(state: &State, engine: &EngineEntry, now: Timestamp, priority: i32) -> bool {
    let in_grace = now < state.grace_until && engine.report.is_none();
    if in_grace || !engine.takes_work(now, &state.pool.model) {
        return false;
    }
    let is_free = engine.in_flight < engine.call_limit(&state.config, now);
    is_free || engine.has_urgent_slot(&state.config, now, priority)
}

/// Whether an engine has the memory. A call that overtakes takes the memory of the one that gives way.
fn fits(
    state: &State,
    now: Timestamp,
    engine: &EngineEntry,
    call: &WaitingCall,
    memory: Tokens,
) -> bool {
    let Some(room) = engine.memory_room(&state.config) else {
        return true;
    };
    let overtakes = engine.in_flight >= engine.call_limit(&state.config, now);
    if overtakes && engine.memory_size().is_some_and(|size| size >= memory) {
        return true;
    }
    let held = held_for(state, call, &engine.member.engine);
    engine.in_flight == 0 || room.saturating_add(held) >= memory
}

/// Memory already held on the engine for the call's own program.
pub(crate) fn held_for(state: &State, call: &WaitingCall, engine: &EngineId) -> Tokens {
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
    let cached = spared_on(state, call, &engine.member.engine);
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

fn spared_on(state: &State, call: &WaitingCall, engine: &EngineId) -> Tokens {
    let program = state.programs.get(&call.call.program);
    let is_known = |program: &ProgramEntry| program.prefix.is_some() || program.exported.0 > 0;
    match program {
        Some(program) if is_known(program) => transfers::spared_on(state, call.call, engine),
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
