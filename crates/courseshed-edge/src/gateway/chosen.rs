//! A server as a call needs it: how to reach it, and which life of it is meant.

use std::net::SocketAddr;

use courseshed_registry::Server;

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The life of the server.
    pub id: String,
    /// What the server calls itself.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Chosen {
    /// A server, as it is listed.
    #[must_use]
    pub fn of(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            name: server.name().to_owned(),
            address: server.address,
        }
    }
}
