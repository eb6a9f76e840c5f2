//! Soft state of calls under way: who waits for them, and where the leader is with them.

use courseshed_types::{Attempt, EngineId, NodeId, Timestamp};

use super::output::RequestToken;

/// A request that waits for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    pub token: RequestToken,
    /// The gateway that can run an attempt for this request; none can only attach.
    pub runner: Option<NodeId>,
}

/// An engine chosen by the dispatcher, not committed yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Assignment {
    pub attempt: Attempt,
    pub engine: EngineId,
    pub engine_address: String,
    pub priority: i32,
    pub received_at: Timestamp,
}

/// Where the leader is with a call that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// Accepted; no gateway waits that could run it, so it is not enqueued.
    Parked,
    /// Accepted; enqueued once its backoff is over.
    BackingOff,
    /// Enqueued at the dispatcher.
    Enqueued,
    /// Assigned; held until a gateway can run it.
    Held(Assignment),
    /// Assigned; its dispatch is proposed.
    Dispatching,
    /// Dispatched.
    Running,
}

/// Soft state of one call that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LiveCall {
    pub stage: Stage,
    pub waiters: Vec<Waiter>,
    /// When the engine is asked about the current attempt, unless its stream is heard of before.
    pub query_at: Timestamp,
    /// Since when the engine can't be reached.
    pub unreachable_since: Option<Timestamp>,
    /// A refusal, retry or settlement is proposed.
    pub is_ending: bool,
}

impl LiveCall {
    pub fn new(stage: Stage) -> LiveCall {
        LiveCall {
            stage,
            waiters: Vec::new(),
            query_at: Timestamp::MAX,
            unreachable_since: None,
            is_ending: false,
        }
    }

    /// The gateway that gets the next attempt: of the newest request that can run one.
    pub fn runner(&self) -> Option<(RequestToken, NodeId)> {
        let runners = self.waiters.iter().rev();
        let mut runners = runners.filter_map(|waiter| Some((waiter.token, waiter.runner?)));
        runners.next()
    }

    /// Takes a waiter out, if it still waits.
    pub fn remove(&mut self, token: RequestToken) -> Option<Waiter> {
        let place = self
            .waiters
            .iter()
            .position(|waiter| waiter.token == token)?;
        Some(self.waiters.remove(place))
    }
}
