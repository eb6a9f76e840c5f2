//! Requests that may be read in two ways: one verdict for each, and nothing of them reaches a server as
//! a second request.

mod support;

use std::time::Duration;

use support::server::{Act, StandIn, answer};
use support::{Fleet, plain_route, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const GRACE: Duration = Duration::from_secs(20);
/// How long the gateway may keep a connection open after its answer before it counts as all.
const PATIENCE: Duration = Duration::from_millis(400);

/// What a gateway makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It is one request, passed on with this body.
    PassedOn(&'static str),
    /// It is turned away and nothing is passed on.
    TurnedAway,
}

const HEAD: &str = "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: outer\r\n";
const INNER: &str = "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: inner\r\n\r\n";

fn cases() -> Vec<(&'static str, String, Verdict)> {
    use Verdict::{PassedOn, TurnedAway};
    let with = |headers: &str, body: &str| format!("{HEAD}{headers}\r\n{body}");
    vec![
        (
            "a length",
            with("content-length: 2\r\n", "ab"),
            PassedOn("ab"),
        ),
        (
            "chunks",
            with("transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
            PassedOn("ab"),
        ),
        (
            "chunks with extensions and trailers",
            with(
                "transfer-encoding: chunked\r\n",
                "2;x=\"y\"\r\nab\r\n0\r\nx-call: inner\r\n\r\n",
            ),
            PassedOn("ab"),
        ),
        (
            "a length and chunks",
            with(
                "content-length: 4\r\ntransfer-encoding: chunked\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            TurnedAway,
        ),
        (
            "two lengths",
            with(
                "content-length: 2\r\ncontent-length: 90\r\n",
                &format!("ab{INNER}"),
            ),
            TurnedAway,
        ),
        (
            "a length that is a list",
            with("content-length: 2, 90\r\n", &format!("ab{INNER}")),
            TurnedAway,
        ),
        (
            "a signed length",
            with("content-length: +2\r\n", &format!("ab{INNER}")),
            TurnedAway,
        ),
        (
            "chunked twice",
            with(
                "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            TurnedAway,
        ),
        (
            "an unknown encoding",
            with(
                "transfer-encoding: xchunked\r\n",
                &format!("0\r\n\r\n{INNER}"),
            ),
            TurnedAway,
        ),
        (
            "a space before the colon",
            with("content-length : 2\r\n", &format!("ab{INNER}")),
            TurnedAway,
        ),
        (
            "a folded header",
            with("x-fold: a\r\n content-length: 90\r\n", ""),
            TurnedAway,
        ),
        (
            "a chunk without a size",
            with(
                "transfer-encoding: chunked\r\n",
                &format!("\r\nab\r\n0\r\n\r\n{INNER}"),
            ),
            TurnedAway,
        ),
        (
            "a chunk of a size beyond all bounds",
            with(
                "transfer-encoding: chunked\r\n",
                "ffffffffffffffffff\r\nab\r\n0\r\n\r\n",
            ),
            TurnedAway,
        ),
        (
            "a bare carriage return",
            with("x-a: b\rcontent-length: 9\r\n", ""),
            TurnedAway,
        ),
        ("a zero byte", with("x-a: b\0\r\n", ""), TurnedAway),
    ]
}

/// All that comes until the gateway closes, or says nothing more for a while.
async fn exchange(fleet: &Fleet, request: &str) -> String {
    let mut stream = TcpStream::connect(fleet.callers).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match timeout(PATIENCE, stream.read(&mut chunk)).await {
            Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&chunk[..count]),
            _ => return String::from_utf8_lossy(&answer).into_owned(),
        }
    }
}

#[actix_rt::test]
async fn nothing_is_smuggled_in_a_request() {
    let fleet = Fleet::start(GRACE).await;
    let server = StandIn::start(|got| Act::Write(answer(got, "hello"))).await;
    fleet.route(vec![plain_route()]).await;
    fleet.announce("one", &server).await;
    for (name, request, expected) in cases() {
        let before = server.got().len();
        let answer = exchange(&fleet, &request).await;
        let got = server.got().split_off(before);
        let ids: Vec<Option<&str>> = got.iter().map(|got| got.header("x-call")).collect();
        match expected {
            Verdict::PassedOn(body) => {
                assert_eq!(ids, [Some("outer")], "{name}: {answer}");
                assert_eq!(got[0].body, body, "{name}");
                assert_eq!(status(&answer), 200, "{name}: {answer}");
            }
            Verdict::TurnedAway => {
                assert_eq!(ids, [], "{name}: {answer}");
                assert!([0, 400].contains(&status(&answer)), "{name}: {answer}");
            }
        }
    }
}
