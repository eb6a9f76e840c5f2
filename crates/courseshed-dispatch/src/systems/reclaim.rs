//! Reclaims memory leased by paused programs for queued calls, starting with the leases least
//! likely to be used soon.

use courseshed_types::{CallId, EngineId, ProgramId, Timestamp, Tokens};

use crate::{
    state::State,
    systems::{engine_selection, engine_selection::ClosedEngines, pauses},
};

/// Releases leases on one engine until the call fits; false if no engine has a slot and enough
/// leased memory.
pub(crate) fn reclaim_for(
    state: &mut State,
    now: Timestamp,
    call: CallId,
    closed: &ClosedEngines,
) -> bool {
    let Some((engine, missing)) = cheapest_engine(state, now, call, closed) else {
        return false;
    };
    let mut freed = Tokens::ZERO;
    for program in least_useful_leases(state, now, call.program, &engine) {
        if freed >= missing {
            break;
        }
        freed = freed.saturating_add(leased_by(state, program));
        state.counters.leases_reclaimed += 1;
        pauses::release_lease(state, program);
    }
    true
}

/// The engine on which the fewest leased tokens must be released for the call, and how many.
fn cheapest_engine(
    state: &State,
    now: Timestamp,
    call: CallId,
    closed: &ClosedEngines,
) -> Option<(EngineId, Tokens)> {
    let memory = engine_selection::needed_memory(state, call);
    let priority = engine_selection::sent_priority(state, call);
    let mut best: Option<(Tokens, EngineId)> = None;
    for (id, engine) in state.engines.iter() {
        let is_candidate =
            closed.is_open(id) && engine_selection::has_slot(state, engine, now, priority);
        let Some(room) = engine.available_memory(&state.config) else {
            continue;
        };
        let own = engine_selection::own_leased_tokens(state, call, id);
        let missing = memory.saturating_sub(room.saturating_add(own));
        let others = engine.leased.saturating_sub(own);
        if !is_candidate || missing > others {
            continue;
        }
        if best.as_ref().is_none_or(|(least, _)| missing < *least) {
            best = Some((missing, id.clone()));
        }
    }
    best.map(|(missing, engine)| (engine, missing))
}

/// Paused programs with a lease on the engine, least likely to resume first.
fn least_useful_leases(
    state: &State,
    now: Timestamp,
    except: ProgramId,
    engine: &EngineId,
) -> Vec<ProgramId> {
    let Some(entry) = state.engines.get(engine) else {
        return Vec::new();
    };
    let mut programs: Vec<(f64, ProgramId)> = entry
        .leased_programs
        .iter()
        .filter(|program| **program != except)
        .map(|program| (pauses::resume_rate(state, now, *program), *program))
        .collect();
    programs.sort_by(|(left, left_id), (right, right_id)| {
        left.total_cmp(right).then(left_id.cmp(right_id))
    });
    programs.into_iter().map(|(_, program)| program).collect()
}

fn leased_by(state: &State, program: ProgramId) -> Tokens {
    let entry = state.programs.get(&program);
    let prefix = entry.and_then(|entry| entry.prefix.as_ref());
    prefix.map_or(Tokens::ZERO, |prefix| prefix.leased_tokens)
}
