//! Messages between gateways and the owner of the permits.

use serde::{Deserialize, Serialize};

/// A gateway's use of the permits of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUse {
    /// Name of the server.
    pub server: String,
    /// Permits that the gateway may use until it receives the answer.
    pub held: u32,
    /// Permits that are occupied or reserved for a call about to be sent.
    pub used: u32,
    /// Number of calls waiting for a permit.
    pub waiting: u32,
}

/// A gateway's report on its permits. At most one report of a gateway is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupReport {
    /// Incarnation of the gateway's process; higher after each restart.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Epoch of the owner that the gateway last heard from.
    pub epoch: Option<u64>,
    /// Whether the report is complete: the gateway has no permits of unlisted servers.
    pub is_complete: bool,
    /// Servers whose use changed, or all servers if the report is complete.
    pub uses: Vec<ServerUse>,
}

/// Permits granted to a gateway for one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerGrant {
    /// Name of the server.
    pub server: String,
    /// Number of permits; replaces the previous grant.
    pub permits: u32,
    /// Permits of the server that are left after this grant.
    pub free: u32,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmupAnswer {
    /// The gateway's lease is renewed, with these changes.
    Granted {
        /// Grants for the reported servers.
        grants: Vec<ServerGrant>,
    },
    /// The owner lacks the gateway's complete state; the next report must be complete.
    CompleteReportRequired {
        /// Epoch of the owner.
        epoch: u64,
    },
}
