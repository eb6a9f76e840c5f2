//! Refuses calls before queues grow without bound, the branch that is furthest over its part first.
//!
//! Only calls that still wait are refused, and a refusal is final here: nothing was sent anywhere. First calls of a
//! program go before calls of programs under way, whose service so far would be lost.

use std::time::Duration;

use courseshed_types::{CallError, CallId, ErrorCode, Timestamp, dispatch::DispatchEventBody};

use crate::{
    state::State,
    systems::queueing,
    tables::{BranchNode, NodeIndex},
};

/// Shortest wait suggested to a caller.
const LEAST_RETRY: Duration = Duration::from_secs(1);
/// Longest wait suggested to a caller.
const MOST_RETRY: Duration = Duration::from_secs(60);

/// Sheds until the queues are within their bounds.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    shed_hopeless(state, now);
    shed_overload(state, now);
}

/// Refuses the last calls of branches whose queue has become so long that they would only wait to be refused later.
fn shed_hopeless(state: &mut State, now: Timestamp) {
    let grown = std::mem::take(&mut state.grown_queues);
    for queue in grown {
        while let Some(call) = hopeless_call(state, now, queue) {
            let error = CallError::not_run(
                ErrorCode::Overloaded,
                "the branch has more calls waiting than its part of the pool can serve in the time it allows",
            );
            let wait = expected_wait(state, now, queue);
            state.counters.shed_hopeless += 1;
            shed(state, call, error.retry_after(wait));
        }
    }
}

fn hopeless_call(state: &State, now: Timestamp, queue: NodeIndex) -> Option<CallId> {
    let node = state.branches.find(queue)?;
    if node.queue.len() <= state.config.min_branch_waiting {
        return None;
    }
    let call = last_call(node)?;
    let patience = state.calls.get(&call)?.call.give_up_at.since(now);
    let wait = learned_wait(state, now, queue)?;
    let hopeless = patience.as_secs_f64() * state.config.hopeless_wait;
    (wait > hopeless).then_some(call)
}

fn shed_overload(state: &mut State, now: Timestamp) {
    while state.calls.waiting() > state.config.max_waiting {
        let Some((queue, call)) = worst_call(state) else {
            return;
        };
        let error = CallError::not_run(
            ErrorCode::Overloaded,
            "too many calls wait in this pool, and the branch has more than its part of them",
        );
        state.counters.shed_overload += 1;
        let wait = expected_wait(state, now, queue);
        shed(state, call, error.retry_after(wait));
    }
}

/// Refuses a call that has waited as long as it may.
pub(crate) fn give_up(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    if !entry.is_waiting() || entry.call.give_up_at > now {
        return;
    }
    let error = CallError::not_run(
        ErrorCode::DeadlineExceeded,
        "no engine was free within the time the branch lets a call wait",
    );
    let wait = expected_wait(state, now, entry.queue);
    state.counters.shed_deadline += 1;
    shed(state, call, error.retry_after(wait));
}

fn shed(state: &mut State, call: CallId, error: CallError) {
    if let Some(entry) = queueing::remove(state, call) {
        state.say(entry.shard, DispatchEventBody::Shed { call, error });
    }
}

/// The last call of the queue that is longest against its share.
fn worst_call(state: &State) -> Option<(NodeIndex, CallId)> {
    let least = state.config.min_branch_waiting;
    let over = |index: NodeIndex, waiting: usize| waiting as f64 / state.branches.entitled(index);
    let (index, _) = state
        .branches
        .iter()
        .filter(|(_, node)| node.queue.len() > least)
        .max_by(|(left, left_node), (right, right_node)| {
            let left = over(*left, left_node.queue.len());
            left.total_cmp(&over(*right, right_node.queue.len()))
        })?;
    let call = last_call(state.branches.node(index))?;
    Some((index, call))
}

fn last_call(node: &BranchNode) -> Option<CallId> {
    let last = node.first_calls.last().or(node.queue.last())?;
    Some(last.1)
}

/// When a caller may come back: once the queue as it is has been served.
fn expected_wait(state: &State, now: Timestamp, queue: NodeIndex) -> Duration {
    let part = state.calls.waiting() as f64 / state.config.max_waiting.max(1) as f64;
    let assumed = MOST_RETRY.as_secs_f64() * part;
    let seconds = learned_wait(state, now, queue).unwrap_or(assumed);
    let (least, most) = (LEAST_RETRY.as_secs_f64(), MOST_RETRY.as_secs_f64());
    Duration::from_secs_f64(seconds.clamp(least, most))
}

/// Seconds it takes to serve a queue at the pool's present rate and the branch's part of it among the branches
/// with calls; none until the rate is known.
fn learned_wait(state: &State, now: Timestamp, queue: NodeIndex) -> Option<f64> {
    let rate = state.drain_rate.per_second(now)?;
    let waiting = state.branches.node(queue).queue.len() as f64;
    Some(waiting / (rate * state.branches.active_part(queue)))
}
