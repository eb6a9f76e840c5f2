//! Counters of the node in Prometheus' text format.
//!
//! No metric carries a branch: the groups that share a fleet are rivals, and whoever scrapes a node sees all of it.

use std::sync::atomic::AtomicU64;

use courseshed_transport::TrafficClass;
use courseshed_types::shard::AttemptResult;
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::context::NodeContext;

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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    class: &'static str,
    direction: &'static str,
}

type TextGauge = Gauge<i64, std::sync::atomic::AtomicI64>;

/// The node's metrics.
pub struct NodeMetrics {
    registry: Mutex<Registry>,
    calls: Counter,
    attempts: Family<AttemptLabels, Counter>,
    tokens: Counter<u64, AtomicU64>,
    active_calls: TextGauge,
    streams: TextGauge,
    shards: TextGauge,
    shards_led: TextGauge,
    pools: TextGauge,
    waiting_calls: TextGauge,
    running_calls: TextGauge,
    settings_version: TextGauge,
    map_epoch: TextGauge,
    lease_valid: TextGauge,
    draining: TextGauge,
    traffic_bytes: Family<TrafficLabels, TextGauge>,
    traffic_messages: Family<TrafficLabels, TextGauge>,
    traffic_dropped: Family<TrafficLabels, TextGauge>,
}

impl NodeMetrics {
    /// All at zero.
    pub fn new() -> NodeMetrics {
        let metrics = NodeMetrics {
            registry: Mutex::new(Registry::with_prefix("courseshed")),
            calls: Counter::default(),
            attempts: Family::default(),
            tokens: Counter::default(),
            active_calls: TextGauge::default(),
            streams: TextGauge::default(),
            shards: TextGauge::default(),
            shards_led: TextGauge::default(),
            pools: TextGauge::default(),
            waiting_calls: TextGauge::default(),
            running_calls: TextGauge::default(),
            settings_version: TextGauge::default(),
            map_epoch: TextGauge::default(),
            lease_valid: TextGauge::default(),
            draining: TextGauge::default(),
            traffic_bytes: Family::default(),
            traffic_messages: Family::default(),
            traffic_dropped: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        let mut gauge = |name: &str, help: &str, gauge: &TextGauge| {
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
            "peer_bytes",
            "Bytes of frames exchanged with peers, by class and direction",
            self.traffic_bytes.clone(),
        );
        registry.register(
            "peer_messages",
            "Frames exchanged with peers, by class and direction",
            self.traffic_messages.clone(),
        );
        registry.register(
            "peer_dropped_messages",
            "Messages to peers dropped before they were sent, by class",
            self.traffic_dropped.clone(),
        );
    }

    /// A call was taken.
    pub fn call_started(&self) {
        self.calls.inc();
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

    /// All metrics as text.
    pub fn render(&self, context: &NodeContext) -> String {
        self.refresh(context);
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry.lock()) {
            log::error!("metrics can't be written: {error}");
        }
        text
    }

    fn refresh(&self, context: &NodeContext) {
        let now = context.clock.now();
        let position = context.view.position();
        self.active_calls.set(context.gateway.active_calls() as i64);
        self.streams.set(context.gateway.streams() as i64);
        self.shards.set(context.shards.ids().len() as i64);
        self.shards_led.set(context.shards.led().len() as i64);
        self.settings_version.set(position.settings.0 as i64);
        self.map_epoch.set(position.map.0 as i64);
        self.lease_valid
            .set(i64::from(context.view.lease_valid(now)));
        self.draining.set(i64::from(context.drain.is_draining()));
        let pools = context.dispatchers.all();
        let stats = pools
            .iter()
            .map(|pool| pool.read(|dispatcher| dispatcher.stats(now)));
        let mut waiting = 0;
        let mut running = 0;
        for stats in stats {
            waiting += stats.waiting;
            running += stats.in_flight;
        }
        self.pools.set(pools.len() as i64);
        self.waiting_calls.set(waiting as i64);
        self.running_calls.set(running as i64);
        self.refresh_traffic(context);
    }

    fn refresh_traffic(&self, context: &NodeContext) {
        for class in TrafficClass::ALL {
            let counts = context.transport().counters().snapshot(class);
            let labels = |direction| TrafficLabels {
                class: class.as_str(),
                direction,
            };
            let set = |family: &Family<TrafficLabels, TextGauge>, direction, value: u64| {
                family.get_or_create(&labels(direction)).set(value as i64);
            };
            set(&self.traffic_bytes, "sent", counts.sent_bytes);
            set(&self.traffic_bytes, "received", counts.received_bytes);
            set(&self.traffic_messages, "sent", counts.sent_messages);
            set(&self.traffic_messages, "received", counts.received_messages);
            set(&self.traffic_dropped, "sent", counts.dropped_messages);
        }
    }
}

impl Default for NodeMetrics {
    fn default() -> NodeMetrics {
        NodeMetrics::new()
    }
}
