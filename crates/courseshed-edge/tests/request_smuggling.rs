//! Request smuggling: ambiguously framed requests are forwarded as one request or rejected, and never reach a
//! server as two.

mod support;

use std::time::Duration;

use support::server::{Action, MockServer, response};
use support::{Fleet, plain_route, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const GRACE: Duration = Duration::from_secs(20);
/// Idle time after which a response counts as complete although the connection is still open.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// How the gateway handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Forwarded as one request with this body.
    Forwarded(&'static str),
    /// Rejected without being forwarded.
    Rejected,
}

const HEAD: &str = "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: outer\r\n";
const INNER: &str = "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: inner\r\n\r\n";

fn cases() -> Vec<(&'static str, String, Verdict)> {
    use Verdict::{Forwarded, Rejected};
    let with = |headers: &str, body: &str| format!("{HEAD}{headers}\r\n{body}");
    vec![
        (
            "content-length",
            with("content-length: 2\r\n", "ab"),
            Forwarded("ab"),
        ),
        (
            "chunked",
            with("transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
            Forwarded("ab"),
        ),
        (
            "chunked with extensions and trailers",
            with(
                "transfer-encoding: chunked\r\n",
                "2;x=\"y\"\r\nab\r\n0\r\nx-call: inner\r\n\r\n",
            ),
            Forwarded("ab"),
        ),
        (
            "content-length and chunked",
            with(
                "content-length: 4\r\ntransfer-encoding: chunked\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            Rejected,
        ),
        (
            "two content-lengths",
            with(
                "content-length: 2\r\ncontent-length: 90\r\n",
                &format!("ab{INNER}"),
            ),
            Rejected,
        ),
        (
            "a list as content-length",
            with("content-length: 2, 90\r\n", &format!("ab{INNER}")),
            Rejected,
        ),
        (
            "a signed content-length",
            with("content-length: +2\r\n", &format!("ab{INNER}")),
            Rejected,
        ),
        (
            "two transfer-encodings",
            with(
                "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            Rejected,
        ),
        (
            "an unknown transfer-encoding",
            with(
                "transfer-encoding: xchunked\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            Rejected,
        ),
        (
            "a space before the colon",
            with("content-length : 2\r\n", &format!("ab{INNER}")),
            Rejected,
        ),
        (
            "a folded header",
            with("x-fold: a\r\n content-length: 90\r\n", ""),
            Rejected,
        ),
        (
            "a chunk without a size",
            with(
                "transfer-encoding: chunked\r\n",
                &format!("\r\nab\r\n0\r\n\r\n{INNER}"),
            ),
            Rejected,
        ),
        (
            "a chunk size that overflows",
            with(
                "transfer-encoding: chunked\r\n",
                "ffffffffffffffffff\r\nab\r\n0\r\n\r\n",
            ),
            Rejected,
        ),
        (
            "a bare carriage return",
            with("x-a: b\rcontent-length: 9\r\n", ""),
            Rejected,
        ),
        ("a zero byte", with("x-a: b\0\r\n", ""), Rejected),
    ]
}

/// Sends a request and reads until the gateway closes the connection or is idle for `READ_TIMEOUT`.
async fn exchange(fleet: &Fleet, request: &str) -> String {
    let mut stream = TcpStream::connect(fleet.caller_addr)
        .await
        .expect("connected");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match timeout(READ_TIMEOUT, stream.read(&mut chunk)).await {
            Ok(Ok(count)) if count > 0 => response.extend_from_slice(&chunk[..count]),
            _ => return String::from_utf8_lossy(&response).into_owned(),
        }
    }
}

#[actix_rt::test]
async fn ambiguous_requests_are_not_smuggled() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| Action::Write(response(request, "hello"))).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    for (name, request, expected) in cases() {
        let before = server.requests().len();
        let response = exchange(&fleet, &request).await;
        let requests = server.requests().split_off(before);
        let ids: Vec<Option<&str>> = requests
            .iter()
            .map(|request| request.header("x-call"))
            .collect();
        match expected {
            Verdict::Forwarded(body) => {
                assert_eq!(ids, [Some("outer")], "{name}: {response}");
                assert_eq!(requests[0].body, body, "{name}");
                assert_eq!(status(&response), 200, "{name}: {response}");
            }
            Verdict::Rejected => {
                assert_eq!(ids, [], "{name}: {response}");
                assert!([0, 400].contains(&status(&response)), "{name}: {response}");
            }
        }
    }
}
