//! Server registrations.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a server accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts new calls.
    Ready,
    /// Only completes the calls it has.
    Draining,
}

/// One incarnation of a server. A restarted server is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the incarnation, see [`Server::incarnation_id`].
    pub id: String,
    /// Name of the server, shared by its incarnations; empty if equal to the id.
    #[serde(default)]
    pub name: String,
    /// Start time in Unix milliseconds of the server's clock; `None` if not reported.
    #[serde(default)]
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// Version of the software that the incarnation runs; `None` if not reported.
    #[serde(default)]
    pub software_version: Option<String>,
    /// The service it belongs to.
    pub service: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether it accepts new calls.
    pub state: ServerState,
    /// Remaining warm-up time reported at its start, in milliseconds; 0 once warmed up.
    #[serde(default)]
    #[serde(rename = "cold_ms")]
    pub warmup_remaining_ms: u32,
}

impl Server {
    /// Id of an incarnation; the name alone if the start time is unknown.
    ///
    /// State must be keyed by this id, since nothing known of one incarnation applies to the next.
    #[must_use]
    pub fn incarnation_id(name: &str, started_ms: Option<u64>) -> String {
        started_ms.map_or_else(
            || name.to_owned(),
            |born| format!("{name}{INCARNATION_SEPARATOR}{born}"),
        )
    }

    /// Name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        if self.name.is_empty() {
            &self.id
        } else {
            &self.name
        }
    }

    /// Keeps the known software version if this registration of the same incarnation states none. A
    /// controller of an earlier release passes registrations on without it.
    #[must_use]
    pub(crate) fn with_version_of(self, known: &Self) -> Self {
        let software_version = self
            .software_version
            .or_else(|| known.software_version.clone());
        Self {
            software_version,
            ..self
        }
    }

    /// Whether a later registration of the same incarnation contains no relevant change. A
    /// decreasing warm-up time is no change, nor is any warm-up time of a service without warm-up
    /// limits.
    #[must_use]
    pub fn is_unchanged_in(&self, later: &Self, warmup_matters: bool) -> bool {
        let is_warming_as_before = (self.warmup_remaining_ms == 0)
            == (later.warmup_remaining_ms == 0)
            && later.warmup_remaining_ms <= self.warmup_remaining_ms;
        let later = Self {
            warmup_remaining_ms: self.warmup_remaining_ms,
            ..later.clone().with_version_of(self)
        };
        *self == later && (is_warming_as_before || !warmup_matters)
    }
}

/// Separates the name and the start time in the id of an incarnation.
const INCARNATION_SEPARATOR: char = '/';

/// Whether an id belongs to an incarnation of a server that started after a given time.
pub(crate) fn is_later_incarnation(id: &str, name: &str, started_ms: u64) -> bool {
    let later = id
        .strip_prefix(name)
        .and_then(|rest| rest.strip_prefix(INCARNATION_SEPARATOR));
    let born = later.and_then(|born| born.parse::<u64>().ok());
    born.is_some_and(|born| born > started_ms)
}

/// A registration of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The server.
    pub server: Server,
    /// Increases with each registration of the incarnation.
    pub sequence: u64,
}
