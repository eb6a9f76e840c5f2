//! Engine selection: weighs prefill saved by a cached prefix against load, memory and zone.
//!
//! Only engines with a free slot are candidates, so cache affinity neither delays a call nor
//! distorts shares: a call is charged at most what it would cost without a cached prefix.

use std::collections::BTreeSet;

use courseshed_types::{CallId, EngineId, Timestamp, Tokens, dispatch::WaitingCall};

use crate::{
    state::State,
    strategy::EngineSelection,
    systems::transfers,
    tables::{EngineEntry, ProgramEntry},
};

/// Cost of an engine on which the call failed before; chosen only as a last resort.
const AVOIDED_COST: u64 = u64::MAX / 4;
/// Fraction of the prompt that must be cached on an engine for prefix affinity.
const AFFINITY_MIN_MATCH: f64 = 0.5;
/// Difference in load between the most and least loaded engines above which they count as
/// imbalanced and prefix affinity is disabled.
const AFFINITY_IMBALANCE: u32 = 32;
/// Ratio of the highest to the lowest load that must also be exceeded for an imbalance.
const AFFINITY_IMBALANCE_RATIO: f64 = 1.1;

/// Engines closed to further calls in one run because their memory is reserved for a large call.
#[derive(Debug, Default)]
pub(crate) struct ClosedEngines(BTreeSet<EngineId>);

impl ClosedEngines {
    pub(crate) fn close(&mut self, engine: EngineId) {
        self.0.insert(engine);
    }

    pub(crate) fn is_open(&self, engine: &EngineId) -> bool {
        !self.0.contains(engine)
    }
}

/// A call and the data that engine selection needs, looked up once for all engines.
struct CallRequirements<'a> {
    call: &'a WaitingCall,
    program: Option<&'a ProgramEntry>,
    /// KV memory the call is expected to use.
    memory: Tokens,
    /// Priority sent to the engine.
    priority: i32,
}

impl<'a> CallRequirements<'a> {
    fn of(state: &'a State, call: CallId) -> Option<CallRequirements<'a>> {
        let waiting = &state.calls.get(&call)?.call;
        Some(CallRequirements {
            call: waiting,
            program: state.programs.get(&call.program),
            memory: memory_of(state, waiting),
            priority: priority_of(state, waiting),
        })
    }

    /// Memory leased on the engine for the call's own program.
    fn leased_on(&self, engine: &EngineId) -> Tokens {
        let prefix = self.program.and_then(|program| program.prefix.as_ref());
        match prefix {
            Some(prefix) if prefix.engine == *engine => prefix.leased_tokens,
            _ => Tokens::ZERO,
        }
    }

    /// Prompt tokens that need not be computed on the engine, as far as is known.
    fn saved_tokens_on(&self, state: &State, engine: &EngineId) -> Tokens {
        let is_known = |program: &&ProgramEntry| program.prefix.is_some() || program.exported.0 > 0;
        match self.program.filter(is_known) {
            Some(program) => transfers::saved_tokens_on(state, program, engine),
            None if self.call.last_engine.as_ref() == Some(engine) => self.call.prompt_tokens,
            None => Tokens::ZERO,
        }
    }
}

/// Whether any engine has a free slot, or one that the call's priority entitles it to.
pub(crate) fn any_slot(state: &State, now: Timestamp, call: CallId) -> bool {
    let priority = sent_priority(state, call);
    state
        .engines
        .iter()
        .any(|(_, engine)| has_slot(state, engine, now, priority))
}

/// Priority sent to the engine.
pub(crate) fn sent_priority(state: &State, call: CallId) -> i32 {
    let entry = state.calls.get(&call);
    entry.map_or(0, |entry| priority_of(state, &entry.call))
}

/// KV memory a call is expected to use.
pub(crate) fn needed_memory(state: &State, call: CallId) -> Tokens {
    let entry = state.calls.get(&call);
    entry.map_or(Tokens::ZERO, |entry| memory_of(state, &entry.call))
}

/// Memory leased on the engine for the call's own program.
pub(crate) fn own_leased_tokens(state: &State, call: CallId, engine: &EngineId) -> Tokens {
    CallRequirements::of(state, call)
        .map_or(Tokens::ZERO, |requirements| requirements.leased_on(engine))
}

/// Selects an engine with capacity for a queued call.
pub(crate) fn choose(
    state: &State,
    now: Timestamp,
    call: CallId,
    closed: &ClosedEngines,
) -> Option<EngineId> {
    let requirements = CallRequirements::of(state, call)?;
    let best = state
        .engines
        .iter()
        .filter(|(id, engine)| {
            closed.is_open(id) && has_slot(state, engine, now, requirements.priority)
        })
        .filter(|(_, engine)| fits(state, now, engine, &requirements))
        .map(|(id, engine)| (cost(state, now, &requirements, engine), id))
        .min();
    best.map(|(_, engine)| engine.clone())
}

/// Whether an engine has a slot and enough memory for a call.
pub(crate) fn has_capacity(state: &State, now: Timestamp, call: CallId, engine: &EngineId) -> bool {
    let (Some(requirements), Some(engine)) =
        (CallRequirements::of(state, call), state.engines.get(engine))
    else {
        return false;
    };
    has_slot(state, engine, now, requirements.priority) && fits(state, now, engine, &requirements)
}

/// The engine with the most memory available to a call that fits on none now; `None` if the call
/// exceeds every engine's memory, or if closing another engine would leave less than half of them
/// open.
pub(crate) fn engine_to_reserve(
    state: &State,
    now: Timestamp,
    call: CallId,
    closed: &ClosedEngines,
) -> Option<EngineId> {
    if (closed.0.len() + 1) * 2 > state.engines.len().max(2) {
        return None;
    }
    let requirements = CallRequirements::of(state, call)?;
    let could_fit = |engine: &EngineEntry| {
        let size = engine.memory_capacity();
        size.is_some_and(|size| size >= requirements.memory)
    };
    state
        .engines
        .iter()
        .filter(|(id, engine)| closed.is_open(id) && engine.accepts_calls(now, &state.pool.model))
        .filter(|(_, engine)| could_fit(engine))
        .max_by_key(|(id, engine)| {
            let room = engine.available_memory(&state.config).unwrap_or_default();
            room.saturating_add(requirements.leased_on(id))
        })
        .map(|(id, _)| id.clone())
}

/// Whether an engine has a slot for a call of this priority, memory aside.
pub(crate) fn has_slot(state: &State, engine: &EngineEntry, now: Timestamp, priority: i32) -> bool {
    let in_grace = now < state.grace_until && engine.report.is_none();
    if in_grace || !engine.accepts_calls(now, &state.pool.model) {
        return false;
    }
    let is_free = engine.in_flight < engine.call_limit(&state.config, now);
    is_free || engine.has_urgent_slot(&state.config, now, priority)
}

fn priority_of(state: &State, call: &WaitingCall) -> i32 {
    match state.strategy.honors_priority {
        true => call.priority,
        false => 0,
    }
}

fn memory_of(state: &State, call: &WaitingCall) -> Tokens {
    let output = state
        .workload
        .expected_output(&call.branch, call.max_output);
    call.prompt_tokens.saturating_add(output)
}

/// Whether an engine has enough memory. An urgent call beyond the slot limit may use the memory of
/// the call it preempts.
fn fits(
    state: &State,
    now: Timestamp,
    engine: &EngineEntry,
    requirements: &CallRequirements,
) -> bool {
    let Some(room) = engine.available_memory(&state.config) else {
        return true;
    };
    let exceeds_limit = engine.in_flight >= engine.call_limit(&state.config, now);
    let size = engine.memory_capacity();
    if exceeds_limit && size.is_some_and(|size| size >= requirements.memory) {
        return true;
    }
    let leased = requirements.leased_on(&engine.member.engine);
    engine.in_flight == 0 || room.saturating_add(leased) >= requirements.memory
}

/// Selection cost in service units. The call's decode cost is the same on all engines and is
/// omitted.
fn cost(
    state: &State,
    now: Timestamp,
    requirements: &CallRequirements,
    engine: &EngineEntry,
) -> u64 {
    let id = &engine.member.engine;
    let load = load_cost(state, now, engine);
    let saved = requirements.saved_tokens_on(state, id);
    let uncached = requirements.call.prompt_tokens.saturating_sub(saved);
    let prefill = uncached.0 * state.config.prefill_weight;
    let avoid_cost = match requirements.call.avoid.contains(id) {
        true => AVOIDED_COST,
        false => 0,
    };
    let base = match state.strategy.engine_selection {
        EngineSelection::LeastLoad => load,
        EngineSelection::Affinity => affinity_cost(state, now, requirements, engine, load),
        EngineSelection::LowestCost => prefill + load + zone_cost(state, requirements.call, engine),
    };
    base + avoid_cost
}

/// Load of an engine: the higher of its slot and memory utilization. Leased memory is ignored,
/// since it does not slow the engine down and can be reclaimed.
fn load_cost(state: &State, now: Timestamp, engine: &EngineEntry) -> u64 {
    let penalty = state.config.load_penalty;
    let limit = u64::from(engine.call_limit(&state.config, now).max(1));
    let slots = u64::from(engine.in_flight) * penalty / limit;
    let size = engine.memory_capacity().map_or(0, |size| size.0);
    match state.strategy.engine_selection {
        EngineSelection::LowestCost => slots.max(engine.memory.0 * penalty / size.max(1)),
        _ => slots,
    }
}

/// Cost under cache-aware routing: prefers the engine with the prefix, or the least loaded one if
/// loads are imbalanced or too little of the prompt is cached.
fn affinity_cost(
    state: &State,
    now: Timestamp,
    requirements: &CallRequirements,
    engine: &EngineEntry,
    load: u64,
) -> u64 {
    let saved = requirements.saved_tokens_on(state, &engine.member.engine);
    let matches = saved.0 as f64 > AFFINITY_MIN_MATCH * requirements.call.prompt_tokens.0 as f64;
    if matches && !is_imbalanced(state, now) {
        return 0;
    }
    1 + load
}

fn is_imbalanced(state: &State, now: Timestamp) -> bool {
    let accepts_calls = |engine: &&EngineEntry| engine.accepts_calls(now, &state.pool.model);
    let engines = state.engines.iter().map(|(_, engine)| engine);
    let loads = engines.filter(accepts_calls).map(|engine| engine.in_flight);
    let (least, most) = loads.fold((u32::MAX, 0), |(least, most), load| {
        (least.min(load), most.max(load))
    });
    let exceeds_difference = most.saturating_sub(least) > AFFINITY_IMBALANCE;
    exceeds_difference && f64::from(most) > AFFINITY_IMBALANCE_RATIO * f64::from(least)
}

/// Penalty for an engine outside the zone of the program's last engine, which would move the prefix
/// or the stream across zones.
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
