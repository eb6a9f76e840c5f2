//! Adds calls to and removes them from branch queues, keeping the listings of the branches up to
//! date.

use courseshed_types::{CallId, Timestamp};

use crate::{
    state::State,
    systems::{fairness, ordering, parking},
    tables::{CallEntry, CallPhase, NodeIndex, Rank, Timer},
};

/// Queues a call and sets its timers.
pub(crate) fn enqueue(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let (rank, changes_at) = ordering::rank(&state.config, state.strategy, &entry.call, now);
    let queue = entry.queue;
    state
        .timers
        .set(entry.call.give_up_at, Timer::QueueDeadline(call));
    if let Some(at) = changes_at {
        state.timers.set(at, Timer::Rerank(call));
    }
    state.calls.set_phase(&call, CallPhase::Waiting(rank));
    state.grown_queues.insert(queue);
    insert(state, queue, rank, call, false);
}

/// Removes a waiting call from its queue and returns the queue and the call's rank.
pub(crate) fn dequeue(state: &mut State, call: CallId) -> Option<(NodeIndex, Rank)> {
    let entry = state.calls.get(&call)?;
    let CallPhase::Waiting(rank) = entry.phase else {
        return None;
    };
    let queue = entry.queue;
    let node = state.branches.node_mut(queue);
    node.queue.remove(&(rank, call));
    node.first_calls.remove(&(rank, call));
    refresh(state, queue, true);
    Some((queue, rank))
}

/// Removes a call from its queue or engine's parked calls, and from the call table.
pub(crate) fn remove(state: &mut State, call: CallId) -> Option<CallEntry> {
    dequeue(state, call);
    parking::remove(state, call);
    cancel_queue_timers(state, call);
    state.timers.cancel(Timer::Resend(call));
    state.timers.cancel(Timer::ImportDone(call));
    state.calls.remove(&call)
}

/// Cancels the timers of a queued call.
pub(crate) fn cancel_queue_timers(state: &mut State, call: CallId) {
    state.timers.cancel(Timer::QueueDeadline(call));
    state.timers.cancel(Timer::Rerank(call));
}

/// Restores a call that was dequeued temporarily. The branch keeps its fair-share credit.
pub(crate) fn restore(state: &mut State, queue: NodeIndex, rank: Rank, call: CallId) {
    insert(state, queue, rank, call, true);
}

/// Recomputes the rank of a waiting call.
pub(crate) fn rerank(state: &mut State, now: Timestamp, call: CallId) {
    if dequeue(state, call).is_some() {
        requeue(state, now, call);
    }
}

/// Requeues a call with a new rank. The branch keeps its fair-share credit.
pub(crate) fn requeue(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    let queue = entry.queue;
    let (rank, changes_at) = ordering::rank(&state.config, state.strategy, &entry.call, now);
    if let Some(at) = changes_at {
        state.timers.set(at, Timer::Rerank(call));
    }
    state.calls.set_phase(&call, CallPhase::Waiting(rank));
    insert(state, queue, rank, call, true);
}

fn insert(state: &mut State, queue: NodeIndex, rank: Rank, call: CallId, keeps_credit: bool) {
    let is_first = state
        .calls
        .get(&call)
        .is_some_and(|entry| entry.call.attained.0 == 0);
    let node = state.branches.node_mut(queue);
    node.queue.insert((rank, call));
    if is_first {
        node.first_calls.insert((rank, call));
    }
    refresh(state, queue, keeps_credit);
}

fn refresh(state: &mut State, queue: NodeIndex, keeps_credit: bool) {
    let warp = state.config.warp_per_priority;
    fairness::refresh(&mut state.branches, queue, warp, keeps_credit);
}
