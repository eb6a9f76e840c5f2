//! How many calls gateways have at servers, shared among them. Pure: times are passed in.
//!
//! Each gateway reports its own calls to the controller that it follows, which sums them up and
//! tells the other controllers. The sums are soft knowledge: they lag behind, and a gateway that
//! falls silent is forgotten.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a report counts after it came.
const REPORT_LIFE: Duration = Duration::from_secs(1);

/// Names a server in few bytes: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u32);

impl ServerKey {
    /// The key of a server's id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
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
    /// Their calls.
    pub servers: Vec<ServerLoad>,
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
        now.saturating_sub(self.at) < REPORT_LIFE
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
    LoadReport { gateways, servers }
}
