//! One gateway and one controller as real processes, and a server in the test's own process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use courseshed_registry::{Registration, Server, ServerState};
use courseshed_routing::VersionedTable;
use courseshed_soak::fleet::{Fleet, FleetSize, KnownRegions, MachineLimits, NodeKnowledge};
use courseshed_soak::http_text::{Message, TextConnection};
use courseshed_soak::node::{OPERATOR_PORT, READINESS_PORT, Role};
use courseshed_soak::routing::{TableContents, routing_table};
use courseshed_soak::server::SERVICE;
use courseshed_soak::zones::zone_at;
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_courseshed-soak");
/// How long a condition may take to hold, on a slow machine too.
const PATIENCE: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long one attempt of an ordinary call may take.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(6);
const SERVER_ID: &str = "stand-in";

static ALONE: Mutex<()> = Mutex::new(());

/// Lets one test of this file run at a time.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The processes under test. Dropping it kills them.
pub struct Stand {
    fleet: Fleet,
    pub machine: MachineLimits,
    gateway: usize,
    controller: usize,
    /// Holds the files of the processes.
    _folder: TempDir,
}

impl Stand {
    /// Starts the processes on machines of these limits, and waits until the gateway serves calls.
    pub async fn start(machine: MachineLimits) -> Self {
        let folder = TempDir::new().expect("a folder");
        let size = FleetSize {
            gateways: 1,
            stores: 0,
            controllers: 1,
        };
        let knowledge = NodeKnowledge {
            regions: KnownRegions::None,
            shares_suspects: true,
            machine,
        };
        let fleet = Fleet::start(Path::new(PROGRAM), folder.path(), size, knowledge);
        let fleet = fleet.expect("the processes start");
        let stand = Self {
            gateway: fleet.members(Role::Gateway)[0],
            controller: fleet.members(Role::Controller)[0],
            fleet,
            machine,
            _folder: folder,
        };
        stand.put_routing_in_force().await;
        start_server(stand.controllers()).await;
        stand.answer_a_call().await;
        stand
    }

    /// Where clients connect.
    pub fn callers(&self) -> SocketAddr {
        self.fleet.callers_address(self.gateway)
    }

    /// Where the gateway says whether it is ready.
    pub fn readiness(&self) -> SocketAddr {
        self.fleet.address(self.gateway, READINESS_PORT)
    }

    /// Where the controller takes calls of operators and servers.
    pub fn controllers(&self) -> SocketAddr {
        self.fleet.address(self.controller, OPERATOR_PORT)
    }

    /// Where a process takes connections of other nodes.
    pub fn peers(&self, role: Role) -> SocketAddr {
        let port = match role {
            Role::Controller => courseshed_edge::protocol::PeerPort::Controller,
            _ => courseshed_edge::protocol::PeerPort::Gateway,
        };
        self.fleet.address(self.member(role), port as u16)
    }

    fn member(&self, role: Role) -> usize {
        match role {
            Role::Controller => self.controller,
            _ => self.gateway,
        }
    }

    /// Asks the gateway to stop.
    pub fn stop_gateway(&mut self) {
        self.fleet.stop(self.gateway, Duration::from_secs(3600));
    }

    /// Lets the gateway stand still, or go on.
    pub fn set_paused(&mut self, is_paused: bool) {
        if is_paused {
            assert!(self.fleet.pause(self.gateway), "the gateway runs");
        } else {
            self.fleet.resume(self.gateway);
        }
    }

    /// Waits until the gateway has ended, as it does within its grace.
    pub async fn wait_until_gateway_ended(&mut self) {
        for _ in 0..PATIENCE.as_millis() / RETRY_INTERVAL.as_millis() {
            let ended = self.fleet.tend().expect("processes are looked at");
            assert!(ended.is_empty(), "{ended:?}");
            if self.fleet.process_id(self.gateway).is_none() {
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
        panic!("the gateway goes on running");
    }

    /// Checks that no process has ended, and that each is within the memory and the descriptors of its
    /// machine. Returns the peak of the memory of a role's process, in bytes.
    pub fn check(&mut self, role: Role) -> u64 {
        let ended = self.fleet.tend().expect("processes are looked at");
        assert!(ended.is_empty(), "{ended:?}");
        for member in [Role::Gateway, Role::Controller] {
            let peak = self.peak_bytes(member);
            let descriptors = self.open_descriptors(member);
            eprintln!(
                "{member:?}: {} MB at the peak, {descriptors} descriptors",
                peak / 1_000_000
            );
            if let Some(memory) = self.machine.memory_bytes {
                assert!(peak <= memory, "{member:?}: {peak} bytes of {memory}");
            }
            if let Some(limit) = self.machine.descriptors {
                assert!(
                    descriptors < limit as usize,
                    "{member:?}: {descriptors} of {limit}"
                );
            }
        }
        self.peak_bytes(role)
    }

    fn process_id(&self, role: Role) -> u32 {
        let id = self.fleet.process_id(self.member(role));
        id.expect("the process runs")
    }

    /// The largest resident set of a process so far, in bytes.
    fn peak_bytes(&self, role: Role) -> u64 {
        let path = format!("/proc/{}/status", self.process_id(role));
        let status = std::fs::read_to_string(path).expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = line.expect("a peak").trim().trim_end_matches(" kB");
        kibibytes.parse::<u64>().expect("a number") * 1024
    }

    fn open_descriptors(&self, role: Role) -> usize {
        let path = format!("/proc/{}/fd", self.process_id(role));
        std::fs::read_dir(path).expect("the process lives").count()
    }

    async fn put_routing_in_force(&self) {
        let contents = TableContents {
            has_regions: false,
            limits_warm_up: false,
            has_streams: false,
        };
        let table: VersionedTable = routing_table(1, contents);
        let table = serde_json::to_string(&table).expect("JSON");
        let address = self.controllers();
        wait_until("the routing table is taken", async || {
            operate(address, "/routing", &table).await == Some(200)
        })
        .await;
    }

    /// Makes a call with a body of a size as often as it takes until it is answered.
    pub async fn answer_a_call_of(&self, bytes: usize) {
        let address = self.callers();
        let body = "x".repeat(bytes);
        wait_until("a call with a body of that size is answered", async || {
            call(address, "sized", &body).await == Some(200)
        })
        .await;
    }

    /// Makes one ordinary call as often as it takes until it is answered: a refused one is repeated, as
    /// ordinary clients do.
    pub async fn answer_a_call(&self) {
        let address = self.callers();
        wait_until("an ordinary call is answered", async || {
            call(address, "ordinary", "an ordinary body").await == Some(200)
        })
        .await;
    }

    /// Makes one operator's call as often as it takes until the controller carries it out.
    pub async fn carry_out_an_order(&self) {
        let address = self.controllers();
        let registration = registration(SocketAddr::from(([127, 0, 0, 1], 9)), "another", 1);
        wait_until("the controller carries an order out", async || {
            operate(address, "/announce", &registration).await == Some(200)
        })
        .await;
    }

    /// Asks whether the gateway is ready as often as it takes until it says so.
    pub async fn see_readiness(&self) {
        let address = self.readiness();
        wait_until("the gateway says that it is ready", async || {
            let request = "GET /readiness HTTP/1.1\r\nhost: soak.example\r\n\r\n";
            let asked = timeout(ATTEMPT_LIMIT, exchange(address, request)).await;
            asked.ok().flatten().and_then(|answer| answer.head.status()) == Some(200)
        })
        .await;
    }
}

/// Waits until a condition holds.
async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !holds().await {
            sleep(RETRY_INTERVAL).await;
        }
    };
    let waited = timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "in vain: {what}");
}

async fn exchange(address: SocketAddr, request: &str) -> Option<Message> {
    let stream = TcpStream::connect(address).await.ok()?;
    let mut connection = TextConnection::new(stream);
    connection.write(request).await.ok()?;
    connection.read().await
}

/// Makes a call on a connection of its own. The status, if a whole answer came.
async fn call(address: SocketAddr, id: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let request = format!(
        "POST /safe/x HTTP/1.1\r\nhost: soak.example\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let answer = timeout(ATTEMPT_LIMIT, exchange(address, &request)).await;
    let answer = answer.ok().flatten().filter(|answer| answer.is_whole)?;
    answer.head.status()
}

/// Makes a call whose body comes in chunks, with a pause after each batch of a kilobyte.
pub async fn call_in_pieces(
    address: SocketAddr,
    body_bytes: usize,
    piece_bytes: usize,
    pause: Duration,
) -> Option<u16> {
    const BATCH_BYTES: usize = 1024;
    let stream = TcpStream::connect(address).await.ok()?;
    let mut connection = TextConnection::new(stream);
    let head = "POST /safe/x HTTP/1.1\r\nhost: soak.example\r\nx-call: pieces\r\ntransfer-encoding: chunked\r\n\r\n";
    connection.write(head).await.ok()?;
    let chunk = format!("{piece_bytes:x}\r\n{}\r\n", "x".repeat(piece_bytes));
    let batch = chunk.repeat(BATCH_BYTES / piece_bytes);
    for _ in 0..body_bytes / BATCH_BYTES {
        connection.write(&batch).await.ok()?;
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    connection.write("0\r\n\r\n").await.ok()?;
    let answer = timeout(ATTEMPT_LIMIT, connection.read()).await;
    answer.ok().flatten()?.head.status()
}

async fn operate(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: soak.example\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    let answer = timeout(ATTEMPT_LIMIT, exchange(address, &request)).await;
    answer.ok().flatten()?.head.status()
}

fn registration(address: SocketAddr, id: &str, sequence: u64) -> String {
    let registration = Registration {
        server: Server {
            id: id.to_owned(),
            name: String::new(),
            started_ms: None,
            software_version: Some("v1".to_owned()),
            warmup_remaining_ms: 0,
            service: SERVICE.to_owned(),
            address,
            zone: zone_at(0).to_owned(),
            slots: 16,
            state: ServerState::Ready,
        },
        sequence,
    };
    serde_json::to_string(&registration).expect("JSON")
}

/// Starts a server that answers each request that is meant for it, and keeps announcing itself.
async fn start_server(controllers: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream));
        }
    });
    actix_rt::spawn(async move {
        for sequence in 1.. {
            let body = registration(address, SERVER_ID, sequence);
            let _status = operate(controllers, "/announce", &body).await;
            sleep(Duration::from_millis(500)).await;
        }
    });
}

async fn serve(stream: TcpStream) {
    let mut connection = TextConnection::new(stream);
    while let Some(message) = connection.read().await.filter(|message| message.is_whole) {
        let id = message.head.header("x-call").unwrap_or("").to_owned();
        let body = format!("{} bytes", message.body.len());
        let length = body.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}");
        if connection.write(&answer).await.is_err() {
            return;
        }
    }
}
