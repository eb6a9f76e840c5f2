//! Test harness: three stores that can be stopped and started, and clients of their records.

use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::FaultSwitch;
use courseshed_edge::controller::{self, ControllerHandle, ControllerSettings, LossTerms};
use courseshed_edge::follower::{FleetFollower, FollowerKind};
use courseshed_edge::metrics::Metrics;
use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    ChainReading, FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest,
    RecordOperation, RecordReply, RecordRequest, node_at,
};
use courseshed_edge::records::{self, RecordClient, StoreSettings};
use courseshed_records::PartitionId;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::{NodeId, ZoneMap};
use tempfile::TempDir;

use super::regions::Process;
use super::{
    AMPLE_STORE, controller_settings, free_port, new_subnet, stream_route, table, wait_until,
};

/// Number of stores. Every partition has a replica on each of them.
pub const STORES: usize = 3;
const FIRST_STORE_HOST: u8 = 11;
const FIRST_CLIENT_HOST: u8 = 51;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the disk thread of a stopped store to end.
const DISK_SHUTDOWN: Duration = Duration::from_millis(50);

pub struct StoreFleet {
    controller: ControllerHandle,
    stores: Vec<Option<Process>>,
    addresses: PeerAddresses,
    subnet: Ipv4Addr,
    clients: u8,
    folder: TempDir,
}

/// A node that reads and writes records, as a gateway does.
pub struct Client {
    pub records: RecordClient,
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
}

struct NoRequests;

impl Handler<FleetProtocol> for NoRequests {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}
    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

fn zone(store: usize) -> String {
    format!("zone-{store}")
}

impl StoreFleet {
    /// Starts a fleet that tolerates the loss of one disk.
    pub async fn start() -> Self {
        let folder = folder_in_memory();
        let subnet = new_subnet();
        let addresses = PeerAddresses {
            first_port: free_port(host(subnet, 1)),
        };
        let seeds = vec![node_at(host(subnet, 1))];
        let controller = controller::start(ControllerSettings {
            losses: LossTerms {
                disks: 1,
                ..LossTerms::default()
            },
            disk_faults: FaultSwitch::default(),
            ..controller_settings(
                node_at(host(subnet, 1)),
                &folder.path().join("controller"),
                addresses,
                seeds,
            )
        });
        let mut fleet = Self {
            controller: controller.await.expect("a controller"),
            stores: Vec::new(),
            addresses,
            subnet,
            clients: 0,
            folder,
        };
        fleet.stores = (0..STORES)
            .map(|store| Some(fleet.start_store(store)))
            .collect();
        let table = table(1, vec![stream_route()], None);
        wait_until(async || {
            let done = fleet
                .controller
                .replace_routing(table.clone(), Bytes::new());
            done.await.is_ok()
        })
        .await;
        fleet
    }

    /// Ends a store without warning to its peers.
    pub async fn stop(&mut self, store: usize) {
        self.stores[store] = None;
        tokio::time::sleep(DISK_SHUTDOWN).await;
    }

    /// Ends a store and leaves its address accept connections without an answer, as a frozen machine does.
    pub async fn silence(&mut self, store: usize) -> TcpListener {
        self.stop(store).await;
        let address = self.addresses.of(self.store_node(store), PeerPort::Store);
        TcpListener::bind(address).expect("the store's address")
    }

    /// Starts a stopped store on its disk and waits until a client reaches it.
    pub async fn restart(&mut self, store: usize, client: &Client) {
        self.stores[store] = Some(self.start_store(store));
        wait_until(async || {
            let reply = self.read_chain(client, store, PartitionId(0), "none").await;
            reply.is_some()
        })
        .await;
    }

    /// Starts a client in the zone of a store and waits until it knows all replicas.
    pub async fn add_client(&mut self, store: usize) -> Client {
        let node = node_at(host(self.subnet, FIRST_CLIENT_HOST + self.clients));
        self.clients += 1;
        let started = start_peers(
            node,
            self.addresses,
            PeerPort::Gateway,
            Arc::new(NoRequests),
        );
        let peers = Arc::new(started.expect("a transport"));
        let seed = node_at(host(self.subnet, 1));
        let follower = FleetFollower::new(
            peers.clone(),
            self.addresses,
            FollowerKind::Gateway { revocation: None },
            Box::new(move || vec![seed]),
        );
        actix_rt::spawn(follower.clone().run());
        wait_until(async || follower.view().records.is_fully_active()).await;
        Client {
            records: RecordClient::new(
                peers.clone(),
                follower.clone(),
                self.addresses,
                zone(store),
                Arc::new(ZoneMap::default()),
                Arc::new(Metrics::new()),
            ),
            peers,
            follower,
        }
    }

    /// Whether one store has a turn with all of its ancestors.
    pub async fn has_whole_chain(
        &self,
        client: &Client,
        store: usize,
        partition: PartitionId,
        id: &str,
    ) -> bool {
        let reply = self.read_chain(client, store, partition, id).await;
        matches!(reply, Some(RecordReply::Chain(_)))
    }

    async fn read_chain(
        &self,
        client: &Client,
        store: usize,
        partition: PartitionId,
        id: &str,
    ) -> Option<RecordReply> {
        let node = self.store_node(store);
        let view = client.follower.view().records.view(partition).clone();
        let request = RecordRequest {
            incarnation: view.member(node)?.incarnation,
            partition,
            epoch: view.epoch,
            operation: RecordOperation::Chain {
                id: id.to_owned(),
                reading: ChainReading::Whole,
            },
            stream: None,
            attempt: None,
        };
        let address = self.addresses.of(node, PeerPort::Store);
        client.peers.set_address(node, address);
        let request = PeerRequest::Records(request);
        match client.peers.request(node, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Records(reply)) => Some(reply),
            _ => None,
        }
    }

    fn store_node(&self, store: usize) -> NodeId {
        node_at(host(self.subnet, FIRST_STORE_HOST + store as u8))
    }

    fn start_store(&self, store: usize) -> Process {
        let node = self.store_node(store);
        let folder: PathBuf = self.folder.path().join(format!("store-{store}"));
        let (seed, addresses) = (node_at(host(self.subnet, 1)), self.addresses);
        Process::start(move || async move {
            records::start(StoreSettings {
                node,
                name: format!("store-{store}"),
                zone: zone(store),
                zones: Arc::default(),
                folder,
                seeds: Box::new(move || vec![seed]),
                addresses,
                limits: AMPLE_STORE,
                metrics: Arc::new(Metrics::new()),
            })
            .expect("a store");
            std::future::pending().await
        })
    }
}

/// A folder in memory where there is one: a disk that other work uses stalls for seconds, which is longer than the
/// tests keep records.
fn folder_in_memory() -> TempDir {
    let in_memory = TempDir::new_in("/dev/shm");
    in_memory.or_else(|_| TempDir::new()).expect("a folder")
}

fn host(subnet: Ipv4Addr, host: u8) -> Ipv4Addr {
    let [a, b, c, _] = subnet.octets();
    Ipv4Addr::new(a, b, c, host)
}
