//! Counters and histograms of a process, as text for whoever scrapes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, AtomicU64};
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use courseshed_records::StoreFigures;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::http::{HttpTiming, listen, serve};
use crate::logging;

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The service it was for.
    pub service: String,
    /// How it ended, as in the log.
    pub outcome: &'static str,
}

/// A tenant, as a label. There are as many as routing tables have named.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// The tenant.
    pub tenant: String,
}

/// A pool of engines, as a label. There are as many as routing tables have named.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabels {
    /// The service that it serves.
    pub service: String,
}

/// What the scheduler of a pool said to calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DecisionLabels {
    /// The service that the pool serves.
    pub service: String,
    /// What it said.
    pub verdict: &'static str,
}

/// Who chose the server of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ChoiceLabels {
    /// The scheduler of the pool, or the gateway itself.
    pub by: &'static str,
}

/// A service, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Why callers were cut off, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CutLabels {
    /// Why.
    pub reason: &'static str,
}

/// What an owner of permits knows of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitFigures {
    /// Permits that there are.
    pub permits: u64,
    /// Permits that gateways hold, or that may still be occupied.
    pub out: u64,
    /// Permits that are occupied or waited for.
    pub in_use: u64,
}

/// The counters and histograms of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Calls that are over.
    pub calls: Family<CallLabels, Counter>,
    /// Times from a call's arrival to its end, in seconds.
    pub call_seconds: Histogram,
    /// Requests sent to servers.
    pub attempts: Counter,
    /// Streams taken up at a server after a break.
    pub resumed: Counter,
    /// How old the proof of the routing table was when a call with a key was sent, in seconds.
    pub proof_age: Histogram,
    /// Calls that were refused since their tenant had made as many as it may.
    pub over_quota: Family<TenantLabels, Counter>,
    /// How long calls waited for a permit that this gateway didn't hold, in seconds.
    pub permit_wait: Histogram,
    avoided: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    permits: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    permits_out: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    permits_in_use: Family<TenantLabels, Gauge<i64, AtomicI64>>,
    /// Calls that wait at the scheduler of a pool here.
    pub pool_calls_waiting: Family<PoolLabels, Gauge<i64, AtomicI64>>,
    /// Calls that the scheduler of a pool here knows to be at engines.
    pub pool_calls_running: Family<PoolLabels, Gauge<i64, AtomicI64>>,
    /// Decisions of the schedulers of pools here.
    pub pool_decisions: Family<DecisionLabels, Counter>,
    /// How long calls waited at the schedulers here until they were decided, in seconds.
    pub pool_wait: Histogram,
    /// Choices of servers by this gateway's calls.
    pub choices: Family<ChoiceLabels, Counter>,
    /// How long this gateway's calls took to get a verdict of a scheduler, in seconds.
    pub verdict_wait: Histogram,
    /// Bytes that a gateway holds for callers and servers that read slowly.
    pub held_bytes: Gauge<i64, AtomicI64>,
    /// The most that it held since the start.
    pub held_peak: Gauge<i64, AtomicI64>,
    /// The most that it may hold.
    pub held_limit: Gauge<i64, AtomicI64>,
    /// Calls refused since there was no memory for their bodies.
    pub held_refusals: Counter,
    /// Callers that were cut off since they didn't read.
    pub callers_cut_off: Family<CutLabels, Counter>,
    /// Version of the routing table in force here.
    pub routing_version: Gauge<i64, AtomicI64>,
    /// Revision of the partitions of the records, as known here.
    pub record_revision: Gauge<i64, AtomicI64>,
    /// What a store holds and uses; all zero in other roles.
    records: Vec<(RecordFigure, Gauge<i64, AtomicI64>)>,
    log_lines_left_out: Counter<u64, AtomicU64>,
}

/// A figure of a store that is told as a gauge.
#[derive(Clone, Copy, Debug)]
struct RecordFigure {
    name: &'static str,
    help: &'static str,
    read: fn(&StoreFigures) -> u64,
}

const RECORD_FIGURES: [RecordFigure; 9] = [
    RecordFigure {
        name: "record_turns",
        help: "Turns that the store keeps",
        read: |figures| figures.turns,
    },
    RecordFigure {
        name: "record_reservations",
        help: "Reservations that the store keeps",
        read: |figures| figures.reservations,
    },
    RecordFigure {
        name: "record_segments",
        help: "Files of the store",
        read: |figures| figures.segments,
    },
    RecordFigure {
        name: "record_file_bytes",
        help: "Size of the store's files",
        read: |figures| figures.file_bytes,
    },
    RecordFigure {
        name: "record_live_bytes",
        help: "What is needed of the store's files",
        read: |figures| figures.live_bytes,
    },
    RecordFigure {
        name: "record_index_bytes",
        help: "Memory of the store's index, estimated",
        read: |figures| figures.index_bytes,
    },
    RecordFigure {
        name: "record_cache_bytes",
        help: "Memory of the store's cache of turns",
        read: |figures| figures.cache_bytes,
    },
    RecordFigure {
        name: "record_cache_misses",
        help: "Turns read from files since the start",
        read: |figures| figures.cache_misses,
    },
    RecordFigure {
        name: "record_carried_bytes",
        help: "Bytes written anew to give space back since the start",
        read: |figures| figures.carried_bytes,
    },
];

impl Metrics {
    /// All at zero.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("courseshed")),
            calls: Family::default(),
            call_seconds: Histogram::new(SECONDS),
            attempts: Counter::default(),
            resumed: Counter::default(),
            proof_age: Histogram::new(SECONDS),
            over_quota: Family::default(),
            permit_wait: Histogram::new(SECONDS),
            avoided: Family::default(),
            permits: Family::default(),
            permits_out: Family::default(),
            permits_in_use: Family::default(),
            pool_calls_waiting: Family::default(),
            pool_calls_running: Family::default(),
            pool_decisions: Family::default(),
            pool_wait: Histogram::new(SECONDS),
            choices: Family::default(),
            verdict_wait: Histogram::new(SECONDS),
            held_bytes: Gauge::default(),
            held_peak: Gauge::default(),
            held_limit: Gauge::default(),
            held_refusals: Counter::default(),
            callers_cut_off: Family::default(),
            routing_version: Gauge::default(),
            record_revision: Gauge::default(),
            records: RECORD_FIGURES
                .map(|figure| (figure, Gauge::default()))
                .to_vec(),
            log_lines_left_out: Counter::default(),
        };
        metrics.register();
        metrics.register_scheduling();
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
        for (figure, gauge) in &self.records {
            registry.register(figure.name, figure.help, gauge.clone());
        }
        registry.register(
            "log_lines_left_out",
            "Log lines that were left out",
            self.log_lines_left_out.clone(),
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
            "callers_cut_off",
            "Callers cut off since they didn't read",
            self.callers_cut_off.clone(),
        );
    }

    /// Notes how many bytes are held for callers and servers that read slowly.
    pub fn set_held(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_bytes.set(bytes);
        if bytes > self.held_peak.get() {
            self.held_peak.set(bytes);
        }
    }

    /// Notes how old the proof of the routing table was when a call with a key was to be sent.
    pub fn note_proof_age(&self, age: Option<Duration>) {
        let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.proof_age.observe(age);
    }

    /// Notes how many servers are avoided, by service.
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

    /// Forgets the permits of all tenants: another controller owns them.
    pub fn clear_permits(&self) {
        for family in [&self.permits, &self.permits_out, &self.permits_in_use] {
            family.clear();
        }
    }

    /// Notes what the owner of permits knows of a tenant.
    pub fn set_permits(&self, tenant: &str, figures: PermitFigures) {
        let labels = TenantLabels {
            tenant: tenant.to_owned(),
        };
        let told = [
            (&self.permits, figures.permits),
            (&self.permits_out, figures.out),
            (&self.permits_in_use, figures.in_use),
        ];
        for (family, figure) in told {
            let figure = i64::try_from(figure).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(figure);
        }
    }

    /// Notes what a store holds and uses.
    pub fn set_records(&self, figures: &StoreFigures) {
        for (figure, gauge) in &self.records {
            gauge.set(i64::try_from((figure.read)(figures)).unwrap_or(i64::MAX));
        }
    }

    /// All of it, as text.
    #[must_use]
    pub fn text(&self) -> String {
        let told = self.log_lines_left_out.get();
        self.log_lines_left_out
            .inc_by(logging::left_out().saturating_sub(told));
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

/// Serves the figures on an address until the process ends.
pub async fn serve_metrics(metrics: std::sync::Arc<Metrics>, address: SocketAddr) {
    match listen(address) {
        Ok(listener) => {
            serve(listener, HttpTiming::default, move |_| {
                let text = metrics.text();
                std::future::ready(Response::ok().set_body(BoxBody::new(text)))
            })
            .await;
        }
        Err(error) => {
            log::warn!(event = "no_metrics", address:% = address; "metrics can't be served: {error}");
        }
    }
}
