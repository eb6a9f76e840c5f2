//! What a routing table holds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Tenant;

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// May run more than once.
    Repeatable,
    /// May run once for each request id.
    AtMostOnce,
    /// Answered by a series of events; runs once unless the route is resumable.
    Stream,
}

/// One weighted part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of a service of the same table.
    pub service: String,
    /// Share of the route's calls, relative to the other parts.
    pub weight: f64,
}

/// One route: calls of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// Host the call must name, without a port.
    pub host: String,
    /// Prefix the path must begin with; it ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a call is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer counts in full, in milliseconds; to the first event of a stream.
    pub aim_ms: u64,
    /// Rank; 0 is served first.
    pub priority: u32,
    /// The services that serve it.
    pub targets: Vec<Target>,
    /// Largest number of servers that one request id may be sent to.
    pub max_attempts: u32,
    /// Whether turns are kept, so that later ones bring only what is new.
    pub keeps_turns: bool,
    /// How long turns and programs are kept after their last use, in milliseconds.
    pub retention_ms: u64,
    /// Whether a server that saw the same thing lately works faster.
    pub affinity: bool,
    /// Whether a broken stream may be taken up at another server.
    pub resumable: bool,
    /// Whether it is served without a key where tenants are listed.
    #[serde(default)]
    pub is_public: bool,
    /// Regions to which serving its calls and keeping what they say is restricted; none if it isn't.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

impl Route {
    /// Whether the same request may be sent to a second server after the first may have run it.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            CallKind::Repeatable => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }
}

/// What the engines of a service can bear.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Calls that run at once on one engine.
    pub slots: u32,
    /// Tokens that one event of a stream stands for.
    pub tokens_per_event: u64,
    /// Tokens of prompts and answers that the memory of one engine holds; none if that isn't known.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
}

/// A service: servers that are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one server accepts from all callers together.
    pub connection_limit: u32,
    /// What its engines can bear, for a service of model engines.
    pub engine: Option<EngineLimits>,
    /// Requests that a server bears in a second while it is cold, all callers together; none if it bears all.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
}

impl Service {
    /// Whether its servers bear little while they are cold.
    #[must_use]
    pub fn bounds_cold_servers(&self) -> bool {
        self.cold_per_s.is_some()
    }
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long the head of a request may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Routes, services and limits: what operators replace as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: CallLimits,
    /// Who may call, by keys; none where calls need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Arc<Tenant>>>,
}

impl RoutingTable {
    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A table with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedTable {
    /// Grows with each accepted change, in uneven steps.
    pub version: u64,
    /// The table.
    pub table: RoutingTable,
}
