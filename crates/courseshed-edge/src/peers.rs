//! The transport between the nodes of the fleet.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use courseshed_transport::{
    Handler, PeerIdentity, StartError, Transport, TransportSettings, TransportTiming,
};
use courseshed_types::{Incarnation, NodeId};
use snafu::{ResultExt, Snafu};
use tokio::runtime::Handle;

use crate::clock::unix_time_ms;
use crate::protocol::{FleetProtocol, PeerAddresses, PeerPort};

/// Short timeouts: an unreachable machine sends no reset, so it is only detected by them.
const TIMING: TransportTiming = TransportTiming {
    connect: Duration::from_millis(500),
    first_connect: Duration::from_millis(60),
    reconnect: Duration::from_millis(150),
    write: Duration::from_millis(1500),
    ping: Duration::from_millis(500),
    silence: Duration::from_millis(1500),
    unacknowledged: Some(Duration::from_millis(900)),
};
const QUEUE_CAPACITY: usize = 4096;

/// The transport of the fleet.
pub type Peers = Transport<FleetProtocol>;

/// Errors from starting the transport.
#[derive(Debug, Snafu)]
pub enum PeersError {
    /// The port cannot be bound.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The transport failed to start.
    #[snafu(display("cannot start the peer transport on {address}: {source}"))]
    Start {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: StartError,
    },
}

/// Starts the transport of a role on a node.
///
/// # Errors
/// Returns [`PeersError`] if the port cannot be bound or the transport fails to start.
pub fn start_peers(
    node: NodeId,
    addresses: PeerAddresses,
    port: PeerPort,
    handler: Arc<dyn Handler<FleetProtocol>>,
) -> Result<Peers, PeersError> {
    let address = addresses.of(node, port);
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    start_peers_on(listener, address, node, handler)
}

/// Starts the transport of a node on a socket that listens on `address`.
///
/// # Errors
/// Returns [`PeersError::Start`] if the transport can't use the socket.
pub fn start_peers_on(
    listener: TcpListener,
    address: SocketAddr,
    node: NodeId,
    handler: Arc<dyn Handler<FleetProtocol>>,
) -> Result<Peers, PeersError> {
    let settings = TransportSettings {
        identity: PeerIdentity {
            node,
            incarnation: Incarnation(unix_time_ms()),
        },
        queue_capacity: QUEUE_CAPACITY,
        seed: unix_time_ms() ^ u64::from(node.0),
        timing: TIMING,
    };
    let started = Transport::start(settings, listener, handler, &Handle::current());
    started.context(StartSnafu { address })
}
