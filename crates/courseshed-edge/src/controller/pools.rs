//! The schedulers of pools that live in this controller, and the calls that wait at them.
//!
//! One pool for each service with engines. What a pool knows is soft: it starts with nothing, and learns the
//! calls under way from the gateways. It never waits for the disk or for the replicated log.
//!
//! Invariants: a ticket has at most one decision, which is told again as often as it is asked for until the
//! call is over; a granted engine that nobody asks for is given back.

mod pool;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use courseshed_pool::{CallDemand, CallNote, EngineListing, NameKey, RunningCall};
use courseshed_registry::{FleetState, Server, ServerState};
use courseshed_routing::EngineLimits;
use courseshed_transport::ReplySender;
use courseshed_types::{NodeId, ServerKey};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::handle::Shared;
use crate::clock::time_of_day_ms;
use crate::metrics::Metrics;
use crate::protocol::{FleetProtocol, PeerReply};
use pool::Pool;

/// How often pools with calls are looked through: a small part of how long a request is held, and
/// less than the time between two tokens.
const TICK: Duration = Duration::from_millis(25);

/// The pools whose scheduler is here.
pub(super) struct Pools {
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    by_service: Mutex<HashMap<String, Arc<Mutex<Pool>>>>,
    /// Wakes the ticker when a pool may have become busy.
    wanted: Notify,
}

impl Pools {
    pub(super) fn new(shared: Arc<Shared>, metrics: Arc<Metrics>) -> Self {
        Self {
            shared,
            metrics,
            by_service: Mutex::default(),
            wanted: Notify::new(),
        }
    }

    /// A call of a gateway wants an engine.
    pub(super) fn ask(
        &self,
        gateway: NodeId,
        service: &str,
        demand: CallDemand,
        reply: ReplySender<FleetProtocol>,
    ) {
        let Some(pool) = self.find_or_make(service) else {
            reply.send(PeerReply::UnknownPool);
            return;
        };
        let now = self.shared.clock().now();
        pool.lock().ask(now, gateway, demand, reply);
        self.wanted.notify_one();
    }

    /// Calls of a gateway are over.
    pub(super) fn note(&self, gateway: NodeId, service: &str, notes: &[CallNote]) {
        let found = self.by_service.lock().get(service).cloned();
        // A pool that isn't there knows of no calls.
        if let Some(pool) = found {
            pool.lock().note(self.shared.clock().now(), gateway, notes);
        }
    }

    /// A gateway tells all that it has at the engines of a pool.
    pub(super) fn set_running(&self, gateway: NodeId, service: &str, calls: &[RunningCall]) {
        // One that has no pool here yet is made, so that it knows of the calls before the first is asked for.
        if let Some(pool) = self.find_or_make(service) {
            let now = self.shared.clock().now();
            pool.lock().set_running(now, gateway, calls);
            self.wanted.notify_one();
        }
    }

    /// The pool of a service, with the engines that are known now; none if the service has no engines.
    fn find_or_make(&self, service: &str) -> Option<Arc<Mutex<Pool>>> {
        let state = self.shared.state();
        let found = self.by_service.lock().get(service).cloned();
        let pool = match found {
            Some(pool) => pool,
            None => {
                engine_limits(&state, service)?;
                let make = || {
                    let pool = Pool::new(service, time_of_day_ms(), self.metrics.clone());
                    Arc::new(Mutex::new(pool))
                };
                let mut pools = self.by_service.lock();
                pools.entry(service.to_owned()).or_insert_with(make).clone()
            }
        };
        let is_there = pool.lock().refresh(self.shared.clock().now(), &state);
        is_there.then_some(pool)
    }

    /// Looks through all pools; returns whether any has calls.
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
            let is_there = pool.refresh(now, &state);
            pool.tick(now);
            let is_busy = pool.is_busy();
            any_busy |= is_busy;
            if !is_there && !is_busy {
                self.by_service.lock().remove(&service);
            }
        }
        any_busy
    }
}

/// Looks through the pools for as long as the process lives; rests while none has calls.
pub(super) async fn keep_pools(pools: Arc<Pools>) {
    loop {
        if pools.tick() {
            sleep(TICK).await;
        } else {
            pools.wanted.notified().await;
        }
    }
}

/// What the engines of a service can bear; none if it has no engines.
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
        zone: NameKey(xxh3_64(server.zone.as_bytes())),
        slots: if server.slots == 0 {
            limits.slots
        } else {
            server.slots
        },
        memory_tokens: limits.memory_tokens,
        is_ready: server.state == ServerState::Ready,
    }
}
