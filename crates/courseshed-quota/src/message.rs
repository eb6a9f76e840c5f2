//! What gateways and the owner of the permits say to each other.

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

/// A gateway's use of one tenant's permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: String,
    /// Permits that the gateway goes by until it has the answer.
    pub held: u32,
    /// Of these, how many are occupied or about to be.
    pub used: u32,
    /// Calls that wait for a permit.
    pub waiting: u32,
}

/// What a gateway says of its permits. At most one report of a gateway is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The life of the gateway's process; a later one has a higher number.
    pub incarnation: u64,
    /// How long that life has lasted, in milliseconds.
    pub life_ms: u64,
    /// Grows with each report of that life.
    pub sequence: u64,
    /// The owner that the gateway believes to know all that it holds.
    pub epoch: Option<u64>,
    /// Whether tenants that aren't listed have no permits here.
    pub is_whole: bool,
    /// Tenants whose use changed, or all.
    pub uses: Vec<TenantUse>,
}

/// What a gateway may use from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: String,
    /// Permits.
    pub permits: u32,
    /// Permits that are occupied at all gateways, in thousandths of what there are.
    pub occupied_permille: u16,
    /// Whether more may follow as soon as the controllers have agreed.
    pub is_pending: bool,
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// All that the gateway holds is renewed, with these changes.
    Granted {
        /// Of the tenants that were reported.
        grants: Vec<TenantGrant>,
    },
    /// The owner doesn't know all that the gateway holds: it is to report everything.
    ReportAll {
        /// The owner.
        epoch: u64,
    },
}

/// The most permits of a tenant that may be out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ceiling {
    /// The tenant.
    pub tenant: String,
    /// Permits.
    pub permits: u32,
}

/// What an owner is bound by, and the next one may rely on: agreed on by the controllers before it is
/// used. A change of it, or all of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerBounds {
    /// The most permits that may be out, by tenant.
    pub ceilings: Vec<Ceiling>,
    /// Gateways that may hold permits.
    pub holders: Vec<NodeId>,
    /// Gateways that may hold them no longer.
    pub former_holders: Vec<NodeId>,
}

impl OwnerBounds {
    /// Whether it changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ceilings.is_empty() && self.holders.is_empty() && self.former_holders.is_empty()
    }
}
