//! Export of prefixes out of engines, and import into the engine of the program's next call.
//!
//! Copies are stored by the executor of the orders; the dispatcher only tracks their size and keeps
//! it within `export_capacity`. Losing a copy costs no more than recomputing the prefix, since
//! engines report what they found cached.

use std::time::Duration;

use courseshed_types::{CallId, EngineId, ProgramId, Timestamp, Tokens, dispatch::EngineOrderBody};

use crate::{
    state::State,
    systems::cache_view,
    tables::{ProgramEntry, Timer},
};

/// Margin added to the expected duration of an export before the lease is released.
const EXPORT_MARGIN: Duration = Duration::from_millis(500);
/// Prefixes with fewer tokens are not exported or imported.
const MIN_TRANSFER_TOKENS: Tokens = Tokens(256);

/// Orders the export of a paused program's prefix; returns when it should be complete.
pub(crate) fn export(state: &mut State, now: Timestamp, program: ProgramId) -> Timestamp {
    let Some(entry) = state.programs.get_mut(&program) else {
        return now;
    };
    let Some(prefix) = entry.prefix.as_mut() else {
        return now;
    };
    let (engine, tokens) = (prefix.engine.clone(), prefix.tokens);
    let unused = std::mem::take(&mut prefix.unused);
    entry.exported_unused = entry.exported_unused.saturating_add(unused);
    let older = std::mem::replace(&mut entry.exported, tokens);
    state.exported = state.exported.saturating_sub(older).saturating_add(tokens);
    state.counters.exports += 1;
    state.send_order(engine, EngineOrderBody::Export { program });
    now + transfer_time(state, tokens) + EXPORT_MARGIN
}

/// Orders the import of a program's exported prefix for a call placed on an engine that caches less
/// of it; returns the expected duration.
pub(crate) fn import(state: &mut State, call: CallId, engine: &EngineId) -> Option<Duration> {
    let program = call.program;
    let prompt = state.calls.get(&call)?.call.prompt_tokens;
    let entry = state.programs.get(&program)?;
    let tokens = entry.exported.min(prompt);
    let missing = tokens.saturating_sub(entry.cached_on(engine));
    if missing < MIN_TRANSFER_TOKENS {
        return None;
    }
    cache_view::detach_prefix(state, program, engine);
    cache_view::set_prefix(state, program, engine, tokens, Tokens::ZERO);
    mark_reused(state, program);
    state.counters.imports += 1;
    state.send_order(engine.clone(), EngineOrderBody::Import { program });
    Some(transfer_time(state, missing))
}

/// Tokens of a program's prefix that need not be computed on an engine, net of the cost of an
/// import.
pub(crate) fn saved_tokens_on(state: &State, program: &ProgramEntry, engine: &EngineId) -> Tokens {
    let cached = program.cached_on(engine);
    let imported = program.exported.saturating_sub(cached);
    let gain = (imported.0 as f64 * (1.0 - transfer_cost_ratio(state))) as u64;
    cached.saturating_add(Tokens(gain))
}

/// Marks a program's exported tokens as reused.
pub(crate) fn mark_reused(state: &mut State, program: ProgramId) {
    if let Some(entry) = state.programs.get_mut(&program) {
        entry.exported_unused = Tokens::ZERO;
    }
}

/// Drops the exported copy of a program that ended; tokens that were never reused count as
/// abandoned.
pub(crate) fn drop_copy(state: &mut State, program: ProgramId) {
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let tokens = std::mem::take(&mut entry.exported);
    let unused = std::mem::take(&mut entry.exported_unused);
    let branch = entry.branch.clone();
    state.exported = state.exported.saturating_sub(tokens);
    state.cache_account(&branch).waste.abandoned += unused.0;
}

/// Whether a prefix of this size may be exported.
pub(crate) fn has_space(state: &State, tokens: Tokens) -> bool {
    tokens >= MIN_TRANSFER_TOKENS
        && state.exported.saturating_add(tokens) <= state.config.export_capacity
}

/// Cost of moving a prefix once, as a fraction of the cost of computing it.
pub(crate) fn transfer_cost_ratio(state: &State) -> f64 {
    let config = &state.config;
    let rates = config.prefill_tokens_per_second as f64 / config.transfer_tokens_per_second as f64;
    rates.min(1.0)
}

/// Schedules a call's assignment for when its import should be complete.
pub(crate) fn set_import_timer(state: &mut State, now: Timestamp, call: CallId, wait: Duration) {
    let resend = state.config.assignment_resend;
    state.timers.set(now + wait, Timer::ImportDone(call));
    state.timers.set(now + wait + resend, Timer::Resend(call));
}

fn transfer_time(state: &State, tokens: Tokens) -> Duration {
    let rate = state.config.transfer_tokens_per_second.max(1);
    Duration::from_secs_f64(tokens.0 as f64 / rate as f64)
}
