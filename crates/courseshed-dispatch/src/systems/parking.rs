//! Delay scheduling: parks a call for a short time until the engine that caches its prefix has
//! capacity, even if another engine has capacity now.
//!
//! When engines are full, the next slot to free up is rarely on the engine with the next call's
//! prefix, so without parking most calls would lose their cached prefix (delay scheduling, Zaharia
//! et al., EuroSys 2010). The wait is at most the time to recompute the prefix, a call is parked at
//! most once, and the number of parked calls per engine is limited. The branch is charged when the
//! call is parked, as for an assignment, so parking affects shares no more than outstanding
//! corrections do. A parked call takes precedence once its engine has capacity; otherwise it
//! returns to its queue.

use std::time::Duration;

use courseshed_types::{CallId, EngineId, Timestamp, Tokens};

use crate::{
    state::State,
    systems::{assignment, engine_selection, fairness, queueing},
    tables::{CallPhase, NodeIndex, Parking, Timer},
    units::Service,
};

/// Parks the next call if its cached prefix is worth the wait; returns whether it was parked.
pub(crate) fn park(state: &mut State, now: Timestamp, queue: NodeIndex, call: CallId) -> bool {
    let Some((engine, wait)) = parking_target(state, now, call) else {
        return false;
    };
    let charged = assignment::expected_charge(state, call, &engine);
    let warp = state.config.warp_per_priority;
    fairness::begin_service(&mut state.branches, queue);
    queueing::dequeue(state, call);
    fairness::charge(&mut state.branches, queue, charged, warp);
    if let Some(entry) = state.engines.get_mut(&engine) {
        entry.parked.insert(call);
    }
    if let Some(entry) = state.calls.get_mut(&call) {
        entry.was_parked = true;
    }
    let parking = Parking { engine, charged };
    state.calls.set_phase(&call, CallPhase::Parked(parking));
    state.timers.set(now + wait, Timer::Unpark(call));
    state.counters.parked += 1;
    true
}

/// Assigns parked calls to engines that now have capacity, and requeues those of engines that
/// accept no calls.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    for engine in engines_with_parked(state) {
        let accepts_calls = state
            .engines
            .get(&engine)
            .is_some_and(|entry| entry.accepts_calls(now, &state.pool.model));
        match accepts_calls {
            true => assign_parked(state, now, &engine),
            false => unpark_all(state, now, &engine),
        }
    }
}

fn assign_parked(state: &mut State, now: Timestamp, engine: &EngineId) {
    let has_slot = |state: &State| {
        let entry = state.engines.get(engine);
        entry.is_some_and(|entry| engine_selection::has_slot(state, entry, now, i32::MAX))
    };
    if !has_slot(state) {
        return;
    }
    let parked = state.engines.get(engine).map(|entry| entry.parked.clone());
    for call in parked.unwrap_or_default() {
        if engine_selection::has_capacity(state, now, call, engine) {
            remove(state, call);
            assignment::assign(state, now, call, engine);
        }
    }
}

/// Returns a call to its queue after the maximum wait.
pub(crate) fn unpark(state: &mut State, now: Timestamp, call: CallId) {
    if remove(state, call) {
        queueing::requeue(state, now, call);
    }
}

/// Requeues all calls parked for an engine.
pub(crate) fn unpark_all(state: &mut State, now: Timestamp, engine: &EngineId) {
    let parked = state.engines.get(engine).map(|entry| entry.parked.clone());
    for call in parked.unwrap_or_default() {
        unpark(state, now, call);
    }
}

/// Unparks a call and refunds its charge; false if it is not parked. The caller must set a new
/// phase or remove the call.
pub(crate) fn remove(state: &mut State, call: CallId) -> bool {
    let Some(entry) = state.calls.get(&call) else {
        return false;
    };
    let CallPhase::Parked(parking) = &entry.phase else {
        return false;
    };
    let (queue, parking) = (entry.queue, parking.clone());
    if let Some(engine) = state.engines.get_mut(&parking.engine) {
        engine.parked.remove(&call);
    }
    state.timers.cancel(Timer::Unpark(call));
    let warp = state.config.warp_per_priority;
    let tree = &mut state.branches;
    fairness::correct(tree, queue, parking.charged, Service(0), warp);
    true
}

/// The full engine that caches the call's prefix and the maximum wait for it, if parking pays off.
fn parking_target(state: &State, now: Timestamp, call: CallId) -> Option<(EngineId, Duration)> {
    let entry = state.calls.get(&call)?;
    if !state.strategy.parks_calls || entry.was_parked {
        return None;
    }
    let program = state.programs.get(&call.program)?;
    let prefix = program.prefix.as_ref()?;
    let engine = state.engines.get(&prefix.engine)?;
    let is_full = !engine_selection::has_capacity(state, now, call, &prefix.engine);
    let is_at_limit = engine.parked.len() >= engine.parking_limit(&state.config);
    let is_avoided = entry.call.avoid.contains(&prefix.engine);
    let accepts_calls = engine.accepts_calls(now, &state.pool.model);
    if !is_full || is_at_limit || is_avoided || !accepts_calls {
        return None;
    }
    let saved_tokens = prefix.tokens.saturating_sub(program.exported);
    let saved_tokens = saved_tokens.min(entry.call.prompt_tokens);
    let wait = recompute_time(state, saved_tokens).min(state.config.max_parking_wait);
    (wait >= state.config.min_parking_wait).then(|| (prefix.engine.clone(), wait))
}

/// Time an engine needs to compute prompt tokens.
fn recompute_time(state: &State, tokens: Tokens) -> Duration {
    let rate = state.config.prefill_tokens_per_second.max(1);
    Duration::from_secs_f64(tokens.0 as f64 / rate as f64)
}

fn engines_with_parked(state: &State) -> Vec<EngineId> {
    let engines = state.engines.iter();
    let with_parked = engines.filter(|(_, engine)| !engine.parked.is_empty());
    with_parked.map(|(id, _)| id.clone()).collect()
}
