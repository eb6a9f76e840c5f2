//! Shards announce their calls to a new dispatcher, and new leaders announce theirs to a known one.

use courseshed_types::{CallId, ShardId, Timestamp, dispatch::DispatchEventBody};

use crate::{state::State, systems::intake, tables::Timer};

/// How often a shard that stays silent is asked to announce its calls.
const MAX_ASKED: u32 = 5;

/// Expects a shard that speaks for the first time, or under a new leader, to announce its calls.
pub(crate) fn expect(state: &mut State, now: Timestamp, shard: ShardId) {
    let at = now + state.config.announce_grace;
    state.timers.set(at, Timer::Announce(shard));
}

/// Asks a shard for its calls if it has not announced them by itself.
pub(crate) fn ask(state: &mut State, now: Timestamp, shard: ShardId) {
    let Some(entry) = state.shards.get_mut(shard) else {
        return;
    };
    if entry.announced || entry.times_asked >= MAX_ASKED {
        return;
    }
    entry.times_asked += 1;
    let wait = state.config.announce_grace * (1 << entry.times_asked);
    state.timers.set(now + wait, Timer::Announce(shard));
    state.say(shard, DispatchEventBody::AnnounceAll);
}

/// The shard has named all its calls: others of it are gone.
pub(crate) fn complete(state: &mut State, shard: ShardId) {
    let Some(entry) = state.shards.get_mut(shard) else {
        return;
    };
    let generation = entry.generation;
    entry.announced = true;
    entry.generation += 1;
    let gone: Vec<CallId> = state
        .calls
        .iter()
        .filter(|(_, call)| call.shard == shard && call.generation < generation)
        .map(|(id, _)| *id)
        .collect();
    for call in gone {
        state.counters.forgotten_calls += 1;
        intake::forget_call(state, call);
    }
}
