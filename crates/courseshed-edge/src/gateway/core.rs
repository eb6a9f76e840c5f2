//! What all requests of a gateway share. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use courseshed_registry::AvoidanceChange;
use courseshed_routing::{Route, RoutingTable, SplitCounter, Target};
use courseshed_types::ZoneMap;

use tokio::time::Instant;

use super::access::{AccessTerms, TenantTerms};
use super::answer_times::AnswerTimes;
use super::call::CallCodec;
use super::held::Ledger;
use super::held_memory::HeldTerms;
use super::outcome_change::OutcomeChange;
use super::policy::Policy;
use super::quota::Quotas;
use super::schedule::SchedulerClient;
use super::servers::{Report, ServerTable};
use super::upstream::UpstreamPool;
use crate::clock::Clock;
use crate::follower::FleetFollower;
use crate::metrics::Metrics;
use crate::records::RecordClient;

/// What all requests of a gateway share.
pub(super) struct GatewayCore {
    pub codec: Box<dyn CallCodec>,
    pub follower: Arc<FleetFollower>,
    pub records: RecordClient,
    /// Asks the schedulers of pools for engines.
    pub schedulers: Rc<SchedulerClient>,
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

/// What a gateway is made of.
pub(super) struct CoreParts {
    pub codec: Box<dyn CallCodec>,
    pub follower: Arc<FleetFollower>,
    pub records: RecordClient,
    pub schedulers: Rc<SchedulerClient>,
    pub metrics: Arc<Metrics>,
    pub zone: String,
    /// The regions of zones.
    pub zones: Arc<ZoneMap>,
    pub policy: Policy,
    pub tenants: TenantTerms,
    /// How much it may hold for callers and servers that read slowly.
    pub memory: HeldTerms,
}

impl GatewayCore {
    pub(super) fn new(parts: CoreParts) -> Rc<Self> {
        let CoreParts {
            codec,
            follower,
            records,
            schedulers,
            metrics,
            zone,
            zones,
            policy,
            tenants,
            memory,
        } = parts;
        let access = tenants.revocation.map(AccessTerms::strict);
        Rc::new(Self {
            codec,
            follower,
            records,
            schedulers,
            pool: UpstreamPool::new(),
            ledger: Ledger::new(memory, metrics.clone()),
            metrics,
            clock: Clock::start(),
            servers: RefCell::new(
                ServerTable::new(policy.clone())
                    .with_seed(rand::random())
                    .with_zones(zones),
            ),
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
        let mut servers = self.servers.borrow_mut();
        servers.report(server, report, now);
        servers.advance_outcomes_after(server, report, now);
        self.tell_changes(&mut servers);
    }

    /// Judges anew which servers are avoided.
    pub(super) fn advance_outcomes(&self) {
        let mut servers = self.servers.borrow_mut();
        servers.advance_outcomes(self.clock.now());
        self.tell_changes(&mut servers);
    }

    /// Judges anew, and counts the avoided servers: some may have left the list.
    pub(super) fn tell_avoided(&self) {
        self.advance_outcomes();
        self.metrics.set_avoided(&self.servers.borrow().avoided());
    }

    /// Logs which servers begin and cease to be avoided, and counts them.
    fn tell_changes(&self, servers: &mut ServerTable) {
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
        AvoidanceChange::Begun => "server_avoided",
        AvoidanceChange::Ended => "server_trusted_again",
        // Probes fail again and again while a server is down: its begin and its end are enough.
        AvoidanceChange::Prolonged => return,
    };
    log::info!(
        event = event,
        server = change.server.as_str(),
        service = change.service.as_str(),
        answered = change.counts.answered,
        failed = change.counts.failed,
        others_age_ms = change.counts_age.as_millis() as u64;
        "whether a server is avoided has changed"
    );
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
        let now = core.clock.now();
        let mut servers = core.servers.borrow_mut();
        servers.begin(server);
        servers.note_sent(server, now);
        drop(servers);
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
