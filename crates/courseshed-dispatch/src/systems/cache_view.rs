//! What is believed of the engines' prefix caches: noted when calls end, moved by late and incomplete events, and
//! reconciled with the engines' own listings.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    BranchPath, EngineId, ProgramId, Timestamp, Tokens, Usage,
    dispatch::{CacheChange, CacheEvent, EngineOrderBody, LeaseEntry},
};

use crate::{output::Waste, state::State, systems::pauses, tables::CachedPrefix};

/// A listing may be so old: prefixes filled since are not held against it.
const LISTING_LAG: Duration = Duration::from_secs(3);

/// A call of the program ended on the engine, so its prefix is cached there.
pub(crate) fn filled(state: &mut State, program: ProgramId, engine: &EngineId, usage: &Usage) {
    leave_behind(state, program, engine);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let tokens = usage.total();
    entry.prefix = Some(CachedPrefix {
        engine: engine.clone(),
        tokens,
        unused: tokens.saturating_sub(usage.cached_tokens),
        leased_until: None,
        leased_tokens: Tokens::ZERO,
    });
}

/// Takes an event of an engine's cache.
pub(crate) fn take_event(state: &mut State, engine: &EngineId, event: CacheEvent) {
    let Some(entry) = state.engines.get_mut(engine) else {
        return;
    };
    let expected = entry.last_event.map(|last| last + 1);
    if entry.last_event.is_some_and(|last| event.number <= last) {
        return;
    }
    entry.last_event = Some(event.number);
    if expected.is_some_and(|expected| event.number > expected) {
        state.counters.event_gaps += 1;
    }
    match event.change {
        CacheChange::Stored(_) => {}
        CacheChange::Evicted(left) => shrink(state, event.program, engine, left),
    }
}

/// Takes an engine's own listing of its cached prefixes.
pub(crate) fn take_listing(
    state: &mut State,
    now: Timestamp,
    engine: &EngineId,
    listing: &[LeaseEntry],
) {
    let listed: BTreeMap<ProgramId, Tokens> = listing
        .iter()
        .map(|entry| (entry.program, entry.tokens))
        .collect();
    for (program, believed) in believed_on(state, now, engine) {
        let left = listed.get(&program).copied().unwrap_or(Tokens::ZERO);
        if left < believed {
            shrink(state, program, engine, left);
        }
    }
    release_strangers(state, now, engine, listing);
}

/// The engine lost its cache.
pub(crate) fn lost(state: &mut State, engine: &EngineId) {
    let programs: Vec<ProgramId> = state
        .programs
        .iter()
        .filter(|(_, program)| is_on(program.prefix.as_ref(), engine))
        .map(|(id, _)| *id)
        .collect();
    for program in programs {
        drop_prefix(state, program, |waste, tokens| waste.engine_lost += tokens);
    }
    if let Some(entry) = state.engines.get_mut(engine) {
        entry.leased = Tokens::ZERO;
        entry.last_event = None;
    }
}

/// A program that goes on elsewhere leaves its prefix behind.
fn leave_behind(state: &mut State, program: ProgramId, engine: &EngineId) {
    let prefix = state
        .programs
        .get(&program)
        .and_then(|entry| entry.prefix.as_ref());
    let Some(left) = prefix.map(|prefix| prefix.engine.clone()) else {
        return;
    };
    if left == *engine {
        pauses::unlease(state, program);
        return;
    }
    drop_prefix(state, program, |waste, tokens| waste.moved += tokens);
    if state.strategy.holds_prefixes {
        state.order(left, EngineOrderBody::ReleaseLease { program });
    }
}

fn shrink(state: &mut State, program: ProgramId, engine: &EngineId, left: Tokens) {
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return;
    };
    if prefix.engine != *engine || left >= prefix.tokens {
        return;
    }
    let evicted = prefix.tokens.saturating_sub(left);
    let wasted = evicted.min(prefix.unused);
    prefix.tokens = left;
    prefix.unused = prefix.unused.saturating_sub(wasted);
    let is_gone = left == Tokens::ZERO;
    state.cache_account(&branch).waste.evicted += wasted.0;
    if is_gone {
        drop_prefix(state, program, |_, _| {});
    }
}

fn drop_prefix(state: &mut State, program: ProgramId, count: impl Fn(&mut Waste, u64)) {
    pauses::unlease(state, program);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch: BranchPath = entry.branch.clone();
    if let Some(prefix) = entry.prefix.take() {
        count(&mut state.cache_account(&branch).waste, prefix.unused.0);
    }
}

/// Prefixes of programs paused for longer than a listing lags.
fn believed_on(state: &State, now: Timestamp, engine: &EngineId) -> Vec<(ProgramId, Tokens)> {
    let mut believed = Vec::new();
    for (id, program) in state.programs.iter() {
        let is_settled = program
            .paused_since
            .is_some_and(|since| now.since(since) > LISTING_LAG);
        match &program.prefix {
            Some(prefix) if is_settled && prefix.engine == *engine => {
                believed.push((*id, prefix.tokens));
            }
            _ => {}
        }
    }
    believed
}

/// Releases leases of programs that nobody here knows, once a new dispatcher has had time to learn of all. An
/// engine of several models may hold programs of other pools: there leases only run out.
fn release_strangers(state: &mut State, now: Timestamp, engine: &EngineId, listing: &[LeaseEntry]) {
    let serves_one_model = state
        .engines
        .get(engine)
        .is_some_and(|entry| entry.member.models.len() == 1);
    if !serves_one_model || now < state.grace_until + state.config.lease {
        return;
    }
    for entry in listing {
        let is_known = state.programs.get(&entry.program).is_some();
        if entry.leased_for.is_some() && !is_known {
            let program = entry.program;
            state.counters.leases_released += 1;
            state.order(engine.clone(), EngineOrderBody::ReleaseLease { program });
        }
    }
}

fn is_on(prefix: Option<&CachedPrefix>, engine: &EngineId) -> bool {
    prefix.is_some_and(|prefix| prefix.engine == *engine)
}
