//! Aggregation of load and outcome reports of gateways. The caller passes times in.
//!
//! Each gateway reports its calls to the controller it follows, which sums them up and forwards the
//! sum to the other controllers. Sums are approximate: they lag behind, and reports of unresponsive
//! gateways expire. The report interval and lifetime grow with the number of servers to stay within
//! [`REPORT_BYTES_PER_SECOND`].
//!
//! Outcomes are decaying totals (see [`OutcomeCounts`]), so the newest report is complete by
//! itself. Successes are reported for all servers, since a failure rate would be overestimated
//! without the successes of gateways that saw no failure. Failures are only reported for servers
//! that have any.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};
use serde::{Deserialize, Serialize};

use crate::outcomes::OutcomeCounts;

/// Bandwidth budget for reports per node.
const REPORT_BYTES_PER_SECOND: f64 = 8_000.0;
/// Approximate encoded size of a report without its entries, and of each entry.
const REPORT_OVERHEAD_BYTES: f64 = 100.0;
const BYTES_PER_SERVER: f64 = 10.0;
/// Lifetime of a report: a minimum, and a number of report intervals.
const MIN_REPORT_LIFETIME: Duration = Duration::from_secs(1);
const REPORT_LIFETIME_INTERVALS: u32 = 3;
/// Fixed-point scale of answered calls. Small counts are encoded in one byte, with enough precision
/// for gateways with few calls to many servers.
const ANSWERED_SCALE: f64 = 8.0;
/// Fixed-point scale of failed calls, fine enough to distinguish one failure from rounding errors.
const FAILED_SCALE: f64 = 64.0;

/// The interval after `reports` reports with `servers` entries in total, at least `min_interval`.
#[must_use]
pub fn report_interval(reports: usize, servers: usize, min_interval: Duration) -> Duration {
    let bytes = REPORT_OVERHEAD_BYTES * reports as f64 + BYTES_PER_SERVER * servers as f64;
    min_interval.max(Duration::from_secs_f64(bytes / REPORT_BYTES_PER_SECOND))
}

/// Load of one server. Encoded as a tuple to save space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ServerKey, u32, u32)", into = "(ServerKey, u32, u32)")]
pub struct ServerLoad {
    /// The server.
    pub server: ServerKey,
    /// Calls in flight.
    pub in_flight: u32,
    /// Decayed number of answered calls, in eighths.
    pub answered_eighths: u32,
}

/// Failed calls of one server. Encoded as a tuple to save space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ServerKey, u32)", into = "(ServerKey, u32)")]
pub struct ServerFailures {
    /// The server.
    pub server: ServerKey,
    /// Decayed number of failed calls, in 64ths.
    pub failed_64ths: u32,
}

impl From<(ServerKey, u32, u32)> for ServerLoad {
    fn from((server, in_flight, answered_eighths): (ServerKey, u32, u32)) -> Self {
        Self {
            server,
            in_flight,
            answered_eighths,
        }
    }
}

impl From<ServerLoad> for (ServerKey, u32, u32) {
    fn from(load: ServerLoad) -> Self {
        (load.server, load.in_flight, load.answered_eighths)
    }
}

impl From<(ServerKey, u32)> for ServerFailures {
    fn from((server, failed_64ths): (ServerKey, u32)) -> Self {
        Self {
            server,
            failed_64ths,
        }
    }
}

impl From<ServerFailures> for (ServerKey, u32) {
    fn from(failures: ServerFailures) -> Self {
        (failures.server, failures.failed_64ths)
    }
}

/// Load of all servers as seen by some gateways. Servers without calls are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of gateways included.
    pub gateways: u32,
    /// Lifetime of the report after receipt in milliseconds.
    #[serde(rename = "counts_for_ms")]
    pub lifetime_ms: u64,
    /// Load by server.
    pub servers: Vec<ServerLoad>,
    /// Failed calls by server.
    pub failures: Vec<ServerFailures>,
}

impl LoadReport {
    /// Builds a report from the calls in flight and outcomes of servers.
    #[must_use]
    pub fn of(
        gateways: u32,
        calls: impl IntoIterator<Item = (ServerKey, u32, OutcomeCounts)>,
    ) -> Self {
        let mut report = Self {
            gateways,
            ..Self::default()
        };
        for (server, in_flight, counts) in calls {
            let answered_eighths = (counts.answered * ANSWERED_SCALE).round() as u32;
            let failed_64ths = (counts.failed * FAILED_SCALE).round() as u32;
            if in_flight > 0 || answered_eighths > 0 {
                report.servers.push(ServerLoad {
                    server,
                    in_flight,
                    answered_eighths,
                });
            }
            if failed_64ths > 0 {
                report.failures.push(ServerFailures {
                    server,
                    failed_64ths,
                });
            }
        }
        report
    }

    /// Calls in flight and outcomes by server.
    #[must_use]
    pub fn by_server(&self) -> BTreeMap<ServerKey, (u32, OutcomeCounts)> {
        let mut calls: BTreeMap<ServerKey, (u32, OutcomeCounts)> = BTreeMap::new();
        for load in &self.servers {
            let entry = calls.entry(load.server).or_default();
            entry.0 += load.in_flight;
            entry.1.answered += f64::from(load.answered_eighths) / ANSWERED_SCALE;
        }
        for failures in &self.failures {
            let entry = calls.entry(failures.server).or_default();
            entry.1.failed += f64::from(failures.failed_64ths) / FAILED_SCALE;
        }
        calls
    }

    /// Number of entries in the report.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.servers.len() + self.failures.len()
    }

    /// The report with a lifetime that suits the interval until the next one.
    #[must_use]
    pub fn with_lifetime_for(self, interval: Duration) -> Self {
        let lifetime = MIN_REPORT_LIFETIME.max(interval * REPORT_LIFETIME_INTERVALS);
        Self {
            lifetime_ms: lifetime.as_millis() as u64,
            ..self
        }
    }
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    at: Duration,
    report: LoadReport,
}

/// The newest reports of gateways and of other controllers.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    gateways: BTreeMap<NodeId, ReceivedReport>,
    controllers: BTreeMap<NodeId, ReceivedReport>,
}

impl LoadAggregator {
    /// Stores the report of a gateway.
    pub fn record_gateway(&mut self, now: Duration, gateway: NodeId, report: LoadReport) {
        let received = ReceivedReport { at: now, report };
        self.gateways.insert(gateway, received);
    }

    /// Stores the sum reported by another controller.
    pub fn record_controller(&mut self, now: Duration, controller: NodeId, report: LoadReport) {
        let received = ReceivedReport { at: now, report };
        self.controllers.insert(controller, received);
    }

    /// Sum of the reports of the gateways that follow this controller.
    #[must_use]
    pub fn own_gateways(&self, now: Duration) -> LoadReport {
        sum_valid_reports(self.gateways.values(), now)
    }

    /// Sum of all reports except that of one gateway.
    #[must_use]
    pub fn sum_excluding(&self, now: Duration, gateway: NodeId) -> LoadReport {
        let own = self.gateways.iter().filter(|(node, _)| **node != gateway);
        let own = own.map(|(_, received)| received);
        sum_valid_reports(own.chain(self.controllers.values()), now)
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Duration) {
        self.gateways
            .retain(|_, received| received.is_valid_at(now));
        self.controllers
            .retain(|_, received| received.is_valid_at(now));
    }
}

impl ReceivedReport {
    fn is_valid_at(&self, now: Duration) -> bool {
        let lifetime = Duration::from_millis(self.report.lifetime_ms);
        now.saturating_sub(self.at) < lifetime
    }
}

/// Sum of the unexpired reports. Outcomes decay from the receipt of their report.
fn sum_valid_reports<'a>(
    received: impl Iterator<Item = &'a ReceivedReport>,
    now: Duration,
) -> LoadReport {
    let mut gateways = 0;
    let mut sums: BTreeMap<ServerKey, (u32, OutcomeCounts)> = BTreeMap::new();
    for received in received.filter(|received| received.is_valid_at(now)) {
        gateways += received.report.gateways;
        let age = now.saturating_sub(received.at);
        for (server, (in_flight, counts)) in received.report.by_server() {
            let sum = sums.entry(server).or_default();
            sum.0 += in_flight;
            sum.1 = sum.1.plus(&counts.decayed(age));
        }
    }
    let sums = sums.into_iter();
    LoadReport::of(
        gateways,
        sums.map(|(server, (in_flight, counts))| (server, in_flight, counts)),
    )
}
