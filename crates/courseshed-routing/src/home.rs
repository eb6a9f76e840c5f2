//! Regions in which a call may be served and its data stored.

use std::collections::BTreeSet;

use crate::{Route, RoutingTable, Tenant};

/// Regions allowed by both the route and the tenant of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// Allowed regions; none without a restriction.
    allowed: Option<BTreeSet<String>>,
}

impl AllowedRegions {
    /// No restriction.
    pub const ANY: Self = Self { allowed: None };

    /// Returns the regions allowed for a tenant's calls of a route.
    #[must_use]
    pub fn of(route: &Route, tenant: Option<&Tenant>) -> Self {
        Self::of_lists(&route.allowed_regions, tenant)
    }

    /// A restriction to these regions; none if there are none.
    #[must_use]
    pub fn of_list(regions: &[String]) -> Self {
        Self::of_lists(regions, None)
    }

    /// The allowed regions; empty without a restriction.
    #[must_use]
    pub fn to_list(&self) -> Vec<String> {
        self.allowed.iter().flatten().cloned().collect()
    }

    fn of_lists(of_route: &[String], tenant: Option<&Tenant>) -> Self {
        let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.allowed_regions);
        let lists = [of_route, of_tenant];
        let restrictions = lists.into_iter().filter(|list| !list.is_empty());
        let allowed = restrictions
            .map(|list| list.iter().cloned().collect::<BTreeSet<_>>())
            .reduce(|left, right| &left & &right);
        Self { allowed }
    }

    /// Regions allowed by both of two restrictions.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (Some(left), Some(right)) => Some(left & right),
            (left, right) => left.as_ref().or(right.as_ref()).cloned(),
        };
        Self { allowed }
    }

    /// The same restriction without the regions that `keeps` rejects. Has no effect without a
    /// restriction.
    #[must_use]
    pub fn filtered(&self, mut keeps: impl FnMut(&str) -> bool) -> Self {
        let allowed = self.allowed.as_ref().map(|allowed| {
            let kept = allowed.iter().filter(|region| keeps(region));
            kept.cloned().collect()
        });
        Self { allowed }
    }

    /// Whether the call is restricted to regions.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether a location in this region may serve the call or store its data. An unknown region is
    /// only allowed without a restriction.
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
    /// The regions allowed for a call by this table, whichever table it was accepted under.
    #[must_use]
    pub fn allowed_regions(&self, host: &str, path: &str, tenant: Option<&str>) -> AllowedRegions {
        let route = self.find(host, path);
        let of_route = route.map_or(&[][..], |route| &route.allowed_regions);
        let tenant = tenant.and_then(|tenant| self.tenant(tenant));
        AllowedRegions::of_lists(of_route, tenant.map(|tenant| &**tenant))
    }

    /// The regions that any route or tenant is restricted to; empty without restrictions.
    #[must_use]
    pub fn restricted_regions(&self) -> BTreeSet<&str> {
        let routes = self.routes.iter().map(|route| &route.allowed_regions);
        let tenants = self.tenants.iter().flatten();
        let regions = routes.chain(tenants.map(|tenant| &tenant.allowed_regions));
        regions.flatten().map(String::as_str).collect()
    }
}
