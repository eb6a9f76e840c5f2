//! What clients get whose requests exceed a limit, do not end, or are refused while they still send.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use courseshed_routing::Route;
use support::server::{Action, MockServer, response};
use support::{Fleet, plain_route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(20);
const MIB: usize = 1024 * 1024;

fn short_route() -> Route {
    Route {
        timeout_ms: 700,
        ..plain_route()
    }
}

/// Sends a request as far as the gateway takes it, and returns what it answers until it closes the
/// connection or the answer has come.
async fn exchange(address: SocketAddr, head: &str, body: &[u8]) -> String {
    let stream = TcpStream::connect(address).await.expect("connected");
    let (mut reader, mut writer) = stream.into_split();
    let text = format!("{head}\r\n\r\n");
    writer.write_all(text.as_bytes()).await.expect("sent");
    let sending = async {
        let _sent = writer.write_all(body).await;
        std::future::pending::<()>().await;
    };
    let receiving = async {
        let mut received = Vec::new();
        while !received.windows(4).any(|window| window == b"\r\n\r\n") {
            if reader.read_buf(&mut received).await.unwrap_or(0) == 0 {
                break;
            }
        }
        String::from_utf8_lossy(&received).into_owned()
    };
    tokio::select! {
        () = sending => unreachable!("it waits for ever"),
        received = receiving => received,
    }
}

async fn start() -> Fleet {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    fleet.set_routes(vec![short_route()]).await;
    fleet.add_server("one", &server).await;
    fleet
}

fn chunks(bytes: usize) -> Vec<u8> {
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    chunk.repeat(bytes / 0x10000).into_bytes()
}

const CHUNKED: &str = "transfer-encoding: chunked";

/// Guards against a refusal that a reset takes from a client which is still sending.
#[parameterized(
    announced_too_large = { "/a/x", "content-length: 104857600", vec![b'x'; 2 * MIB], "413" },
    sent_too_large = { "/a/x", CHUNKED, chunks(6 * MIB), "413" },
    no_route = { "/nowhere/", "content-length: 4000000", vec![b'x'; 3 * MIB], "404" },
    no_route_in_chunks = { "/nowhere/", CHUNKED, chunks(3 * MIB), "404" },
    length_and_chunks = { "/a/x", "content-length: 5\r\ntransfer-encoding: chunked", Vec::new(), "400" },
    body_that_stops = { "/a/x", "content-length: 100", vec![b'x'; 99], "408" },
    chunks_that_stop = { "/a/x", CHUNKED, chunks(MIB), "408" },
    nothing_of_a_body = { "/a/x", "content-length: 100", Vec::new(), "408" },
    expected_body_that_stops = { "/a/x", "expect: 100-continue\r\ncontent-length: 100", Vec::new(), "100" },
)]
fn client_gets_its_refusal(path: &str, framing: &str, body: Vec<u8>, status: &str) {
    actix_rt::System::new().block_on(async {
        let fleet = start().await;
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: a.example\r\nx-call: refused\r\n{framing}");
        let answer = exchange(fleet.caller_addr, &head, &body).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer:?}"
        );
    });
}

/// A head over the limit is answered, one without an end is not waited for.
#[parameterized(
    over_the_limit = { 20_000, "431" },
    without_an_end = { 200_000, "" },
)]
fn large_head_is_refused(bytes: usize, status: &str) {
    actix_rt::System::new().block_on(async {
        let fleet = start().await;
        let filler = "x".repeat(bytes);
        let head =
            format!("GET /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: large\r\nx-filler: {filler}");
        let stream = TcpStream::connect(fleet.caller_addr)
            .await
            .expect("connected");
        let (mut reader, mut writer) = stream.into_split();
        // The gateway may close the connection before it has read all.
        let _sent = writer.write_all(head.as_bytes()).await;
        if !status.is_empty() {
            writer.write_all(b"\r\n\r\n").await.expect("sent");
        }
        let mut received = Vec::new();
        while received.len() < status.len() + 9 {
            if reader.read_buf(&mut received).await.unwrap_or(0) == 0 {
                break;
            }
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        let expected = format!("HTTP/1.1 {status}");
        assert!(text.starts_with(&expected) || status.is_empty(), "{text:?}");
    });
}

/// A body on a request that usually has none, and a second request behind the first.
#[actix_rt::test]
async fn connection_is_used_again_after_a_body_on_any_method() {
    let fleet = start().await;
    let mut stream = TcpStream::connect(fleet.caller_addr)
        .await
        .expect("connected");
    let request =
        "GET /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: again\r\ncontent-length: 4\r\n\r\nbody";
    let unknown = "POST /nowhere/ HTTP/1.1\r\nhost: a.example\r\nx-call: unknown\r\ncontent-length: 4\r\n\r\nbody";
    let both = format!("{request}{unknown}{request}");
    stream.write_all(both.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    while String::from_utf8_lossy(&received).matches("served").count() < 2 {
        let read = stream.read_buf(&mut received).await.expect("read");
        assert!(read > 0, "{}", String::from_utf8_lossy(&received));
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!(text.matches("HTTP/1.1 404").count(), 1, "{text}");
}
