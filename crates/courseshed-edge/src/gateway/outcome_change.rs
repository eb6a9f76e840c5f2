//! Changes in the set of avoided servers.

use std::time::Duration;

use courseshed_registry::{AvoidanceChange, OutcomeCounts};

/// A server starts or stops being avoided.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeChange {
    /// ID of the server instance.
    pub server: String,
    /// The service of the server.
    pub service: String,
    /// The kind of change.
    pub change: AvoidanceChange,
    /// Outcomes of the calls of all known gateways.
    pub counts: OutcomeCounts,
    /// Age of the outcomes reported by other gateways.
    pub counts_age: Duration,
}
