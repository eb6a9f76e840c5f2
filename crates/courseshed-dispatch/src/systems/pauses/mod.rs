//! Lease management for the prefixes of programs that pause between calls, for example during tool
//! use.
//!
//! A prefix is leased while the probability of early reuse justifies the memory; otherwise it is
//! exported or left to eviction ([`decision`]). The hazard rate of the estimated pause distribution
//! (the highest probability of resumption per second over several horizons) is compared with a
//! price per second that rises with the engine's memory pressure. A lease is kept while the
//! program's next call is queued. Invariants: only known programs without a call on an engine have
//! leases; the leased tokens of engines and branches are the sums over their programs.

mod decision;

use std::time::Duration;

use courseshed_types::{
    BranchPath, EngineId, ProgramId, Timestamp, Tokens, dispatch::EngineOrderBody,
};

use crate::{
    state::State,
    systems::{cache_view, liveness, transfers},
    tables::{EngineEntry, ProgramEntry, Timer},
};

use decision::{CopyState, PauseDecision, PauseEstimates, decide};

/// Horizons over which the probability of resumption is evaluated, in seconds.
const HORIZONS_SECONDS: [u64; 7] = [1, 2, 5, 10, 30, 90, 300];
/// Probability of another call assumed before any sample is recorded.
const DEFAULT_CONTINUE_PROBABILITY: f64 = 0.75;
/// Resumption rate per second assumed before any sample is recorded.
const DEFAULT_RESUME_RATE: f64 = 0.05;
/// Price of holding memory on an idle engine: one resumption in 300 seconds breaks even.
const IDLE_PRICE: f64 = 1.0 / 300.0;
/// Price of holding memory on a full engine.
const FULL_PRICE: f64 = 1.0 / 3.0;
/// Memory utilization up to which the idle price applies.
const PRESSURE_THRESHOLD: f64 = 0.5;

/// Starts a pause after a program's call has finished.
pub(crate) fn begin(state: &mut State, now: Timestamp, program: ProgramId) {
    restart_idle_timer(state, now, program);
    review_lease(state, now, program);
}

/// Restarts the timer after which an idle program is dropped.
pub(crate) fn restart_idle_timer(state: &mut State, now: Timestamp, program: ProgramId) {
    let expires_at = now + state.config.program_idle_timeout;
    state.timers.set(expires_at, Timer::ProgramIdle(program));
}

/// Drops a program that has been idle too long, unless one of its calls is known.
pub(crate) fn drop_if_idle(state: &mut State, now: Timestamp, program: ProgramId) {
    if state.calls.of_program(program).is_some() {
        restart_idle_timer(state, now, program);
    } else {
        end_program(state, program);
    }
}

/// Decides again whether to keep a paused program's lease, and renews or releases it.
pub(crate) fn review_lease(state: &mut State, now: Timestamp, program: ProgramId) {
    if !state.strategy.leases_prefixes {
        return;
    }
    let Some(engine) = lease_candidate_engine(state, program) else {
        return;
    };
    match decision_for(state, now, program, &engine) {
        PauseDecision::Hold => renew_lease(state, now, program, engine),
        PauseDecision::Drop => release_lease(state, program),
        PauseDecision::Export => {
            renew_lease(state, now, program, engine);
            let done_at = transfers::export(state, now, program);
            state.timers.set(done_at, Timer::LeaseReview(program));
        }
    }
}

/// Ends a program's lease when its next call is placed.
pub(crate) fn resume(state: &mut State, program: ProgramId) {
    remove_lease(state, program);
}

/// Removes a program that has ended and releases its prefix.
pub(crate) fn end_program(state: &mut State, program: ProgramId) -> Option<ProgramEntry> {
    remove_lease(state, program);
    transfers::drop_copy(state, program);
    state.timers.cancel(Timer::ProgramIdle(program));
    let entry = state.programs.remove(&program)?;
    let Some(prefix) = &entry.prefix else {
        return Some(entry);
    };
    cache_view::update_cached(state, &entry.branch, prefix.tokens, Tokens::ZERO);
    state.cache_account(&entry.branch).waste.abandoned += prefix.unused.0;
    if state.strategy.leases_prefixes {
        state.counters.leases_released += 1;
        let engine = prefix.engine.clone();
        state.send_order(engine, EngineOrderBody::ReleaseLease { program });
    }
    Some(entry)
}

/// Removes a program's lease from the accounting; returns whether it had one.
pub(crate) fn remove_lease(state: &mut State, program: ProgramId) -> bool {
    let Some(entry) = state.programs.get_mut(&program) else {
        return false;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return false;
    };
    let had_lease = prefix.leased_until.take().is_some();
    if had_lease {
        state.timers.cancel(Timer::LeaseReview(program));
    }
    let tokens = std::mem::take(&mut prefix.leased_tokens);
    if let Some(engine) = state.engines.get_mut(&prefix.engine) {
        engine.leased = engine.leased.saturating_sub(tokens);
        engine.leased_programs.remove(&program);
    }
    state.remove_leased(&branch, tokens);
    had_lease
}

/// Releases a program's lease, so that the engine may evict the prefix.
pub(crate) fn release_lease(state: &mut State, program: ProgramId) {
    if !remove_lease(state, program) {
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
    state.send_order(engine, EngineOrderBody::ReleaseLease { program });
}

/// Handles a lease that the engine no longer lists because it expired or was broken.
pub(crate) fn handle_lost_lease(state: &mut State, now: Timestamp, program: ProgramId) {
    if remove_lease(state, program) {
        state.counters.leases_lost += 1;
        review_lease(state, now, program);
    }
}

/// Corrects a lease for which the engine lists fewer tokens than requested.
pub(crate) fn handle_shrunk_lease(state: &mut State, program: ProgramId, held: Tokens) {
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return;
    };
    let less = prefix.leased_tokens.saturating_sub(held);
    prefix.leased_tokens = prefix.leased_tokens.min(held);
    if let Some(engine) = state.engines.get_mut(&prefix.engine) {
        engine.leased = engine.leased.saturating_sub(less);
    }
    state.remove_leased(&branch, less);
}

fn renew_lease(state: &mut State, now: Timestamp, program: ProgramId, engine: EngineId) {
    let time_to_live = state.config.lease_ttl;
    remove_lease(state, program);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch = entry.branch.clone();
    let shard = entry.shard;
    let Some(prefix) = entry.prefix.as_mut() else {
        return;
    };
    prefix.leased_until = Some(now + time_to_live);
    prefix.leased_tokens = prefix.tokens;
    let tokens = prefix.tokens;
    if let Some(engine) = state.engines.get_mut(&engine) {
        engine.leased = engine.leased.saturating_add(tokens);
        engine.leased_programs.insert(program);
    }
    state.add_leased(&branch, tokens);
    state.counters.leases_renewed += 1;
    liveness::add(state, shard, program);
    let body = EngineOrderBody::RenewLease {
        program,
        time_to_live,
    };
    state.send_order(engine, body);
    state
        .timers
        .set(now + time_to_live / 2, Timer::LeaseReview(program));
}

/// The engine with the prefix of a program that is paused, or whose next call is queued while a
/// lease is held.
fn lease_candidate_engine(state: &State, program: ProgramId) -> Option<EngineId> {
    let entry = state.programs.get(&program)?;
    let prefix = entry.prefix.as_ref()?;
    if entry.paused_since.is_none() && prefix.leased_until.is_none() {
        return None;
    }
    (prefix.tokens > Tokens::ZERO).then(|| prefix.engine.clone())
}

fn decision_for(
    state: &State,
    now: Timestamp,
    program: ProgramId,
    engine: &EngineId,
) -> PauseDecision {
    let (Some(entry), Some(holder)) = (state.programs.get(&program), state.engines.get(engine))
    else {
        return PauseDecision::Drop;
    };
    if !holder.accepts_calls(now, &state.pool.model) {
        return PauseDecision::Drop;
    }
    let Some(since) = entry.paused_since else {
        return PauseDecision::Hold;
    };
    let decision = decide(&estimates(state, now, program, entry, holder));
    match decision {
        PauseDecision::Hold if now.since(since) > state.config.max_hold => PauseDecision::Drop,
        _ => decision,
    }
}

fn estimates(
    state: &State,
    now: Timestamp,
    program: ProgramId,
    entry: &ProgramEntry,
    holder: &EngineEntry,
) -> PauseEstimates {
    let pressure = memory_pressure(state, entry, holder);
    PauseEstimates {
        resume_rate: resume_rate(state, now, program),
        resume_probability: resume_probability(state, now, entry),
        memory_price: IDLE_PRICE * (FULL_PRICE / IDLE_PRICE).powf(pressure),
        eviction_probability: pressure,
        transfer_cost: transfers::transfer_cost_ratio(state),
        copy: copy_state(state, entry),
    }
}

fn copy_state(state: &State, entry: &ProgramEntry) -> CopyState {
    let tokens = entry
        .prefix
        .as_ref()
        .map_or(Tokens::ZERO, |prefix| prefix.tokens);
    if entry.exported > Tokens::ZERO && entry.exported >= tokens {
        return CopyState::Exists;
    }
    match transfers::has_space(state, tokens) {
        true => CopyState::Possible,
        false => CopyState::Impossible,
    }
}

/// Expected resumptions per second: the highest rate over several horizons. A program whose next
/// call is already queued is certain to resume.
pub(crate) fn resume_rate(state: &State, now: Timestamp, program: ProgramId) -> f64 {
    let Some(entry) = state.programs.get(&program) else {
        return 0.0;
    };
    let Some(since) = entry.paused_since else {
        return 1.0;
    };
    let elapsed = now.since(since);
    let hazard = HORIZONS_SECONDS
        .iter()
        .map(|seconds| {
            let horizon = Duration::from_secs(*seconds);
            let resumed = state
                .workload
                .resume_probability_within(&entry.branch, elapsed, horizon);
            resumed.map_or(DEFAULT_RESUME_RATE, |probability| {
                probability / *seconds as f64
            })
        })
        .fold(0.0, f64::max);
    resume_probability(state, now, entry) * hazard
}

/// Probability that a paused program makes another call, given its calls so far and how long it has
/// been paused.
fn resume_probability(state: &State, now: Timestamp, entry: &ProgramEntry) -> f64 {
    let continues = state
        .workload
        .continue_probability(&entry.branch, entry.turns)
        .unwrap_or(DEFAULT_CONTINUE_PROBABILITY);
    let elapsed = entry
        .paused_since
        .map_or(Duration::ZERO, |since| now.since(since));
    let survival = state
        .workload
        .pause_survival(&entry.branch, elapsed)
        .unwrap_or(1.0);
    let resumes_later = continues * survival;
    resumes_later / (resumes_later + 1.0 - continues).max(f64::MIN_POSITIVE)
}

/// Memory pressure on an engine, 0 to 1; 1 if the program's branch exceeds its cache share.
fn memory_pressure(state: &State, entry: &ProgramEntry, engine: &EngineEntry) -> f64 {
    let Some(size) = engine.memory_capacity() else {
        return 0.0;
    };
    if over_cache_share(state, entry, size) {
        return 1.0;
    }
    let prefix = entry.prefix.as_ref();
    let own = prefix.map_or(Tokens::ZERO, |prefix| {
        prefix.tokens.saturating_sub(prefix.leased_tokens)
    });
    let used = engine.memory.saturating_add(engine.leased);
    let used = used.saturating_add(own).0 as f64 / size.0 as f64;
    ((used - PRESSURE_THRESHOLD) / (1.0 - PRESSURE_THRESHOLD)).clamp(0.0, 1.0)
}

/// Whether the program's branch or an ancestor has more leased memory than its cache share of the
/// pool.
fn over_cache_share(state: &State, entry: &ProgramEntry, engine_size: Tokens) -> bool {
    let memory = state.engines.len() as f64 * engine_size.0 as f64;
    let is_over = |path: BranchPath| {
        let held = state
            .cache_accounts
            .get(&path)
            .map_or(0, |account| account.leased);
        let policy = state.policy.branches.get(&path);
        let share = policy.map_or(1.0, |policy| policy.cache_share);
        held as f64 > share * memory
    };
    entry.branch.ancestry().any(is_over)
}
