//! Pool scheduling: grants by a controller's scheduler, local choice by the gateway without one, and the reports
//! that a new scheduler receives.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use courseshed_edge::gateway::{Mechanism, MemoryLimits, Policy, UNRESPONSIVE_COOLDOWN};
use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, node_at,
};
use courseshed_pool::{
    CallDemand, CallEnd, CallEndReport, DecisionInputs, NameHash, RunningCall, Verdict,
};
use courseshed_registry::{Server, ServerState};
use courseshed_routing::Route;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::{NodeId, ServerKey};
use support::scheduler::{FleetSnapshot, MockController};
use support::server::{Action, FINAL_CHUNK, MockServer, chunk, event, response, stream_head};
use support::{
    AMPLE_MEMORY, Fleet, Gateway, call, free_port, get, new_subnet, plain_route, start_gateway,
    status, stream_route, table, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Concurrent calls per engine; the scheduler may grant a few more in advance.
const SLOTS: u64 = 4;

/// A gateway that follows mock controllers.
struct MockFleet {
    gateway: Gateway,
    controllers: Vec<MockController>,
}

type Script = Box<dyn FnMut(&CallDemand) -> Option<PeerReply> + Send>;

impl MockFleet {
    /// Starts a gateway with one engine, `one`, and one mock controller per script.
    async fn start(route: Route, engine: &MockServer, scripts: Vec<Script>) -> Self {
        let [a, b, c, _] = new_subnet().octets();
        let ip = |host: u8| Ipv4Addr::new(a, b, c, host);
        let addresses = PeerAddresses {
            first_port: free_port(ip(1)),
        };
        let hosts: Vec<Ipv4Addr> = (0..scripts.len())
            .map(|index| ip(10 + index as u8))
            .collect();
        let snapshot = FleetSnapshot {
            table: Arc::new(table(1, vec![route], None)),
            servers: vec![server_entry("one", engine)],
            controllers: hosts.iter().copied().map(node_at).collect(),
        };
        let starts = hosts.iter().zip(scripts);
        let controllers = starts
            .map(|(host, script)| MockController::start(*host, addresses, snapshot.clone(), script))
            .collect();
        let gateway = start_gateway(
            ip(3),
            hosts[0],
            addresses,
            GRACE,
            Policy::default(),
            None,
            MemoryLimits::for_machine(AMPLE_MEMORY),
        );
        wait_until(async || status(&get(gateway.readiness_addr, "/").await) == 200).await;
        Self {
            gateway,
            controllers,
        }
    }

    async fn call(&self, id: &str) -> String {
        call(self.gateway.caller_addr, id, "", "").await
    }

    /// The number of scheduling requests received by all controllers.
    fn demand_count(&self) -> usize {
        let controllers = self.controllers.iter();
        controllers
            .map(|one| one.received.lock().demands.len())
            .sum()
    }
}

fn server_entry(id: &str, mock_server: &MockServer) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        started_ms: None,
        software_version: None,
        warmup_remaining_ms: 0,
        service: "s".to_owned(),
        address: mock_server.address,
        zone: "a".to_owned(),
        slots: 4,
        state: ServerState::Ready,
    }
}

fn scheduled(incarnation: u64, verdict: Verdict) -> Option<PeerReply> {
    Some(PeerReply::Scheduled {
        incarnation,
        verdict,
        inputs: DecisionInputs::default(),
    })
}

fn granted() -> Verdict {
    Verdict::Granted(ServerKey::of("one"))
}

async fn start_hello_server() -> MockServer {
    MockServer::start(|request| Action::Write(response(request, "hello"))).await
}

/// The number of server choices made `by` "scheduler" or "local".
fn choices(gateway: &courseshed_edge::metrics::Metrics, by: &str) -> u64 {
    let prefix = format!("courseshed_choices_total{{by=\"{by}\"}} ");
    let text = gateway.text();
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0, |count| count.parse().expect("a number"))
}

#[actix_rt::test]
async fn call_is_sent_to_the_engine_granted_by_the_controller() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_hello_server().await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let before = choices(&fleet.metrics, "scheduler");
    for id in ["c1", "c2", "c3"] {
        let response = call(fleet.caller_addr, id, "", "").await;
        assert!(response.ends_with("hello"), "{response}");
    }
    assert_eq!(choices(&fleet.metrics, "scheduler"), before + 3);
    assert_eq!(server.requests().len(), 3);
}

#[actix_rt::test]
async fn gateway_chooses_locally_without_a_verdict() {
    let server = start_hello_server().await;
    let silent = || -> Script { Box::new(|_| None) };
    let scripts = vec![silent(), silent(), silent()];
    let fleet = MockFleet::start(plain_route(), &server, scripts).await;
    let began = Instant::now();
    for id in ["c1", "c2", "c3", "c4", "c5"] {
        let response = fleet.call(id).await;
        assert!(response.ends_with("hello"), "{response}");
    }
    // Each controller is asked at most once per cooldown.
    let cooldowns = began.elapsed().as_millis() / UNRESPONSIVE_COOLDOWN.as_millis();
    let max = 3 * (1 + usize::try_from(cooldowns).expect("a number"));
    assert!(
        fleet.demand_count() <= max,
        "{} > {max}",
        fleet.demand_count()
    );
    assert!(fleet.demand_count() >= 2);
    assert_eq!(choices(&fleet.gateway.metrics, "local"), 5);
}

#[actix_rt::test]
async fn next_controller_is_asked_when_one_does_not_reply() {
    let server = start_hello_server().await;
    let first_asked = Arc::new(std::sync::Mutex::new(None::<usize>));
    let script = |index: usize| -> Script {
        let first_asked = first_asked.clone();
        Box::new(move |_| {
            let first = *first_asked.lock().expect("a lock").get_or_insert(index);
            if first == index {
                None
            } else {
                scheduled(1, granted())
            }
        })
    };
    let scripts = vec![script(0), script(1), script(2)];
    let fleet = MockFleet::start(plain_route(), &server, scripts).await;
    let response = fleet.call("c1").await;
    assert!(response.ends_with("hello"), "{response}");
    assert_eq!(fleet.demand_count(), 2);
    assert_eq!(choices(&fleet.gateway.metrics, "scheduler"), 1);
}

#[actix_rt::test]
async fn refused_call_is_not_sent_to_any_engine() {
    let server = start_hello_server().await;
    let script: Script = Box::new(|_| {
        let verdict = Verdict::Refused {
            retry_after_ms: 1500,
        };
        scheduled(1, verdict)
    });
    let fleet = MockFleet::start(plain_route(), &server, vec![script]).await;
    let refused = fleet.call("c1").await;
    assert_eq!(status(&refused), 503, "{refused}");
    assert!(refused.contains("retry-after: 1.500"), "{refused}");
    assert!(refused.ends_with("overloaded"), "{refused}");
    assert_eq!(server.requests().len(), 0);
}

/// One call is granted with the third reply; a second one misses its deadline while queued.
#[actix_rt::test]
async fn end_of_each_requested_call_number_is_reported_once() {
    let server = start_hello_server().await;
    let mut requests = 0;
    let script: Script = Box::new(move |demand| {
        requests += 1;
        let misses_deadline = demand.time_left_ms < 5_000;
        let waits = misses_deadline || requests < 3;
        scheduled(1, if waits { Verdict::Waiting } else { granted() })
    });
    let fleet = MockFleet::start(plain_route(), &server, vec![script]).await;
    let response = fleet.call("c1").await;
    assert!(response.ends_with("hello"), "{response}");
    let late = call(fleet.gateway.caller_addr, "c2", "x-time: 200\r\n", "").await;
    assert_eq!(status(&late), 503, "{late}");
    assert!(late.ends_with("too_late"), "{late}");
    let received = &fleet.controllers[0].received;
    wait_until(async || received.lock().notes.len() == 2).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let received = received.lock();
    let numbers: BTreeSet<u64> = received
        .demands
        .iter()
        .map(|demand| demand.number)
        .collect();
    let ended: Vec<u64> = received.notes.iter().map(|note| note.number).collect();
    assert_eq!(numbers.into_iter().collect::<Vec<_>>(), ended);
    assert!(matches!(received.notes[0].end, CallEnd::Completed { .. }));
    assert_eq!(received.notes[1].end, CallEnd::Abandoned);
    assert_eq!(received.demands[0].number, received.demands[2].number);
    assert!(received.demands[0].waited_ms <= received.demands[2].waited_ms);
}

#[actix_rt::test]
async fn restarted_scheduler_receives_the_running_calls() {
    let server = MockServer::start(|request| {
        let end = if request.header("x-call") == Some("long") {
            ""
        } else {
            FINAL_CHUNK
        };
        Action::Write(format!("{}{}{end}", stream_head(request), event(1)))
    })
    .await;
    let incarnation = Arc::new(AtomicU64::new(1));
    let current = incarnation.clone();
    let script: Script = Box::new(move |_| scheduled(current.load(Ordering::Relaxed), granted()));
    let fleet = MockFleet::start(stream_route(), &server, vec![script]).await;
    let caller_addr = fleet.gateway.caller_addr;
    let long = actix_rt::spawn(async move { call(caller_addr, "long", "", "").await });
    wait_until(async || server.requests().len() == 1).await;
    let received = fleet.controllers[0].received.clone();
    let number = received.lock().demands[0].number;
    let reports_before = received.lock().running.len();
    incarnation.store(2, Ordering::Relaxed);
    let short = fleet.call("short").await;
    assert_eq!(status(&short), 200, "{short}");
    wait_until(async || received.lock().running.len() > reports_before).await;
    let running = received.lock().running[reports_before].clone();
    let is_long_call =
        |call: &RunningCall| call.number == number && call.engine == ServerKey::of("one");
    assert!(running.iter().any(is_long_call), "{running:?}");
    long.abort();
}

#[actix_rt::test]
async fn engine_unknown_to_the_gateway_is_excluded_from_the_next_request() {
    let server = start_hello_server().await;
    let script: Script = Box::new(|demand| {
        let unknown = ServerKey::of("stranger");
        let is_excluded = demand.excluded.contains(&unknown);
        let verdict = if is_excluded {
            granted()
        } else {
            Verdict::Granted(unknown)
        };
        scheduled(1, verdict)
    });
    let fleet = MockFleet::start(plain_route(), &server, vec![script]).await;
    let response = fleet.call("c1").await;
    assert!(response.ends_with("hello"), "{response}");
    let received = &fleet.controllers[0].received;
    wait_until(async || received.lock().notes.len() == 2).await;
    let received = received.lock();
    assert_eq!(received.notes[0].number, received.demands[0].number);
    assert_eq!(received.notes[0].end, CallEnd::Abandoned);
    assert!(matches!(received.notes[1].end, CallEnd::Completed { .. }));
}

/// Makes one call with a scheduler that grants engine `one`; returns the response and the attempt ends reported to
/// the scheduler, waiting for at least `attempts` of them.
async fn reported_ends(
    route: Route,
    engine: &MockServer,
    attempts: usize,
) -> (String, Vec<CallEnd>) {
    let script: Script = Box::new(|demand| {
        let is_excluded = demand.excluded.contains(&ServerKey::of("one"));
        let verdict = if is_excluded {
            Verdict::NoEngine
        } else {
            granted()
        };
        scheduled(1, verdict)
    });
    let fleet = MockFleet::start(route, engine, vec![script]).await;
    let response = fleet.call("c1").await;
    let received = &fleet.controllers[0].received;
    wait_until(async || received.lock().notes.len() >= attempts).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let notes = received.lock().notes.clone();
    (response, notes.iter().map(|note| note.end).collect())
}

#[actix_rt::test]
async fn token_count_of_a_complete_stream_is_reported() {
    let server = MockServer::start(|request| {
        Action::Write(format!(
            "{}{}{}{FINAL_CHUNK}",
            stream_head(request),
            event(1),
            event(2)
        ))
    })
    .await;
    let (response, ends) = reported_ends(stream_route(), &server, 1).await;
    assert_eq!(status(&response), 200, "{response}");
    let [
        CallEnd::Completed {
            generated,
            first_tokens,
            first_part_ms,
            took_ms,
        },
    ] = ends.as_slice()
    else {
        panic!("{ends:?}");
    };
    // Two events of ten tokens each.
    assert_eq!(*generated, 20);
    assert!([10, 20].contains(first_tokens));
    assert!(first_part_ms <= took_ms);
}

#[actix_rt::test]
async fn engine_failure_is_reported() {
    for route in [plain_route(), stream_route()] {
        let server = MockServer::start(|request| {
            Action::Write(response(request, "").replace("200 OK", "500 Failed"))
        })
        .await;
        let (response, ends) = reported_ends(route, &server, 1).await;
        assert_eq!(status(&response), 500, "{response}");
        assert_eq!(ends, [CallEnd::Failed]);
    }
}

/// A response too long to be buffered is streamed to the caller, and its end is reported when it is reached.
#[actix_rt::test]
async fn end_of_an_unbuffered_response_is_reported() {
    const LONG: usize = 3 * 1024 * 1024;
    let cases = [
        ("200 OK", true, CallEnd::Abandoned),
        ("500 Failed", true, CallEnd::Failed),
        ("200 OK", false, CallEnd::Disconnected),
    ];
    for (head, is_complete, end) in cases {
        let server = MockServer::start(move |request| {
            let mut long = response(request, &"~".repeat(LONG)).replace("200 OK", head);
            if is_complete {
                return Action::Write(long);
            }
            long.truncate(LONG / 2);
            Action::WriteAndClose(long)
        })
        .await;
        let (response, ends) = reported_ends(plain_route(), &server, 1).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {}", &head[..3])));
        assert_eq!(response.ends_with(FINAL_CHUNK), is_complete);
        assert_eq!(ends, [end], "{head} {is_complete}");
    }
}

#[actix_rt::test]
async fn engine_rejection_is_reported_and_another_grant_requested() {
    let server = MockServer::start(|request| {
        let refused = response(request, "").replace("200 OK", "503 Full");
        Action::Write(refused.replace("\r\n\r\n", "\r\nx-not-run: 1\r\n\r\n"))
    })
    .await;
    let (response, ends) = reported_ends(plain_route(), &server, 2).await;
    assert_eq!(status(&response), 503, "{response}");
    assert_eq!(ends, [CallEnd::Refused, CallEnd::Abandoned]);
    assert_eq!(server.requests().len(), 1);
}

/// The broken attempt is reported before the stream is resumed; the second attempt at the same engine is chosen by
/// the gateway itself.
#[actix_rt::test]
async fn resumed_stream_is_requested_under_a_new_call_number() {
    let server = MockServer::start(|request| match request.header("x-last") {
        None => Action::WriteAndClose(format!("{}{}", stream_head(request), event(1))),
        Some(_) => Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(2))),
    })
    .await;
    let route = Route {
        resumable: true,
        max_attempts: 2,
        ..stream_route()
    };
    let (response, ends) = reported_ends(route, &server, 2).await;
    assert!(
        response.contains("d1") && response.ends_with(FINAL_CHUNK),
        "{response}"
    );
    assert_eq!(ends, [CallEnd::Disconnected, CallEnd::Abandoned]);
    assert_eq!(server.requests().len(), 2);
}

/// A server that closes a connection because the caller does not read is not counted as failed, and what it had
/// sent still reaches the caller.
#[actix_rt::test]
async fn engine_that_disconnects_a_stalled_caller_is_not_reported_as_failed() {
    const CHUNK_BYTES: usize = 4096;
    const CHUNKS: usize = 8192;
    /// Longer than the pause after which the gateway considers a caller stalled.
    const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
    let chunk: Arc<str> = chunk(&format!("data: {}\n\n", "x".repeat(CHUNK_BYTES))).into();
    let server = MockServer::start(move |request| Action::RepeatUntilStalled {
        head: stream_head(request),
        chunk: chunk.clone(),
        times: CHUNKS,
        write_timeout: WRITE_TIMEOUT,
    })
    .await;
    let script: Script = Box::new(|_| scheduled(1, granted()));
    let fleet = MockFleet::start(stream_route(), &server, vec![script]).await;
    let mut caller = TcpStream::connect(fleet.gateway.caller_addr)
        .await
        .expect("connected");
    let request =
        "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: c1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("sent");
    wait_until(async || server.stalled_writes() == 1).await;
    let received = &fleet.controllers[0].received;
    assert_eq!(received.lock().notes.len(), 0);
    let mut response = Vec::new();
    let _ = caller.read_to_end(&mut response).await;
    assert!(response.len() > CHUNK_BYTES && !response.ends_with(FINAL_CHUNK.as_bytes()));
    wait_until(async || !received.lock().notes.is_empty()).await;
    let ends: Vec<CallEnd> = received.lock().notes.iter().map(|note| note.end).collect();
    assert_eq!(ends, [CallEnd::Abandoned]);
}

/// The gateway's own error handling is disabled, so that only the scheduler keeps calls away from the engine, whose
/// fast errors make it look the least loaded.
#[actix_rt::test]
async fn engine_that_fails_streams_is_granted_few_calls() {
    const CALLS: usize = 400;
    const MAX_FAILED: usize = CALLS / 20;
    let policy = Policy::without([
        Mechanism::ServerBackoff,
        Mechanism::ServerLatency,
        Mechanism::SharedOutcomes,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let failing = MockServer::start(|request| {
        Action::Write(response(request, "broken").replace("200 OK", "500 Failed"))
    })
    .await;
    let healthy = MockServer::start(|request| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await;
    fleet.set_routes(vec![stream_route()]).await;
    fleet.add_server("failing", &failing).await;
    fleet.add_server("sound", &healthy).await;
    // On a loaded machine a late scheduler is skipped for its cooldown; calls that the gateway then assigns itself are
    // not counted.
    let (mut granted, mut failed) = (0, 0);
    wait_until(async || {
        let before = choices(&fleet.metrics, "scheduler");
        let response = call(fleet.caller_addr, &format!("c{granted}"), "", "").await;
        assert!(matches!(status(&response), 200 | 500), "{response}");
        if choices(&fleet.metrics, "scheduler") > before {
            granted += 1;
            failed += usize::from(status(&response) == 500);
        }
        granted == CALLS
    })
    .await;
    eprintln!("{failed} of {CALLS} granted calls failed");
    assert!(!failing.requests().is_empty());
    assert!(failed <= MAX_FAILED, "{failed} of {CALLS}");
}

struct NoHandler;

impl Handler<FleetProtocol> for NoHandler {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}
    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

/// A peer at a gateway's address that sends scheduling requests to the controller directly.
struct SchedulerClient {
    peers: Peers,
    controller: NodeId,
}

impl SchedulerClient {
    fn start(fleet: &Fleet) -> Self {
        let [a, b, c, _] = fleet.subnet.octets();
        let host = |host| node_at(Ipv4Addr::new(a, b, c, host));
        let controller = host(1);
        let handler = Arc::new(NoHandler);
        let peers = start_peers(host(9), fleet.addresses, PeerPort::Gateway, handler);
        let peers = peers.expect("a port");
        peers.set_address(
            controller,
            fleet.addresses.of(controller, PeerPort::Controller),
        );
        Self { peers, controller }
    }

    async fn schedule(&self, service: &str, number: u64) -> PeerReply {
        let request = PeerRequest::Schedule {
            service: service.to_owned(),
            demand: demand(number),
        };
        let reply = self
            .peers
            .request(self.controller, request, REQUEST_TIMEOUT)
            .await;
        reply.expect("a reply")
    }

    async fn verdict(&self, number: u64) -> (u64, Verdict) {
        match self.schedule("s", number).await {
            PeerReply::Scheduled {
                incarnation,
                verdict,
                ..
            } => (incarnation, verdict),
            other => panic!("{other:?}"),
        }
    }

    fn send(&self, message: PeerMessage) {
        self.peers.send(self.controller, message).expect("sent");
    }
}

fn demand(number: u64) -> CallDemand {
    CallDemand {
        number,
        route: NameHash(1),
        rank: 0,
        tenant: None,
        tenant_weight: 1.0,
        program: None,
        zone: NameHash(1),
        parts: Vec::new(),
        most_tokens: 10,
        waited_ms: 0,
        time_left_ms: 60_000,
        excluded: Vec::new(),
        version: None,
        held: Vec::new(),
    }
}

#[actix_rt::test]
async fn call_waits_until_an_engine_has_a_free_slot() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_hello_server().await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let client = SchedulerClient::start(&fleet);
    let (incarnation, first) = client.verdict(1).await;
    assert_eq!(first, granted());
    let mut number = 1;
    while client.verdict(number + 1).await == (incarnation, granted()) {
        number += 1;
        assert!(
            number < 2 * SLOTS,
            "the scheduler grants more than {} calls",
            2 * SLOTS
        );
    }
    assert!(number >= SLOTS, "{number}");
    let waiting = number + 1;
    let queued = client.verdict(waiting).await;
    assert_eq!(queued, (incarnation, Verdict::Waiting));
    let end = CallEnd::Completed {
        generated: 10,
        first_tokens: 1,
        first_part_ms: 1,
        took_ms: 2,
    };
    let notes = vec![CallEndReport { number: 1, end }];
    let service = "s".to_owned();
    client.send(PeerMessage::PoolNotes { service, notes });
    assert_eq!(client.verdict(waiting).await, (incarnation, granted()));
    let unknown = client.schedule("unknown", 100).await;
    assert!(matches!(unknown, PeerReply::UnknownPool), "{unknown:?}");
}

#[actix_rt::test]
async fn scheduler_counts_reported_running_calls() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_hello_server().await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    let client = SchedulerClient::start(&fleet);
    let running = |number| RunningCall {
        number,
        engine: ServerKey::of("one"),
        running_ms: 1_000,
    };
    client.send(PeerMessage::PoolCalls {
        service: "s".to_owned(),
        calls: (1..=2 * SLOTS).map(running).collect(),
    });
    assert_eq!(client.verdict(100).await.1, Verdict::Waiting);
    client.send(PeerMessage::PoolCalls {
        service: "s".to_owned(),
        calls: (2..SLOTS).map(running).collect(),
    });
    wait_until(async || client.verdict(100).await.1 == granted()).await;
}
