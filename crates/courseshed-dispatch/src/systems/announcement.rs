//! Announcement protocol: shards list their calls to a new dispatcher, and new leaders to an
//! existing one.

use courseshed_types::{CallId, ShardId, Timestamp, dispatch::DispatchEventBody};

use crate::{state::State, systems::requests, tables::Timer};

/// Maximum number of announcement requests to a silent shard.
const MAX_REQUESTS: u32 = 5;

/// Starts the announcement timer of a new shard or a shard with a new leader.
pub(crate) fn start_timeout(state: &mut State, now: Timestamp, shard: ShardId) {
    let at = now + state.config.announce_grace;
    state.timers.set(at, Timer::AnnounceTimeout(shard));
}

/// Requests an announcement from a shard that has not sent one.
pub(crate) fn request(state: &mut State, now: Timestamp, shard: ShardId) {
    let Some(entry) = state.shards.get_mut(shard) else {
        return;
    };
    if entry.announced || entry.announce_requests >= MAX_REQUESTS {
        return;
    }
    entry.announce_requests += 1;
    let wait = state.config.announce_grace * (1 << entry.announce_requests);
    state.timers.set(now + wait, Timer::AnnounceTimeout(shard));
    state.send_event(shard, DispatchEventBody::AnnounceAll);
}

/// Handles the end of an announcement: calls of the shard that were not named are dropped.
pub(crate) fn complete(state: &mut State, shard: ShardId) {
    let Some(entry) = state.shards.get_mut(shard) else {
        return;
    };
    let generation = entry.generation;
    entry.announced = true;
    entry.generation += 1;
    let unannounced: Vec<CallId> = state
        .calls
        .iter()
        .filter(|(_, call)| call.shard == shard && call.generation < generation)
        .map(|(id, _)| *id)
        .collect();
    for call in unannounced {
        state.counters.dropped_calls += 1;
        requests::remove_call(state, call);
    }
}
