//! Propagation of changes to a large routing table over a congested link.
//!
//! Guards against sending the full table for each change, and against followers abandoning a transfer that is still
//! making progress: both saturate the controllers' links and delay changes.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use courseshed_edge::controller::{self, ControllerHandle};
use courseshed_edge::follower::{FleetFollower, FollowerKind};
use courseshed_edge::peers::start_peers;
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerRequest, node_at,
};
use courseshed_routing::Route;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use support::{controller_settings, free_port, new_subnet, plain_route, table, wait_until};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// The shortest time that users require for a change to be active on all gateways.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
const ROUTE_COUNT: usize = 510;
/// Bytes per second for each of 91 followers of a controller with an 86 Mbit/s link.
const LINK_SHARE: u64 = 86_000_000 / 8 / 91;
/// An upper bound on the number of ports that one node uses.
const PORTS_PER_NODE: u16 = 10;
/// Bytes forwarded at a time.
const CHUNK_BYTES: usize = 4096;
/// Time between routing changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
/// The version of the last routing change.
const LAST_VERSION: u64 = 13;

/// Ignores all messages and requests.
struct NoHandler;

impl Handler<FleetProtocol> for NoHandler {
    fn on_message(&self, _from: PeerIdentity, _message: PeerMessage) {}

    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

/// A proxy to a controller that limits the rate of the controller's replies and counts their bytes.
struct ThrottledLink {
    bytes_per_second: u64,
    forwarded_bytes: AtomicU64,
}

impl ThrottledLink {
    async fn listen(self: Arc<Self>, listen_addr: SocketAddr, controller_addr: SocketAddr) {
        let listener = TcpListener::bind(listen_addr).await.expect("a port");
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(controller_addr).await else {
                    continue;
                };
                tokio::spawn(self.clone().proxy(client, server));
            }
        });
    }

    async fn proxy(self: Arc<Self>, client: TcpStream, server: TcpStream) {
        let (mut from_client, to_client) = client.into_split();
        let (from_server, mut to_server) = server.into_split();
        let replies = tokio::spawn(self.forward_replies(from_server, to_client));
        // The connection ends as soon as either side closes.
        let _ = tokio::io::copy(&mut from_client, &mut to_server).await;
        replies.abort();
    }

    async fn forward_replies(
        self: Arc<Self>,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let bytes = length as u64;
            sleep(Duration::from_micros(
                bytes * 1_000_000 / self.bytes_per_second,
            ))
            .await;
            self.forwarded_bytes.fetch_add(bytes, Ordering::Relaxed);
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }
}

/// A controller and a follower connected through a throttled link.
struct Fleet {
    controller: ControllerHandle,
    follower: Arc<FleetFollower>,
    link: Arc<ThrottledLink>,
    _folder: TempDir,
}

impl Fleet {
    async fn start(bytes_per_second: u64) -> Self {
        let folder = TempDir::new().expect("a folder");
        let [a, b, c, _] = new_subnet().octets();
        let host = move |number: u8| Ipv4Addr::new(a, b, c, number);
        let seeds = move || vec![node_at(host(1))];
        let controller_addresses = PeerAddresses {
            first_port: free_port(host(1)),
        };
        let follower_addresses = PeerAddresses {
            first_port: controller_addresses.first_port + PORTS_PER_NODE,
        };
        let settings = controller_settings(
            node_at(host(1)),
            folder.path(),
            controller_addresses,
            seeds(),
        );
        let controller = controller::start(settings).await.expect("a controller");
        let link = Arc::new(ThrottledLink {
            bytes_per_second,
            forwarded_bytes: AtomicU64::new(0),
        });
        let address =
            |addresses: PeerAddresses| addresses.of(node_at(host(1)), PeerPort::Controller);
        link.clone()
            .listen(address(follower_addresses), address(controller_addresses))
            .await;
        let node = node_at(host(2));
        let peers = start_peers(
            node,
            follower_addresses,
            PeerPort::Gateway,
            Arc::new(NoHandler),
        );
        let follower = FleetFollower::new(
            Arc::new(peers.expect("a port")),
            follower_addresses,
            FollowerKind::Gateway { revocation: None },
            Box::new(seeds),
        );
        tokio::spawn(follower.clone().run());
        Self {
            controller,
            follower,
            link,
            _folder: folder,
        }
    }

    /// Publishes a table version with `routes` routes.
    async fn publish(&self, version: u64, routes: usize) {
        let table = table(version, (0..routes).map(numbered_route).collect(), None);
        wait_until(async || {
            let result = self.controller.replace_routing(table.clone(), Bytes::new());
            result.await.is_ok()
        })
        .await;
    }

    fn version(&self) -> Option<u64> {
        self.follower.view().routing.map(|routing| routing.version)
    }

    fn route_count(&self) -> usize {
        let routing = self.follower.view().routing;
        routing.map_or(0, |routing| routing.table.routes.len())
    }

    /// Checks that every version accepted at least `PROPAGATION_LIMIT` ago is active.
    fn assert_propagated(&self, accepted: &[(u64, Instant)]) {
        let overdue = accepted
            .iter()
            .rfind(|(_, at)| at.elapsed() >= PROPAGATION_LIMIT);
        if let Some((version, at)) = overdue {
            assert!(
                self.version() >= Some(*version),
                "version {version} was accepted {:?} ago, but {:?} is active",
                at.elapsed(),
                self.version()
            );
        }
    }

    async fn wait_for_version(&self, version: u64) {
        wait_until(async || self.version() >= Some(version)).await;
    }
}

fn numbered_route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        path_prefix: format!("/place-{number}/"),
        ..plain_route()
    }
}

/// Bytes sent to a follower when one route is added to a table of `routes` routes.
async fn bytes_per_change(routes: usize) -> u64 {
    let fleet = Fleet::start(100_000_000).await;
    fleet.publish(1, routes).await;
    fleet.wait_for_version(1).await;
    let before = fleet.link.forwarded_bytes.load(Ordering::Relaxed);
    fleet.publish(2, routes + 1).await;
    fleet.wait_for_version(2).await;
    assert_eq!(fleet.route_count(), routes + 1);
    fleet.link.forwarded_bytes.load(Ordering::Relaxed) - before
}

#[actix_rt::test]
async fn bytes_per_change_do_not_grow_with_the_table() {
    let small_table = bytes_per_change(50).await;
    let large_table = bytes_per_change(20 * 50).await;
    assert!(
        large_table <= 2 * small_table,
        "one of 50 routes: {small_table} bytes, one of 1,000: {large_table} bytes"
    );
}

#[actix_rt::test]
async fn frequent_changes_of_a_large_table_propagate_in_time_over_a_slow_link() {
    let fleet = Fleet::start(LINK_SHARE).await;
    fleet.publish(1, ROUTE_COUNT).await;
    fleet.wait_for_version(1).await;
    let mut accepted = Vec::new();
    for version in 2..=LAST_VERSION {
        fleet.publish(version, ROUTE_COUNT + version as usize).await;
        accepted.push((version, Instant::now()));
        sleep(CHANGE_INTERVAL).await;
        fleet.assert_propagated(&accepted);
    }
    sleep(PROPAGATION_LIMIT).await;
    fleet.assert_propagated(&accepted);
    assert_eq!(fleet.route_count(), ROUTE_COUNT + LAST_VERSION as usize);
}
