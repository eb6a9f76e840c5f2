//! A gateway between callers and servers that read slowly: what it holds for them stays bounded, and
//! ordinary callers beside them are answered.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::HeldTerms;
use support::server::{Act, END, Got, NEVER_READ, StandIn, answer, chunk, event, stream_head};
use support::{AMPLE_MEMORY, Fleet, call, plain_route, status, stream_route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
/// Callers that send a request and read nothing; each costs four descriptors of this process.
const SLOW_CALLERS: usize = 1000;
/// Servers among which they are spread: the service of a test lets 100 connections to each.
const SERVERS: usize = 12;
/// Bytes of one piece of a long stream, more or less.
const PIECE_BYTES: usize = 4096;
/// Pieces of a long stream: 16 MB, more than all socket buffers on its way take.
const PIECES: usize = 4096;
/// Calls that each server runs at once: all callers', so that readers alone decide, and no call waits for an
/// engine's place.
const SLOTS: u32 = SLOW_CALLERS as u32;
/// Longer than any test takes.
const NEVER: Duration = Duration::from_secs(3600);

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text.split(' ').nth(1).expect("a second field");
    pages.parse::<usize>().expect("a number") * 4096
}

fn piece() -> Arc<str> {
    let data = "x".repeat(PIECE_BYTES);
    chunk(&format!("data: {data}\n\n")).into()
}

fn is_slow(got: &Got) -> bool {
    let id = got.header("x-call");
    id.is_some_and(|id| id.starts_with("slow"))
}

/// A server that sends slow callers a long stream, and others a short one.
async fn start_sender() -> StandIn {
    let piece = piece();
    StandIn::start(move |got| {
        if is_slow(got) {
            return Act::Repeat {
                head: stream_head(got),
                piece: piece.clone(),
                times: PIECES,
            };
        }
        Act::Write(format!("{}{}{END}", stream_head(got), event(1)))
    })
    .await
}

/// Sends a request and reads nothing.
async fn begin(address: SocketAddr, id: &str, length: usize, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// A figure of the gateway.
fn figure(fleet: &Fleet, name: &str) -> i64 {
    let text = fleet.metrics.text();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.filter(|(found, _)| *found == name);
    found
        .map(|(_, figure)| figure.parse::<i64>().expect("a number"))
        .sum()
}

/// Starts as many senders as all slow callers need, and has the callers send and read nothing.
async fn start_slow(fleet: &Fleet) -> Vec<TcpStream> {
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let server = start_sender().await;
        fleet
            .announce_with_slots(&format!("s{index}"), &server, SLOTS)
            .await;
        servers.push(server);
    }
    let mut callers = Vec::new();
    for index in 0..SLOW_CALLERS {
        callers.push(begin(fleet.callers, &format!("slow{index}"), 2, "hi").await);
    }
    support::until(async || {
        let got: usize = servers.iter().map(|server| server.got().len()).sum();
        got == SLOW_CALLERS
    })
    .await;
    callers
}

async fn assert_others_are_answered(fleet: &Fleet) {
    for index in 0..20 {
        let answer = call(fleet.callers, &format!("quick{index}"), "", "body").await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with(END), "{answer}");
    }
}

/// Each stream holds what the library and one read from its server hold; nothing more is read.
#[actix_rt::test]
async fn a_thousand_callers_that_read_nothing_hold_little() {
    const MOST_EACH: usize = 80 * 1024;
    const FIXED: usize = 36 * 1024;
    let fleet = Fleet::start(GRACE).await;
    fleet.route_with_slots(vec![stream_route()], SLOTS).await;
    let before = resident();
    let callers = start_slow(&fleet).await;
    support::until(async || {
        let held = figure(&fleet, "courseshed_held_bytes");
        held >= (SLOW_CALLERS * (FIXED + PIECE_BYTES)) as i64
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let held = figure(&fleet, "courseshed_held_peak_bytes");
    eprintln!(
        "each slow stream: {} bytes in the account, {} resident",
        held as usize / SLOW_CALLERS,
        resident().saturating_sub(before) / SLOW_CALLERS
    );
    assert!(held <= (SLOW_CALLERS * MOST_EACH) as i64, "{held}");
    assert_others_are_answered(&fleet).await;
    drop(callers);
    support::until(async || figure(&fleet, "courseshed_held_bytes") == 0).await;
}

/// Where the sum is too much the slowest are cut off, and the others served.
#[actix_rt::test]
async fn the_slowest_are_cut_off_when_their_sum_is_too_much() {
    const TOTAL: usize = 32 * 1024 * 1024;
    /// What may come in between two looks at the connections.
    const MARGIN: usize = TOTAL;
    let memory = HeldTerms {
        total_bytes: TOTAL,
        admission_bytes: TOTAL + MARGIN,
        read_stall: NEVER,
        ..HeldTerms::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_holding(GRACE, memory).await;
    fleet.route_with_slots(vec![stream_route()], SLOTS).await;
    let _callers = start_slow(&fleet).await;
    let cut = "courseshed_callers_cut_off_total{reason=\"memory\"}";
    support::until(async || {
        figure(&fleet, cut) > 0 && figure(&fleet, "courseshed_held_bytes") <= TOTAL as i64
    })
    .await;
    let peak = figure(&fleet, "courseshed_held_peak_bytes");
    assert!(peak <= (TOTAL + MARGIN) as i64, "{peak}");
    assert!(figure(&fleet, cut) < SLOW_CALLERS as i64);
    assert_others_are_answered(&fleet).await;
}

/// Slow readers that hold all that new callers may have don't keep them out for long.
#[actix_rt::test]
async fn callers_are_answered_again_soon_after_slow_ones_took_all_the_memory() {
    const ADMITTED: usize = 4 * 1024 * 1024;
    const CALLERS: usize = 90;
    let memory = HeldTerms {
        total_bytes: 64 * ADMITTED,
        admission_bytes: ADMITTED,
        read_stall: NEVER,
        pressed_stall: Duration::from_millis(300),
        ..HeldTerms::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_holding(GRACE, memory).await;
    let server = start_sender().await;
    fleet.route_with_slots(vec![stream_route()], SLOTS).await;
    fleet.announce_with_slots("one", &server, SLOTS).await;
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        callers.push(begin(fleet.callers, &format!("slow{index}"), 2, "hi").await);
    }
    let refused = "courseshed_held_refusals_total";
    support::until(async || {
        let _ = call(fleet.callers, "quick", "", "").await;
        figure(&fleet, refused) > 0
    })
    .await;
    // While the slow ones' streams still fill, a quick caller may be refused and the next one not, before any is cut.
    let cut = "courseshed_callers_cut_off_total{reason=\"memory\"}";
    support::until(async || figure(&fleet, cut) > 0).await;
    support::until(async || status(&call(fleet.callers, "quick", "", "").await) == 200).await;
    assert!(figure(&fleet, cut) < CALLERS as i64);
}

#[actix_rt::test]
async fn a_caller_that_reads_nothing_for_too_long_is_cut_off() {
    let memory = HeldTerms {
        read_stall: Duration::from_millis(500),
        ..HeldTerms::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_holding(GRACE, memory).await;
    let server = start_sender().await;
    fleet.route_with_slots(vec![stream_route()], SLOTS).await;
    fleet.announce_with_slots("one", &server, SLOTS).await;
    let mut caller = begin(fleet.callers, "slow", 2, "hi").await;
    let cut = "courseshed_callers_cut_off_total{reason=\"stall\"}";
    support::until(async || figure(&fleet, cut) == 1).await;
    let mut answer = Vec::new();
    let read = caller.read_to_end(&mut answer).await;
    assert!(read.is_err() || !answer.ends_with(END.as_bytes()));
    support::until(async || figure(&fleet, "courseshed_held_bytes") == 0).await;
}

/// Bodies that servers don't read are held until the deadline; what finds no room is refused before it
/// is sent. Found by this test: a server that read nothing for 0.9 s was taken for one out of reach.
#[actix_rt::test]
async fn bodies_that_servers_do_not_read_are_held_up_to_the_limit() {
    const BODY: usize = 512 * 1024;
    const TOTAL: usize = 12 * 1024 * 1024;
    const CALLERS: usize = 60;
    let memory = HeldTerms {
        total_bytes: TOTAL,
        admission_bytes: TOTAL / 4 * 3,
        read_stall: NEVER,
        ..HeldTerms::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_holding(GRACE, memory).await;
    let server = StandIn::start(|got| Act::Write(answer(got, "served"))).await;
    let mut route = plain_route();
    route.timeout_ms = 3_000;
    fleet.route_with_slots(vec![route], SLOTS).await;
    fleet.announce_with_slots("one", &server, SLOTS).await;
    let body = "b".repeat(BODY);
    let calls = (0..CALLERS).map(|index| {
        let body = &body;
        let callers = fleet.callers;
        async move { call(callers, &format!("{NEVER_READ}{index}"), "", body).await }
    });
    let answers = futures_util::future::join_all(calls).await;
    let refused: Vec<_> = answers.iter().filter(|got| status(got) == 503).collect();
    let timed_out = answers.iter().filter(|got| status(got) == 504).count();
    assert!(!refused.is_empty());
    assert!(timed_out > 0);
    assert_eq!(refused.len() + timed_out, CALLERS);
    for got in refused {
        assert!(got.contains("retry-after: 1.000"), "{got}");
        assert!(got.ends_with("no_memory"), "{got}");
    }
    let peak = figure(&fleet, "courseshed_held_peak_bytes");
    assert!(peak <= TOTAL as i64, "{peak}");
    let served = call(fleet.callers, "quick", "", "body").await;
    assert!(served.ends_with("served"), "{served}");
}

/// An answer longer than is read whole is passed on as it is.
#[actix_rt::test]
async fn a_long_answer_of_a_plain_call_is_passed_on_in_pieces() {
    const LONG: usize = 3 * 1024 * 1024;
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| Act::Write(answer(got, &"~".repeat(LONG)))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce_with_slots("one", &server, SLOTS).await;
    let answer = call(fleet.callers, "c1", "", "").await;
    assert_eq!(status(&answer), 200);
    assert_eq!(answer.matches('~').count(), LONG);
    assert!(answer.ends_with(END), "it does not end");
}
