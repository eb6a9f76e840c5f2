//! State shared by all requests of a gateway. The gateway is single-threaded.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::AvoidanceChange;
use courseshed_routing::{Route, RoutingTable, Target, WeightedRoundRobin};
use courseshed_types::ZoneMap;

use tokio::time::Instant;

use super::access::{AccessPolicy, TenantSettings};
use super::admission::AdmissionControl;
use super::call::CallCodec;
use super::freeze::FreezeDetector;
use super::outcome_change::OutcomeChange;
use super::policy::Policy;
use super::quota::Quotas;
use super::refusal::Refusal;
use super::response_times::ResponseTimes;
use super::schedule::SchedulerClient;
use super::servers::{CallReport, ServerTable};
use super::suspect_client::SuspectClient;
use super::upstream::UpstreamPool;
use super::warmup::WarmupPermits;
use crate::client_memory::MemoryLimits;
use crate::client_tracker::{CALLERS, ClientTracker, RequestMemory};
use crate::clock::Clock;
use crate::follower::FleetFollower;
use crate::metrics::Metrics;
use crate::records::RecordClient;

/// State shared by all requests of a gateway.
pub(super) struct GatewayCore {
    pub codec: Box<dyn CallCodec>,
    pub follower: Arc<FleetFollower>,
    pub records: RecordClient,
    /// Requests engine assignments from the pool schedulers.
    pub schedulers: Rc<SchedulerClient>,
    /// Reports requests under which servers ended.
    pub suspects: SuspectClient,
    pub pool: UpstreamPool,
    pub metrics: Arc<Metrics>,
    pub policy: Policy,
    /// How long keys stay usable without fresh proof that the routing table is current.
    pub access: AccessPolicy,
    /// Rate-limit permits of tenants with a quota.
    pub quotas: Quotas,
    /// Permits of servers that are warming up.
    pub warmup: WarmupPermits,
    pub clock: Clock,
    /// Memory held for client connections.
    pub clients: Rc<ClientTracker>,
    pub servers: RefCell<ServerTable>,
    pub response_times: RefCell<ResponseTimes>,
    pub admission: RefCell<AdmissionControl>,
    /// The zone of this gateway.
    pub zone: String,
    /// When a graceful shutdown terminates the process; `None` while not shutting down.
    pub shutdown_at: Cell<Option<Instant>>,
    pub in_flight_requests: Cell<usize>,
    freezes: RefCell<FreezeDetector>,
    /// Whether a request has been sent to a server since the process started.
    has_sent_call: Cell<bool>,
    splits: RefCell<HashMap<String, RouteSplit>>,
}

/// Weighted round-robin state of one route; reset when the targets of the route change.
struct RouteSplit {
    targets: Vec<Target>,
    counter: WeightedRoundRobin,
}

/// The components that [`GatewayCore::new`] assembles.
pub(super) struct CoreConfig {
    pub codec: Box<dyn CallCodec>,
    pub follower: Arc<FleetFollower>,
    pub records: RecordClient,
    pub schedulers: Rc<SchedulerClient>,
    pub suspects: SuspectClient,
    pub metrics: Arc<Metrics>,
    pub zone: String,
    /// The region of each zone.
    pub zones: Arc<ZoneMap>,
    pub policy: Policy,
    pub tenants: TenantSettings,
    /// Memory limits for slow clients and servers.
    pub memory: MemoryLimits,
}

impl GatewayCore {
    pub(super) fn new(config: CoreConfig) -> Rc<Self> {
        let CoreConfig {
            codec,
            follower,
            records,
            schedulers,
            suspects,
            metrics,
            zone,
            zones,
            policy,
            tenants,
            memory,
        } = config;
        let clock = Clock::start();
        let access = tenants.revocation.map(AccessPolicy::strict);
        Rc::new(Self {
            codec,
            follower,
            records,
            schedulers,
            suspects,
            pool: UpstreamPool::new(),
            clients: ClientTracker::new(CALLERS, memory, metrics.clone()),
            metrics,
            clock,
            servers: RefCell::new(
                ServerTable::new(policy.clone())
                    .with_seed(rand::random())
                    .with_zones(zones),
            ),
            policy,
            access: access.unwrap_or_default(),
            quotas: Quotas::new(tenants.quota),
            warmup: WarmupPermits::new(),
            response_times: RefCell::default(),
            admission: RefCell::default(),
            zone,
            shutdown_at: Cell::new(None),
            in_flight_requests: Cell::new(0),
            freezes: RefCell::new(FreezeDetector::new(clock.now())),
            has_sent_call: Cell::new(false),
            splits: RefCell::default(),
        })
    }

    /// Whether a graceful shutdown has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.shutdown_at.get().is_some()
    }

    /// Whether the process will still be running at `time`.
    pub(super) fn is_running_at(&self, time: Instant) -> bool {
        self.shutdown_at.get().is_none_or(|end| time <= end)
    }

    /// Records that the event loop is running, and handles the end of a freeze. Returns the number
    /// of freezes so far.
    pub(super) fn observe_event_loop(&self) -> u64 {
        let now = self.clock.now();
        let mut freezes = self.freezes.borrow_mut();
        if let Some(stood_still) = freezes.observe(now) {
            self.metrics.freezes.inc();
            self.servers.borrow_mut().expire_load_report(now);
            self.follower.request_refresh();
            log::warn!(event = "woke_from_freeze", stood_still_ms = stood_still.as_millis() as u64, in_flight = self.in_flight_requests.get(); "the event loop stood still");
        }
        freezes.count()
    }

    /// If a request may have waited during a freeze, checks that its client is still there and
    /// waits up to `limit` for the current fleet state. Returns the number of freezes so far.
    ///
    /// # Errors
    /// [`Refusal::TooLate`] if the client is gone, or if the deadline, where it is known, has passed.
    pub(super) async fn recover_from_freeze(
        &self,
        memory: &RequestMemory,
        arrived: Instant,
        deadline: Option<Instant>,
        limit: Duration,
    ) -> Result<u64, Refusal> {
        let count = self.observe_event_loop();
        let arrived = self.clock.now().saturating_sub(arrived.elapsed());
        if !self.freezes.borrow().affects(arrived) {
            return Ok(count);
        }
        let check = || {
            if memory.is_client_gone() || deadline.is_some_and(|at| at <= Instant::now()) {
                self.metrics.dropped_after_freeze.inc();
                return Err(Refusal::TooLate);
            }
            Ok(())
        };
        check()?;
        self.follower.wait_for_refresh(limit).await;
        check()?;
        Ok(self.observe_event_loop())
    }

    /// Picks the service for the next call of a route.
    pub(super) fn split(&self, route: &Route) -> Option<String> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let mut splits = self.splits.borrow_mut();
        let split = splits
            .entry(route.name.clone())
            .or_insert_with(|| RouteSplit::new(&route.targets));
        if split.targets != route.targets {
            *split = RouteSplit::new(&route.targets);
        }
        let index = split.counter.next(&route.targets)?;
        Some(route.targets[index].service.clone())
    }

    /// Drops the state of routes that no longer exist.
    pub(super) fn retain_routes(&self, table: &RoutingTable) {
        let exists = |name: &str| table.routes.iter().any(|route| route.name == name);
        self.splits.borrow_mut().retain(|name, _| exists(name));
        self.response_times.borrow_mut().retain(exists);
    }

    /// Logs the first request that this process sends to a server.
    pub(super) fn log_first_call(&self, request: &str, server: &str, version: u64) {
        if !self.has_sent_call.replace(true) {
            log::info!(event = "first_call_sent", request, server, version; "sending the first request since the process started");
        }
    }

    pub(super) fn report(&self, server: &str, report: CallReport) {
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        servers.report(server, report, now);
        servers.reevaluate_after(server, report, now);
        self.log_changes(&mut servers);
    }

    /// Records the load of all services for admission control.
    pub(super) fn observe_load(&self, now: Duration) {
        let loads = self.servers.borrow().service_loads(now);
        let mut admission = self.admission.borrow_mut();
        admission.retain(|service| loads.iter().any(|(listed, _)| listed == service));
        for (service, load) in loads {
            let was_limiting = admission.is_limiting(&service);
            admission.observe(&service, &load, now);
            let is_limiting = admission.is_limiting(&service);
            if is_limiting != was_limiting {
                let event = if is_limiting {
                    "admission_limited"
                } else {
                    "admission_unlimited"
                };
                log::info!(event = event, service = service.as_str(), calls = load.calls, slots = load.slots, call_ms = load.call_ms, age_ms = load.age.as_millis() as u64; "admission of new programs changed");
            }
        }
    }

    /// Re-evaluates which servers are avoided.
    pub(super) fn reevaluate_avoidance(&self) {
        let mut servers = self.servers.borrow_mut();
        servers.reevaluate_avoidance(self.clock.now());
        self.log_changes(&mut servers);
    }

    /// Re-evaluates which servers are avoided and refreshes the metric, since servers may have been
    /// delisted.
    pub(super) fn refresh_avoided(&self) {
        self.reevaluate_avoidance();
        self.metrics.set_avoided(&self.servers.borrow().avoided());
    }

    /// Logs servers that start or stop being avoided, and updates the metric.
    fn log_changes(&self, servers: &mut ServerTable) {
        let changes = servers.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log_change(&change);
        }
        self.metrics.set_avoided(&servers.avoided());
    }
}

fn log_change(change: &OutcomeChange) {
    let event = match change.change {
        AvoidanceChange::Started => "server_avoided",
        AvoidanceChange::Ended => "server_trusted_again",
        // Probes keep failing while a server is down; only the start and the end are logged.
        AvoidanceChange::Extended => return,
    };
    log::info!(
        event = event,
        server = change.server.as_str(),
        service = change.service.as_str(),
        answered = change.counts.answered,
        failed = change.counts.failed,
        others_age_ms = change.counts_age.as_millis() as u64;
        "server avoidance changed"
    );
}

impl RouteSplit {
    fn new(targets: &[Target]) -> Self {
        Self {
            targets: targets.to_vec(),
            counter: WeightedRoundRobin::with_phase(targets, rand::random()),
        }
    }
}

/// Counts a request as in flight at a server until dropped.
pub(super) struct InFlightGuard {
    core: Rc<GatewayCore>,
    server: String,
}

impl InFlightGuard {
    pub(super) fn begin(core: &Rc<GatewayCore>, server: &str) -> Self {
        let now = core.clock.now();
        let mut servers = core.servers.borrow_mut();
        servers.begin(server);
        servers.record_sent(server, now);
        drop(servers);
        Self {
            core: core.clone(),
            server: server.to_owned(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core.servers.borrow_mut().end(&self.server);
    }
}
