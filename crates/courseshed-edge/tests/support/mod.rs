//! Test harness: an in-process fleet of a controller, a store and a gateway, with mock upstream servers.

#![allow(dead_code)]

pub mod client;
pub mod controllers;
pub mod regions;
pub mod scheduler;
pub mod server;
pub mod stores;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::FaultSwitch;
use courseshed_edge::controller::{self, ControllerHandle, ControllerSettings, LossTerms};
use courseshed_edge::gateway::{
    self, GatewaySettings, MemoryLimits, Policy, ShortCodec, TenantSettings,
};
use courseshed_edge::metrics::Metrics;
use courseshed_edge::protocol::{PeerAddresses, node_at};
use courseshed_edge::records::{self, StoreLimits, StoreSettings};
use courseshed_quota::QuotaPolicy;
use courseshed_registry::{Registration, Server, ServerState};
use courseshed_routing::{
    CallKind, CallLimits, EngineLimits, KeyDigest, RequestQuota, Route, RoutingTable, Service,
    Target, Tenant, VersionedTable,
};
use courseshed_types::NodeId;
use courseshed_warmup::WarmupPolicy;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// Request quota settings of test gateways and controllers.
pub const QUOTA: QuotaPolicy = QuotaPolicy {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 0.0,
};

/// Default number of concurrent calls per server.
pub const SLOTS: u32 = 4;

/// Machine memory in bytes, large enough that the gateway's memory budget is never exhausted.
pub const AMPLE_MEMORY: u64 = 500_000_000;

/// Store limits that no test reaches by default.
pub const AMPLE_STORE: StoreLimits = StoreLimits {
    memory_bytes: 128 * 1024 * 1024,
    disk_bytes: None,
    segment_bytes: 4 * 1024 * 1024,
};

/// A fleet of one controller, one store and one gateway on its own loopback subnet.
pub struct Fleet {
    pub controller: ControllerHandle,
    pub caller_addr: SocketAddr,
    pub readiness_addr: SocketAddr,
    pub metrics: Arc<Metrics>,
    pub disk_faults: FaultSwitch,
    pub addresses: PeerAddresses,
    pub subnet: Ipv4Addr,
    stop: Option<oneshot::Sender<()>>,
    _folder: TempDir,
}

/// A running gateway.
pub struct Gateway {
    pub caller_addr: SocketAddr,
    pub readiness_addr: SocketAddr,
    pub metrics: Arc<Metrics>,
    pub stop: oneshot::Sender<()>,
}

pub fn start_gateway(
    ip: Ipv4Addr,
    seed: Ipv4Addr,
    addresses: PeerAddresses,
    grace: Duration,
    policy: Policy,
    revocation: Option<Duration>,
    memory: MemoryLimits,
) -> Gateway {
    let caller_addr = SocketAddr::from((ip, addresses.first_port + 8));
    let readiness_addr = SocketAddr::from((ip, addresses.first_port + 9));
    let (stop, stopped) = oneshot::channel::<()>();
    let metrics = Arc::new(Metrics::new());
    let settings = GatewaySettings {
        node: node_at(ip),
        zone: "a".to_owned(),
        zones: Arc::default(),
        callers: caller_addr,
        readiness: readiness_addr,
        seeds: Box::new(move || vec![node_at(seed)]),
        addresses,
        metrics: metrics.clone(),
        codec: Box::new(ShortCodec),
        policy,
        tenants: TenantSettings {
            revocation,
            quota: QUOTA,
        },
        memory,
    };
    actix_rt::spawn(async move {
        let stopped = async {
            let _ = stopped.await;
        };
        gateway::run(settings, stopped, grace)
            .await
            .expect("a gateway");
    });
    Gateway {
        caller_addr,
        readiness_addr,
        metrics,
        stop,
    }
}

/// Settings of a test controller at the first start of its fleet.
pub fn controller_settings(
    node: NodeId,
    folder: &Path,
    addresses: PeerAddresses,
    seeds: Vec<NodeId>,
) -> ControllerSettings {
    ControllerSettings {
        node,
        folder: folder.to_owned(),
        is_first_start: true,
        seeds: Box::new(move || seeds.clone()),
        addresses,
        server_silence: Duration::from_secs(600),
        losses: LossTerms::default(),
        quota: QUOTA,
        warmup: WarmupPolicy::default(),
        metrics: Arc::new(Metrics::new()),
        disk_faults: FaultSwitch::default(),
    }
}

impl Fleet {
    pub async fn start(grace: Duration) -> Self {
        Self::start_with(grace, Policy::default()).await
    }

    /// Starts a fleet whose gateway uses the given policy.
    pub async fn start_with(grace: Duration, policy: Policy) -> Self {
        Self::start_with_store(grace, policy, AMPLE_STORE).await
    }

    /// Starts a fleet that enforces key revocation within the given time.
    pub async fn start_with_revocation(grace: Duration, revocation: Duration) -> Self {
        let memory = MemoryLimits::for_machine(AMPLE_MEMORY);
        Self::start_with_settings(
            grace,
            Policy::default(),
            AMPLE_STORE,
            Some(revocation),
            memory,
        )
        .await
    }

    /// Starts a fleet whose store has the given limits.
    pub async fn start_with_store(
        grace: Duration,
        policy: Policy,
        store_limits: StoreLimits,
    ) -> Self {
        let memory = MemoryLimits::for_machine(AMPLE_MEMORY);
        Self::start_with_settings(grace, policy, store_limits, None, memory).await
    }

    /// Starts a fleet whose gateway has the given memory budget.
    pub async fn start_with_memory(grace: Duration, memory: MemoryLimits) -> Self {
        Self::start_with_settings(grace, Policy::default(), AMPLE_STORE, None, memory).await
    }

    async fn start_with_settings(
        grace: Duration,
        policy: Policy,
        store_limits: StoreLimits,
        revocation: Option<Duration>,
        memory: MemoryLimits,
    ) -> Self {
        let folder = TempDir::new().expect("a folder");
        let [a, b, c, _] = new_subnet().octets();
        let ip = move |host: u8| Ipv4Addr::new(a, b, c, host);
        let addresses = PeerAddresses {
            first_port: free_port(ip(1)),
        };
        let seeds = move || vec![node_at(ip(1))];
        let disk_faults = FaultSwitch::default();
        let controller = controller::start(ControllerSettings {
            disk_faults: disk_faults.clone(),
            ..controller_settings(
                node_at(ip(1)),
                &folder.path().join("controller"),
                addresses,
                seeds(),
            )
        })
        .await
        .expect("a controller");
        records::start(StoreSettings {
            node: node_at(ip(2)),
            name: "store-1".to_owned(),
            zone: "a".to_owned(),
            zones: Arc::default(),
            folder: folder.path().join("store"),
            seeds: Box::new(seeds),
            addresses,
            limits: store_limits,
            metrics: Arc::new(Metrics::new()),
        })
        .expect("a store");
        let gateway = start_gateway(ip(3), ip(1), addresses, grace, policy, revocation, memory);
        Self {
            controller,
            caller_addr: gateway.caller_addr,
            readiness_addr: gateway.readiness_addr,
            metrics: gateway.metrics,
            disk_faults,
            addresses,
            subnet: ip(0),
            stop: Some(gateway.stop),
            _folder: folder,
        }
    }

    /// Publishes routes and waits until the gateway is ready.
    pub async fn set_routes(&self, routes: Vec<Route>) {
        self.set_routes_with_slots(routes, SLOTS).await;
    }

    /// Like `set_routes`, with `slots` concurrent calls per engine.
    pub async fn set_routes_with_slots(&self, routes: Vec<Route>, slots: u32) {
        let mut table = table(1, routes, None);
        for service in &mut table.table.services {
            service.engine.as_mut().expect("an engine").slots = slots;
        }
        self.publish_table(table).await;
        wait_until(async || status(&get(self.readiness_addr, "/").await) == 200).await;
    }

    /// Publishes a version of the routing table.
    pub async fn publish_routing(
        &self,
        version: u64,
        routes: Vec<Route>,
        tenants: Option<Vec<Tenant>>,
    ) {
        self.publish_table(table(version, routes, tenants)).await;
    }

    pub async fn publish_table(&self, table: VersionedTable) {
        wait_until(async || {
            let done = self.controller.replace_routing(table.clone(), Bytes::new());
            done.await.is_ok()
        })
        .await;
    }

    /// Waits until the record stores can be reached through a streaming route.
    pub async fn wait_for_record_stores(&self) {
        wait_until(async || {
            let response = call(
                self.caller_addr,
                server::PROBE_CALL_ID,
                "x-previous: never\r\n",
                "",
            )
            .await;
            status(&response) == 404
        })
        .await;
    }

    /// Registers a mock server and waits until the gateway routes calls to it.
    pub async fn add_server(&self, id: &str, mock_server: &server::MockServer) {
        self.add_server_with_slots(id, mock_server, SLOTS).await;
    }

    /// Like `add_server`, with `slots` concurrent calls.
    pub async fn add_server_with_slots(
        &self,
        id: &str,
        mock_server: &server::MockServer,
        slots: u32,
    ) {
        let server = Server {
            slots,
            ..ready_server(id, mock_server)
        };
        self.add_listed_server(server, mock_server).await;
    }

    /// Like `add_server`, for a server that reports its software version.
    pub async fn add_server_with_version(
        &self,
        id: &str,
        mock_server: &server::MockServer,
        version: &str,
    ) {
        let server = Server {
            software_version: Some(version.to_owned()),
            ..ready_server(id, mock_server)
        };
        self.add_listed_server(server, mock_server).await;
    }

    /// Registers a server and waits until the gateway routes calls to it.
    async fn add_listed_server(&self, server: Server, mock_server: &server::MockServer) {
        let registration = Registration {
            server,
            sequence: 1,
        };
        self.announce(&registration).await;
        wait_until(async || {
            call(self.caller_addr, server::PROBE_CALL_ID, "", "").await;
            mock_server.probes() > 0
        })
        .await;
    }

    /// Registers a server that is not a mock, without a test call.
    pub async fn add_server_at(&self, id: &str, address: SocketAddr) {
        let registration = Registration {
            server: ready_server_at(id, address),
            sequence: 1,
        };
        self.announce(&registration).await;
    }

    /// Registers a server, or a change of one, once the controller can commit it.
    pub async fn announce(&self, registration: &Registration) {
        let controller = &self.controller;
        wait_until(async || controller.announce(registration.clone()).await.is_ok()).await;
    }

    /// Starts a second gateway and waits until it is ready.
    pub async fn start_second_gateway(&self) -> Gateway {
        self.start_another_gateway(4).await
    }

    /// Starts a gateway at the given host of the fleet's subnet and waits until it is ready.
    pub async fn start_another_gateway(&self, number: u8) -> Gateway {
        let [a, b, c, _] = self.subnet.octets();
        let host = |host| Ipv4Addr::new(a, b, c, host);
        let grace = Duration::from_secs(20);
        let policy = Policy::default();
        let gateway = start_gateway(
            host(number),
            host(1),
            self.addresses,
            grace,
            policy,
            None,
            MemoryLimits::for_machine(AMPLE_MEMORY),
        );
        wait_until(async || status(&get(gateway.readiness_addr, "/").await) == 200).await;
        gateway
    }

    /// Starts a graceful shutdown of the gateway and waits until it reports not ready.
    pub async fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        wait_until(async || status(&get(self.readiness_addr, "/").await) == 503).await;
    }
}

/// A ready server of service `s` that reports no software version.
pub fn ready_server(id: &str, mock_server: &server::MockServer) -> Server {
    ready_server_at(id, mock_server.address)
}

fn ready_server_at(id: &str, address: SocketAddr) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        started_ms: None,
        software_version: None,
        warmup_remaining_ms: 0,
        service: "s".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: SLOTS,
        state: ServerState::Ready,
    }
}

/// A routing table with one engine service, `s`.
pub fn table(version: u64, routes: Vec<Route>, tenants: Option<Vec<Tenant>>) -> VersionedTable {
    let service = Service {
        warm_up_rate_per_s: None,
        name: "s".to_owned(),
        connection_limit: 100,
        engine: Some(EngineLimits {
            slots: SLOTS,
            tokens_per_event: 10,
            memory_tokens: None,
        }),
    };
    VersionedTable {
        version,
        table: RoutingTable {
            routes: routes.into_iter().map(Arc::new).collect(),
            services: vec![service],
            limits: CallLimits::default(),
            tenants: tenants.map(|tenants| tenants.into_iter().map(Arc::new).collect()),
        },
    }
}

/// An at-most-once route from `/a/` to service `s`.
pub fn plain_route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: CallKind::AtMostOnce,
        timeout_ms: 60_000,
        latency_target_ms: 100,
        priority: 0,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1.0,
        }],
        max_attempts: 1,
        stores_turns: false,
        retention_ms: 60_000,
        affinity: false,
        resumable: false,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

/// A streaming route from `/a/` to service `s`.
pub fn stream_route() -> Route {
    Route {
        kind: CallKind::Stream,
        affinity: true,
        ..plain_route()
    }
}

/// Sends one request on a new connection and reads until the gateway closes it.
pub async fn call(address: SocketAddr, id: &str, headers: &str, body: &str) -> String {
    post(address, "/a/x?y=1", id, headers, body).await
}

/// Like `call`, for a given path.
pub async fn post(address: SocketAddr, path: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\n{headers}content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    exchange(address, &request).await
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-call: g\r\nconnection: close\r\n\r\n");
    exchange(address, &request).await
}

pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).expect("text")
}

/// The status code of a response, or 0 if there is none.
pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Polls a condition until it is true, and panics after about 30 s.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..3000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 30 s");
}

/// A loopback subnet that no other fleet of this process uses.
pub fn new_subnet() -> Ipv4Addr {
    let subnet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    let process = (std::process::id() % 200) as u8 + 20;
    Ipv4Addr::new(127, process, subnet, 0)
}

/// A free port on the address, low enough that the ports following it are valid too.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    let port = listener.local_addr().expect("an address").port();
    port.min(u16::MAX - 20)
}

/// A tenant with one key and an optional limit on requests per second.
pub fn tenant(name: &str, key: &str, rate_per_s: Option<f64>) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: None,
        quota: rate_per_s.map(|rate_per_s| RequestQuota {
            rate_per_s,
            burst: 0.0,
        }),
        allowed_regions: Vec::new(),
    }
}
