//! Calls known to the scheduler: waiting and granted.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};

use crate::programs::ProgramProgress;
use crate::{CallDemand, Ticket};

/// A decision to wait for an engine that is at capacity, with its expected cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedWait {
    pub engine: ServerKey,
    /// Expected cost on the engine in milliseconds, excluding the wait.
    pub cost_ms: f64,
    /// When the engine is expected to have capacity.
    pub free_at: Duration,
    /// When the decision to wait expires.
    pub until: Duration,
}

/// A call that waits for an engine.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    pub demand: CallDemand,
    pub progress: ProgramProgress,
    /// When the gateway received the call.
    pub arrived: Duration,
    /// When the gateway first asked for an engine.
    pub asked_at: Duration,
    /// When the gateway last asked for an engine.
    pub last_asked_at: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    pub expected_tokens: f64,
    pub planned_wait: Option<PlannedWait>,
    /// Lowest cost over all engines when the call arrived, excluding waits, in milliseconds.
    pub min_cost_ms: f64,
}

/// A call that was granted an engine.
#[derive(Clone, Debug)]
pub(crate) struct GrantedCall {
    pub engine: ServerKey,
    pub granted_at: Duration,
    /// When the call is dropped if its end is not reported.
    pub expires_at: Duration,
    /// The request; none if the grant was learned from a gateway.
    pub demand: Option<CallDemand>,
    pub uncached_tokens: u32,
}

/// All calls of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    pub waiting: BTreeMap<Ticket, WaitingCall>,
    pub granted: BTreeMap<Ticket, GrantedCall>,
}

impl Calls {
    /// Tickets of a gateway's granted calls.
    pub(crate) fn granted_by(&self, gateway: NodeId) -> Vec<Ticket> {
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
