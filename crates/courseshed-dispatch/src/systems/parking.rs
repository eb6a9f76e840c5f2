//! Lets a call wait a moment for the engine that holds its prefix, although another engine has room.
//!
//! When engines are full, the slot that frees next is seldom where the next call's prefix is, so without this
//! almost every call would leave its prefix behind (delay scheduling, Zaharia et al., EuroSys 2010). The wait is
//! no longer than computing the prefix anew would take, happens once a call, and only so many calls wait at one
//! engine. The branch is charged when the call is parked, as if it had been assigned, so parking moves the shares by
//! no more than corrections under way do. A parked call goes before others once its engine has room; else it
//! returns to its place.

use std::time::Duration;

use courseshed_types::{CallId, EngineId, Timestamp, Tokens};

use crate::{
    state::State,
    systems::{assignment, engine_choice, fairness, queueing},
    tables::{CallPhase, NodeIndex, Parking, Timer},
    units::Service,
};

/// Parks the next call if waiting for its prefix is worth it; false if it is not.
pub(crate) fn park(state: &mut State, now: Timestamp, queue: NodeIndex, call: CallId) -> bool {
    let Some((engine, wait)) = worth_waiting_for(state, now, call) else {
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

/// Gives parked calls to their engines where there is room now, and sends those back whose engine takes no work.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    for engine in with_parked(state) {
        let takes_work = state
            .engines
            .get(&engine)
            .is_some_and(|entry| entry.takes_work(now, &state.pool.model));
        match takes_work {
            true => give_parked(state, now, &engine),
            false => abandon(state, now, &engine),
        }
    }
}

fn give_parked(state: &mut State, now: Timestamp, engine: &EngineId) {
    let has_slot = |state: &State| {
        let entry = state.engines.get(engine);
        entry.is_some_and(|entry| engine_choice::has_slot(state, entry, now, i32::MAX))
    };
    if !has_slot(state) {
        return;
    }
    let parked = state.engines.get(engine).map(|entry| entry.parked.clone());
    for call in parked.unwrap_or_default() {
        if engine_choice::has_room(state, now, call, engine) {
            take_out(state, call);
            assignment::give(state, now, call, engine);
        }
    }
}

/// The wait is over: the call goes back to its place and takes any engine.
pub(crate) fn send_back(state: &mut State, now: Timestamp, call: CallId) {
    if take_out(state, call) {
        queueing::return_to_queue(state, now, call);
    }
}

/// Sends all calls back that wait for an engine.
pub(crate) fn abandon(state: &mut State, now: Timestamp, engine: &EngineId) {
    let parked = state.engines.get(engine).map(|entry| entry.parked.clone());
    for call in parked.unwrap_or_default() {
        send_back(state, now, call);
    }
}

/// Takes a call out of its engine's parked calls and undoes its charge; false if it is not parked. The caller
/// gives it another phase or removes it.
pub(crate) fn take_out(state: &mut State, call: CallId) -> bool {
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

/// The engine that holds the call's prefix but has no room now, and how long to wait for it.
fn worth_waiting_for(state: &State, now: Timestamp, call: CallId) -> Option<(EngineId, Duration)> {
    let entry = state.calls.get(&call)?;
    if !state.strategy.parks || entry.was_parked {
        return None;
    }
    let program = state.programs.get(&call.program)?;
    let prefix = program.prefix.as_ref()?;
    let engine = state.engines.get(&prefix.engine)?;
    let is_full = !engine_choice::has_room(state, now, call, &prefix.engine);
    let is_crowded = engine.parked.len() >= engine.parking_limit(&state.config);
    let is_avoided = entry.call.avoid.contains(&prefix.engine);
    let takes_work = engine.takes_work(now, &state.pool.model);
    if !is_full || is_crowded || is_avoided || !takes_work {
        return None;
    }
    let saved = prefix.tokens.saturating_sub(program.exported);
    let saved = saved.min(entry.call.prompt_tokens);
    let wait = recompute_time(state, saved).min(state.config.affinity_wait);
    (wait >= state.config.least_affinity_wait).then(|| (prefix.engine.clone(), wait))
}

/// How long an engine takes to compute so many tokens of a prompt.
fn recompute_time(state: &State, tokens: Tokens) -> Duration {
    let rate = state.config.prefill_tokens_per_second.max(1);
    Duration::from_secs_f64(tokens.0 as f64 / rate as f64)
}

fn with_parked(state: &State) -> Vec<EngineId> {
    let engines = state.engines.iter();
    let crowded = engines.filter(|(_, engine)| !engine.parked.is_empty());
    crowded.map(|(id, _)| id.clone()).collect()
}
