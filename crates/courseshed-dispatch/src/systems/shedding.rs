//! Load shedding: rejects queued calls before queues grow without bound, from the branch that most
//! exceeds its share.
//!
//! Only queued calls are shed, so a rejected call has not run. First calls of a program are shed
//! before those of programs in progress, whose completed work would be wasted.

use std::time::Duration;

use courseshed_types::{CallError, CallId, ErrorCode, Timestamp, dispatch::DispatchEventBody};

use crate::{
    state::State,
    systems::queueing,
    tables::{BranchNode, NodeIndex},
};

/// Minimum retry delay suggested to a caller.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum retry delay suggested to a caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Sheds calls until the queues are within their limits.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    shed_unservable(state, now);
    shed_overload(state, now);
}

/// Sheds the last calls of queues so long that those calls would time out before being served.
fn shed_unservable(state: &mut State, now: Timestamp) {
    let grown = std::mem::take(&mut state.grown_queues);
    for queue in grown {
        while let Some(call) = unservable_call(state, now, queue) {
            let error = CallError::not_run(
                ErrorCode::Overloaded,
                "the branch's queue is too long to serve the call before its queue deadline",
            );
            let wait = expected_wait(state, now, queue);
            state.counters.shed_unservable += 1;
            shed(state, call, error.retry_after(wait));
        }
    }
}

fn unservable_call(state: &State, now: Timestamp, queue: NodeIndex) -> Option<CallId> {
    let node = state.branches.get(queue)?;
    if node.queue.len() <= state.config.min_branch_waiting {
        return None;
    }
    let call = last_call(node)?;
    let remaining = state.calls.get(&call)?.call.give_up_at.since(now);
    let wait = estimated_wait(state, now, queue)?;
    let limit = remaining.as_secs_f64() * state.config.max_wait_ratio;
    (wait > limit).then_some(call)
}

fn shed_overload(state: &mut State, now: Timestamp) {
    while state.calls.waiting() > state.config.max_waiting {
        let Some((queue, call)) = worst_call(state) else {
            return;
        };
        let error = CallError::not_run(
            ErrorCode::Overloaded,
            "the pool's queue is full and the branch has the longest queue relative to its share",
        );
        state.counters.shed_overload += 1;
        let wait = expected_wait(state, now, queue);
        shed(state, call, error.retry_after(wait));
    }
}

/// Rejects a call whose queue deadline has passed.
pub(crate) fn expire(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    if !entry.is_waiting() || entry.call.give_up_at > now {
        return;
    }
    let error = CallError::not_run(
        ErrorCode::DeadlineExceeded,
        "no engine had capacity before the call's queue deadline",
    );
    let wait = expected_wait(state, now, entry.queue);
    state.counters.shed_deadline += 1;
    shed(state, call, error.retry_after(wait));
}

fn shed(state: &mut State, call: CallId, error: CallError) {
    if let Some(entry) = queueing::remove(state, call) {
        state.send_event(entry.shard, DispatchEventBody::Shed { call, error });
    }
}

/// The last call of the queue that is longest relative to its share.
fn worst_call(state: &State) -> Option<(NodeIndex, CallId)> {
    let min = state.config.min_branch_waiting;
    let queue_per_share =
        |index: NodeIndex, waiting: usize| waiting as f64 / state.branches.entitled_share(index);
    let (index, _) = state
        .branches
        .iter()
        .filter(|(_, node)| node.queue.len() > min)
        .max_by(|(left, left_node), (right, right_node)| {
            let left = queue_per_share(*left, left_node.queue.len());
            left.total_cmp(&queue_per_share(*right, right_node.queue.len()))
        })?;
    let call = last_call(state.branches.node(index))?;
    Some((index, call))
}

fn last_call(node: &BranchNode) -> Option<CallId> {
    let last = node.first_calls.last().or(node.queue.last())?;
    Some(last.1)
}

/// Suggested retry delay: the time to drain the current queue.
fn expected_wait(state: &State, now: Timestamp, queue: NodeIndex) -> Duration {
    let fill_ratio = state.calls.waiting() as f64 / state.config.max_waiting.max(1) as f64;
    let fallback = MAX_RETRY_DELAY.as_secs_f64() * fill_ratio;
    let seconds = estimated_wait(state, now, queue).unwrap_or(fallback);
    let (min, max) = (MIN_RETRY_DELAY.as_secs_f64(), MAX_RETRY_DELAY.as_secs_f64());
    Duration::from_secs_f64(seconds.clamp(min, max))
}

/// Seconds to drain a queue at the pool's current rate and the branch's share among branches with
/// queued calls; `None` until the rate is known.
fn estimated_wait(state: &State, now: Timestamp, queue: NodeIndex) -> Option<f64> {
    let rate = state.drain_rate.per_second(now)?;
    let waiting = state.branches.node(queue).queue.len() as f64;
    Some(waiting / (rate * state.branches.active_share(queue)))
}
