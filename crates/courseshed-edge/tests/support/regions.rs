//! Test harness: a fleet in three regions, the links between which can be cut and are recorded.
//!
//! A node listens on the ports of its region, and reaches nodes of other regions through proxies on
//! its own region's ports. Stores and gateways run on threads of their own, and are lost with them.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_rt::System;
use bytes::Bytes;
use courseshed_edge::controller::{self, ControllerHandle, ControllerSettings, LossTerms};
use courseshed_edge::gateway::{
    self, GatewaySettings, MemoryLimits, Policy, ShortCodec, TenantSettings,
};
use courseshed_edge::metrics::Metrics;
use courseshed_edge::protocol::{PeerAddresses, PeerPort, node_at};
use courseshed_edge::records::{self, StoreSettings};
use courseshed_registry::{Registration, Server, ServerState};
use courseshed_routing::{Route, Tenant};
use courseshed_types::{NodeId, ZoneMap};
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

use super::server::MockServer;
use super::{
    AMPLE_MEMORY, AMPLE_STORE, QUOTA, controller_settings, free_port, get, new_subnet, status,
    table, wait_until,
};

pub const EAST: usize = 0;
pub const WEST: usize = 1;
pub const NORTH: usize = 2;
const REGIONS: [&str; 3] = ["east", "west", "north"];
/// Number of stores by region: enough in the first for a quorum that tolerates a lost disk.
const STORES: [u8; 3] = [3, 1, 1];
/// Distance between the first ports of two regions; exceeds the number of ports of a node.
const PORTS_PER_REGION: u16 = 20;
const GRACE: Duration = Duration::from_millis(1);

/// A role that runs on a thread of its own until it is stopped, without warning its peers.
pub struct Process {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Process {
    pub fn start<F: Future<Output = ()>>(run: impl FnOnce() -> F + Send + 'static) -> Self {
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            System::new().block_on(async {
                tokio::select! {
                    () = run() => {}
                    _ = stopped => {}
                }
            });
        });
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Store {
    process: Option<Process>,
    folder: PathBuf,
}

/// What crossed the links between regions, by connection and direction.
type Crossed = Arc<Mutex<Vec<Arc<Mutex<Vec<u8>>>>>>;

pub struct RegionFleet {
    pub controllers: Vec<ControllerHandle>,
    pub gateways: BTreeMap<usize, (Process, SocketAddr)>,
    stores: Vec<Vec<Store>>,
    isolated: watch::Sender<Option<usize>>,
    crossed: Crossed,
    ports: [PeerAddresses; 3],
    subnet: Ipv4Addr,
    _folder: TempDir,
}

fn zone(region: usize) -> String {
    format!("{}-1", REGIONS[region])
}

fn zone_map() -> Arc<ZoneMap> {
    let zones = REGIONS.iter().enumerate();
    Arc::new(
        zones
            .map(|(region, name)| (zone(region), (*name).to_owned()))
            .collect(),
    )
}

impl RegionFleet {
    /// Starts a fleet that tolerates the loss of a region and of a disk, with a gateway in the
    /// first two regions.
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let subnet = new_subnet();
        let first = free_port(host(subnet, 1)) - 3 * PORTS_PER_REGION;
        let ports = [0, 1, 2].map(|region| PeerAddresses {
            first_port: first + region * PORTS_PER_REGION,
        });
        let mut fleet = Self {
            controllers: Vec::new(),
            gateways: BTreeMap::new(),
            stores: Vec::new(),
            isolated: watch::channel(None).0,
            crossed: Crossed::default(),
            ports,
            subnet,
            _folder: folder,
        };
        for (region, stores) in STORES.into_iter().enumerate() {
            fleet.link(region, fleet.controller_ip(region), PeerPort::Controller);
            for index in 0..stores {
                fleet.link(region, fleet.store_ip(region, index), PeerPort::Store);
            }
        }
        for (region, addresses) in ports.into_iter().enumerate() {
            let controller = controller::start(ControllerSettings {
                losses: LossTerms {
                    disks: 1,
                    zones: 0,
                    regions: 1,
                    zone_map: zone_map(),
                },
                ..controller_settings(
                    node_at(fleet.controller_ip(region)),
                    &fleet.folder(&format!("controller-{region}")),
                    addresses,
                    fleet.seeds(),
                )
            });
            fleet
                .controllers
                .push(controller.await.expect("a controller"));
        }
        for (region, stores) in STORES.into_iter().enumerate() {
            let stores = (0..stores).map(|index| fleet.start_store(region, index));
            fleet.stores.push(stores.collect());
        }
        for region in [EAST, WEST] {
            fleet.start_gateway(region);
        }
        fleet
    }

    fn folder(&self, name: &str) -> PathBuf {
        self._folder.path().join(name)
    }

    fn seeds(&self) -> Vec<NodeId> {
        let regions = 0..REGIONS.len();
        regions
            .map(|region| node_at(self.controller_ip(region)))
            .collect()
    }

    fn controller_ip(&self, region: usize) -> Ipv4Addr {
        host(self.subnet, 1 + region as u8)
    }

    fn store_ip(&self, region: usize, index: u8) -> Ipv4Addr {
        host(self.subnet, 11 + 10 * region as u8 + index)
    }

    fn start_store(&self, region: usize, index: u8) -> Store {
        let ip = self.store_ip(region, index);
        let name = format!("store-{region}-{index}");
        let folder = self.folder(&name);
        let (seeds, addresses) = (self.seeds(), self.ports[region]);
        let in_folder = folder.clone();
        let process = Process::start(move || async move {
            records::start(StoreSettings {
                node: node_at(ip),
                name,
                zone: zone(region),
                zones: zone_map(),
                folder: in_folder,
                seeds: Box::new(move || seeds.clone()),
                addresses,
                limits: AMPLE_STORE,
                metrics: Arc::new(Metrics::new()),
            })
            .expect("a store");
            std::future::pending().await
        });
        Store {
            process: Some(process),
            folder,
        }
    }

    fn start_gateway(&mut self, region: usize) {
        let ip = host(self.subnet, 51 + region as u8);
        let (seeds, addresses) = (self.seeds(), self.ports[region]);
        let callers = SocketAddr::from((ip, addresses.first_port + 8));
        let process = Process::start(move || async move {
            let settings = GatewaySettings {
                node: node_at(ip),
                zone: zone(region),
                zones: zone_map(),
                callers,
                readiness: SocketAddr::from((ip, addresses.first_port + 9)),
                seeds: Box::new(move || seeds.clone()),
                addresses,
                metrics: Arc::new(Metrics::new()),
                codec: Box::new(ShortCodec),
                policy: Policy::default(),
                tenants: TenantSettings {
                    revocation: None,
                    quota: QUOTA,
                },
                memory: MemoryLimits::for_machine(AMPLE_MEMORY),
            };
            gateway::run(settings, std::future::pending(), GRACE)
                .await
                .expect("a gateway");
        });
        self.gateways.insert(region, (process, callers));
    }

    pub fn gateway(&self, region: usize) -> SocketAddr {
        self.gateways[&region].1
    }

    /// Publishes a version of the routing table and waits until the gateways have it.
    pub async fn publish(&self, version: u64, routes: Vec<Route>, tenants: Option<Vec<Tenant>>) {
        let mut routing = table(version, routes, tenants);
        // Tells which version a gateway has.
        let mut marker = super::plain_route();
        marker.name = "marker".to_owned();
        marker.is_public = true;
        marker.path_prefix = format!("/version-{version}/");
        marker.targets[0].service = "none".to_owned();
        let mut none = routing.table.services[0].clone();
        none.name = "none".to_owned();
        routing.table.services.push(none);
        routing.table.routes.push(Arc::new(marker));
        wait_until(async || {
            let done = self.controllers[WEST].replace_routing(routing.clone(), Bytes::new());
            done.await.is_ok()
        })
        .await;
        for (_, address) in self.gateways.values() {
            let path = format!("/version-{version}/");
            wait_until(async || status(&get(*address, &path).await) == 503).await;
        }
    }

    /// Registers a mock server of a region.
    pub async fn add_server(&self, region: usize, server: &MockServer) {
        let id = format!("server-{}", REGIONS[region]);
        self.add_address(region, &id, server.address).await;
    }

    /// Registers a server of a region.
    pub async fn add_address(&self, region: usize, id: &str, address: SocketAddr) {
        let registration = Registration {
            server: Server {
                id: id.to_owned(),
                name: String::new(),
                started_ms: None,
                software_version: None,
                warmup_remaining_ms: 0,
                service: "s".to_owned(),
                address,
                zone: zone(region),
                slots: super::SLOTS,
                state: ServerState::Ready,
            },
            sequence: 1,
        };
        let controller = &self.controllers[WEST];
        wait_until(async || controller.announce(registration.clone()).await.is_ok()).await;
    }

    /// Ends some stores of a region.
    pub fn lose_stores(&mut self, region: usize, count: usize) {
        for store in self.stores[region].iter_mut().take(count) {
            store.process = None;
        }
    }

    pub fn lose_gateway(&mut self, region: usize) {
        self.gateways.remove(&region);
    }

    /// Cuts all links of a region; connections over them stay open and silent. `None` restores them.
    pub fn isolate(&self, region: Option<usize>) {
        self.isolated.send_replace(region);
    }

    /// The regions whose stores have a text on disk.
    pub fn regions_storing(&self, text: &str) -> Vec<&'static str> {
        let regions = self.stores.iter().zip(REGIONS);
        let storing = regions.filter(|(stores, _)| {
            let mut stores = stores.iter();
            stores.any(|store| folder_contains(&store.folder, text))
        });
        storing.map(|(_, name)| name).collect()
    }

    /// Whether a text has crossed a link between regions.
    pub fn has_crossed(&self, text: &str) -> bool {
        let crossed = self.crossed.lock();
        crossed.iter().any(|bytes| contains(&bytes.lock(), text))
    }

    /// Makes a node reachable from the other regions.
    fn link(&self, region: usize, ip: Ipv4Addr, port: PeerPort) {
        let to = self.ports[region].of(node_at(ip), port);
        for from in (0..REGIONS.len()).filter(|from| *from != region) {
            let at = self.ports[from].of(node_at(ip), port);
            let link = Link {
                regions: [from, region],
                isolated: self.isolated.subscribe(),
                crossed: self.crossed.clone(),
            };
            actix_rt::spawn(link.run(at, to));
        }
    }
}

#[derive(Clone)]
struct Link {
    regions: [usize; 2],
    isolated: watch::Receiver<Option<usize>>,
    crossed: Crossed,
}

impl Link {
    async fn run(self, at: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(at).await.expect("a port");
        while let Ok((near, _)) = listener.accept().await {
            let link = self.clone();
            actix_rt::spawn(async move {
                link.clone().wait_until_up().await;
                let Ok(far) = TcpStream::connect(to).await else {
                    return;
                };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::select! {
                    () = link.clone().copy(near_read, far_write) => {}
                    () = link.copy(far_read, near_write) => {}
                }
            });
        }
    }

    async fn wait_until_up(mut self) {
        let regions = self.regions;
        let is_up = |isolated: &Option<usize>| isolated.is_none_or(|cut| !regions.contains(&cut));
        let _ = self.isolated.wait_for(is_up).await;
    }

    async fn copy(self, mut from: impl AsyncReadExt + Unpin, mut to: impl AsyncWriteExt + Unpin) {
        let crossed = Arc::new(Mutex::new(Vec::new()));
        self.crossed.lock().push(crossed.clone());
        let mut bytes = [0; 16 * 1024];
        while let Ok(read) = from.read(&mut bytes).await
            && read > 0
        {
            self.clone().wait_until_up().await;
            crossed.lock().extend_from_slice(&bytes[..read]);
            if to.write_all(&bytes[..read]).await.is_err() {
                return;
            }
        }
    }
}

fn host(subnet: Ipv4Addr, host: u8) -> Ipv4Addr {
    let [a, b, c, _] = subnet.octets();
    Ipv4Addr::new(a, b, c, host)
}

fn folder_contains(folder: &Path, text: &str) -> bool {
    let Ok(entries) = fs::read_dir(folder) else {
        return false;
    };
    let mut paths = entries.flatten().map(|entry| entry.path());
    paths.any(|path| {
        if path.is_dir() {
            folder_contains(&path, text)
        } else {
            fs::read(&path).is_ok_and(|bytes| contains(&bytes, text))
        }
    })
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}
