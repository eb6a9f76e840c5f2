//! Metrics of a process in the Prometheus text format.

mod group_health;
mod labels;
mod listeners;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, AtomicU64};
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use courseshed_records::StoreStats;
use parking_lot::Mutex;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::client_memory::MemoryLimits;
use crate::client_tracker::ClientTracker;
use crate::http::{HttpTiming, listen, serve};
use crate::logging;

pub use group_health::GroupHealthGauges;
pub use labels::{
    CallLabels, ChoiceLabels, DecisionLabels, DisconnectLabels, PoolLabels, ResponseEndLabels,
    ResumptionLabels, ServiceLabels, TenantLabels, WriteLabels,
};
pub use listeners::{ListenerGauges, ListenerMetrics, ListenerReasonLabels};

/// Histogram buckets for durations, in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Permit counts of a tenant, as known to the owner of permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Total permits.
    pub permits: u64,
    /// Permits held by gateways, or possibly still in use.
    pub out: u64,
    /// Permits in use or waited for.
    pub in_use: u64,
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Finished calls.
    pub calls: Family<CallLabels, Counter>,
    /// Duration of calls in seconds.
    pub call_seconds: Histogram,
    /// Requests sent to servers.
    pub attempts: Counter,
    /// Streams resumed after a broken connection.
    pub resumed: Counter,
    /// Resumed streams, by who resumed them and whether the software version stayed the same.
    pub resumptions: Family<ResumptionLabels, Counter>,
    /// Ends of the response bodies of servers.
    pub response_ends: Family<ResponseEndLabels, Counter>,
    /// Age of the routing table's proof when a call with an API key is sent, in seconds.
    pub proof_age: Histogram,
    /// Calls refused because their tenant exceeded its quota.
    pub over_quota: Family<TenantLabels, Counter>,
    /// Time calls waited for a permit that this gateway did not hold, in seconds.
    pub permit_wait: Histogram,
    /// Requests sent to servers that are warming up, each with a permit.
    pub warmup_sends: Family<ServiceLabels, Counter>,
    /// Calls refused because no permit of a server that is warming up was free.
    pub warmup_refusals: Family<ServiceLabels, Counter>,
    /// Time calls waited for a permit of a server that is warming up, in seconds.
    pub warmup_wait: Histogram,
    /// Permits of servers that are warming up that this gateway holds.
    pub warmup_held: Gauge<i64, AtomicI64>,
    warmup_outstanding: Gauge<i64, AtomicI64>,
    avoided: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    permits: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    permits_out: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    permits_in_use: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    /// Calls waiting in pool schedulers on this node.
    pub pool_calls_waiting: Family<PoolLabels, Gauge<i64, AtomicI64>>,
    /// Calls running on engines, as known to pool schedulers on this node.
    pub pool_calls_running: Family<PoolLabels, Gauge<i64, AtomicI64>>,
    /// Decisions of pool schedulers on this node.
    pub pool_decisions: Family<DecisionLabels, Counter>,
    /// Time calls waited in pool schedulers on this node, in seconds.
    pub pool_wait: Histogram,
    /// Server choices for this gateway's calls.
    pub choices: Family<ChoiceLabels, Counter>,
    /// Time until this gateway received a scheduler's verdict, in seconds.
    pub verdict_wait: Histogram,
    /// Bytes buffered for slow clients and servers.
    pub held_bytes: Gauge<i64, AtomicI64>,
    /// Maximum of `held_bytes` since the process started.
    pub held_peak: Gauge<i64, AtomicI64>,
    /// Limit of `held_bytes`.
    pub held_limit: Gauge<i64, AtomicI64>,
    /// Calls refused because there was no memory for their bodies.
    pub held_refusals: Counter,
    /// New programs refused by admission control, by service.
    pub admission_refusals: Family<ServiceLabels, Counter>,
    /// Servers that ended while they had a request of this gateway, by service.
    pub servers_ended: Family<ServiceLabels, Counter>,
    /// Requests given up because too many servers ended under them, by service.
    pub requests_given_up: Family<ServiceLabels, Counter>,
    /// Requests known to this gateway under which servers ended.
    pub suspect_requests: Gauge<i64, AtomicI64>,
    /// Freezes of the event loop.
    pub freezes: Counter,
    /// Requests dropped after a freeze because their client was gone or their deadline had passed.
    pub dropped_after_freeze: Counter,
    /// Client connections aborted because the client did not read.
    pub callers_cut_off: Family<DisconnectLabels, Counter>,
    /// Version of the routing table in force on this node.
    pub routing_version: Gauge<i64, AtomicI64>,
    /// The group of controllers, as the leader sees it; zero at the others.
    pub group_health: GroupHealthGauges,
    /// Connections and memory of the listeners of this process.
    pub listeners: ListenerMetrics,
    /// Revision of the record partitions known to this node.
    pub record_revision: Gauge<i64, AtomicI64>,
    /// Chains of turns that this gateway read although replicas lacked turns of them.
    pub chains_assembled: Counter,
    /// Lookups of this gateway of a chain that no replica has an ancestor of.
    pub chains_lost: Counter,
    /// Missing ancestors of its turns that this store fetched from other replicas.
    pub turns_repaired: Counter,
    /// Size of their inputs and outputs in bytes.
    pub repaired_bytes: Counter,
    /// Records that this store copied from other replicas after an absence.
    pub records_copied: Counter,
    /// Reservations that this gateway wrote to replicas that lacked them.
    pub reservations_repaired: Counter,
    /// Software versions of streams that this store holds.
    pub stream_versions: Gauge<i64, AtomicI64>,
    /// Attempts at streams that this store holds.
    pub stream_attempts: Gauge<i64, AtomicI64>,
    /// Bytes that their outputs count for.
    pub stream_output_bytes: Gauge<i64, AtomicI64>,
    /// Time until stores have kept an output before it is passed on, in seconds.
    pub output_keep_time: Histogram,
    /// Software versions of streams that this gateway recorded at stores, by outcome.
    pub stream_version_writes: Family<WriteLabels, Counter>,
    /// Time to look up the software version of a stream, in seconds.
    pub stream_version_lookup: Histogram,
    /// Gauges of a store; zero in other roles.
    records: Vec<(StoreGauge, Gauge<i64, AtomicI64>)>,
    log_lines_dropped: Counter<u64, AtomicU64>,
}

/// A gauge that is read from a store's figures.
#[derive(Clone, Copy, Debug)]
struct StoreGauge {
    name: &'static str,
    help: &'static str,
    read: fn(&StoreStats) -> u64,
}

const STORE_GAUGES: [StoreGauge; 10] = [
    StoreGauge {
        name: "record_turns",
        help: "Turns that the store keeps",
        read: |figures| figures.turns,
    },
    StoreGauge {
        name: "record_reservations",
        help: "Reservations that the store keeps",
        read: |figures| figures.reservations,
    },
    StoreGauge {
        name: "record_segments",
        help: "Files of the store",
        read: |figures| figures.segments,
    },
    StoreGauge {
        name: "record_file_bytes",
        help: "Size of the store's files",
        read: |figures| figures.file_bytes,
    },
    StoreGauge {
        name: "record_live_bytes",
        help: "What is needed of the store's files",
        read: |figures| figures.live_bytes,
    },
    StoreGauge {
        name: "record_index_bytes",
        help: "Memory of the store's index, estimated",
        read: |figures| figures.index_bytes,
    },
    StoreGauge {
        name: "record_gaps",
        help: "Missing ancestors of turns that the store keeps",
        read: |figures| figures.gaps,
    },
    StoreGauge {
        name: "record_cache_bytes",
        help: "Memory of the store's cache of turns",
        read: |figures| figures.cache_bytes,
    },
    StoreGauge {
        name: "record_cache_misses",
        help: "Turns read from files since the start",
        read: |figures| figures.cache_misses,
    },
    StoreGauge {
        name: "record_carried_bytes",
        help: "Bytes written anew to give space back since the start",
        read: |figures| figures.compacted_bytes,
    },
];

impl Metrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("courseshed")),
            calls: Family::default(),
            call_seconds: Histogram::new(DURATION_BUCKETS),
            attempts: Counter::default(),
            resumed: Counter::default(),
            resumptions: Family::default(),
            response_ends: Family::default(),
            proof_age: Histogram::new(DURATION_BUCKETS),
            over_quota: Family::default(),
            permit_wait: Histogram::new(DURATION_BUCKETS),
            warmup_sends: Family::default(),
            warmup_refusals: Family::default(),
            warmup_wait: Histogram::new(DURATION_BUCKETS),
            warmup_held: Gauge::default(),
            warmup_outstanding: Gauge::default(),
            avoided: Family::default(),
            permits: Family::default(),
            permits_out: Family::default(),
            permits_in_use: Family::default(),
            pool_calls_waiting: Family::default(),
            pool_calls_running: Family::default(),
            pool_decisions: Family::default(),
            pool_wait: Histogram::new(DURATION_BUCKETS),
            choices: Family::default(),
            verdict_wait: Histogram::new(DURATION_BUCKETS),
            held_bytes: Gauge::default(),
            held_peak: Gauge::default(),
            held_limit: Gauge::default(),
            held_refusals: Counter::default(),
            admission_refusals: Family::default(),
            servers_ended: Family::default(),
            requests_given_up: Family::default(),
            suspect_requests: Gauge::default(),
            freezes: Counter::default(),
            dropped_after_freeze: Counter::default(),
            callers_cut_off: Family::default(),
            routing_version: Gauge::default(),
            group_health: GroupHealthGauges::default(),
            listeners: ListenerMetrics::default(),
            record_revision: Gauge::default(),
            chains_assembled: Counter::default(),
            chains_lost: Counter::default(),
            turns_repaired: Counter::default(),
            repaired_bytes: Counter::default(),
            reservations_repaired: Counter::default(),
            records_copied: Counter::default(),
            stream_versions: Gauge::default(),
            stream_attempts: Gauge::default(),
            stream_output_bytes: Gauge::default(),
            output_keep_time: Histogram::new(DURATION_BUCKETS),
            stream_version_writes: Family::default(),
            stream_version_lookup: Histogram::new(DURATION_BUCKETS),
            records: STORE_GAUGES
                .map(|figure| (figure, Gauge::default()))
                .to_vec(),
            log_lines_dropped: Counter::default(),
        };
        metrics.register();
        metrics.register_scheduling();
        metrics.register_warmup();
        metrics.register_streams();
        metrics.group_health.register(&mut metrics.registry.lock());
        metrics.listeners.register(&mut metrics.registry.lock());
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        self.register_held(&mut registry);
        registry.register("calls", "Calls that are over", self.calls.clone());
        registry.register(
            "call_seconds",
            "Time from a call's arrival to its end",
            self.call_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Requests sent to servers",
            self.attempts.clone(),
        );
        registry.register(
            "resumed",
            "Streams taken up after a break",
            self.resumed.clone(),
        );
        registry.register(
            "proof_age_seconds",
            "Age of the proof that keys may be used, when a call was sent",
            self.proof_age.clone(),
        );
        registry.register(
            "over_quota",
            "Calls refused since their tenant had made as many as it may",
            self.over_quota.clone(),
        );
        registry.register(
            "permit_wait_seconds",
            "How long calls waited for a permit that the gateway didn't hold",
            self.permit_wait.clone(),
        );
        registry.register(
            "servers_avoided",
            "Servers that get no calls since they fail far more than the others",
            self.avoided.clone(),
        );
        registry.register(
            "tenant_permits",
            "Permits of a tenant; told by the leader of the controllers",
            self.permits.clone(),
        );
        registry.register(
            "tenant_permits_out",
            "Permits of a tenant that gateways hold, or that may be occupied",
            self.permits_out.clone(),
        );
        registry.register(
            "tenant_permits_in_use",
            "Permits of a tenant that are occupied or waited for",
            self.permits_in_use.clone(),
        );
        registry.register(
            "routing_version",
            "Version of the routing table in force",
            self.routing_version.clone(),
        );
        registry.register(
            "record_revision",
            "Revision of the partitions of the records",
            self.record_revision.clone(),
        );
        registry.register(
            "chains_assembled",
            "Chains of turns that the gateway read although replicas lacked turns of them",
            self.chains_assembled.clone(),
        );
        registry.register(
            "chains_lost",
            "Lookups of chains of turns that no replica has an ancestor of",
            self.chains_lost.clone(),
        );
        registry.register(
            "record_turns_repaired",
            "Missing ancestors of its turns that the store fetched from other replicas",
            self.turns_repaired.clone(),
        );
        registry.register(
            "record_repaired_bytes",
            "Size of the missing ancestors that the store fetched",
            self.repaired_bytes.clone(),
        );
        registry.register(
            "records_copied",
            "Records that the store copied from other replicas after an absence",
            self.records_copied.clone(),
        );
        registry.register(
            "reservations_repaired",
            "Reservations that the gateway wrote to replicas that lacked them",
            self.reservations_repaired.clone(),
        );
        for (figure, gauge) in &self.records {
            registry.register(figure.name, figure.help, gauge.clone());
        }
        registry.register(
            "log_lines_left_out",
            "Log lines that were left out",
            self.log_lines_dropped.clone(),
        );
    }

    fn register_scheduling(&self) {
        let mut registry = self.registry.lock();
        registry.register(
            "pool_calls_waiting",
            "Calls that wait at the scheduler of a pool",
            self.pool_calls_waiting.clone(),
        );
        registry.register(
            "pool_calls_running",
            "Calls that the scheduler of a pool knows to be at engines",
            self.pool_calls_running.clone(),
        );
        registry.register(
            "pool_decisions",
            "Decisions of the schedulers of pools",
            self.pool_decisions.clone(),
        );
        registry.register(
            "pool_wait_seconds",
            "How long calls waited at the scheduler of their pool until they were decided",
            self.pool_wait.clone(),
        );
        registry.register(
            "choices",
            "Choices of servers, by the scheduler of a pool or by the gateway itself",
            self.choices.clone(),
        );
        registry.register(
            "verdict_wait_seconds",
            "How long a gateway's calls took to get a verdict of a scheduler",
            self.verdict_wait.clone(),
        );
    }

    fn register_warmup(&self) {
        let mut registry = self.registry.lock();
        registry.register(
            "warmup_sends",
            "Requests sent to servers that are warming up, each with a permit",
            self.warmup_sends.clone(),
        );
        registry.register(
            "warmup_refusals",
            "Calls refused since no permit of a server that is warming up was free",
            self.warmup_refusals.clone(),
        );
        registry.register(
            "warmup_wait_seconds",
            "How long calls waited for a permit of a server that is warming up",
            self.warmup_wait.clone(),
        );
        registry.register(
            "warmup_permits_held",
            "Permits of servers that are warming up that the gateway holds",
            self.warmup_held.clone(),
        );
        registry.register(
            "warmup_permits_out",
            "Permits of servers that are warming up that gateways hold, or that may be occupied; told by the leader of the controllers",
            self.warmup_outstanding.clone(),
        );
    }

    fn register_streams(&self) {
        let mut registry = self.registry.lock();
        registry.register(
            "stream_resumptions",
            "Resumed streams, by who resumed them, the client or the gateway, and the outcome",
            self.resumptions.clone(),
        );
        registry.register(
            "response_ends",
            "Ends of the response bodies of servers, by framing, what ended the body, and whether it is complete",
            self.response_ends.clone(),
        );
        registry.register(
            "stream_versions",
            "Software versions of streams that the store holds",
            self.stream_versions.clone(),
        );
        registry.register(
            "stream_version_writes",
            "Software versions of streams that the gateway recorded at stores, by outcome",
            self.stream_version_writes.clone(),
        );
        registry.register(
            "stream_version_lookup_seconds",
            "How long the gateway took to look up the software version of a stream",
            self.stream_version_lookup.clone(),
        );
        registry.register(
            "stream_attempts",
            "Attempts at streams under way that the store holds",
            self.stream_attempts.clone(),
        );
        registry.register(
            "stream_output_bytes",
            "What the outputs of these attempts count for",
            self.stream_output_bytes.clone(),
        );
        registry.register(
            "output_keep_seconds",
            "How long an output waited until stores kept it",
            self.output_keep_time.clone(),
        );
    }

    fn register_held(&self, registry: &mut Registry) {
        registry.register(
            "held_bytes",
            "Bytes held for callers and servers that read slowly",
            self.held_bytes.clone(),
        );
        registry.register(
            "held_peak_bytes",
            "The most bytes held so since the start",
            self.held_peak.clone(),
        );
        registry.register(
            "held_limit_bytes",
            "The most bytes that may be held so",
            self.held_limit.clone(),
        );
        registry.register(
            "held_refusals",
            "Calls refused since there was no memory for their bodies",
            self.held_refusals.clone(),
        );
        registry.register(
            "admission_refusals",
            "New programs refused since servers were short of capacity",
            self.admission_refusals.clone(),
        );
        registry.register(
            "servers_ended",
            "Servers that ended while they had a request of this gateway",
            self.servers_ended.clone(),
        );
        registry.register(
            "requests_given_up",
            "Requests given up because too many servers ended under them",
            self.requests_given_up.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests known here under which servers ended",
            self.suspect_requests.clone(),
        );
        registry.register(
            "freezes",
            "Times that the event loop of this process stood still",
            self.freezes.clone(),
        );
        registry.register(
            "dropped_after_freeze",
            "Requests dropped after a freeze, since their client was gone or their time over",
            self.dropped_after_freeze.clone(),
        );
        registry.register(
            "callers_cut_off",
            "Callers cut off since they didn't read",
            self.callers_cut_off.clone(),
        );
    }

    /// Sets `held_bytes` and updates its maximum.
    pub fn set_held(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_bytes.set(bytes);
        if bytes > self.held_peak.get() {
            self.held_peak.set(bytes);
        }
    }

    /// Records the age of the routing table's proof for a call; none counts as infinite.
    pub fn observe_proof_age(&self, age: Option<Duration>) {
        let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.proof_age.observe(age);
    }

    /// Sets the number of avoided servers by service.
    pub fn set_avoided(&self, avoided: &BTreeMap<String, usize>) {
        self.avoided.clear();
        for (service, number) in avoided {
            let labels = ServiceLabels {
                service: service.clone(),
            };
            let number = i64::try_from(*number).unwrap_or(i64::MAX);
            self.avoided.get_or_create(&labels).set(number);
        }
    }

    /// Removes the permit gauges of all tenants, when this controller stops owning permits.
    pub fn clear_permits(&self) {
        for family in [&self.permits, &self.permits_out, &self.permits_in_use] {
            family.clear();
        }
    }

    /// Sets the outstanding permits of servers that are warming up.
    pub fn set_warmup_outstanding(&self, permits: u64) {
        let permits = i64::try_from(permits).unwrap_or(i64::MAX);
        self.warmup_outstanding.set(permits);
    }

    /// Sets the permit gauges of a tenant.
    pub fn set_permits(&self, tenant: &str, figures: PermitCounts) {
        let labels = TenantLabels {
            tenant: tenant.to_owned(),
        };
        let gauges = [
            (&self.permits, figures.permits),
            (&self.permits_out, figures.out),
            (&self.permits_in_use, figures.in_use),
        ];
        for (family, figure) in gauges {
            let figure = i64::try_from(figure).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(figure);
        }
    }

    /// Sets the gauges of a store.
    pub fn set_records(&self, figures: &StoreStats) {
        for (figure, gauge) in &self.records {
            gauge.set(i64::try_from((figure.read)(figures)).unwrap_or(i64::MAX));
        }
    }

    /// Encodes all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        let reported = self.log_lines_dropped.get();
        self.log_lines_dropped
            .inc_by(logging::dropped_lines().saturating_sub(reported));
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry.lock());
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Serves the metrics on an address indefinitely.
pub async fn serve_metrics(metrics: std::sync::Arc<Metrics>, address: SocketAddr) {
    match listen(address) {
        Ok(listener) => {
            let limits = MemoryLimits::for_probes(usize::MAX);
            let clients = ClientTracker::new("metrics", limits, metrics.clone());
            serve(listener, clients, HttpTiming::default, move |_| {
                let text = metrics.text();
                std::future::ready(Response::ok().set_body(BoxBody::new(text)))
            })
            .await;
        }
        Err(error) => {
            log::warn!(event = "no_metrics", address:% = address; "cannot serve metrics: {error}");
        }
    }
}
