//! What the judgement of servers by their calls came to.

use std::time::Duration;

use courseshed_registry::{AvoidanceChange, OutcomeCounts};

/// A server begins or ceases to be avoided.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeChange {
    /// The life of the server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// What changed.
    pub change: AvoidanceChange,
    /// What was counted of it by all gateways, as far as known.
    pub counts: OutcomeCounts,
    /// How long ago the other gateways told of their part.
    pub counts_age: Duration,
}
