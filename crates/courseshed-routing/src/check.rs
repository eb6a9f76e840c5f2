//! Validation of routing tables.

use std::collections::{BTreeMap, BTreeSet};

use snafu::{Snafu, ensure};

use crate::{KeyDigest, Route, RoutingTable, Tenant};

/// The first error found in a routing table.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// A route refers to a service that the table does not contain.
    #[snafu(display("route {route:?} refers to the unknown service {service:?}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("two routes share host {host:?} and path prefix {path_prefix:?}"))]
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        path_prefix: String,
    },
    /// A weight of a route is negative or not finite, or no weight is positive.
    #[snafu(display("the weights of route {route:?} must be non-negative with a positive sum"))]
    InvalidWeights {
        /// Name of the route.
        route: String,
    },
    /// A route has a timeout of zero.
    #[snafu(display("the timeout of route {route:?} is 0 ms"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A route's path prefix does not begin and end with a slash.
    #[snafu(display("path prefix {path_prefix:?} of route {route:?} must begin and end with '/'"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// The path prefix.
        path_prefix: String,
    },
    /// A tenant has an empty name.
    #[snafu(display("a tenant has an empty name"))]
    EmptyTenantName,
    /// Two tenants have the same name.
    #[snafu(display("two tenants are named {tenant:?}"))]
    DuplicateTenant {
        /// Name of both tenants.
        tenant: String,
    },
    /// A tenant's name can't be sent in a header.
    #[snafu(display("the name of tenant {tenant:?} may only contain visible ASCII characters"))]
    InvalidTenantName {
        /// Name of the tenant.
        tenant: String,
    },
    /// A tenant has an empty key.
    #[snafu(display("tenant {tenant:?} has an empty key"))]
    EmptyKey {
        /// Name of the tenant.
        tenant: String,
    },
    /// A key is listed twice. The key itself is not reported.
    #[snafu(display("tenant {tenant:?} has a key that is already assigned to tenant {other:?}"))]
    DuplicateKey {
        /// Name of the tenant.
        tenant: String,
        /// Name of the tenant that listed the key first; may be the same tenant.
        other: String,
    },
    /// A tenant's rate or burst is negative or not finite.
    #[snafu(display(
        "the rate and the burst of tenant {tenant:?} must be finite and non-negative"
    ))]
    InvalidQuota {
        /// Name of the tenant.
        tenant: String,
    },
}

impl RoutingTable {
    /// Validates the table.
    ///
    /// # Errors
    ///
    /// [`TableError`]: the first error found.
    pub fn check(&self) -> Result<(), TableError> {
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            let host_and_prefix = (route.host.as_str(), route.path_prefix.as_str());
            ensure!(
                seen.insert(host_and_prefix),
                DuplicateRouteSnafu {
                    host: &route.host,
                    path_prefix: &route.path_prefix,
                }
            );
        }
        self.check_tenants()
    }

    fn check_tenants(&self) -> Result<(), TableError> {
        let mut names = BTreeSet::new();
        let mut key_owners: BTreeMap<KeyDigest, &str> = BTreeMap::new();
        for tenant in self.tenants.iter().flatten() {
            check_tenant(tenant)?;
            let name = tenant.name.as_str();
            ensure!(names.insert(name), DuplicateTenantSnafu { tenant: name });
            for key in &tenant.keys {
                let previous = key_owners.insert(*key, name);
                ensure!(
                    previous.is_none(),
                    DuplicateKeySnafu {
                        tenant: name,
                        other: previous.unwrap_or_default(),
                    }
                );
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), TableError> {
        let name = &route.name;
        let prefix = &route.path_prefix;
        ensure!(
            prefix.starts_with('/') && prefix.ends_with('/'),
            InvalidPrefixSnafu {
                route: name,
                path_prefix: prefix,
            }
        );
        ensure!(route.timeout_ms > 0, ZeroTimeoutSnafu { route: name });
        for target in &route.targets {
            ensure!(
                self.service(&target.service).is_some(),
                UnknownServiceSnafu {
                    route: name,
                    service: &target.service,
                }
            );
        }
        let is_valid_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        let can_split = route
            .targets
            .iter()
            .all(|target| is_valid_weight(target.weight))
            && total > 0.0;
        ensure!(can_split, InvalidWeightsSnafu { route: name });
        Ok(())
    }
}

fn check_tenant(tenant: &Tenant) -> Result<(), TableError> {
    let name = &tenant.name;
    ensure!(!name.is_empty(), EmptyTenantNameSnafu);
    let is_header_safe = name.bytes().all(|byte| byte.is_ascii_graphic());
    ensure!(is_header_safe, InvalidTenantNameSnafu { tenant: name });
    let empty_key = KeyDigest::of(b"");
    ensure!(
        !tenant.keys.contains(&empty_key),
        EmptyKeySnafu { tenant: name }
    );
    let is_valid_number = |number: f64| number.is_finite() && number >= 0.0;
    let is_valid_quota = tenant
        .quota
        .is_none_or(|quota| is_valid_number(quota.rate_per_s) && is_valid_number(quota.burst));
    ensure!(is_valid_quota, InvalidQuotaSnafu { tenant: name });
    Ok(())
}
