//! The routing table of the soak.

use std::sync::Arc;
use std::time::Duration;

use courseshed_routing::{
    CallKind, CallLimits, EngineLimits, Route, RoutingTable, Service, Target, VersionedTable,
};

use crate::ledger::TOKENS_PER_EVENT;
use crate::server::SERVICE;
use crate::zones::REGIONS;

/// How long a turn may be continued.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// Calls per second that a server bears while it warms up.
const WARM_UP_RATE: f64 = 4.0;

/// What the routing table of a run contains.
#[derive(Clone, Copy, Debug)]
pub struct TableContents {
    /// Routes that are restricted to a region.
    pub has_regions: bool,
    /// A limit on calls to servers that warm up.
    pub limits_warm_up: bool,
    /// A route of streams that may be resumed.
    pub has_streams: bool,
}

/// Servers to which an attempt may be sent, by the kind of its route.
const MAX_ATTEMPTS: [(&str, u32); 4] = [("once", 2), ("safe", 3), ("turn", 2), ("stream", 2)];

/// Servers to which an attempt may be sent, by the path of its route, which may begin with a region.
#[must_use]
pub fn max_attempts(path: &str) -> u32 {
    let route = path.split('/').nth(1).unwrap_or("");
    let kind = route.rsplit('-').next().unwrap_or("");
    let mut known = MAX_ATTEMPTS.into_iter();
    let found = known.find(|(name, _)| *name == kind);
    found.map_or(1, |(_, most)| most)
}

/// The routing table of the soak: a route for each kind of call, and those that are restricted to a
/// region.
#[must_use]
pub fn routing_table(version: u64, contents: TableContents) -> VersionedTable {
    let mut routes = vec![
        route("once", CallKind::AtMostOnce),
        route("safe", CallKind::Repeatable),
        route("turn", CallKind::Stream),
    ];
    if contents.has_streams {
        routes.push(Route {
            stores_turns: false,
            resumable: true,
            ..route("stream", CallKind::Stream)
        });
    }
    for region in REGIONS.into_iter().filter(|_| contents.has_regions) {
        let restricted = [
            route(&format!("{region}-safe"), CallKind::Repeatable),
            route(&format!("{region}-turn"), CallKind::Stream),
        ];
        routes.extend(restricted.map(|route| Route {
            allowed_regions: vec![region.to_owned()],
            ..route
        }));
    }
    VersionedTable {
        version,
        table: RoutingTable {
            routes: routes.into_iter().map(Arc::new).collect(),
            services: vec![Service {
                warm_up_rate_per_s: contents.limits_warm_up.then_some(WARM_UP_RATE),
                name: SERVICE.to_owned(),
                connection_limit: 0,
                engine: Some(EngineLimits {
                    slots: 16,
                    tokens_per_event: TOKENS_PER_EVENT,
                    memory_tokens: None,
                }),
            }],
            limits: CallLimits::default(),
            tenants: None,
        },
    }
}

/// A route whose turns, if it has any, are stored.
fn route(name: &str, kind: CallKind) -> Route {
    let path_prefix = format!("/{name}/");
    let max_attempts = max_attempts(&path_prefix);
    let keeps_turns = kind == CallKind::Stream;
    Route {
        name: name.to_owned(),
        host: "soak.example".to_owned(),
        path_prefix,
        kind,
        timeout_ms: 5_000,
        latency_target_ms: 200,
        priority: 0,
        targets: vec![Target {
            service: SERVICE.to_owned(),
            weight: 1.0,
        }],
        max_attempts,
        stores_turns: keeps_turns,
        retention_ms: RETENTION.as_millis() as u64,
        affinity: keeps_turns,
        resumable: false,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}
