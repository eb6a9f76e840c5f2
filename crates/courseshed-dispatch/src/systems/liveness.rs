//! Asks shards whether the paused programs that engine memory is held for still live.
//!
//! The word that a program ended may be lost. Whenever a lease is renewed, its program's shard is asked, so that memory
//! is held for an ended program no longer than a lease after the shard can be reached. Questions are gathered for a
//! while, since each costs a message.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::{ProgramId, ShardId, Timestamp, dispatch::DispatchEventBody};

use crate::state::State;

/// Time between two questions to one shard.
const INTERVAL: Duration = Duration::from_secs(1);

/// Programs to ask about.
#[derive(Debug, Default)]
pub(crate) struct LivenessChecks {
    by_shard: BTreeMap<ShardId, BTreeSet<ProgramId>>,
    next: Timestamp,
}

/// Notes that memory is held for a paused program.
pub(crate) fn note(state: &mut State, shard: ShardId, program: ProgramId) {
    let programs = state.checks.by_shard.entry(shard).or_default();
    programs.insert(program);
}

/// Asks, if it is time.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    if now < state.checks.next || state.checks.by_shard.is_empty() {
        return;
    }
    state.checks.next = now + INTERVAL;
    for (shard, programs) in std::mem::take(&mut state.checks.by_shard) {
        let programs = programs.into_iter().collect();
        state.say(shard, DispatchEventBody::CheckPrograms(programs));
    }
}
