//! Contents of a routing table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Tenant;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// May be executed more than once.
    Repeatable,
    /// May be executed at most once per request id.
    AtMostOnce,
    /// Answered by a stream of events; executed once unless the route is resumable.
    Stream,
}

/// A weighted target of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of a service of the same table.
    pub service: String,
    /// Weight of the target relative to the route's other targets.
    pub weight: f64,
}

/// A route: calls of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the calls, without a port.
    pub host: String,
    /// Prefix of the calls' paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub kind: CallKind,
    /// Maximum duration of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency in milliseconds; for streams, of the first event.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// Rank of the calls; 0 is the most urgent.
    pub priority: u32,
    /// Weighted target services.
    pub targets: Vec<Target>,
    /// Maximum number of servers that a request may be sent to.
    pub max_attempts: u32,
    /// Whether turns are stored, so that later turns only send what is new.
    #[serde(rename = "keeps_turns")]
    pub stores_turns: bool,
    /// Retention of turns and programs after their last use, in milliseconds.
    pub retention_ms: u64,
    /// Whether servers are faster if they have recently seen the same content.
    pub affinity: bool,
    /// Whether an interrupted stream may be resumed on another server.
    pub resumable: bool,
    /// Whether the route needs no key in a table with tenants.
    #[serde(default)]
    pub is_public: bool,
    /// Regions in which calls may be served and their data stored; empty without a restriction.
    #[serde(default)]
    #[serde(rename = "home_regions")]
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Whether a request may be sent to a second server after the first may have executed it.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            CallKind::Repeatable => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }
}

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Number of calls that one engine runs concurrently.
    pub slots: u32,
    /// Number of tokens per event of a stream.
    pub tokens_per_event: u64,
    /// Memory of one engine for prompts and answers, in tokens; none if unknown.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
}

/// A service: a group of interchangeable servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one server, over all callers.
    pub connection_limit: u32,
    /// Capacity of its engines; only for services of inference engines.
    pub engine: Option<EngineLimits>,
    /// Maximum request rate of a server during warm-up, over all callers; none if unlimited.
    #[serde(default)]
    #[serde(rename = "cold_per_s")]
    pub warm_up_rate_per_s: Option<f64>,
}

impl Service {
    /// Whether the request rate of servers is limited during warm-up.
    #[must_use]
    pub fn limits_warm_up(&self) -> bool {
        self.warm_up_rate_per_s.is_some()
    }
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of connections, in milliseconds.
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

/// Routes, services, limits and tenants; replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: CallLimits,
    /// Tenants that may call; none if calls need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Arc<Tenant>>>,
}

impl RoutingTable {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A routing table with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedTable {
    /// Increases with each accepted change, not necessarily by one.
    pub version: u64,
    /// The table.
    pub table: RoutingTable,
}
