//! Messages between gateways and the owner of the permits.

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

/// A gateway's use of one tenant's permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// Name of the tenant.
    pub tenant: String,
    /// Permits that the gateway may use until it receives the answer.
    pub held: u32,
    /// Permits that are occupied or reserved for a call about to be sent.
    pub used: u32,
    /// Number of calls waiting for a permit.
    pub waiting: u32,
}

/// A gateway's report on its permits. At most one report of a gateway is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Incarnation of the gateway's process; higher after each restart.
    pub incarnation: u64,
    /// Uptime of the process, in milliseconds.
    #[serde(rename = "life_ms")]
    pub uptime_ms: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Epoch of the owner that has the gateway's complete state, as far as the gateway knows.
    pub epoch: Option<u64>,
    /// Whether the report is complete: unlisted tenants have no permits at the gateway.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Tenants whose use changed, or all tenants if the report is complete.
    pub uses: Vec<TenantUse>,
}

/// Permits granted to a gateway for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of permits; replaces the previous grant.
    pub permits: u32,
    /// Permits in use at all gateways, in thousandths of the tenant's permits.
    pub occupied_permille: u16,
    /// Whether the grant may be raised once the controllers have committed a higher ceiling.
    pub is_pending: bool,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The gateway's lease is renewed, with these changes.
    Granted {
        /// Grants for the reported tenants.
        grants: Vec<TenantGrant>,
    },
    /// The owner lacks the gateway's complete state; the next report must be complete.
    #[serde(rename = "ReportAll")]
    CompleteReportRequired {
        /// Epoch of the owner.
        epoch: u64,
    },
}

/// Upper bound of a tenant's outstanding permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ceiling {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of permits.
    pub permits: u32,
}

/// Bounds on what an owner may grant, which its successor relies on. Committed by the controllers
/// before they are used. Either a change or the complete state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerBounds {
    /// Upper bounds of the outstanding permits, by tenant.
    pub ceilings: Vec<Ceiling>,
    /// Gateways that may hold permits.
    pub holders: Vec<NodeId>,
    /// Gateways that may no longer hold permits.
    pub former_holders: Vec<NodeId>,
}

impl OwnerBounds {
    /// Whether the change is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ceilings.is_empty() && self.holders.is_empty() && self.former_holders.is_empty()
    }
}
