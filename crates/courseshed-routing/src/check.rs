//! What makes a table one that can't be accepted.

use std::collections::BTreeSet;

use snafu::{Snafu, ensure};

use crate::{Route, RoutingTable};

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
