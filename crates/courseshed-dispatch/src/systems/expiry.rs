//! Dispatches due timers to their systems.

use courseshed_types::Timestamp;

use crate::{
    state::State,
    systems::{announcement, assignment, engine_health, parking, pauses, queueing, shedding},
    tables::Timer,
};

pub(crate) fn run(state: &mut State, now: Timestamp) {
    while let Some(timer) = state.timers.pop_due(now) {
        match timer {
            Timer::QueueDeadline(call) => shedding::expire(state, now, call),
            Timer::Rerank(call) => queueing::rerank(state, now, call),
            Timer::Unpark(call) => parking::unpark(state, now, call),
            Timer::ImportDone(call) => assignment::send_assignment(state, call),
            Timer::Resend(call) => assignment::resend(state, now, call),
            Timer::LeaseReview(program) => pauses::review_lease(state, now, program),
            Timer::ProgramIdle(program) => pauses::drop_if_idle(state, now, program),
            Timer::EngineRecheck(engine) => engine_health::recheck(state, now, &engine),
            Timer::AnnounceTimeout(shard) => announcement::request(state, now, shard),
            Timer::GraceEnds => {}
        }
    }
}
