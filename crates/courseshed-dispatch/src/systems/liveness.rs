//! Checks with shards whether paused programs that hold leases are still alive.
//!
//! The message that a program has ended may be lost. The program's shard is asked at each lease
//! renewal, so that an ended program holds memory for at most one lease time after its shard
//! becomes reachable. Checks are batched to limit the number of messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::{ProgramId, ShardId, Timestamp, dispatch::DispatchEventBody};

use crate::state::State;

/// Minimum time between batches of checks.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Programs to check, by shard.
#[derive(Debug, Default)]
pub(crate) struct LivenessChecks {
    by_shard: BTreeMap<ShardId, BTreeSet<ProgramId>>,
    next: Timestamp,
}

/// Adds a paused program with a lease to the next batch.
pub(crate) fn add(state: &mut State, shard: ShardId, program: ProgramId) {
    let programs = state.liveness_checks.by_shard.entry(shard).or_default();
    programs.insert(program);
}

/// Sends the batch if the interval has elapsed.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    if now < state.liveness_checks.next || state.liveness_checks.by_shard.is_empty() {
        return;
    }
    state.liveness_checks.next = now + BATCH_INTERVAL;
    for (shard, programs) in std::mem::take(&mut state.liveness_checks.by_shard) {
        let programs = programs.into_iter().collect();
        state.send_event(shard, DispatchEventBody::CheckPrograms(programs));
    }
}
