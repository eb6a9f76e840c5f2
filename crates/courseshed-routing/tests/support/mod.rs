//! Routes for the tests of this crate.

#![allow(dead_code)]

use courseshed_routing::{CallKind, Route, Target};

/// A route of one host to one service.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: CallKind::Repeatable,
        timeout_ms: 1000,
        latency_target_ms: 100,
        priority: 0,
        targets: vec![target("s", 1.0)],
        max_attempts: 1,
        stores_turns: false,
        retention_ms: 0,
        affinity: false,
        resumable: false,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

/// A weighted target.
pub fn target(service: &str, weight: f64) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}
