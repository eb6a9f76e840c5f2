//! What the tasks of a run share, and the operator's calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fleet::Fleet;
use crate::http_text::TextConnection;
use crate::ledger::Ledger;
use crate::node::Role;
use crate::routing::{TableContents, routing_table};
use crate::run::SoakOptions;

/// How long an operator's call may take, and the pause before it is tried again.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(3);
const OPERATOR_RETRY: Duration = Duration::from_millis(100);

/// A fault of the fleet that is put in on purpose, to see that a check catches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Evacuations that operators are told to be committed never reach the controllers.
    IgnoresEvacuations,
    /// Processes take each zone for one of the other region.
    ConfusesRegions,
    /// The routing table that reaches the controllers has no warm-up limit.
    IgnoresWarmUpLimit,
    /// Servers report one software version, whichever they run.
    ReportsOneVersion,
    /// Gateways don't tell each other under which requests servers ended.
    KeepsSuspectsToItself,
}

/// What the tasks of a run share.
pub struct World {
    /// What was seen.
    pub ledger: RefCell<Ledger>,
    /// What servers are to get for each turn.
    pub histories: RefCell<BTreeMap<String, String>>,
    /// Software version of the server at which each stream last began, by request.
    pub stream_versions: RefCell<BTreeMap<String, u32>>,
    gateways: Vec<usize>,
    addresses: BTreeMap<usize, SocketAddr>,
    operators: Vec<SocketAddr>,
    next_operator: Cell<usize>,
    has_regions: bool,
    limits_warm_up: bool,
    has_releases: bool,
    varies_framing: bool,
    has_lethal_requests: bool,
    has_silent_servers: bool,
    broken: Option<Broken>,
    is_over: Cell<bool>,
}

impl World {
    /// What the tasks of a run over a fleet share.
    #[must_use]
    pub fn new(fleet: &Fleet, options: &SoakOptions) -> Self {
        let gateways = fleet.members(Role::Gateway);
        let addresses = gateways.iter();
        Self {
            ledger: RefCell::default(),
            histories: RefCell::default(),
            stream_versions: RefCell::default(),
            addresses: addresses
                .map(|gateway| (*gateway, fleet.callers_address(*gateway)))
                .collect(),
            gateways,
            operators: fleet.operator_addresses(),
            next_operator: Cell::new(0),
            has_regions: options.has_regions,
            limits_warm_up: options.limits_warm_up,
            has_releases: options.has_releases,
            varies_framing: options.varies_framing,
            has_lethal_requests: options.has_lethal_requests,
            has_silent_servers: options.has_silent_servers,
            broken: options.broken,
            is_over: Cell::new(false),
        }
    }

    /// Lets callers and servers end.
    pub fn end(&self) {
        self.is_over.set(true);
    }

    /// Whether the service limits calls to servers that warm up.
    #[must_use]
    pub fn limits_warm_up(&self) -> bool {
        self.limits_warm_up
    }

    /// Whether servers are replaced by ones of other software versions, and callers resume streams.
    #[must_use]
    pub fn has_releases(&self) -> bool {
        self.has_releases
    }

    /// Whether servers use every framing, and break responses off at every place.
    #[must_use]
    pub fn varies_framing(&self) -> bool {
        self.varies_framing
    }

    /// Whether some requests end the servers that run them.
    #[must_use]
    pub fn has_lethal_requests(&self) -> bool {
        self.has_lethal_requests
    }

    /// Whether servers that fail answer no connection attempts for a time.
    #[must_use]
    pub fn has_silent_servers(&self) -> bool {
        self.has_silent_servers
    }

    /// The software version that a server reports.
    #[must_use]
    pub fn reported_version(&self, version: u32) -> String {
        match self.broken {
            Some(Broken::ReportsOneVersion) => "v1".to_owned(),
            _ => format!("v{version}"),
        }
    }

    /// The places of the gateways in the fleet.
    #[must_use]
    pub fn gateways(&self) -> &[usize] {
        &self.gateways
    }

    /// Where callers connect to a gateway.
    #[must_use]
    pub fn callers_address(&self, gateway: usize) -> SocketAddr {
        self.addresses[&gateway]
    }

    /// Whether callers and servers are to end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Whether some calls are restricted to a region.
    #[must_use]
    pub fn has_regions(&self) -> bool {
        self.has_regions
    }

    /// Notes what a server is to get for a turn.
    pub fn expect_history(&self, turn: &str, body: &str) {
        let mut histories = self.histories.borrow_mut();
        histories.insert(turn.to_owned(), body.to_owned());
    }

    /// Makes an operator's call at the next controller; whether it was carried out.
    pub async fn operate(&self, path: &str, body: &str) -> bool {
        let turn = self.next_operator.get();
        self.next_operator.set(turn + 1);
        let address = self.operators[turn % self.operators.len()];
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: soak.example\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        let call = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let mut connection = TextConnection::new(stream);
            connection.write(&request).await.ok()?;
            connection.read().await?.head.status()
        };
        timeout(OPERATOR_PATIENCE, call).await.ok().flatten() == Some(200)
    }

    /// Puts a version of the routing table in force.
    pub async fn put_routing_in_force(&self, version: u64) {
        let contents = TableContents {
            has_regions: self.has_regions,
            limits_warm_up: self.limits_warm_up && self.broken != Some(Broken::IgnoresWarmUpLimit),
            has_streams: self.has_releases,
        };
        let table = serde_json::to_string(&routing_table(version, contents)).unwrap_or_default();
        self.insist("/routing", &table).await;
    }

    /// Makes an operator's call until it is carried out.
    async fn insist(&self, path: &str, body: &str) {
        while !self.operate(path, body).await && !self.is_over() {
            sleep(OPERATOR_RETRY).await;
        }
    }

    /// Evacuates a zone, or opens it again.
    pub async fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        if self.broken != Some(Broken::IgnoresEvacuations) {
            let body = serde_json::json!([zone, is_evacuated]).to_string();
            self.insist("/evacuate", &body).await;
        }
    }
}
