//! Slow callers and servers: the gateway's buffered memory stays bounded, and other callers are served.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::MemoryLimits;
use support::server::{
    Action, FINAL_CHUNK, MockServer, ReceivedRequest, UNREAD_CALL_PREFIX, chunk, event, response,
    stream_head,
};
use support::{AMPLE_MEMORY, Fleet, call, plain_route, status, stream_route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: Duration = Duration::from_secs(20);
/// Callers that send a request and never read; each uses four file descriptors of this process.
const SLOW_CALLERS: usize = 1000;
/// Enough servers for all slow callers at the test service's limit of 100 connections per server.
const SERVERS: usize = 12;
/// Data bytes per chunk of a long stream.
const CHUNK_BYTES: usize = 4096;
/// Chunks of a long stream: 16 MB, more than the socket buffers between server and caller hold.
const CHUNKS: usize = 4096;
/// Concurrent calls per server: enough for all slow callers, so that none is queued for an engine slot.
const SLOTS: u32 = SLOW_CALLERS as u32;
/// Longer than any test runs.
const NEVER: Duration = Duration::from_secs(3600);

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text.split(' ').nth(1).expect("a second field");
    pages.parse::<usize>().expect("a number") * 4096
}

fn long_chunk() -> Arc<str> {
    let data = "x".repeat(CHUNK_BYTES);
    chunk(&format!("data: {data}\n\n")).into()
}

fn is_slow(request: &ReceivedRequest) -> bool {
    let id = request.header("x-call");
    id.is_some_and(|id| id.starts_with("slow"))
}

/// Starts a server that sends a long stream to slow callers and a short one to others.
async fn start_streaming_server() -> MockServer {
    let chunk = long_chunk();
    MockServer::start(move |request| {
        if is_slow(request) {
            return Action::Repeat {
                head: stream_head(request),
                chunk: chunk.clone(),
                times: CHUNKS,
            };
        }
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await
}

/// Sends a request without reading the response.
async fn send_without_reading(
    address: SocketAddr,
    id: &str,
    length: usize,
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// The value of a gateway metric, or 0 if it is not exported.
fn metric(fleet: &Fleet, name: &str) -> i64 {
    let text = fleet.metrics.text();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.filter(|(found, _)| *found == name);
    found
        .map(|(_, value)| value.parse::<i64>().expect("a number"))
        .sum()
}

/// Starts the servers and slow callers, and waits until all requests have reached a server.
async fn start_slow_callers(fleet: &Fleet) -> Vec<TcpStream> {
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let server = start_streaming_server().await;
        fleet
            .add_server_with_slots(&format!("s{index}"), &server, SLOTS)
            .await;
        servers.push(server);
    }
    let mut callers = Vec::new();
    for index in 0..SLOW_CALLERS {
        callers
            .push(send_without_reading(fleet.caller_addr, &format!("slow{index}"), 2, "hi").await);
    }
    support::wait_until(async || {
        let received: usize = servers.iter().map(|server| server.requests().len()).sum();
        received == SLOW_CALLERS
    })
    .await;
    callers
}

async fn assert_other_callers_are_served(fleet: &Fleet) {
    for index in 0..20 {
        let response = call(fleet.caller_addr, &format!("quick{index}"), "", "body").await;
        assert_eq!(status(&response), 200, "{response}");
        assert!(response.ends_with(FINAL_CHUNK), "{response}");
    }
}

/// A slow stream buffers no more than the HTTP library's buffers and one read from its server.
#[actix_rt::test]
async fn memory_per_slow_caller_is_bounded() {
    const MAX_BYTES_PER_CALLER: usize = 80 * 1024;
    const FIXED_BYTES: usize = 36 * 1024;
    let fleet = Fleet::start(GRACE).await;
    fleet
        .set_routes_with_slots(vec![stream_route()], SLOTS)
        .await;
    let before = resident_bytes();
    let callers = start_slow_callers(&fleet).await;
    support::wait_until(async || {
        let held = metric(&fleet, "courseshed_held_bytes");
        held >= (SLOW_CALLERS * (FIXED_BYTES + CHUNK_BYTES)) as i64
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let held = metric(&fleet, "courseshed_held_peak_bytes");
    eprintln!(
        "each slow stream: {} bytes accounted, {} bytes resident",
        held as usize / SLOW_CALLERS,
        resident_bytes().saturating_sub(before) / SLOW_CALLERS
    );
    assert!(
        held <= (SLOW_CALLERS * MAX_BYTES_PER_CALLER) as i64,
        "{held}"
    );
    assert_other_callers_are_served(&fleet).await;
    drop(callers);
    support::wait_until(async || metric(&fleet, "courseshed_held_bytes") == 0).await;
}

/// When the memory budget is exceeded, the slowest callers are disconnected and others are served.
#[actix_rt::test]
async fn the_slowest_are_cut_off_when_their_sum_is_too_much() {
    const TOTAL_BYTES: usize = 32 * 1024 * 1024;
    /// Data that may arrive between two checks of the connections.
    const MARGIN_BYTES: usize = TOTAL_BYTES;
    let memory = MemoryLimits {
        total_bytes: TOTAL_BYTES,
        admission_bytes: TOTAL_BYTES + MARGIN_BYTES,
        stall_limit: NEVER,
        ..MemoryLimits::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_with_memory(GRACE, memory).await;
    fleet
        .set_routes_with_slots(vec![stream_route()], SLOTS)
        .await;
    let _callers = start_slow_callers(&fleet).await;
    let disconnects = "courseshed_callers_cut_off_total{reason=\"memory\"}";
    support::wait_until(async || {
        metric(&fleet, disconnects) > 0
            && metric(&fleet, "courseshed_held_bytes") <= TOTAL_BYTES as i64
    })
    .await;
    let peak = metric(&fleet, "courseshed_held_peak_bytes");
    assert!(peak <= (TOTAL_BYTES + MARGIN_BYTES) as i64, "{peak}");
    assert!(metric(&fleet, disconnects) < SLOW_CALLERS as i64);
    assert_other_callers_are_served(&fleet).await;
}

/// Slow callers that exhaust the admission budget must not keep new callers out until the stall limit.
#[actix_rt::test]
async fn callers_are_admitted_again_after_slow_ones_exhausted_the_memory() {
    const ADMISSION_BYTES: usize = 4 * 1024 * 1024;
    const CALLERS: usize = 90;
    let memory = MemoryLimits {
        total_bytes: 64 * ADMISSION_BYTES,
        admission_bytes: ADMISSION_BYTES,
        stall_limit: NEVER,
        pressure_stall_limit: Duration::from_millis(300),
        ..MemoryLimits::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_with_memory(GRACE, memory).await;
    let server = start_streaming_server().await;
    fleet
        .set_routes_with_slots(vec![stream_route()], SLOTS)
        .await;
    fleet.add_server_with_slots("one", &server, SLOTS).await;
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        callers
            .push(send_without_reading(fleet.caller_addr, &format!("slow{index}"), 2, "hi").await);
    }
    let refusals = "courseshed_held_refusals_total";
    support::wait_until(async || {
        let _ = call(fleet.caller_addr, "quick", "", "").await;
        metric(&fleet, refusals) > 0
    })
    .await;
    // Until the slow streams have filled their buffers, quick callers may be admitted before any disconnect.
    let disconnects = "courseshed_callers_cut_off_total{reason=\"memory\"}";
    support::wait_until(async || metric(&fleet, disconnects) > 0).await;
    support::wait_until(async || status(&call(fleet.caller_addr, "quick", "", "").await) == 200)
        .await;
    assert!(metric(&fleet, disconnects) < CALLERS as i64);
}

#[actix_rt::test]
async fn stalled_caller_is_disconnected() {
    let memory = MemoryLimits {
        stall_limit: Duration::from_millis(500),
        ..MemoryLimits::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_with_memory(GRACE, memory).await;
    let server = start_streaming_server().await;
    fleet
        .set_routes_with_slots(vec![stream_route()], SLOTS)
        .await;
    fleet.add_server_with_slots("one", &server, SLOTS).await;
    let mut caller = send_without_reading(fleet.caller_addr, "slow", 2, "hi").await;
    let disconnects = "courseshed_callers_cut_off_total{reason=\"stall\"}";
    support::wait_until(async || metric(&fleet, disconnects) == 1).await;
    let mut response = Vec::new();
    let read = caller.read_to_end(&mut response).await;
    assert!(read.is_err() || !response.ends_with(FINAL_CHUNK.as_bytes()));
    support::wait_until(async || metric(&fleet, "courseshed_held_bytes") == 0).await;
}

/// Request bodies that servers do not read are held until the deadline, and further ones are refused before they
/// are sent. A server that is slow to read must not count as unreachable.
#[actix_rt::test]
async fn unread_request_bodies_are_held_up_to_the_limit() {
    const BODY: usize = 512 * 1024;
    const TOTAL_BYTES: usize = 12 * 1024 * 1024;
    const CALLERS: usize = 60;
    let memory = MemoryLimits {
        total_bytes: TOTAL_BYTES,
        admission_bytes: TOTAL_BYTES / 4 * 3,
        stall_limit: NEVER,
        ..MemoryLimits::for_machine(AMPLE_MEMORY)
    };
    let fleet = Fleet::start_with_memory(GRACE, memory).await;
    let server = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    let mut route = plain_route();
    route.timeout_ms = 3_000;
    fleet.set_routes_with_slots(vec![route], SLOTS).await;
    fleet.add_server_with_slots("one", &server, SLOTS).await;
    let body = "b".repeat(BODY);
    let calls = (0..CALLERS).map(|index| {
        let body = &body;
        let caller_addr = fleet.caller_addr;
        async move {
            call(
                caller_addr,
                &format!("{UNREAD_CALL_PREFIX}{index}"),
                "",
                body,
            )
            .await
        }
    });
    let responses = futures_util::future::join_all(calls).await;
    let refused: Vec<_> = responses
        .iter()
        .filter(|response| status(response) == 503)
        .collect();
    let timed_out = responses
        .iter()
        .filter(|response| status(response) == 504)
        .count();
    assert!(!refused.is_empty());
    assert!(timed_out > 0);
    assert_eq!(refused.len() + timed_out, CALLERS);
    for response in refused {
        assert!(response.contains("retry-after: 1.000"), "{response}");
        assert!(response.ends_with("no_memory"), "{response}");
    }
    let peak = metric(&fleet, "courseshed_held_peak_bytes");
    assert!(peak <= TOTAL_BYTES as i64, "{peak}");
    let served = call(fleet.caller_addr, "quick", "", "body").await;
    assert!(served.ends_with("served"), "{served}");
}

/// A response that exceeds the buffering limit is forwarded unmodified.
#[actix_rt::test]
async fn long_response_to_a_plain_call_is_streamed() {
    const BODY_BYTES: usize = 3 * 1024 * 1024;
    let fleet = Fleet::start(GRACE).await;
    let server =
        MockServer::start(|request| Action::Write(response(request, &"~".repeat(BODY_BYTES))))
            .await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server_with_slots("one", &server, SLOTS).await;
    let response = call(fleet.caller_addr, "c1", "", "").await;
    assert_eq!(status(&response), 200);
    assert_eq!(response.matches('~').count(), BODY_BYTES);
    assert!(
        response.ends_with(FINAL_CHUNK),
        "the final chunk is missing"
    );
}
