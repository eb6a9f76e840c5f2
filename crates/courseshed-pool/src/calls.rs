//! The calls that a scheduler knows: those that wait, and those at engines.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};

use crate::programs::Standing;
use crate::{CallDemand, Ticket};

/// Where a call waits rather than go elsewhere at once, and what that was expected to cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub engine: ServerKey,
    /// Its cost there in milliseconds, beside the wait.
    pub cost_ms: f64,
    /// When a place is expected to be free.
    pub free_at: Duration,
    /// Until when it waits for it.
    pub until: Duration,
}

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    pub demand: CallDemand,
    pub standing: Standing,
    /// When its gateway got it.
    pub arrived: Duration,
    /// When the scheduler heard of it.
    pub asked_at: Duration,
    /// When its gateway asked for it last.
    pub heard_at: Duration,
    /// When its caller stops waiting.
    pub deadline: Duration,
    pub expected_tokens: f64,
    pub plan: Option<Plan>,
    /// The least that it would have cost at any engine when it came, in milliseconds, had that a place.
    pub least_cost_ms: f64,
}

/// A call at an engine.
#[derive(Clone, Debug)]
pub(crate) struct GrantedCall {
    pub engine: ServerKey,
    pub granted_at: Duration,
    /// When nothing more is expected of it.
    pub forgotten_at: Duration,
    /// What it asked for; none if another scheduler granted it.
    pub demand: Option<CallDemand>,
    pub unread_tokens: u32,
}

/// All calls of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    pub waiting: BTreeMap<Ticket, WaitingCall>,
    pub granted: BTreeMap<Ticket, GrantedCall>,
}

impl Calls {
    /// The tickets of a gateway's granted calls.
    pub(crate) fn granted_of(&self, gateway: NodeId) -> Vec<Ticket> {
        let first = Ticket { gateway, number: 0 };
        let last = Ticket {
            gateway,
            number: u64::MAX,
        };
        self.granted
            .range(first..=last)
            .map(|(ticket, _)| *ticket)
            .collect()
    }
}
