//! Runs what has fallen due.

use courseshed_types::{ProgramId, Timestamp};

use crate::{
    state::State,
    systems::{announcing, assignment, engine_health, pauses, queueing, shedding},
    tables::Timer,
};

/// Runs every timer that is due.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    while let Some(timer) = state.timers.pop_due(now) {
        match timer {
            Timer::GiveUp(call) => shedding::give_up(state, now, call),
            Timer::Rerank(call) => queueing::rerank(state, now, call),
            Timer::Resend(call) => assignment::resend(state, now, call),
            Timer::Hold(program) => pauses::review(state, now, program),
            Timer::Forget(program) => forget(state, now, program),
            Timer::Engine(engine) => engine_health::recheck(state, now, &engine),
            Timer::Announce(shard) => announcing::ask(state, now, shard),
            Timer::GraceEnds => {}
        }
    }
}

/// Forgets a program that has been paused for longer than any program may pause.
fn forget(state: &mut State, now: Timestamp, program: ProgramId) {
    let Some(entry) = state.programs.get(&program) else {
        return;
    };
    let Some(since) = entry.paused_since else {
        return;
    };
    let due = since + state.config.forget_program;
    if now < due {
        return;
    }
    pauses::end(state, program);
    state.programs.remove(&program);
}
