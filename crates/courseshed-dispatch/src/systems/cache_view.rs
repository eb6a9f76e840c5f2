//! Tracks the prefix caches of engines: recorded when calls finish, updated by cache events, which
//! may be late or missing, and reconciled with the engines' listings.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{
    BranchPath, EngineId, ProgramId, Timestamp, Tokens, Usage,
    dispatch::{CacheChange, CacheEvent, EngineOrderBody, LeaseEntry},
};

use crate::{
    output::Waste,
    state::{CacheAccount, State},
    systems::{pauses, transfers},
    tables::CachedPrefix,
};

/// Maximum age of a listing. Leases of programs paused more recently are not reconciled with it.
const LISTING_LAG: Duration = Duration::from_secs(3);
/// Cache hits may fall short of the cached tokens by this much, because lookups round down to
/// blocks and leave at least one token to compute.
const LOOKUP_ROUNDING: Tokens = Tokens(64);

/// Records the prefix cached by a call that finished on an engine.
pub(crate) fn record_filled(
    state: &mut State,
    program: ProgramId,
    engine: &EngineId,
    usage: &Usage,
) {
    reconcile_hit(state, program, engine, usage.cached_tokens);
    if usage.cached_tokens > Tokens::ZERO {
        transfers::mark_reused(state, program);
    }
    detach_prefix(state, program, engine);
    let tokens = usage.total();
    let unused = tokens.saturating_sub(usage.cached_tokens);
    set_prefix(state, program, engine, tokens, unused);
}

/// Records a program's cached prefix, replacing the previous one.
pub(crate) fn set_prefix(
    state: &mut State,
    program: ProgramId,
    engine: &EngineId,
    tokens: Tokens,
    unused: Tokens,
) {
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let older = entry.prefix.replace(CachedPrefix {
        engine: engine.clone(),
        tokens,
        unused,
        leased_until: None,
        leased_tokens: Tokens::ZERO,
    });
    let branch = entry.branch.clone();
    let before = older.map_or(Tokens::ZERO, |prefix| prefix.tokens);
    update_cached(state, &branch, before, tokens);
}

/// Updates a branch's count of cached tokens.
pub(crate) fn update_cached(state: &mut State, branch: &BranchPath, before: Tokens, after: Tokens) {
    let account = state.cache_account(branch);
    account.cached = (account.cached + after.0).saturating_sub(before.0);
}

/// Shrinks the recorded prefix if a call found less of it cached: the rest was evicted without an
/// event.
fn reconcile_hit(state: &mut State, program: ProgramId, engine: &EngineId, found: Tokens) {
    let prefix = state
        .programs
        .get(&program)
        .and_then(|entry| entry.prefix.as_ref());
    let recorded = prefix.filter(|prefix| prefix.engine == *engine);
    let recorded = recorded.map_or(Tokens::ZERO, |prefix| prefix.tokens);
    if found.saturating_add(LOOKUP_ROUNDING) < recorded {
        shrink(state, program, engine, found);
    }
}

/// Handles a cache event. Duplicates are ignored and gaps counted.
pub(crate) fn handle_event(state: &mut State, engine: &EngineId, event: CacheEvent) {
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
        CacheChange::Evicted(remaining) => shrink(state, event.program, engine, remaining),
    }
}

/// Reconciles leases with an engine's listing. A prefix may be cached without a lease, so only
/// lease state is corrected.
pub(crate) fn reconcile_listing(
    state: &mut State,
    now: Timestamp,
    engine: &EngineId,
    listing: &[LeaseEntry],
) {
    let listed: BTreeMap<ProgramId, Tokens> = listing
        .iter()
        .filter(|entry| entry.leased_for.is_some())
        .map(|entry| (entry.program, entry.tokens))
        .collect();
    for (program, recorded) in settled_leases_on(state, now, engine) {
        match listed.get(&program) {
            None => pauses::handle_lost_lease(state, now, program),
            Some(held) if *held < recorded => pauses::handle_shrunk_lease(state, program, *held),
            Some(_) => {}
        }
    }
    release_unknown_leases(state, now, engine, listing);
}

/// Drops all recorded prefixes of an engine that lost its cache.
pub(crate) fn drop_engine(state: &mut State, engine: &EngineId) {
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

/// Drops the recorded prefix of a program that continues on another engine. If it continues on the
/// same engine, only the lease ends.
pub(crate) fn detach_prefix(state: &mut State, program: ProgramId, engine: &EngineId) {
    let prefix = state
        .programs
        .get(&program)
        .and_then(|entry| entry.prefix.as_ref());
    let Some(previous) = prefix.map(|prefix| prefix.engine.clone()) else {
        return;
    };
    if previous == *engine {
        pauses::remove_lease(state, program);
        return;
    }
    drop_prefix(state, program, |waste, tokens| waste.moved += tokens);
    if state.strategy.leases_prefixes {
        state.send_order(previous, EngineOrderBody::ReleaseLease { program });
    }
}

fn shrink(state: &mut State, program: ProgramId, engine: &EngineId, remaining: Tokens) {
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch = entry.branch.clone();
    let Some(prefix) = entry.prefix.as_mut() else {
        return;
    };
    if prefix.engine != *engine || remaining >= prefix.tokens {
        return;
    }
    let evicted = prefix.tokens.saturating_sub(remaining);
    let wasted = evicted.min(prefix.unused);
    let before = std::mem::replace(&mut prefix.tokens, remaining);
    prefix.unused = prefix.unused.saturating_sub(wasted);
    let is_gone = remaining == Tokens::ZERO;
    let charged = branch_charged_for_eviction(state, &branch);
    state.cache_account(&charged).waste.evicted += wasted.0;
    update_cached(state, &branch, before, remaining);
    if is_gone {
        drop_prefix(state, program, |_, _| {});
    }
}

fn drop_prefix(state: &mut State, program: ProgramId, count: impl Fn(&mut Waste, u64)) {
    pauses::remove_lease(state, program);
    let Some(entry) = state.programs.get_mut(&program) else {
        return;
    };
    let branch: BranchPath = entry.branch.clone();
    if let Some(prefix) = entry.prefix.take() {
        update_cached(state, &branch, prefix.tokens, Tokens::ZERO);
        count(&mut state.cache_account(&branch).waste, prefix.unused.0);
    }
}

/// The branch charged for an eviction: the owner if its cached tokens exceed its entitled share,
/// else the branch that exceeds its entitled share most.
fn branch_charged_for_eviction(state: &State, owner: &BranchPath) -> BranchPath {
    let all: u64 = state
        .cache_accounts
        .values()
        .map(|account| account.cached)
        .sum();
    let excess = |branch: &BranchPath, cached: u64| {
        let entitled = state.entitlements.get(branch).copied().unwrap_or(1.0);
        cached as f64 - entitled * all as f64
    };
    let of_owner = state
        .cache_accounts
        .get(owner)
        .map_or(0, |account| account.cached);
    if excess(owner, of_owner) > 0.0 {
        return owner.clone();
    }
    let exceeds = |(branch, account): (&BranchPath, &CacheAccount)| {
        (excess(branch, account.cached), branch.clone())
    };
    let most = state
        .cache_accounts
        .iter()
        .map(exceeds)
        .max_by(|(left, _), (right, _)| left.total_cmp(right));
    match most {
        Some((excess, branch)) if excess > 0.0 => branch,
        _ => owner.clone(),
    }
}

/// Leased programs on an engine that have been paused for longer than `LISTING_LAG`, with their
/// leased tokens.
fn settled_leases_on(state: &State, now: Timestamp, engine: &EngineId) -> Vec<(ProgramId, Tokens)> {
    let mut recorded = Vec::new();
    for (id, program) in state.programs.iter() {
        let is_settled = program
            .paused_since
            .is_some_and(|since| now.since(since) > LISTING_LAG);
        match &program.prefix {
            Some(prefix) if is_settled && prefix.engine == *engine && is_leased(prefix) => {
                recorded.push((*id, prefix.leased_tokens));
            }
            _ => {}
        }
    }
    recorded
}

/// Releases leases of unknown programs, once a new dispatcher has had time to learn about all
/// programs. On an engine that serves several models the programs may belong to other pools, so
/// their leases are left to expire.
fn release_unknown_leases(
    state: &mut State,
    now: Timestamp,
    engine: &EngineId,
    listing: &[LeaseEntry],
) {
    let serves_one_model = state
        .engines
        .get(engine)
        .is_some_and(|entry| entry.member.models.len() == 1);
    if !serves_one_model || now < state.grace_until + state.config.lease_ttl {
        return;
    }
    for entry in listing {
        let is_known = state.programs.get(&entry.program).is_some();
        if entry.leased_for.is_some() && !is_known {
            let program = entry.program;
            state.counters.leases_released += 1;
            state.send_order(engine.clone(), EngineOrderBody::ReleaseLease { program });
        }
    }
}

fn is_leased(prefix: &CachedPrefix) -> bool {
    prefix.leased_until.is_some()
}

fn is_on(prefix: Option<&CachedPrefix>, engine: &EngineId) -> bool {
    prefix.is_some_and(|prefix| prefix.engine == *engine)
}
