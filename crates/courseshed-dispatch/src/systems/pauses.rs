//! What happens to a program's prefix while its tools are at work.
//!
//! The prefix is held by a lease while the chance that it is used soon is worth the memory: the hazard of the
//! learned pause distribution (the best chance of a return per second, over several horizons) is compared with a
//! price per second that rises with the engine's memory pressure. Both sides scale with the prefix's tokens, so
//! the comparison needs no size. A lease is kept on while
//! the next call waits. Invariants: only known programs without a call on an engine have leases; what an engine's entry and a
//! branch's account count as leased is the sum over programs.

use std::time::Duration;

use courseshed_types::{
    BranchPath, EngineId, ProgramId, Timestamp, Tokens, dispatch::EngineOrderBody,
};

use crate::{
    state::State,
    tables::{EngineEntry, ProgramEntry, Timer},
};

/// Horizons over which a return is weighed.
const HORIZONS_SECONDS: [u64; 7] = [1, 2, 5, 10, 30, 90, 300];
/// Chance that a program goes on, before anything was learned.
const ASSUMED_GOES_ON: f64 = 0.75;
/// Returns per second expected of a pause before anything was learned.
const ASSUMED_HAZARD: f64 = 0.05;
/// Price of holding an idle engine's memory: one return in so many seconds pays.
const IDLE_PRICE: f64 = 1.0 / 300.0;
/// Price of holding a full engine's memory.
const FULL_PRICE: f64 = 1.0 / 3.0;
/// Part of the memory in use up to which the idle price holds.
const PRESSURE_FROM: f64 = 0.5;

/// A program's call ended: its prefix is held or not, and the program is forgotten if it never returns.
pub(crate) fn begin(state: &mut State, now: Timestamp, program: ProgramId) {
    remember(state, now, program);
    review(state, now, program);
}

/// Keeps a program from being forgotten for a while.
pub(crate) fn remember(state: &mut State, now: Timestamp, program: ProgramId) {
    let forget_at = now + state.config.forget_program;
    state.timers.set(forget_at, Timer::Forget(program));
}

/// Forgets a program that was silent for longer than any program may pause, unless a call of it is known.
pub(crate) fn forget(state: &mut State, now: Timestamp, program: ProgramId) {
    if state.calls.of_program(program).is_some() {
        remember(state, now, program);
    } else {
        end(state, program);
    }
}

/// Decides again whether a paused program's prefix is held, and renews its lease.
pub(crate) fn review(state: &mut State, now: Timestamp, program: ProgramId) {
    if !state.strategy.holds_prefixes {
        return;
    }
    let Some(engine) = held_on(state, program) else {
        return;
    };
    if is_worth_holding(state, now, program, &engine) {
        renew(state, now, program, engine);
    } else {
        release(state, program);
    }
}

/// The program makes a call again: the memory is the call's now.
pub(crate) fn resume(state: &mut State, program: ProgramId) {
    unlease(state, program);
}

/// The program is over: its prefix is useless, and it is known no more.
pub(crate) fn end(state: &mut State, program: ProgramId) -> Option<ProgramEntry> {
    unlease(state, program);
    state.timers.cancel(Timer::Forget(program));
    let entry = state.programs.remove(&program)?;
    let Some(prefix) = &entry.prefix else {
        return Some(entry);
    };
    state.cache_account(&entry.branch).waste.abandoned += prefix.unused.0;
    if state.strategy.holds_prefixes {
        state.counters.leases_released += 1;
        let engine = prefix.engine.clone();
        state.order(engine, EngineOrderBody::ReleaseLease { program });
    }
    Some(entry)
}

/// Takes a program's lease out of the accounts; true if it had one.
pub(crate) fn unlease(state: &mut State, program: ProgramId) -> bool {
    let Some(entry) = state.programs.get_mut(&program) else {
        return false;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return false;
    };
    let had_lease = prefix.leased_until.take().is_some();
    if had_lease {
        state.timers.cancel(Timer::Hold(program));
    }
    let tokens = std::mem::take(&mut prefix.leased_tokens);
    if let Some(engine) = state.engines.get_mut(&prefix.engine) {
        engine.leased = engine.leased.saturating_sub(tokens);
        engine.lessees.remove(&program);
    }
    state.remove_leased(&branch, tokens);
    had_lease
}

/// Gives a program's lease up; the engine may evict the prefix when it needs the memory.
pub(crate) fn release(state: &mut State, program: ProgramId) {
    if !unlease(state, program) {
        return;
    }
    let prefix = state
        .programs
        .get(&program)
        .and_then(|entry| entry.prefix.as_ref());
    let Some(engine) = prefix.map(|prefix| prefix.engine.clone()) else {
        return;
    };
    state.counters.leases_released += 1;
    state.order(engine, EngineOrderBody::ReleaseLease { program });
}

fn renew(state: &mut State, now: Timestamp, program: ProgramId, engine: EngineId) {
    let time_to_live = state.config.lease;
    unlease(state, program);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return;
    };
    prefix.leased_until = Some(now + time_to_live);
    prefix.leased_tokens = prefix.tokens;
    let tokens = prefix.tokens;
    if let Some(engine) = state.engines.get_mut(&engine) {
        engine.leased = engine.leased.saturating_add(tokens);
        engine.lessees.insert(program);
    }
    state.add_leased(&branch, tokens);
    state.counters.leases_renewed += 1;
    let body = EngineOrderBody::RenewLease {
        program,
        time_to_live,
    };
    state.order(engine, body);
    state
        .timers
        .set(now + time_to_live / 2, Timer::Hold(program));
}

/// The engine that holds the prefix of a program that is paused, or whose next call waits while a lease holds.
fn held_on(state: &State, program: ProgramId) -> Option<EngineId> {
    let entry = state.programs.get(&program)?;
    let prefix = entry.prefix.as_ref()?;
    if entry.paused_since.is_none() && prefix.leased_until.is_none() {
        return None;
    }
    (prefix.tokens > Tokens::ZERO).then(|| prefix.engine.clone())
}

fn is_worth_holding(state: &State, now: Timestamp, program: ProgramId, engine: &EngineId) -> bool {
    let Some(entry) = state.programs.get(&program) else {
        return false;
    };
    let Some(holder) = state.engines.get(engine) else {
        return false;
    };
    if !holder.takes_work(now, &state.pool.model) {
        return false;
    }
    let Some(since) = entry.paused_since else {
        return true;
    };
    if now.since(since) > state.config.max_hold {
        return false;
    }
    expected_use(state, now, program) >= price(state, program, holder)
}

/// Returns per second expected of a program: the best chance over several horizons. A program whose next call
/// waits already is sure to return.
pub(crate) fn expected_use(state: &State, now: Timestamp, program: ProgramId) -> f64 {
    let Some(entry) = state.programs.get(&program) else {
        return 0.0;
    };
    let Some(since) = entry.paused_since else {
        return 1.0;
    };
    let elapsed = now.since(since);
    let goes_on = state
        .shapes
        .goes_on_after(&entry.branch, entry.turns)
        .unwrap_or(ASSUMED_GOES_ON);
    let hazard = HORIZONS_SECONDS
        .iter()
        .map(|seconds| {
            let horizon = Duration::from_secs(*seconds);
            let returns = state.shapes.returns_within(&entry.branch, elapsed, horizon);
            returns.map_or(ASSUMED_HAZARD, |chance| chance / *seconds as f64)
        })
        .fold(0.0, f64::max);
    goes_on * hazard
}

/// The price of memory per second, as the chance of a return that would pay for it.
fn price(state: &State, program: ProgramId, engine: &EngineEntry) -> f64 {
    let Some(size) = engine.memory_size() else {
        return IDLE_PRICE;
    };
    let used = engine.memory.saturating_add(engine.leased).0 as f64 / size.0 as f64;
    let pressure = ((used - PRESSURE_FROM) / (1.0 - PRESSURE_FROM)).clamp(0.0, 1.0);
    let price = IDLE_PRICE * (FULL_PRICE / IDLE_PRICE).powf(pressure);
    if over_cache_share(state, program, size) {
        return FULL_PRICE;
    }
    price
}

/// Whether the program's branch, or one above it, holds more of the pool's memory by leases than its cache share.
fn over_cache_share(state: &State, program: ProgramId, engine_size: Tokens) -> bool {
    let Some(entry) = state.programs.get(&program) else {
        return false;
    };
    let memory = state.engines.len() as f64 * engine_size.0 as f64;
    let is_over = |path: BranchPath| {
        let held = state.caches.get(&path).map_or(0, |account| account.leased);
        let policy = state.policy.branches.get(&path);
        let share = policy.map_or(1.0, |policy| policy.cache_share);
        held as f64 > share * memory
    };
    entry.branch.ancestry().any(is_over)
}
