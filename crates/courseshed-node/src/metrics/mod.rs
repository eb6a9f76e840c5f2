//! Counters of the node in Prometheus' text format.
//!
//! Only operators see metrics that carry a branch: the groups that share a fleet are rivals.

mod branches;
mod traffic;

use std::{
    collections::BTreeMap,
    fmt,
    sync::atomic::{AtomicI64, AtomicU64},
};

use courseshed_dispatch::DispatcherStats;
use courseshed_types::{dispatch::PoolId, shard::AttemptResult};
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{
    context::NodeContext,
    metrics::{branches::BranchMetrics, traffic::TrafficMetrics},
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: AttemptEnd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
enum AttemptEnd {
    Answered,
    NotStarted,
    Failed,
    Lost,
}

/// Reads one count of a dispatcher.
type CountOf = fn(&DispatcherStats) -> u64;
type WholeGauge = Gauge<i64, AtomicI64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    status: u16,
    verdict: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DispatchLabels {
    kind: &'static str,
}

/// What all names begin with.
const PREFIX: &str = "courseshed";

/// Who reads the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Anyone who reaches the node.
    Anyone,
    /// Whoever holds an operator's key.
    Operator,
}

/// The node's metrics.
pub struct NodeMetrics {
    registry: Mutex<Registry>,
    branch_registry: Mutex<Registry>,
    calls: Counter,
    answers: Family<AnswerLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    tokens: Counter<u64, AtomicU64>,
    active_calls: WholeGauge,
    streams: WholeGauge,
    open_bodies: WholeGauge,
    shards: WholeGauge,
    shards_led: WholeGauge,
    pools: WholeGauge,
    waiting_calls: WholeGauge,
    running_calls: WholeGauge,
    settings_version: WholeGauge,
    map_epoch: WholeGauge,
    lease_valid: WholeGauge,
    draining: WholeGauge,
    dispatch: Family<DispatchLabels, WholeGauge>,
    branches: BranchMetrics,
    traffic: TrafficMetrics,
}

impl NodeMetrics {
    /// All at zero.
    pub fn new() -> NodeMetrics {
        let metrics = NodeMetrics {
            registry: Mutex::new(Registry::with_prefix(PREFIX)),
            branch_registry: Mutex::new(Registry::with_prefix(PREFIX)),
            calls: Counter::default(),
            answers: Family::default(),
            attempts: Family::default(),
            tokens: Counter::default(),
            active_calls: WholeGauge::default(),
            streams: WholeGauge::default(),
            open_bodies: WholeGauge::default(),
            shards: WholeGauge::default(),
            shards_led: WholeGauge::default(),
            pools: WholeGauge::default(),
            waiting_calls: WholeGauge::default(),
            running_calls: WholeGauge::default(),
            settings_version: WholeGauge::default(),
            map_epoch: WholeGauge::default(),
            lease_valid: WholeGauge::default(),
            draining: WholeGauge::default(),
            dispatch: Family::default(),
            branches: BranchMetrics::default(),
            traffic: TrafficMetrics::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        let mut gauge = |name: &str, help: &str, gauge: &WholeGauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge(
            "gateway_active_calls",
            "Calls under way at this gateway",
            &self.active_calls,
        );
        gauge(
            "gateway_streams",
            "Attempts whose streams this gateway runs",
            &self.streams,
        );
        gauge(
            "gateway_open_bodies",
            "Streams that callers of this gateway are still reading",
            &self.open_bodies,
        );
        gauge(
            "shards",
            "Replicas of program shards on this node",
            &self.shards,
        );
        gauge(
            "shards_led",
            "Program shards this node leads",
            &self.shards_led,
        );
        gauge("pools", "Pools this node decides for", &self.pools);
        gauge(
            "pool_waiting_calls",
            "Calls waiting in those pools",
            &self.waiting_calls,
        );
        gauge(
            "pool_running_calls",
            "Calls running in those pools",
            &self.running_calls,
        );
        gauge(
            "settings_version",
            "Settings version in force",
            &self.settings_version,
        );
        gauge(
            "map_epoch",
            "Epoch of the member map in force",
            &self.map_epoch,
        );
        gauge(
            "settings_lease_valid",
            "1 while the settings lease holds",
            &self.lease_valid,
        );
        gauge("draining", "1 while the node stops", &self.draining);
        registry.register(
            "gateway_calls",
            "Calls taken by this gateway",
            self.calls.clone(),
        );
        registry.register(
            "gateway_answers",
            "Answers to callers, by status and verdict",
            self.answers.clone(),
        );
        registry.register(
            "gateway_attempts",
            "Attempts that this gateway ran, by their end",
            self.attempts.clone(),
        );
        registry.register(
            "gateway_completion_tokens",
            "Tokens of answers that this gateway read",
            self.tokens.clone(),
        );
        registry.register(
            "dispatch_events",
            "What the dispatchers here did since they started, by kind",
            self.dispatch.clone(),
        );
        self.traffic.register(&mut registry);
        self.branches.register(&mut self.branch_registry.lock());
    }

    /// A call was taken.
    pub fn call_started(&self) {
        self.calls.inc();
    }

    /// A caller was answered.
    pub fn answered(&self, status: u16, verdict: &str) {
        let verdict = verdict.to_owned();
        let labels = AnswerLabels { status, verdict };
        self.answers.get_or_create(&labels).inc();
    }

    /// An attempt of this gateway ended.
    pub fn attempt_ended(&self, result: &AttemptResult) {
        let end = match result {
            AttemptResult::Answered(answer) => {
                self.tokens.inc_by(answer.usage.completion_tokens.0);
                AttemptEnd::Answered
            }
            AttemptResult::NotStarted(_) => AttemptEnd::NotStarted,
            AttemptResult::Failed(_) => AttemptEnd::Failed,
            AttemptResult::Lost(_) => AttemptEnd::Lost,
        };
        self.attempts.get_or_create(&AttemptLabels { end }).inc();
    }

    /// All metrics as text; those that carry a branch for operators only.
    pub fn render(&self, context: &NodeContext, audience: Audience) -> String {
        let pools = pools_of(context);
        self.refresh(context, &pools);
        let mut text = String::new();
        if let Err(error) = self.encode(&mut text, &pools, audience) {
            log::error!("metrics can't be written: {error}");
        }
        text
    }

    fn encode(
        &self,
        text: &mut String,
        pools: &BTreeMap<PoolId, DispatcherStats>,
        audience: Audience,
    ) -> fmt::Result {
        text::encode_registry(text, &self.registry.lock())?;
        if audience == Audience::Operator {
            let registry = self.branch_registry.lock();
            self.branches.refresh(pools);
            text::encode_registry(text, &registry)?;
        }
        text::encode_eof(text)
    }

    fn refresh(&self, context: &NodeContext, pools: &BTreeMap<PoolId, DispatcherStats>) {
        let now = context.clock.now();
        let position = context.view.position();
        self.active_calls.set(context.gateway.active_calls() as i64);
        self.streams.set(context.gateway.streams() as i64);
        self.open_bodies.set(context.gateway.open_bodies() as i64);
        self.shards.set(context.shards.ids().len() as i64);
        self.shards_led.set(context.shards.led().len() as i64);
        self.settings_version.set(position.settings.0 as i64);
        self.map_epoch.set(position.map.0 as i64);
        self.lease_valid
            .set(i64::from(context.view.lease_valid(now)));
        self.draining.set(i64::from(context.drain.is_draining()));
        self.traffic.refresh(context.transport().counters());
        self.refresh_pools(pools);
    }

    fn refresh_pools(&self, pools: &BTreeMap<PoolId, DispatcherStats>) {
        let sum = |of: CountOf| pools.values().map(of).sum::<u64>() as i64;
        self.pools.set(pools.len() as i64);
        self.waiting_calls.set(sum(|stats| stats.waiting as u64));
        self.running_calls.set(sum(|stats| stats.in_flight as u64));
        let kinds: [(&'static str, CountOf); 11] = [
            ("assigned", |stats| stats.counters.assigned),
            ("resent", |stats| stats.counters.resent),
            ("shed_overload", |stats| stats.counters.shed_overload),
            ("shed_deadline", |stats| stats.counters.shed_deadline),
            ("stale_term", |stats| stats.counters.stale_terms),
            ("stale_attempt", |stats| stats.counters.stale_attempts),
            ("engine_ejected", |stats| stats.counters.ejections),
            ("cache_event_gap", |stats| stats.counters.event_gaps),
            ("lease_renewed", |stats| stats.counters.leases_renewed),
            ("lease_released", |stats| stats.counters.leases_released),
            ("call_forgotten", |stats| stats.counters.dropped_calls),
        ];
        for (kind, of) in kinds {
            let labels = DispatchLabels { kind };
            self.dispatch.get_or_create(&labels).set(sum(of));
        }
    }
}

fn pools_of(context: &NodeContext) -> BTreeMap<PoolId, DispatcherStats> {
    let now = context.clock.now();
    let slots = context.dispatchers.all();
    let stats = slots.iter().map(|slot| {
        let stats = slot.read(|dispatcher| dispatcher.stats(now));
        (slot.pool().clone(), stats)
    });
    stats.collect()
}

impl Default for NodeMetrics {
    fn default() -> NodeMetrics {
        NodeMetrics::new()
    }
}
