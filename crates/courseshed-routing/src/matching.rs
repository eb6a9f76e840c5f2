//! Route lookup.

use std::sync::Arc;

use crate::{Route, RoutingTable};

impl RoutingTable {
    /// Returns the route of a call: among the routes of its host, the one with the longest prefix
    /// of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
