//! The listeners, the readiness endpoint and the graceful shutdown of a gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode};
use courseshed_routing::{CallLimits, Route, VersionedTable};
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::{NodeId, ZoneMap};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout};

use super::access::{Caller, TenantSettings};
use super::attempts::{Attempts, CallTimes, ChosenService};
use super::call::{CallCodec, Credential, GatewayRequest};
use super::core::{CoreConfig, GatewayCore};
use super::freeze::OBSERVATION_INTERVAL;
use super::load::share_load;
use super::policy::{Mechanism, Policy};
use super::quota::exchange_permits;
use super::refusal::Refusal;
use super::schedule::{SchedulerClient, resend_running_calls, send_notes};
use super::stream::forward_by_kind;
use super::suspect_client::SuspectClient;
use super::suspect_guard::send_pending_reports;
use super::warmup::exchange_warmup_permits;
use crate::client_memory::MemoryLimits;
use crate::client_tracker::{BodyRefusal, ClientTracker, RequestMemory};
use crate::close_delimited::delimit_body;
use crate::follower::{FleetFollower, FollowerKind};
use crate::http::{HttpTiming, connection_of, listen, serve};
use crate::metrics::Metrics;
use crate::peers::{PeersError, start_peers};
use crate::protocol::{FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerRequest};
use crate::records::RecordClient;

/// How long a draining gateway accepts new connections, so that load balancers can observe that it
/// is not ready.
const DRAIN_PERIOD: Duration = Duration::from_millis(3200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that a request waits for the first routing table.
pub(super) const MAX_ROUTING_WAIT: Duration = Duration::from_millis(300);
/// Interval of the cleanup of idle connections and server statistics.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Settings of a gateway.
pub struct GatewaySettings {
    /// The node that the gateway runs on.
    pub node: NodeId,
    /// The zone of the node.
    pub zone: String,
    /// The region of each zone.
    pub zones: Arc<ZoneMap>,
    /// Listen address for clients.
    pub callers: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Nodes that run controllers.
    pub seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    /// Addresses of peers.
    pub addresses: PeerAddresses,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Codec for the wire format of clients and servers.
    pub codec: Box<dyn CallCodec>,
    /// The enabled mechanisms.
    pub policy: Policy,
    /// Key revocation and quota settings.
    pub tenants: TenantSettings,
    /// Memory limits for slow clients and servers.
    pub memory: MemoryLimits,
}

/// Why a gateway failed to start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// The peer transport failed to start.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: PeersError,
    },
    /// An address could not be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

struct IgnoringHandler;

impl Handler<FleetProtocol> for IgnoringHandler {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}
    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

/// Runs a gateway until `stop` completes and in-flight requests have finished, within `grace`.
///
/// # Errors
/// [`GatewayError`] if an address can't be bound or the peer transport can't start.
pub async fn run(
    settings: GatewaySettings,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> Result<(), GatewayError> {
    let started = start_peers(
        settings.node,
        settings.addresses,
        PeerPort::Gateway,
        Arc::new(IgnoringHandler),
    );
    let peers = Arc::new(started.context(PeersSnafu)?);
    let follower = FleetFollower::new(
        peers.clone(),
        settings.addresses,
        FollowerKind::Gateway {
            revocation: settings.tenants.revocation,
        },
        settings.seeds,
    );
    tokio::spawn(follower.clone().run());
    let records = RecordClient::new(
        peers.clone(),
        follower.clone(),
        settings.addresses,
        settings.zone.clone(),
        settings.zones.clone(),
        settings.metrics.clone(),
    );
    let schedulers =
        SchedulerClient::new(peers.clone(), follower.clone(), settings.metrics.clone());
    let shares_suspects = settings.policy.uses(Mechanism::SharedSuspects);
    let (pending, pending_reports) = unbounded_channel();
    let suspects = SuspectClient::new(peers.clone(), follower.clone(), shares_suspects, pending);
    actix_rt::spawn(send_pending_reports(pending_reports));
    let core = GatewayCore::new(CoreConfig {
        codec: settings.codec,
        follower,
        records,
        schedulers,
        suspects,
        metrics: settings.metrics,
        zone: settings.zone,
        zones: settings.zones,
        policy: settings.policy,
        tenants: settings.tenants,
        memory: settings.memory,
    });
    if core.policy.uses(Mechanism::PoolScheduler) {
        actix_rt::spawn(send_notes(core.schedulers.clone()));
        actix_rt::spawn(resend_running_calls(core.schedulers.clone()));
    }
    actix_rt::spawn(follow_fleet(core.clone()));
    actix_rt::spawn(clean_up(core.clone()));
    actix_rt::spawn(observe_event_loop(core.clone()));
    actix_rt::spawn(exchange_permits(
        core.clone(),
        peers.clone(),
        settings.addresses,
    ));
    actix_rt::spawn(exchange_warmup_permits(
        core.clone(),
        peers.clone(),
        settings.addresses,
    ));
    if core.policy.uses(Mechanism::SharedLoads) {
        actix_rt::spawn(share_load(core.clone(), peers));
    }
    let address = settings.readiness;
    let readiness = listen(address).context(ListenSnafu { address })?;
    let address = settings.callers;
    let callers = listen(address).context(ListenSnafu { address })?;
    let probes = MemoryLimits::for_probes(settings.memory.max_connections);
    actix_rt::spawn(serve_readiness(core.clone(), readiness, probes));
    actix_rt::spawn(serve_callers(core.clone(), callers));
    stop.await;
    drain(&core, grace).await;
    Ok(())
}

/// Applies changes of the fleet state until the follower ends.
async fn follow_fleet(core: Rc<GatewayCore>) {
    let mut watch = core.follower.watch();
    loop {
        let view = watch.borrow_and_update().clone();
        core.servers.borrow_mut().follow(&view, core.clock.now());
        core.pool.retain(|id| core.servers.borrow().contains(id));
        core.metrics
            .record_revision
            .set(view.records.revision() as i64);
        if let Some(routing) = &view.routing {
            core.metrics.routing_version.set(routing.version as i64);
            core.retain_routes(&routing.table);
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}

async fn observe_event_loop(core: Rc<GatewayCore>) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        core.observe_event_loop();
    }
}

async fn clean_up(core: Rc<GatewayCore>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        core.servers.borrow_mut().remove_expired(core.clock.now());
        core.refresh_avoided();
        let suspects = i64::try_from(core.suspects.len()).unwrap_or(i64::MAX);
        core.metrics.suspect_requests.set(suspects);
        core.pool.retain(|id| core.servers.borrow().contains(id));
    }
}

async fn serve_readiness(
    core: Rc<GatewayCore>,
    listener: tokio::net::TcpListener,
    limits: MemoryLimits,
) {
    let timing = || timing_of(&CallLimits::default());
    let clients = ClientTracker::new("readiness", limits, core.metrics.clone());
    serve(listener, clients, timing, move |_| {
        let status = if is_ready(&core) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(Response::new(status))
    })
    .await;
}

/// Whether the gateway should receive new clients: it has a routing table, is not draining and can
/// verify API keys.
fn is_ready(core: &GatewayCore) -> bool {
    let Some(routing) = core.follower.view().routing else {
        return false;
    };
    let needs_proof = routing.table.tenants.is_some();
    let is_proven = core.access.is_proven(core.follower.proof_age());
    !core.is_draining() && (is_proven || !needs_proof)
}

async fn serve_callers(core: Rc<GatewayCore>, listener: tokio::net::TcpListener) {
    let limits = core.clone();
    let timing = move || timing_of(&limits_in_force(&limits));
    let clients = core.clients.clone();
    serve(listener, clients, timing, move |request| {
        handle_request(core.clone(), request)
    })
    .await;
}

fn timing_of(limits: &CallLimits) -> HttpTiming {
    HttpTiming {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
        max_head_bytes: limits.max_header_bytes,
    }
}

fn limits_in_force(core: &GatewayCore) -> CallLimits {
    let routing = core.follower.view().routing;
    routing.map_or_else(CallLimits::default, |routing| routing.table.limits)
}

async fn handle_request(core: Rc<GatewayCore>, request: Request) -> Response<BoxBody> {
    core.in_flight_requests
        .set(core.in_flight_requests.get() + 1);
    let counted = RequestGuard(core.clone());
    let version = request.version();
    let connection = connection_of(&request);
    let mut response = match admit(&core, request).await {
        Ok((attempts, tokens_per_event)) => forward_by_kind(attempts, tokens_per_event).await,
        Err(refusal) => refusal.response(),
    };
    if core.is_draining() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let response = delimit_body(response, version, connection);
    response.map_body(|_, body| BoxBody::new(counted.guard(body)))
}

/// Decodes and authenticates a request, selects its route, reads its body and selects its service.
async fn admit(
    core: &Rc<GatewayCore>,
    mut request: Request,
) -> Result<(Attempts, Option<u64>), Refusal> {
    let arrived = Instant::now();
    let limits = limits_in_force(core);
    let read = read_head(core, &request, &limits);
    let request_id = read.as_ref().map_or("", |call| &call.request_id);
    let memory = core.clients.begin(connection_of(&request), request_id);
    let admitted = match read {
        Ok(call) => {
            let admitted = admit_head(core, &call, &memory, arrived).await;
            admitted.map(|admitted| (call, admitted))
        }
        Err(refusal) => Err(refusal),
    };
    let (mut call, mut admitted) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            memory.skip_body(&mut request).await;
            return Err(refusal);
        }
    };
    let body = memory.read_body(&mut request, limits.max_body_bytes, admitted.deadline);
    call.body = body.await?;
    if !call.body.is_empty() && admitted.is_outdated(core) {
        admitted = admit_head(core, &call, &memory, arrived).await?;
    }
    let AdmittedHead {
        routing,
        route,
        caller,
        deadline,
        freezes: _,
    } = admitted;
    let service = core.split(&route).ok_or(Refusal::NoRoute)?;
    let known = routing.table.service(&service);
    let engine = known.and_then(|service| service.engine.as_ref());
    let tokens_per_event = engine.map(|engine| engine.tokens_per_event);
    let limit = known.map_or(0, |service| service.connection_limit);
    let service = ChosenService {
        name: service,
        connection_limit: if limit == 0 { u32::MAX } else { limit },
        version: routing.version,
        caller,
        is_pool: engine.is_some(),
    };
    let attempts = Attempts::new(
        core.clone(),
        call,
        route,
        service,
        CallTimes { arrived, deadline },
        memory,
    );
    Ok((attempts, tokens_per_event))
}

/// What is known of a request from its head.
struct AdmittedHead {
    routing: Arc<VersionedTable>,
    route: Arc<Route>,
    caller: Caller,
    deadline: Instant,
    /// Freezes of the event loop when the request was admitted.
    freezes: u64,
}

impl AdmittedHead {
    /// Whether another routing table is in force by now, or the process stood still meanwhile.
    fn is_outdated(&self, core: &GatewayCore) -> bool {
        let latest = core.follower.view().routing;
        let has_changed = latest.is_none_or(|latest| latest.version != self.routing.version);
        has_changed || core.observe_event_loop() != self.freezes
    }
}

/// Admits a request by its head: its route, its client's key, and whether its deadline can be met.
async fn admit_head(
    core: &Rc<GatewayCore>,
    call: &GatewayRequest,
    memory: &RequestMemory,
    arrived: Instant,
) -> Result<AdmittedHead, Refusal> {
    let wait = call
        .time_left
        .map_or(MAX_ROUTING_WAIT, |left| MAX_ROUTING_WAIT.min(left / 4));
    let freezes = core
        .recover_from_freeze(memory, arrived, None, wait)
        .await?;
    let routing = routing_in_force(core, wait)
        .await
        .ok_or(Refusal::NotStarted)?;
    let route = routing.table.find(&call.host, &call.path);
    let Some(route) = route.cloned() else {
        log::info!(event = "no_route", request = call.request_id.as_str(), host = call.host.as_str(), path = call.path.as_str(), version = routing.version; "no route matches the request");
        return Err(Refusal::NoRoute);
    };
    wait_for_proof(core, &routing, wait).await;
    let caller = authenticate(core, call, &route, &routing)?;
    let timeout = Duration::from_millis(route.timeout_ms);
    let deadline = arrived + call.time_left.map_or(timeout, |left| left.min(timeout));
    if !core.is_running_at(deadline) {
        log::info!(event = "leaving", request = call.request_id.as_str(); "request rejected: the gateway shuts down before its deadline");
        return Err(Refusal::Leaving);
    }
    Ok(AdmittedHead {
        routing,
        route,
        caller,
        deadline,
        freezes,
    })
}

/// Waits briefly for fresh proof that the routing table is current, which a gateway lacks after a
/// start or a long pause.
async fn wait_for_proof(core: &GatewayCore, routing: &VersionedTable, wait: Duration) {
    let is_proven = core.access.is_proven(core.follower.proof_age());
    if routing.table.tenants.is_some() && !is_proven {
        core.follower.wait_for_proof(wait).await;
    }
}

/// Authenticates a call against the routing table that its route comes from.
fn authenticate(
    core: &GatewayCore,
    call: &GatewayRequest,
    route: &Route,
    routing: &VersionedTable,
) -> Result<Caller, Refusal> {
    let proof_age = core.follower.proof_age();
    let identified = core
        .access
        .authenticate(call.credential, route, &routing.table, proof_age);
    let identified = identified.map_err(|refusal| match refusal {
        Refusal::NoProof { .. } => Refusal::NoProof {
            is_everywhere: core.follower.has_controller_contact(),
        },
        other => other,
    });
    identified.inspect_err(|refusal| {
        let shows_key = matches!(call.credential, Credential::Key(_));
        log::info!(event = "not_let_in", request = call.request_id.as_str(), route = route.name.as_str(), outcome = refusal.as_str(), shows_key, version = routing.version, proof_age_ms = proof_age.map(|age| age.as_millis() as u64); "request rejected: the client's key could not be authenticated");
    })
}

/// The current routing table. Waits up to `wait` for the first one.
async fn routing_in_force(core: &GatewayCore, wait: Duration) -> Option<Arc<VersionedTable>> {
    if let Some(routing) = core.follower.view().routing {
        return Some(routing);
    }
    let mut watch = core.follower.watch();
    let first = watch.wait_for(|view| view.routing.is_some());
    let view = timeout(wait, first).await.ok()?.ok()?;
    view.routing.clone()
}

/// Decodes the head of a request.
fn read_head(
    core: &GatewayCore,
    request: &Request,
    limits: &CallLimits,
) -> Result<GatewayRequest, Refusal> {
    let head_bytes: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>()
        + request.uri().to_string().len();
    if head_bytes > limits.max_header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    core.codec.read_call(request.head()).map_err(|error| {
        log::info!(event = "unreadable_call"; "request could not be decoded: {error}");
        Refusal::Unreadable
    })
}

impl From<BodyRefusal> for Refusal {
    fn from(refusal: BodyRefusal) -> Self {
        match refusal {
            BodyRefusal::TooLarge => Self::BodyTooLarge,
            BodyRefusal::Unreadable => Self::Unreadable,
            BodyRefusal::Late => Self::BodyLate,
            BodyRefusal::NoMemory => Self::NoMemory,
        }
    }
}

/// Counts a request as in flight until its response body is dropped.
struct RequestGuard(Rc<GatewayCore>);

impl RequestGuard {
    fn guard(self, body: BoxBody) -> GuardedBody {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0
            .in_flight_requests
            .set(self.0.in_flight_requests.get() - 1);
    }
}

/// A response body that keeps its request counted as in flight.
struct GuardedBody {
    body: BoxBody,
    _guard: RequestGuard,
}

impl actix_http::body::MessageBody for GuardedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> actix_http::body::BodySize {
        self.body.size()
    }

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<bytes::Bytes, Self::Error>>> {
        std::pin::Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

/// Reports not ready, keeps serving for the drain period and waits for in-flight requests.
async fn drain(core: &Rc<GatewayCore>, grace: Duration) {
    let began = Instant::now();
    core.shutdown_at.set(Some(began + grace));
    log::info!(event = "draining", under_way = core.in_flight_requests.get(); "shutting down: draining requests");
    loop {
        let passed = began.elapsed();
        let is_done = passed >= DRAIN_PERIOD && core.in_flight_requests.get() == 0;
        if is_done || passed >= grace {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(event = "drained", under_way = core.in_flight_requests.get(); "drain finished");
}
