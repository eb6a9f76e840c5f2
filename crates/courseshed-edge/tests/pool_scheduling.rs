//! Calls of a pool: granted by the scheduler in a controller, by the gateway itself while there is none, and
//! told to whoever schedules next.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use courseshed_edge::gateway::{HeldTerms, Mechanism, Policy, UNRESPONSIVE_COOLDOWN};
use courseshed_edge::peers::{Peers, start_peers};
use courseshed_edge::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, node_at,
};
use courseshed_pool::{
    CallDemand, CallEnd, CallNote, DecisionInputs, NameKey, RunningCall, Verdict,
};
use courseshed_registry::{Server, ServerState};
use courseshed_routing::Route;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::{NodeId, ServerKey};
use support::scheduler::{Shown, StandInController};
use support::server::{Act, END, StandIn, answer, chunk, event, stream_head};
use support::{
    AMPLE_MEMORY, Fleet, Gateway, call, free_port, get, new_subnet, plain_route, start_gateway,
    status, stream_route, table, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
/// How long a request to a controller may take in tests, which may be slow.
const PATIENCE: Duration = Duration::from_secs(10);
/// Calls that an engine runs at once; the scheduler may send a few more ahead.
const SLOTS: u64 = 4;

/// A gateway that follows stand-in controllers.
struct StandInFleet {
    gateway: Gateway,
    controllers: Vec<StandInController>,
}

type Script = Box<dyn FnMut(&CallDemand) -> Option<PeerReply> + Send>;

impl StandInFleet {
    /// Starts a gateway with one engine, `one`, and a controller for each script.
    async fn start(route: Route, engine: &StandIn, scripts: Vec<Script>) -> Self {
        let [a, b, c, _] = new_subnet().octets();
        let ip = |host: u8| Ipv4Addr::new(a, b, c, host);
        let addresses = PeerAddresses {
            first_port: free_port(ip(1)),
        };
        let hosts: Vec<Ipv4Addr> = (0..scripts.len())
            .map(|index| ip(10 + index as u8))
            .collect();
        let shown = Shown {
            table: Arc::new(table(1, vec![route], None)),
            servers: vec![listed("one", engine)],
            controllers: hosts.iter().copied().map(node_at).collect(),
        };
        let starts = hosts.iter().zip(scripts);
        let controllers = starts
            .map(|(host, script)| StandInController::start(*host, addresses, shown.clone(), script))
            .collect();
        let gateway = start_gateway(
            ip(3),
            hosts[0],
            addresses,
            GRACE,
            Policy::default(),
            None,
            HeldTerms::of_machine(AMPLE_MEMORY),
        );
        until(async || status(&get(gateway.readiness, "/").await) == 200).await;
        Self {
            gateway,
            controllers,
        }
    }

    async fn call(&self, id: &str) -> String {
        call(self.gateway.callers, id, "", "").await
    }

    fn asked(&self) -> usize {
        let controllers = self.controllers.iter();
        controllers.map(|one| one.got.lock().asked.len()).sum()
    }
}

fn listed(id: &str, stand_in: &StandIn) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        born_ms: None,
        cold_ms: 0,
        service: "s".to_owned(),
        address: stand_in.address,
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

async fn echo() -> StandIn {
    StandIn::start(|got| Act::Write(answer(got, "hello"))).await
}

/// How many choices were made by the scheduler or by the gateway.
fn choices(gateway: &courseshed_edge::metrics::Metrics, by: &str) -> u64 {
    let prefix = format!("courseshed_choices_total{{by=\"{by}\"}} ");
    let text = gateway.text();
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0, |count| count.parse().expect("a number"))
}

#[actix_rt::test]
async fn a_call_goes_to_the_engine_that_the_controller_grants() {
    let fleet = Fleet::start(GRACE).await;
    let server = echo().await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let before = choices(&fleet.metrics, "scheduler");
    for id in ["c1", "c2", "c3"] {
        let answer = call(fleet.callers, id, "", "").await;
        assert!(answer.ends_with("hello"), "{answer}");
    }
    assert_eq!(choices(&fleet.metrics, "scheduler"), before + 3);
    assert_eq!(server.got().len(), 3);
}

#[actix_rt::test]
async fn without_a_verdict_the_gateway_chooses_by_itself() {
    let server = echo().await;
    let silent = || -> Script { Box::new(|_| None) };
    let scripts = vec![silent(), silent(), silent()];
    let fleet = StandInFleet::start(plain_route(), &server, scripts).await;
    let began = Instant::now();
    for id in ["c1", "c2", "c3", "c4", "c5"] {
        let answer = fleet.call(id).await;
        assert!(answer.ends_with("hello"), "{answer}");
    }
    // Each controller is asked once in the time that it is passed over for.
    let rests = began.elapsed().as_millis() / UNRESPONSIVE_COOLDOWN.as_millis();
    let most = 3 * (1 + usize::try_from(rests).expect("a number"));
    assert!(fleet.asked() <= most, "{} > {most}", fleet.asked());
    assert!(fleet.asked() >= 2);
    assert_eq!(choices(&fleet.gateway.metrics, "local"), 5);
}

#[actix_rt::test]
async fn the_next_controller_is_asked_when_one_gives_no_answer() {
    let server = echo().await;
    let is_first = Arc::new(std::sync::Mutex::new(None::<usize>));
    let script = |index: usize| -> Script {
        let is_first = is_first.clone();
        Box::new(move |_| {
            let first = *is_first.lock().expect("a lock").get_or_insert(index);
            if first == index {
                None
            } else {
                scheduled(1, granted())
            }
        })
    };
    let scripts = vec![script(0), script(1), script(2)];
    let fleet = StandInFleet::start(plain_route(), &server, scripts).await;
    let answer = fleet.call("c1").await;
    assert!(answer.ends_with("hello"), "{answer}");
    assert_eq!(fleet.asked(), 2);
    assert_eq!(choices(&fleet.gateway.metrics, "scheduler"), 1);
}

#[actix_rt::test]
async fn a_call_that_is_turned_away_is_sent_nowhere() {
    let server = echo().await;
    let script: Script = Box::new(|_| {
        let verdict = Verdict::Refused {
            retry_after_ms: 1500,
        };
        scheduled(1, verdict)
    });
    let fleet = StandInFleet::start(plain_route(), &server, vec![script]).await;
    let refused = fleet.call("c1").await;
    assert_eq!(status(&refused), 503, "{refused}");
    assert!(refused.contains("retry-after: 1.500"), "{refused}");
    assert!(refused.ends_with("overloaded"), "{refused}");
    assert_eq!(server.got().len(), 0);
}

/// A call waits until the third answer, and a caller leaves while another waits.
#[actix_rt::test]
async fn each_number_that_was_asked_with_is_ended_once() {
    let server = echo().await;
    let mut asked = 0;
    let script: Script = Box::new(move |demand| {
        asked += 1;
        let never = demand.time_left_ms < 5_000;
        let waits = never || asked < 3;
        scheduled(1, if waits { Verdict::Waiting } else { granted() })
    });
    let fleet = StandInFleet::start(plain_route(), &server, vec![script]).await;
    let answer = fleet.call("c1").await;
    assert!(answer.ends_with("hello"), "{answer}");
    let late = call(fleet.gateway.callers, "c2", "x-time: 200\r\n", "").await;
    assert_eq!(status(&late), 503, "{late}");
    assert!(late.ends_with("too_late"), "{late}");
    let got = &fleet.controllers[0].got;
    until(async || got.lock().notes.len() == 2).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let got = got.lock();
    let numbers: BTreeSet<u64> = got.asked.iter().map(|demand| demand.number).collect();
    let ended: Vec<u64> = got.notes.iter().map(|note| note.number).collect();
    assert_eq!(numbers.into_iter().collect::<Vec<_>>(), ended);
    assert!(matches!(got.notes[0].end, CallEnd::Whole { .. }));
    assert_eq!(got.notes[1].end, CallEnd::Given);
    assert_eq!(got.asked[0].number, got.asked[2].number);
    assert!(got.asked[0].waited_ms <= got.asked[2].waited_ms);
}

#[actix_rt::test]
async fn a_scheduler_that_began_anew_is_told_the_calls_at_engines() {
    let server = StandIn::start(|got| {
        let end = if got.header("x-call") == Some("long") {
            ""
        } else {
            END
        };
        Act::Write(format!("{}{}{end}", stream_head(got), event(1)))
    })
    .await;
    let incarnation = Arc::new(AtomicU64::new(1));
    let told = incarnation.clone();
    let script: Script = Box::new(move |_| scheduled(told.load(Ordering::Relaxed), granted()));
    let fleet = StandInFleet::start(stream_route(), &server, vec![script]).await;
    let callers = fleet.gateway.callers;
    let long = actix_rt::spawn(async move { call(callers, "long", "", "").await });
    until(async || server.got().len() == 1).await;
    let got = fleet.controllers[0].got.clone();
    let number = got.lock().asked[0].number;
    let told_before = got.lock().running.len();
    incarnation.store(2, Ordering::Relaxed);
    let short = fleet.call("short").await;
    assert_eq!(status(&short), 200, "{short}");
    until(async || got.lock().running.len() > told_before).await;
    let running = got.lock().running[told_before].clone();
    let is_named =
        |call: &RunningCall| call.number == number && call.engine == ServerKey::of("one");
    assert!(running.iter().any(is_named), "{running:?}");
    long.abort();
}

#[actix_rt::test]
async fn an_engine_that_the_gateway_does_not_know_is_not_asked_for_again() {
    let server = echo().await;
    let script: Script = Box::new(|demand| {
        let stranger = ServerKey::of("stranger");
        let is_excluded = demand.excluded.contains(&stranger);
        let verdict = if is_excluded {
            granted()
        } else {
            Verdict::Granted(stranger)
        };
        scheduled(1, verdict)
    });
    let fleet = StandInFleet::start(plain_route(), &server, vec![script]).await;
    let answer = fleet.call("c1").await;
    assert!(answer.ends_with("hello"), "{answer}");
    let got = &fleet.controllers[0].got;
    until(async || got.lock().notes.len() == 2).await;
    let got = got.lock();
    assert_eq!(got.notes[0].number, got.asked[0].number);
    assert_eq!(got.notes[0].end, CallEnd::Given);
    assert!(matches!(got.notes[1].end, CallEnd::Whole { .. }));
}

/// What a scheduler that grants the one engine is told of a call's tries, of which there are so many.
async fn ends_of(route: Route, engine: &StandIn, tries: usize) -> (String, Vec<CallEnd>) {
    let script: Script = Box::new(|demand| {
        let is_excluded = demand.excluded.contains(&ServerKey::of("one"));
        let verdict = if is_excluded {
            Verdict::NoEngine
        } else {
            granted()
        };
        scheduled(1, verdict)
    });
    let fleet = StandInFleet::start(route, engine, vec![script]).await;
    let answer = fleet.call("c1").await;
    let got = &fleet.controllers[0].got;
    until(async || got.lock().notes.len() >= tries).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let notes = got.lock().notes.clone();
    (answer, notes.iter().map(|note| note.end).collect())
}

#[actix_rt::test]
async fn a_scheduler_is_told_how_many_tokens_a_whole_stream_had() {
    let server = StandIn::start(|got| {
        Act::Write(format!("{}{}{}{END}", stream_head(got), event(1), event(2)))
    })
    .await;
    let (answer, ends) = ends_of(stream_route(), &server, 1).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let [
        CallEnd::Whole {
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
async fn a_scheduler_is_told_that_an_engine_failed() {
    for route in [plain_route(), stream_route()] {
        let server =
            StandIn::start(|got| Act::Write(answer(got, "").replace("200 OK", "500 Failed"))).await;
        let (answer, ends) = ends_of(route, &server, 1).await;
        assert_eq!(status(&answer), 500, "{answer}");
        assert_eq!(ends, [CallEnd::Failed]);
    }
}

/// An answer that is longer than is read whole goes to the caller in pieces: its end is told when it is there.
#[actix_rt::test]
async fn a_scheduler_is_told_the_end_of_an_answer_that_goes_on_in_pieces() {
    const LONG: usize = 3 * 1024 * 1024;
    let cases = [
        ("200 OK", true, CallEnd::Given),
        ("500 Failed", true, CallEnd::Failed),
        ("200 OK", false, CallEnd::Broken),
    ];
    for (head, is_whole, end) in cases {
        let server = StandIn::start(move |got| {
            let mut long = answer(got, &"~".repeat(LONG)).replace("200 OK", head);
            if is_whole {
                return Act::Write(long);
            }
            long.truncate(LONG / 2);
            Act::WriteAndClose(long)
        })
        .await;
        let (answer, ends) = ends_of(plain_route(), &server, 1).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {}", &head[..3])));
        assert_eq!(answer.ends_with(END), is_whole);
        assert_eq!(ends, [end], "{head} {is_whole}");
    }
}

#[actix_rt::test]
async fn a_scheduler_is_told_that_an_engine_refused_and_is_asked_again() {
    let server = StandIn::start(|got| {
        let refused = answer(got, "").replace("200 OK", "503 Full");
        Act::Write(refused.replace("\r\n\r\n", "\r\nx-not-run: 1\r\n\r\n"))
    })
    .await;
    let (answer, ends) = ends_of(plain_route(), &server, 2).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert_eq!(ends, [CallEnd::Refused, CallEnd::Given]);
    assert_eq!(server.got().len(), 1);
}

/// The broken try is over for the scheduler before the stream is taken up; the second try at the same engine is the
/// gateway's own.
#[actix_rt::test]
async fn a_stream_that_is_taken_up_is_asked_for_under_a_new_number() {
    let server = StandIn::start(|got| match got.header("x-last") {
        None => Act::WriteAndClose(format!("{}{}", stream_head(got), event(1))),
        Some(_) => Act::Write(format!("{}{}{END}", stream_head(got), event(2))),
    })
    .await;
    let route = Route {
        resumable: true,
        max_attempts: 2,
        ..stream_route()
    };
    let (answer, ends) = ends_of(route, &server, 2).await;
    assert!(answer.contains("d1") && answer.ends_with(END), "{answer}");
    assert_eq!(ends, [CallEnd::Broken, CallEnd::Given]);
    assert_eq!(server.got().len(), 2);
}

/// A server that waited for the caller in vain is not to blame; what it had sent before still reaches the caller.
#[actix_rt::test]
async fn an_engine_that_cuts_off_a_caller_that_does_not_read_is_not_blamed() {
    const PIECE_BYTES: usize = 4096;
    const PIECES: usize = 8192;
    /// Longer than a pause of a caller that counts.
    const WRITE_LIMIT: Duration = Duration::from_millis(1500);
    let piece: Arc<str> = chunk(&format!("data: {}\n\n", "x".repeat(PIECE_BYTES))).into();
    let server = StandIn::start(move |got| Act::RepeatAndCut {
        head: stream_head(got),
        piece: piece.clone(),
        times: PIECES,
        patience: WRITE_LIMIT,
    })
    .await;
    let script: Script = Box::new(|_| scheduled(1, granted()));
    let fleet = StandInFleet::start(stream_route(), &server, vec![script]).await;
    let mut caller = TcpStream::connect(fleet.gateway.callers)
        .await
        .expect("connected");
    let request =
        "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: c1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("sent");
    until(async || server.cut() == 1).await;
    let got = &fleet.controllers[0].got;
    assert_eq!(got.lock().notes.len(), 0);
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    assert!(answer.len() > PIECE_BYTES && !answer.ends_with(END.as_bytes()));
    until(async || !got.lock().notes.is_empty()).await;
    let ends: Vec<CallEnd> = got.lock().notes.iter().map(|note| note.end).collect();
    assert_eq!(ends, [CallEnd::Given]);
}

/// What the gateway itself sees of errors is switched off, so that the scheduler alone keeps calls from the engine,
/// whose quick answers make it look the least occupied.
#[actix_rt::test]
async fn an_engine_that_answers_streams_with_errors_is_granted_few_calls() {
    const CALLS: usize = 400;
    const MOST_FAILED: usize = CALLS / 20;
    let policy = Policy::without([
        Mechanism::Rests,
        Mechanism::ServerPace,
        Mechanism::SharedOutcomes,
    ]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let failing =
        StandIn::start(|got| Act::Write(answer(got, "broken").replace("200 OK", "500 Failed")))
            .await;
    let sound =
        StandIn::start(|got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)))).await;
    fleet.route(vec![stream_route()]).await;
    fleet.announce("failing", &failing).await;
    fleet.announce("sound", &sound).await;
    // A scheduler that is late on a busy machine is passed over for a while: what the gateway chooses then by itself
    // doesn't count.
    let (mut granted, mut failed) = (0, 0);
    until(async || {
        let before = choices(&fleet.metrics, "scheduler");
        let answer = call(fleet.callers, &format!("c{granted}"), "", "").await;
        assert!(matches!(status(&answer), 200 | 500), "{answer}");
        if choices(&fleet.metrics, "scheduler") > before {
            granted += 1;
            failed += usize::from(status(&answer) == 500);
        }
        granted == CALLS
    })
    .await;
    eprintln!("{failed} of {CALLS} granted calls failed");
    assert!(!failing.got().is_empty());
    assert!(failed <= MOST_FAILED, "{failed} of {CALLS}");
}

struct NoHandler;

impl Handler<FleetProtocol> for NoHandler {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}
    fn on_request(&self, _: PeerIdentity, _: PeerRequest, _: ReplySender<FleetProtocol>) {}
}

/// A gateway's place in a fleet, from which its controller is asked directly.
struct Asker {
    peers: Peers,
    controller: NodeId,
}

impl Asker {
    fn start(fleet: &Fleet) -> Self {
        let [a, b, c, _] = fleet.hosts.octets();
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

    async fn ask(&self, service: &str, number: u64) -> PeerReply {
        let request = PeerRequest::Schedule {
            service: service.to_owned(),
            demand: demand(number),
        };
        let reply = self.peers.request(self.controller, request, PATIENCE).await;
        reply.expect("an answer")
    }

    async fn verdict(&self, number: u64) -> (u64, Verdict) {
        match self.ask("s", number).await {
            PeerReply::Scheduled {
                incarnation,
                verdict,
                ..
            } => (incarnation, verdict),
            other => panic!("{other:?}"),
        }
    }

    fn tell(&self, message: PeerMessage) {
        self.peers.send(self.controller, message).expect("sent");
    }
}

fn demand(number: u64) -> CallDemand {
    CallDemand {
        number,
        route: NameKey(1),
        rank: 0,
        tenant: None,
        tenant_weight: 1.0,
        program: None,
        zone: NameKey(1),
        parts: Vec::new(),
        most_tokens: 10,
        waited_ms: 0,
        time_left_ms: 60_000,
        excluded: Vec::new(),
        held: Vec::new(),
    }
}

#[actix_rt::test]
async fn a_call_waits_until_an_engine_has_room() {
    let fleet = Fleet::start(GRACE).await;
    let server = echo().await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let asker = Asker::start(&fleet);
    let (incarnation, first) = asker.verdict(1).await;
    assert_eq!(first, granted());
    let mut number = 1;
    while asker.verdict(number + 1).await == (incarnation, granted()) {
        number += 1;
        assert!(number < 2 * SLOTS, "the engine gets calls without end");
    }
    assert!(number >= SLOTS, "{number}");
    let waiting = number + 1;
    let still = asker.verdict(waiting).await;
    assert_eq!(still, (incarnation, Verdict::Waiting));
    let end = CallEnd::Whole {
        generated: 10,
        first_tokens: 1,
        first_part_ms: 1,
        took_ms: 2,
    };
    let notes = vec![CallNote { number: 1, end }];
    let service = "s".to_owned();
    asker.tell(PeerMessage::PoolNotes { service, notes });
    assert_eq!(asker.verdict(waiting).await, (incarnation, granted()));
    let unknown = asker.ask("unknown", 100).await;
    assert!(matches!(unknown, PeerReply::UnknownPool), "{unknown:?}");
}

#[actix_rt::test]
async fn a_scheduler_counts_the_calls_that_it_is_told_of() {
    let fleet = Fleet::start(GRACE).await;
    let server = echo().await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    let asker = Asker::start(&fleet);
    let running = |number| RunningCall {
        number,
        engine: ServerKey::of("one"),
        for_ms: 1_000,
    };
    asker.tell(PeerMessage::PoolCalls {
        service: "s".to_owned(),
        calls: (1..=2 * SLOTS).map(running).collect(),
    });
    assert_eq!(asker.verdict(100).await.1, Verdict::Waiting);
    asker.tell(PeerMessage::PoolCalls {
        service: "s".to_owned(),
        calls: (2..SLOTS).map(running).collect(),
    });
    until(async || asker.verdict(100).await.1 == granted()).await;
}
