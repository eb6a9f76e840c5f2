//! Engine membership, load reports, outlier ejection and slow start.

use std::collections::BTreeSet;

use courseshed_types::{
    EngineId, Timestamp,
    dispatch::{EngineLoad, EngineMember, EngineState},
};

use crate::{
    state::State,
    systems::{cache_view, parking},
    tables::{EngineEntry, Timer},
};

/// Applies the engine directory, which lists the engines of all pools.
pub(crate) fn apply_directory(state: &mut State, now: Timestamp, members: &[EngineMember]) {
    let is_in_pool = |member: &&EngineMember| {
        member.region == state.pool.region && member.models.contains(&state.pool.model)
    };
    let members: Vec<EngineMember> = members.iter().filter(is_in_pool).cloned().collect();
    let listed: BTreeSet<EngineId> = members.iter().map(|member| member.engine.clone()).collect();
    let removed: Vec<EngineId> = state
        .engines
        .iter()
        .map(|(id, _)| id.clone())
        .filter(|id| !listed.contains(id))
        .collect();
    for engine in removed {
        parking::unpark_all(state, now, &engine);
        cache_view::drop_engine(state, &engine);
        state.engines.remove(&engine);
    }
    for member in members {
        apply_member(state, now, member);
    }
}

/// Handles a load report.
pub(crate) fn record_load(state: &mut State, now: Timestamp, engine: &EngineId, load: EngineLoad) {
    let Some(entry) = state.engines.get_mut(engine) else {
        return;
    };
    if entry.record_report(now, load) {
        begin_slow_start(state, now, engine);
        cache_view::drop_engine(state, engine);
    }
}

/// Ejects an unreachable engine.
pub(crate) fn mark_unreachable(state: &mut State, now: Timestamp, engine: &EngineId) {
    let threshold = state.config.failures_to_eject;
    if let Some(entry) = state.engines.get_mut(engine) {
        entry.health.failures = entry.health.failures.max(threshold);
        eject(state, now, engine);
    }
}

/// Records a successful call on an engine.
pub(crate) fn record_success(state: &mut State, now: Timestamp, engine: &EngineId) {
    if let Some(entry) = state.engines.get_mut(engine) {
        entry.health.failures = 0;
        entry.health.ejections = 0;
        if entry.health.is_probing {
            entry.health.is_probing = false;
            begin_slow_start(state, now, engine);
        }
    }
}

/// Records a call that failed through the engine's fault, ejecting the engine if necessary.
pub(crate) fn record_failure(state: &mut State, now: Timestamp, engine: &EngineId) {
    let threshold = state.config.failures_to_eject;
    let Some(entry) = state.engines.get_mut(engine) else {
        return;
    };
    entry.health.failures += 1;
    let is_recovering = entry.slow_start_since.is_some() || entry.health.is_probing;
    if entry.health.failures >= threshold || is_recovering {
        eject(state, now, engine);
    }
}

/// Handles an engine timer: ends an ejection or advances slow start.
pub(crate) fn recheck(state: &mut State, now: Timestamp, engine: &EngineId) {
    let slow_start = state.config.slow_start;
    let Some(entry) = state.engines.get_mut(engine) else {
        return;
    };
    if entry.health.ejected_until.is_some_and(|until| until <= now) {
        entry.health.ejected_until = None;
        entry.health.is_probing = true;
        return;
    }
    let Some(since) = entry.slow_start_since else {
        return;
    };
    if now >= since + slow_start {
        entry.slow_start_since = None;
    } else {
        set_slow_start_timer(state, now, engine);
    }
}

fn apply_member(state: &mut State, now: Timestamp, member: EngineMember) {
    let engine = member.engine.clone();
    match state.engines.get_mut(&engine) {
        None => {
            let mut entry = EngineEntry::new(member);
            adopt_calls(state, &mut entry);
            state.engines.insert(entry);
        }
        Some(entry) => {
            let was_down = entry.member.state == EngineState::Down;
            let recovers = was_down && member.state == EngineState::Live;
            let fails = !was_down && member.state == EngineState::Down;
            entry.member = member;
            if recovers {
                begin_slow_start(state, now, &engine);
            }
            if fails {
                cache_view::drop_engine(state, &engine);
            }
        }
    }
}

/// Accounts for calls that were placed on an engine before it was listed.
fn adopt_calls(state: &State, entry: &mut EngineEntry) {
    for (_, call) in state.calls.iter() {
        match call.assignment() {
            Some(assignment) if assignment.engine == entry.member.engine => {
                entry.add_call(assignment.memory, assignment.priority);
            }
            _ => {}
        }
    }
}

fn eject(state: &mut State, now: Timestamp, engine: &EngineId) {
    let (first, longest) = (state.config.ejection, state.config.max_ejection);
    let Some(entry) = state.engines.get_mut(engine) else {
        return;
    };
    if entry.health.ejected_until.is_some_and(|until| now < until) {
        return;
    }
    let doublings = entry.health.ejections.min(16);
    let until = now + (first * (1 << doublings)).min(longest);
    entry.health.ejections += 1;
    entry.health.ejected_until = Some(until);
    entry.health.is_probing = false;
    entry.slow_start_since = None;
    state.counters.ejections += 1;
    state
        .timers
        .set(until, Timer::EngineRecheck(engine.clone()));
}

fn begin_slow_start(state: &mut State, now: Timestamp, engine: &EngineId) {
    if let Some(entry) = state.engines.get_mut(engine) {
        entry.slow_start_since = Some(now);
        set_slow_start_timer(state, now, engine);
    }
}

/// Schedules the next slow-start step, a tenth of the slow-start time.
fn set_slow_start_timer(state: &mut State, now: Timestamp, engine: &EngineId) {
    let step = state.config.slow_start / 10;
    state
        .timers
        .set(now + step, Timer::EngineRecheck(engine.clone()));
}
