//! Servers, as they announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A server in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Names this life of the server, see [`Server::life_id`].
    pub id: String,
    /// What the server calls itself, alike in all its lives; empty where that is the id.
    #[serde(default)]
    pub name: String,
    /// When this life began, in Unix milliseconds of the server's clock; none if it doesn't say.
    #[serde(default)]
    pub born_ms: Option<u64>,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// Calls it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it bears little, as it said when it began to; 0 once it bears all, in milliseconds.
    #[serde(default)]
    pub cold_ms: u32,
}

impl Server {
    /// The id of a life: the name alone if the server doesn't say when it began.
    ///
    /// Nothing that is known of one life holds for the next, so lives are told apart by their ids
    /// wherever something is noted of a server.
    #[must_use]
    pub fn life_id(name: &str, born_ms: Option<u64>) -> String {
        born_ms.map_or_else(|| name.to_owned(), |born| format!("{name}{LIFE}{born}"))
    }

    /// What the server calls itself.
    #[must_use]
    pub fn name(&self) -> &str {
        if self.name.is_empty() {
            &self.id
        } else {
            &self.name
        }
    }

    /// Whether a later announcement of the same life says nothing new. How long a server stays cold is no
    /// news while it gets less; for a service that bears all from its start it never is.
    #[must_use]
    pub fn is_repeated_by(&self, later: &Self, is_cold_news: bool) -> bool {
        let is_as_cold =
            (self.cold_ms == 0) == (later.cold_ms == 0) && later.cold_ms <= self.cold_ms;
        let same_otherwise = Self {
            cold_ms: self.cold_ms,
            ..later.clone()
        };
        *self == same_otherwise && (is_as_cold || !is_cold_news)
    }
}

/// What follows a server's name in the id of a life.
const LIFE: char = '/';

/// Whether an id is of a life of a server that began after another one.
pub(crate) fn is_later_life(id: &str, name: &str, born_ms: u64) -> bool {
    let later = id
        .strip_prefix(name)
        .and_then(|rest| rest.strip_prefix(LIFE));
    let born = later.and_then(|born| born.parse::<u64>().ok());
    born.is_some_and(|born| born > born_ms)
}

/// One announcement of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The server.
    pub server: Server,
    /// Rises with each announcement of this life.
    pub sequence: u64,
}
