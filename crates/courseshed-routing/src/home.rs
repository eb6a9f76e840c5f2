//! In which regions a call may be served, and what it says kept.

use std::collections::BTreeSet;

use crate::{Route, RoutingTable, Tenant};

/// The regions that all who restrict a call allow: its route, its tenant, or both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions {
    /// None if nobody restricts it.
    allowed: Option<BTreeSet<String>>,
}

impl HomeRegions {
    /// Any region.
    pub const ANY: Self = Self { allowed: None };

    /// The regions for a call of a route by a tenant.
    #[must_use]
    pub fn of(route: &Route, tenant: Option<&Tenant>) -> Self {
        let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
        let lists = [&route.home_regions[..], of_tenant];
        let restricting = lists.into_iter().filter(|list| !list.is_empty());
        let allowed = restricting
            .map(|list| list.iter().cloned().collect::<BTreeSet<_>>())
            .reduce(|left, right| &left & &right);
        Self { allowed }
    }

    /// Whether anybody restricts the call.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether a place may serve the call or keep what it says. Where it isn't known in which region a place
    /// is, nothing that is restricted may go there.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match (&self.allowed, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }
}

impl RoutingTable {
    /// Whether any route or tenant is restricted to regions.
    #[must_use]
    pub fn has_home_regions(&self) -> bool {
        let mut tenants = self.tenants.iter().flatten();
        self.routes
            .iter()
            .any(|route| !route.home_regions.is_empty())
            || tenants.any(|tenant| !tenant.home_regions.is_empty())
    }
}
