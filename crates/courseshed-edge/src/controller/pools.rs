//! The pool schedulers on this controller.
//!
//! There is one pool for each service with engines. Its state is volatile: it starts empty and learns the running
//! calls from the gateways. It never waits for the disk or the replicated log.
//!
//! Invariants: a ticket has at most one decision, which is returned to repeated requests until the call ends or
//! the decision expires; a granted engine that is not claimed is released.

mod pool;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::{CallDemand, CallEndReport, EngineListing, NameHash, RunningCall};
use courseshed_registry::{FleetState, Server, ServerState};
use courseshed_routing::EngineLimits;
use courseshed_transport::ReplySender;
use courseshed_types::{NodeId, ServerKey};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::handle::Shared;
use crate::clock::unix_time_ms;
use crate::metrics::Metrics;
use crate::protocol::{FleetProtocol, PeerReply};
use pool::Pool;

/// Tick interval of pools with calls: a small part of how long a request is held, and less than the time
/// between two tokens.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The pools with a scheduler on this controller.
pub(super) struct Pools {
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    by_service: Mutex<HashMap<String, Arc<Mutex<Pool>>>>,
    /// Wakes the ticker when a pool may have become busy.
    wake: Notify,
}

impl Pools {
    pub(super) fn new(shared: Arc<Shared>, metrics: Arc<Metrics>) -> Self {
        Self {
            shared,
            metrics,
            by_service: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Requests an engine for a call of a gateway.
    pub(super) fn request(
        &self,
        gateway: NodeId,
        service: &str,
        demand: CallDemand,
        reply: ReplySender<FleetProtocol>,
    ) {
        let Some(pool) = self.get_or_create(service) else {
            reply.send(PeerReply::UnknownPool);
            return;
        };
        let now = self.shared.clock().now();
        pool.lock().request(now, gateway, demand, reply);
        self.wake.notify_one();
    }

    /// Records that calls of a gateway ended.
    pub(super) fn record_ended(&self, gateway: NodeId, service: &str, notes: &[CallEndReport]) {
        let found = self.by_service.lock().get(service).cloned();
        // A pool that does not exist has no calls.
        if let Some(pool) = found {
            pool.lock()
                .record_ended(self.shared.clock().now(), gateway, notes);
        }
    }

    /// Replaces the set of calls that a gateway is running on engines of a pool.
    pub(super) fn set_running(&self, gateway: NodeId, service: &str, calls: &[RunningCall]) {
        // Create a missing pool, so that it knows the running calls before the first request.
        if let Some(pool) = self.get_or_create(service) {
            let now = self.shared.clock().now();
            pool.lock().set_running(now, gateway, calls);
            self.wake.notify_one();
        }
    }

    /// Returns the pool of a service with its engines up to date; none if the service has no engines.
    fn get_or_create(&self, service: &str) -> Option<Arc<Mutex<Pool>>> {
        let state = self.shared.state();
        let found = self.by_service.lock().get(service).cloned();
        let pool = match found {
            Some(pool) => pool,
            None => {
                engine_limits(&state, service)?;
                let create = || {
                    let pool = Pool::new(service, unix_time_ms(), self.metrics.clone());
                    Arc::new(Mutex::new(pool))
                };
                let mut pools = self.by_service.lock();
                pools
                    .entry(service.to_owned())
                    .or_insert_with(create)
                    .clone()
            }
        };
        let has_engines = pool.lock().refresh(self.shared.clock().now(), &state);
        has_engines.then_some(pool)
    }

    /// Ticks all pools; returns whether any has calls.
    fn tick(&self) -> bool {
        let state = self.shared.state();
        let now = self.shared.clock().now();
        let pools: Vec<_> = {
            let pools = self.by_service.lock();
            let all = pools.iter();
            all.map(|(service, pool)| (service.clone(), pool.clone()))
                .collect()
        };
        let mut any_busy = false;
        for (service, pool) in pools {
            let mut pool = pool.lock();
            let has_engines = pool.refresh(now, &state);
            pool.tick(now);
            let is_busy = pool.is_busy();
            any_busy |= is_busy;
            if !has_engines && !is_busy {
                self.by_service.lock().remove(&service);
            }
        }
        any_busy
    }
}

/// Ticks the pools indefinitely, pausing while none has calls.
pub(super) async fn run_pools(pools: Arc<Pools>) {
    loop {
        if pools.tick() {
            sleep(TICK_INTERVAL).await;
        } else {
            pools.wake.notified().await;
        }
    }
}

/// The limits of a service's engines; none if it has no engines.
fn engine_limits<'a>(state: &'a FleetState, service: &str) -> Option<&'a EngineLimits> {
    let routing = state.routing()?;
    routing.table.table.service(service)?.engine.as_ref()
}

/// The engines of a service; none if it has no engines.
fn list_engines(state: &FleetState, service: &str) -> Option<Vec<EngineListing>> {
    let limits = engine_limits(state, service)?;
    let servers = state.servers().filter(|server| server.service == service);
    Some(servers.map(|server| listing(server, limits)).collect())
}

fn listing(server: &Server, limits: &EngineLimits) -> EngineListing {
    EngineListing {
        key: ServerKey::of(&server.id),
        zone: name_hash(&server.zone),
        slots: if server.slots == 0 {
            limits.slots
        } else {
            server.slots
        },
        memory_tokens: limits.memory_tokens,
        is_ready: server.state == ServerState::Ready,
        version: server.software_version.as_deref().map(name_hash),
    }
}

fn name_hash(name: &str) -> NameHash {
    NameHash(xxh3_64(name.as_bytes()))
}
