//! One process of the fleet, as the soak starts it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use argh::FromArgs;
use bytes::Bytes;
use courseshed_edge::client_tracker::ClientTracker;
use courseshed_edge::controller::{self, ControllerHandle, ControllerSettings, LossTerms};
use courseshed_edge::gateway::{
    self, GatewaySettings, Mechanism, MemoryLimits, Policy, ShortCodec, TenantSettings,
};
use courseshed_edge::http::{HttpTiming, listen, serve};
use courseshed_edge::metrics::Metrics;
use courseshed_edge::protocol::{PeerAddresses, node_at};
use courseshed_edge::records::{self, StoreLimits, StoreSettings};
use courseshed_edge::sockets::open_file_limit;
use courseshed_edge::{logging, signals};
use courseshed_quota::QuotaPolicy;
use courseshed_types::ZoneMap;
use serde::{Deserialize, Serialize};

use crate::zones::zone_map;

/// Lost disks that the fleet bears at once.
const DISKS_BORNE: usize = 1;
/// Silence after which a server is dropped: five announcements of the soak's servers.
const SERVER_SILENCE: Duration = Duration::from_secs(5);
/// How long a gateway that is asked to stop may take.
const GRACE: Duration = Duration::from_secs(8);
/// How long a controller that stops waits for another to lead.
const HAND_OVER_TIME: Duration = Duration::from_millis(400);
/// Memory of the machine in bytes, unless `--memory` says otherwise.
const MEMORY: u64 = 130_000_000;
/// Disk of a store's machine in bytes.
const STORE_DISK: u64 = 370_000_000;
/// Largest body that an operator sends, in bytes.
const OPERATOR_BODY: usize = 1024 * 1024;

/// Ports of a machine, counted from its first.
pub const CALLERS_PORT: u16 = 8;
/// Where a gateway says whether it is ready.
pub const READINESS_PORT: u16 = 9;
/// Where a controller takes an operator's calls.
pub const OPERATOR_PORT: u16 = 10;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Gateway,
    /// Keeps records.
    Store,
    /// Holds what the fleet agrees on.
    Controller,
}

impl Role {
    /// Its name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Store => "store",
            Self::Controller => "controller",
        }
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Gateway, Self::Store, Self::Controller];
        let found = all.into_iter().find(|role| role.as_str() == text);
        found.ok_or_else(|| format!("{text:?} is no role; use gateway, store or controller"))
    }
}

/// run one process of a fleet; the soak starts these by itself
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "node")]
pub struct NodeArguments {
    /// what it does: gateway, store or controller
    #[argh(option)]
    role: Role,
    /// its address
    #[argh(option)]
    ip: Ipv4Addr,
    /// its zone
    #[argh(option)]
    zone: String,
    /// addresses of controllers, split by commas
    #[argh(option)]
    seeds: String,
    /// the first port of every machine
    #[argh(option)]
    first_port: u16,
    /// where its files are
    #[argh(option)]
    folder: PathBuf,
    /// whether the whole fleet starts for the first time
    #[argh(switch)]
    first_start: bool,
    /// the regions that it knows: none, right or wrong ones (none)
    #[argh(option, default = "String::from(\"none\")")]
    regions: String,
    /// whether a gateway tells no other under which requests servers ended
    #[argh(switch)]
    keeps_suspects: bool,
    /// memory of its machine in bytes (130000000)
    #[argh(option, default = "MEMORY")]
    memory: u64,
}

impl NodeArguments {
    fn addresses(&self) -> PeerAddresses {
        PeerAddresses {
            first_port: self.first_port,
        }
    }

    fn listen_on(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, self.first_port + port))
    }

    fn zones(&self) -> Arc<ZoneMap> {
        match self.regions.as_str() {
            "right" => Arc::new(zone_map(false)),
            "wrong" => Arc::new(zone_map(true)),
            _ => Arc::default(),
        }
    }

    fn name(&self) -> String {
        format!("{}-{}", self.role.as_str(), self.ip)
    }

    fn seeds(&self) -> Result<Vec<Ipv4Addr>, String> {
        let addresses = self.seeds.split(',');
        let parsed = addresses.map(|address| address.parse::<Ipv4Addr>());
        parsed
            .collect::<Result<_, _>>()
            .map_err(|error| format!("--seeds {:?}: {error}", self.seeds))
    }
}

/// Runs a process until it is asked to stop.
///
/// # Errors
/// Why it can't run, for the log.
pub fn run(arguments: NodeArguments) -> Result<(), String> {
    logging::init(arguments.name(), arguments.role.as_str());
    log::info!(event = "start"; "the process starts");
    let result = actix_rt::System::new().block_on(run_role(arguments));
    logging::log_exit(&result);
    result
}

async fn run_role(arguments: NodeArguments) -> Result<(), String> {
    actix_rt::spawn(signals::on_reload(|| {
        log::info!(event = "reload"; "the settings may have changed");
    }));
    match arguments.role {
        Role::Gateway => run_gateway(arguments).await,
        Role::Store => run_store(arguments).await,
        Role::Controller => run_controller(arguments).await,
    }
}

async fn run_gateway(arguments: NodeArguments) -> Result<(), String> {
    let seeds = arguments.seeds()?;
    let keeps_suspects = arguments.keeps_suspects;
    let hidden = keeps_suspects.then_some(Mechanism::SharedSuspects);
    let settings = GatewaySettings {
        node: node_at(arguments.ip),
        zone: arguments.zone.clone(),
        zones: arguments.zones(),
        callers: arguments.listen_on(CALLERS_PORT),
        readiness: arguments.listen_on(READINESS_PORT),
        seeds: Box::new(move || seeds.iter().copied().map(node_at).collect()),
        addresses: arguments.addresses(),
        metrics: Arc::new(Metrics::new()),
        codec: Box::new(ShortCodec),
        policy: Policy::without(hidden),
        tenants: TenantSettings::default(),
        memory: MemoryLimits::for_machine(arguments.memory).with_descriptors(open_file_limit()),
    };
    let run = gateway::run(settings, signals::shutdown_signal(), GRACE);
    run.await.map_err(|error| error.to_string())
}

async fn run_store(arguments: NodeArguments) -> Result<(), String> {
    let seeds = arguments.seeds()?;
    records::start(StoreSettings {
        node: node_at(arguments.ip),
        name: arguments.name(),
        zone: arguments.zone.clone(),
        zones: arguments.zones(),
        folder: arguments.folder.clone(),
        seeds: Box::new(move || seeds.iter().copied().map(node_at).collect()),
        addresses: arguments.addresses(),
        limits: StoreLimits::for_machine(arguments.memory, Some(STORE_DISK)),
        metrics: Arc::new(Metrics::new()),
    })
    .map_err(|error| error.to_string())?;
    signals::shutdown_signal().await;
    Ok(())
}

async fn run_controller(arguments: NodeArguments) -> Result<(), String> {
    let seeds = arguments.seeds()?;
    let address = arguments.listen_on(OPERATOR_PORT);
    let listener =
        listen(address).map_err(|error| format!("can't listen on {address}: {error}"))?;
    let limits = MemoryLimits::for_controller(arguments.memory).with_descriptors(open_file_limit());
    let clients = ClientTracker::new("control", limits, Arc::new(Metrics::new()));
    let handle = controller::start(ControllerSettings {
        node: node_at(arguments.ip),
        folder: arguments.folder.clone(),
        is_first_start: arguments.first_start,
        seeds: Box::new(move || seeds.iter().copied().map(node_at).collect()),
        addresses: arguments.addresses(),
        server_silence: SERVER_SILENCE,
        losses: LossTerms {
            disks: DISKS_BORNE,
            zone_map: arguments.zones(),
            ..LossTerms::default()
        },
        quota: QuotaPolicy::default(),
        warmup: Default::default(),
        metrics: Arc::new(Metrics::new()),
        disk_faults: Default::default(),
    })
    .await
    .map_err(|error| error.to_string())?;
    let handle = Rc::new(handle);
    let answering = handle.clone();
    let tracker = clients.clone();
    let answer = move |request| answer_operator(answering.clone(), tracker.clone(), request);
    actix_rt::spawn(serve(listener, clients, HttpTiming::default, answer));
    signals::shutdown_signal().await;
    handle.hand_over();
    actix_rt::time::sleep(HAND_OVER_TIME).await;
    Ok(())
}

/// An operator's call: `POST /routing`, `/announce`, `/leave` or `/evacuate`, with a JSON body.
async fn answer_operator(
    handle: Rc<ControllerHandle>,
    clients: Rc<ClientTracker>,
    mut request: Request,
) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let status = match clients.receive(&mut request, OPERATOR_BODY).await {
        Ok(body) => carry_out(&handle, &path, &body.bytes).await,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    Response::new(status)
}

async fn carry_out(handle: &ControllerHandle, path: &str, body: &Bytes) -> StatusCode {
    let done = match path {
        "/routing" => match serde_json::from_slice(body) {
            Ok(table) => handle.replace_routing(table, body.clone()).await,
            Err(_) => return StatusCode::BAD_REQUEST,
        },
        "/announce" => match serde_json::from_slice(body) {
            Ok(registration) => handle.announce(registration).await,
            Err(_) => return StatusCode::BAD_REQUEST,
        },
        "/leave" => match serde_json::from_slice(body) {
            Ok(server) => handle.leave(server).await,
            Err(_) => return StatusCode::BAD_REQUEST,
        },
        "/evacuate" => match serde_json::from_slice::<(String, bool)>(body) {
            Ok((zone, is_evacuated)) => handle.evacuate(&zone, is_evacuated).await,
            Err(_) => return StatusCode::BAD_REQUEST,
        },
        _ => return StatusCode::NOT_FOUND,
    };
    match done {
        Ok(()) => StatusCode::OK,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
