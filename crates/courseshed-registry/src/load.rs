//! How many calls gateways have at servers, and what became of those before, shared among them. Pure:
//! times are passed in.
//!
//! Each gateway reports its own calls to the controller that it follows, which sums them up and
//! tells the other controllers. The sums are soft knowledge: they lag behind, and a gateway that
//! falls silent is forgotten. With many servers reports come less often, so that they take no more
//! of a link than [`BYTES_PER_SECOND`], and count for longer.
//!
//! What became of calls is told as totals that fade (see [`OutcomeCounts`]), so that the newest report
//! says all. Answered calls are told of all servers: a share of failures that lacks the answers of those
//! gateways that saw no failure is far too large. Failures are told only of servers that have some.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};
use serde::{Deserialize, Serialize};

use crate::outcomes::OutcomeCounts;

/// What reports may take of a node's link.
const BYTES_PER_SECOND: f64 = 8_000.0;
/// About what a report takes without, and for, each server.
const BYTES_OF_REPORT: f64 = 100.0;
const BYTES_OF_SERVER: f64 = 10.0;
/// How long a report counts after it came: at least so long, and for so many pauses.
const LEAST_LIFE: Duration = Duration::from_secs(1);
const LIFE_IN_PAUSES: u32 = 3;
/// Answered calls are told in eighths: small numbers take one byte, and what a gateway with few calls at
/// many servers has there isn't lost in rounding.
const ANSWERED_UNITS: f64 = 8.0;
/// Failed calls are told in 64ths: a single one must be told from what is rounded at many gateways.
const FAILED_UNITS: f64 = 64.0;

/// The pause after reports that named so many servers in all, at least `least`.
#[must_use]
pub fn pause_after_reports(reports: usize, servers: usize, least: Duration) -> Duration {
    let bytes = BYTES_OF_REPORT * reports as f64 + BYTES_OF_SERVER * servers as f64;
    least.max(Duration::from_secs_f64(bytes / BYTES_PER_SECOND))
}

/// The calls at one server. Written without the names of its fields: there are many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ServerKey, u32, u32)", into = "(ServerKey, u32, u32)")]
pub struct ServerLoad {
    /// The server.
    pub server: ServerKey,
    /// Calls sent there that are not over.
    pub in_flight: u32,
    /// What is left of the calls that were answered, in eighths.
    pub answered_eighths: u32,
}

/// The calls that failed at one server. Written without the names of its fields, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ServerKey, u32)", into = "(ServerKey, u32)")]
pub struct ServerFailures {
    /// The server.
    pub server: ServerKey,
    /// What is left of the calls that failed, in 64ths.
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

/// The calls of some gateways at all servers. Servers without calls are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How many gateways it speaks for.
    pub gateways: u32,
    /// How long it counts after it came, in milliseconds.
    pub counts_for_ms: u64,
    /// Their calls.
    pub servers: Vec<ServerLoad>,
    /// Their failed calls.
    pub failures: Vec<ServerFailures>,
}

impl LoadReport {
    /// The report of calls at servers, and of what became of those before.
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
            let answered_eighths = (counts.answered * ANSWERED_UNITS).round() as u32;
            let failed_64ths = (counts.failed * FAILED_UNITS).round() as u32;
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

    /// Calls under way, and what became of those before, by server.
    #[must_use]
    pub fn by_server(&self) -> BTreeMap<ServerKey, (u32, OutcomeCounts)> {
        let mut calls: BTreeMap<ServerKey, (u32, OutcomeCounts)> = BTreeMap::new();
        for load in &self.servers {
            let entry = calls.entry(load.server).or_default();
            entry.0 += load.in_flight;
            entry.1.answered += f64::from(load.answered_eighths) / ANSWERED_UNITS;
        }
        for failures in &self.failures {
            let entry = calls.entry(failures.server).or_default();
            entry.1.failed += f64::from(failures.failed_64ths) / FAILED_UNITS;
        }
        calls
    }

    /// How many lines of servers it has.
    #[must_use]
    pub fn lines(&self) -> usize {
        self.servers.len() + self.failures.len()
    }

    /// The same report, to be followed by the next one after a pause.
    #[must_use]
    pub fn until_next(self, pause: Duration) -> Self {
        let life = LEAST_LIFE.max(pause * LIFE_IN_PAUSES);
        Self {
            counts_for_ms: life.as_millis() as u64,
            ..self
        }
    }
}

#[derive(Clone, Debug)]
struct Received {
    at: Duration,
    report: LoadReport,
}

/// The newest reports, of gateways and of other controllers.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    gateways: BTreeMap<NodeId, Received>,
    controllers: BTreeMap<NodeId, Received>,
}

impl LoadBoard {
    /// Takes in what a gateway has at servers.
    pub fn note_gateway(&mut self, now: Duration, gateway: NodeId, report: LoadReport) {
        let received = Received { at: now, report };
        self.gateways.insert(gateway, received);
    }

    /// Takes in the sum of another controller.
    pub fn note_controller(&mut self, now: Duration, controller: NodeId, report: LoadReport) {
        let received = Received { at: now, report };
        self.controllers.insert(controller, received);
    }

    /// The calls of the gateways that report here.
    #[must_use]
    pub fn own_gateways(&self, now: Duration) -> LoadReport {
        sum_up(self.gateways.values(), now)
    }

    /// The calls of all gateways but one.
    #[must_use]
    pub fn all_but(&self, now: Duration, gateway: NodeId) -> LoadReport {
        let own = self.gateways.iter().filter(|(node, _)| **node != gateway);
        let own = own.map(|(_, received)| received);
        sum_up(own.chain(self.controllers.values()), now)
    }

    /// Forgets reports that count no more.
    pub fn forget_old(&mut self, now: Duration) {
        self.gateways.retain(|_, received| received.counts_at(now));
        self.controllers
            .retain(|_, received| received.counts_at(now));
    }
}

impl Received {
    fn counts_at(&self, now: Duration) -> bool {
        let life = Duration::from_millis(self.report.counts_for_ms);
        now.saturating_sub(self.at) < life
    }
}

/// The sum of the reports that count. What became of calls fades from when a report came.
fn sum_up<'a>(received: impl Iterator<Item = &'a Received>, now: Duration) -> LoadReport {
    let mut gateways = 0;
    let mut sums: BTreeMap<ServerKey, (u32, OutcomeCounts)> = BTreeMap::new();
    for received in received.filter(|received| received.counts_at(now)) {
        gateways += received.report.gateways;
        let age = now.saturating_sub(received.at);
        for (server, (in_flight, counts)) in received.report.by_server() {
            let sum = sums.entry(server).or_default();
            sum.0 += in_flight;
            sum.1 = sum.1.plus(&counts.faded(age));
        }
    }
    let sums = sums.into_iter();
    LoadReport::of(
        gateways,
        sums.map(|(server, (in_flight, counts))| (server, in_flight, counts)),
    )
}
