//! Refuses calls before queues grow without bound, the branch that is furthest over its part first.
//!
//! Only calls that still wait are refused, and a refusal is final here: nothing was sent anywhere. First calls of a
//! program go before calls of programs under way, whose service so far would be lost.

use std::time::Duration;

use courseshed_types::{CallError, CallId, ErrorCode, Timestamp, dispatch::DispatchEventBody};

use crate::{
    state::State,
    systems::queueing,
    tables::{CallPhase, NodeIndex},
};

/// Shortest wait suggested to a caller.
const LEAST_RETRY: Duration = Duration::from_secs(1);
/// Longest wait suggested to a caller.
const MOST_RETRY: Duration = Duration::from_secs(60);

/// Sheds until the queues are within their bounds.
pub(crate) fn run(state: &mut State, now: Timestamp) {
    while state.calls.waiting() > state.config.max_waiting {
        let Some(call) = worst_call(state) else {
            return;
        };
        let error = CallError::not_run(
            ErrorCode::Overloaded,
            "too many calls wait in this pool, and the branch has more than its part of them",
        );
        state.counters.shed_overload += 1;
        shed(state, call, error.retry_after(estimated_wait(state, now)));
    }
}

/// Refuses a call that has waited as long as it may.
pub(crate) fn give_up(state: &mut State, now: Timestamp, call: CallId) {
    let Some(entry) = state.calls.get(&call) else {
        return;
    };
    if !matches!(entry.phase, CallPhase::Waiting(_)) || entry.call.give_up_at > now {
        return;
    }
    let error = CallError::not_run(
        ErrorCode::DeadlineExceeded,
        "no engine was free within the time the branch lets a call wait",
    );
    state.counters.shed_deadline += 1;
    shed(state, call, error.retry_after(estimated_wait(state, now)));
}

fn shed(state: &mut State, call: CallId, error: CallError) {
    if let Some(entry) = queueing::remove(state, call) {
        state.say(entry.shard, DispatchEventBody::Shed { call, error });
    }
}

/// The last call of the queue that is longest against its share.
fn worst_call(state: &State) -> Option<CallId> {
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
    let node = state.branches.node(index);
    let last = node.first_calls.last().or(node.queue.last())?;
    Some(last.1)
}

/// How long the queue would take at the age of its calls.
fn estimated_wait(state: &State, _now: Timestamp) -> Duration {
    let part = state.calls.waiting() as f64 / state.config.max_waiting.max(1) as f64;
    MOST_RETRY.mul_f64(part.clamp(0.0, 1.0)).max(LEAST_RETRY)
}
