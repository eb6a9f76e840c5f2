//! What makes a table one that can't be accepted.

use std::collections::{BTreeMap, BTreeSet};

use snafu::{Snafu, ensure};

use crate::{KeyDigest, Route, RoutingTable, Tenant};

/// The first fault found in a table.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// A route names a service that the table lacks.
    #[snafu(display("route {route:?} names the unknown service {service:?}"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service it names.
        service: String,
    },
    /// Two routes share host and prefix.
    #[snafu(display("two routes share host {host:?} and path prefix {path_prefix:?}"))]
    SamePlace {
        /// The host of both.
        host: String,
        /// The prefix of both.
        path_prefix: String,
    },
    /// A route's weights are negative, or none is above zero.
    #[snafu(display("the weights of route {route:?} sum to nothing that can be split"))]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route allows no time at all.
    #[snafu(display("the timeout of route {route:?} is 0 ms"))]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A route's prefix doesn't begin and end with a slash.
    #[snafu(display("path prefix {path_prefix:?} of route {route:?} must begin and end with '/'"))]
    BadPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        path_prefix: String,
    },
    /// A tenant has no name.
    #[snafu(display("a tenant has an empty name"))]
    NamelessTenant,
    /// Two tenants have the same name.
    #[snafu(display("two tenants are named {tenant:?}"))]
    SameTenant {
        /// The name of both.
        tenant: String,
    },
    /// A tenant's name can't be told to servers.
    #[snafu(display("the name of tenant {tenant:?} may hold visible ASCII characters only"))]
    BadTenantName {
        /// The tenant.
        tenant: String,
    },
    /// A tenant has an empty key.
    #[snafu(display("tenant {tenant:?} has an empty key"))]
    EmptyKey {
        /// The tenant.
        tenant: String,
    },
    /// A key is held twice. The key is not told.
    #[snafu(display("tenant {tenant:?} has a key that tenant {other:?} has, too"))]
    SharedKey {
        /// The tenant.
        tenant: String,
        /// The tenant that was listed with it before; it may be the same one.
        other: String,
    },
    /// A tenant's quota is no number of requests.
    #[snafu(display("the rate and the burst of tenant {tenant:?} must be 0 or more"))]
    BadQuota {
        /// The tenant.
        tenant: String,
    },
}

impl RoutingTable {
    /// Checks a table whole.
    ///
    /// # Errors
    /// [`TableError`]: the first fault found.
    pub fn check(&self) -> Result<(), TableError> {
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            ensure!(
                places.insert(place),
                SamePlaceSnafu {
                    host: &route.host,
                    path_prefix: &route.path_prefix,
                }
            );
        }
        self.check_tenants()
    }

    fn check_tenants(&self) -> Result<(), TableError> {
        let mut names = BTreeSet::new();
        let mut holders: BTreeMap<KeyDigest, &str> = BTreeMap::new();
        for tenant in self.tenants.iter().flatten() {
            check_tenant(tenant)?;
            let name = tenant.name.as_str();
            ensure!(names.insert(name), SameTenantSnafu { tenant: name });
            for key in &tenant.keys {
                let other = holders.insert(*key, name);
                ensure!(
                    other.is_none(),
                    SharedKeySnafu {
                        tenant: name,
                        other: other.unwrap_or_default(),
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
            BadPrefixSnafu {
                route: name,
                path_prefix: prefix,
            }
        );
        ensure!(route.timeout_ms > 0, NoTimeoutSnafu { route: name });
        for target in &route.targets {
            ensure!(
                self.service(&target.service).is_some(),
                UnknownServiceSnafu {
                    route: name,
                    service: &target.service,
                }
            );
        }
        let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        let can_split = route.targets.iter().all(|target| is_weight(target.weight)) && total > 0.0;
        ensure!(can_split, NoWeightSnafu { route: name });
        Ok(())
    }
}

fn check_tenant(tenant: &Tenant) -> Result<(), TableError> {
    let name = &tenant.name;
    ensure!(!name.is_empty(), NamelessTenantSnafu);
    let is_tellable = name.bytes().all(|byte| byte.is_ascii_graphic());
    ensure!(is_tellable, BadTenantNameSnafu { tenant: name });
    let empty = KeyDigest::of(b"");
    ensure!(
        !tenant.keys.contains(&empty),
        EmptyKeySnafu { tenant: name }
    );
    let is_count = |number: f64| number.is_finite() && number >= 0.0;
    let is_quota = tenant
        .quota
        .is_none_or(|quota| is_count(quota.rate_per_s) && is_count(quota.burst));
    ensure!(is_quota, BadQuotaSnafu { tenant: name });
    Ok(())
}
