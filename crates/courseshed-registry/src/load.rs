//! How many calls gateways have at servers, shared among them. Pure: times are passed in.
//!
//! Each gateway reports its own calls to the controller that it follows, which sums them up and
//! tells the other controllers. The sums are soft knowledge: they lag behind, and a gateway that
//! falls silent is forgotten. With many servers reports come less often, so that they take no more
//! of a link than [`BYTES_PER_SECOND`], and count for longer.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};
use serde::{Deserialize, Serialize};

/// What reports may take of a node's link.
const BYTES_PER_SECOND: f64 = 8_000.0;
/// About what a report takes without, and for, each server.
const BYTES_OF_REPORT: f64 = 100.0;
const BYTES_OF_SERVER: f64 = 8.0;
/// How long a report counts after it came: at least so long, and for so many pauses.
const LEAST_LIFE: Duration = Duration::from_secs(1);
const LIFE_IN_PAUSES: u32 = 3;

/// The pause after reports that named so many servers in all, at least `least`.
#[must_use]
pub fn pause_after_reports(reports: usize, servers: usize, least: Duration) -> Duration {
    let bytes = BYTES_OF_REPORT * reports as f64 + BYTES_OF_SERVER * servers as f64;
    least.max(Duration::from_secs_f64(bytes / BYTES_PER_SECOND))
}

/// The calls at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerKey,
    /// Calls sent there that are not over.
    pub in_flight: u32,
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
}

impl LoadReport {
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

fn sum_up<'a>(received: impl Iterator<Item = &'a Received>, now: Duration) -> LoadReport {
    let mut gateways = 0;
    let mut sums: BTreeMap<ServerKey, u32> = BTreeMap::new();
    for received in received.filter(|received| received.counts_at(now)) {
        gateways += received.report.gateways;
        for load in &received.report.servers {
            *sums.entry(load.server).or_default() += load.in_flight;
        }
    }
    let servers = sums
        .into_iter()
        .map(|(server, in_flight)| ServerLoad { server, in_flight })
        .collect();
    LoadReport {
        gateways,
        counts_for_ms: 0,
        servers,
    }
}
