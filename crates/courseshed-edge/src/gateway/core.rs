//! What all requests of a gateway share. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use courseshed_routing::{Route, RoutingTable, SplitCounter, Target};

use tokio::time::Instant;

use super::access::{AccessTerms, TenantTerms};
use super::answer_times::AnswerTimes;
use super::call::CallCodec;
use super::held::Ledger;
use super::held_memory::HeldTerms;
use super::policy::Policy;
use super::quota::Quotas;
use super::servers::{Report, ServerTable};
use super::upstream::UpstreamPool;
use crate::clock::Clock;
use crate::follower::FleetFollower;
use crate::metrics::Metrics;
use crate::records::RecordClient;

/// What a gateway is told of itself.
pub(super) struct CoreTerms {
    pub zone: String,
    pub policy: Policy,
    pub tenants: TenantTerms,
    pub memory: HeldTerms,
}

/// What all requests of a gateway share.
pub(super) struct GatewayCore {
    pub codec: Box<dyn CallCodec>,
    pub follower: Arc<FleetFollower>,
    pub records: RecordClient,
    pub pool: UpstreamPool,
    pub metrics: Arc<Metrics>,
    /// What it decides by.
    pub policy: Policy,
    /// How long keys may be used without hearing that they still are.
    pub access: AccessTerms,
    /// Permits of tenants whose requests are limited.
    pub quotas: Quotas,
    pub clock: Clock,
    /// What is held for callers.
    pub ledger: Rc<Ledger>,
    pub servers: RefCell<ServerTable>,
    pub answer_times: RefCell<AnswerTimes>,
    /// Where this gateway stands.
    pub zone: String,
    /// When a planned stop ends the process; none while it isn't stopping.
    pub ends_at: Cell<Option<Instant>>,
    pub under_way: Cell<usize>,
    splits: RefCell<HashMap<String, RouteSplit>>,
}

/// The turns of one route among its parts, as long as the parts stay the same.
struct RouteSplit {
    targets: Vec<Target>,
    counter: SplitCounter,
}

impl GatewayCore {
    pub(super) fn new(
        codec: Box<dyn CallCodec>,
        follower: Arc<FleetFollower>,
        records: RecordClient,
        metrics: Arc<Metrics>,
        terms: CoreTerms,
    ) -> Rc<Self> {
        let CoreTerms {
            zone,
            policy,
            tenants,
            memory,
        } = terms;
        let access = tenants.revocation.map(AccessTerms::strict);
        Rc::new(Self {
            codec,
            follower,
            records,
            pool: UpstreamPool::new(),
            ledger: Ledger::new(memory, metrics.clone()),
            metrics,
            clock: Clock::start(),
            servers: RefCell::new(ServerTable::new(policy.clone())),
            policy,
            access: access.unwrap_or_default(),
            quotas: Quotas::new(tenants.quota),
            answer_times: RefCell::default(),
            zone,
            ends_at: Cell::new(None),
            under_way: Cell::new(0),
            splits: RefCell::default(),
        })
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Whether the process is still there at a time.
    pub(super) fn is_there_at(&self, time: Instant) -> bool {
        self.ends_at.get().is_none_or(|end| time <= end)
    }

    /// The service that the next call of a route goes to.
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

    /// Forgets what is known of routes that are gone.
    pub(super) fn retain_routes(&self, table: &RoutingTable) {
        let is_there = |name: &str| table.routes.iter().any(|route| route.name == name);
        self.splits.borrow_mut().retain(|name, _| is_there(name));
        self.answer_times.borrow_mut().retain(is_there);
    }

    pub(super) fn report(&self, server: &str, report: Report) {
        let now = self.clock.now();
        self.servers.borrow_mut().report(server, report, now);
    }
}

impl RouteSplit {
    fn new(targets: &[Target]) -> Self {
        Self {
            targets: targets.to_vec(),
            counter: SplitCounter::with_phase(targets, rand::random()),
        }
    }
}

/// Counts a request at a server for as long as it lives.
pub(super) struct InFlight {
    core: Rc<GatewayCore>,
    server: String,
}

impl InFlight {
    pub(super) fn begin(core: &Rc<GatewayCore>, server: &str) -> Self {
        core.servers.borrow_mut().begin(server);
        Self {
            core: core.clone(),
            server: server.to_owned(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.core.servers.borrow_mut().end(&self.server);
    }
}
