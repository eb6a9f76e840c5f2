//! What is said when the transport between nodes can't start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::Arc;

use courseshed_edge::peers::{PeersError, start_peers, start_peers_on};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerRequest, node_at,
};
use courseshed_transport::{Handler, PeerIdentity, ReplySender};

struct IgnoringHandler;

impl Handler<FleetProtocol> for IgnoringHandler {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}
    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

#[actix_rt::test]
async fn transport_that_cannot_use_its_socket_names_the_address_and_the_cause() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 12_345));
    // The system refuses to watch a regular file for connections.
    let file = tempfile::tempfile().expect("a file");
    let unusable = TcpListener::from(OwnedFd::from(file));
    let node = node_at(Ipv4Addr::LOCALHOST);
    let started = start_peers_on(unusable, address, node, Arc::new(IgnoringHandler));
    let error = started.err().expect("the socket can't be used");
    assert!(matches!(error, PeersError::Start { .. }), "{error}");
    let message = error.to_string();
    assert!(message.contains(&address.to_string()), "{message}");
    assert!(message.contains("Operation not permitted"), "{message}");
}

#[actix_rt::test]
async fn transport_whose_port_is_taken_names_the_address_and_the_cause() {
    let taken = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = taken.local_addr().expect("an address");
    let addresses = PeerAddresses {
        first_port: address.port() - PeerPort::Gateway as u16,
    };
    let node = node_at(Ipv4Addr::LOCALHOST);
    let started = start_peers(
        node,
        addresses,
        PeerPort::Gateway,
        Arc::new(IgnoringHandler),
    );
    let error = started.err().expect("the port is taken");
    assert!(matches!(error, PeersError::Listen { .. }), "{error}");
    let message = error.to_string();
    assert!(message.contains(&address.to_string()), "{message}");
    assert!(message.contains("Address already in use"), "{message}");
}
