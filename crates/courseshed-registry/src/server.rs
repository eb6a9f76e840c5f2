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
    /// Names this life of the server.
    pub id: String,
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
}

/// One announcement of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The server.
    pub server: Server,
    /// Rises with each announcement of this life.
    pub sequence: u64,
}
