//! The address and instance of a selected server.

use std::net::SocketAddr;

use courseshed_registry::Server;

/// A selected server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedServer {
    /// ID of the server instance.
    pub id: String,
    /// The name that the server reports for itself.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: String,
    /// Start time in Unix milliseconds of the server's clock, if it reports one.
    pub started_ms: Option<u64>,
    /// Version of its software, if it reports one.
    pub software_version: Option<String>,
}

impl SelectedServer {
    /// Copies the details of a listed server.
    #[must_use]
    pub fn of(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            name: server.name().to_owned(),
            address: server.address,
            zone: server.zone.clone(),
            started_ms: server.started_ms,
            software_version: server.software_version.clone(),
        }
    }
}
