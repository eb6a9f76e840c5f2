//! Responses of every framing, whole and broken off at every place, from mock servers to clients that
//! judge by the framing of what the gateway sends.

mod support;

use std::time::Duration;

use courseshed_routing::{CallKind, Route};
use support::client::{ClientResponse, request, request_slowly};
use support::server::{
    Action, Framed, MockServer, ReceivedRequest, framed_body, framed_head, framed_part,
};
use support::{Fleet, plain_route, stream_route};
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(20);
const PLAIN_BODY: &str = "the whole answer";
const EVENTS: &str = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n";
/// Length of one of the events.
const EVENT_BYTES: usize = EVENTS.len() / 3;
/// Lines of 16 bytes of a body three times as long as the gateway's buffer.
const LONG_BODY_LINES: usize = 3 * 64 * 1024;
const STREAM_TYPE: &str = "text/event-stream";

/// How a connection ends after a body that was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

impl End {
    fn after(self, text: String) -> Action {
        match self {
            Self::Closed => Action::WriteAndClose(text),
            Self::Reset => Action::WriteAndReset(text),
        }
    }
}

fn media_type(body: &str) -> &str {
    if body == EVENTS {
        STREAM_TYPE
    } else {
        "text/plain"
    }
}

/// A whole response.
fn whole(request: &ReceivedRequest, framed: Framed, body: &str) -> Action {
    let head = framed_head(request, framed, media_type(body), body.len());
    Action::WriteAndClose(format!("{head}{}", framed_body(framed, body)))
}

/// A response that is broken off after `kept` bytes of its body.
fn broken(request: &ReceivedRequest, framed: Framed, body: &str, kept: usize, end: End) -> Action {
    let head = framed_head(request, framed, media_type(body), body.len());
    end.after(format!("{head}{}", framed_part(framed, body, kept)))
}

fn repeatable_route() -> Route {
    Route {
        kind: CallKind::Repeatable,
        max_attempts: 3,
        ..plain_route()
    }
}

fn resumable_route() -> Route {
    Route {
        resumable: true,
        max_attempts: 3,
        ..stream_route()
    }
}

fn turn_route() -> Route {
    Route {
        stores_turns: true,
        ..stream_route()
    }
}

/// A fleet with one route from `/a/`, and one server.
async fn start(
    route: Route,
    script: impl FnMut(&ReceivedRequest) -> Action + Send + 'static,
) -> (Fleet, MockServer) {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(script).await;
    let stores_turns = route.stores_turns;
    fleet.set_routes(vec![route]).await;
    fleet.add_server("one", &server).await;
    if stores_turns {
        fleet.wait_for_record_stores().await;
    }
    (fleet, server)
}

async fn call(fleet: &Fleet, id: &str) -> ClientResponse {
    request(fleet.caller_addr, "1.1", "/a/x", id, "").await
}

const UNDELIMITED: [Framed; 2] = [Framed::UntilClose, Framed::UntilCloseOld];
const FRAMINGS: [Framed; 4] = [
    Framed::Length,
    Framed::Chunked,
    Framed::UntilClose,
    Framed::UntilCloseOld,
];

/// Guards against bodies that are lost, or reported as broken, since they have neither a length nor
/// chunks.
#[parameterized(
    at_most_once = { plain_route(), PLAIN_BODY },
    repeatable = { repeatable_route(), PLAIN_BODY },
    stream = { stream_route(), EVENTS },
    resumable_stream = { resumable_route(), EVENTS },
    stored_turn = { turn_route(), EVENTS },
)]
#[test_macro(actix_rt::test)]
async fn whole_response_of_every_framing_reaches_its_client_whole(
    route: Route,
    body: &'static str,
) {
    for framed in FRAMINGS {
        let (fleet, server) =
            start(route.clone(), move |request| whole(request, framed, body)).await;
        let response = call(&fleet, "c1").await;
        assert_eq!(response.status, 200, "{framed:?}");
        assert_eq!(response.body, body, "{framed:?}");
        assert!(response.is_complete, "{framed:?}");
        assert_eq!(server.requests().len(), 1, "{framed:?}");
    }
}

/// Guards against a response that ends early and looks complete to its client.
#[parameterized(
    at_most_once_after_head = { plain_route(), PLAIN_BODY, 0 },
    at_most_once_within_body = { plain_route(), PLAIN_BODY, 5 },
    repeatable_after_head = { repeatable_route(), PLAIN_BODY, 0 },
    repeatable_within_body = { repeatable_route(), PLAIN_BODY, 5 },
    stream_after_head = { stream_route(), EVENTS, 0 },
    stream_within_first_event = { stream_route(), EVENTS, 4 },
    stream_between_events = { stream_route(), EVENTS, EVENT_BYTES },
    stream_within_later_event = { stream_route(), EVENTS, EVENT_BYTES + 4 },
    stream_within_empty_line = { stream_route(), EVENTS, 2 * EVENT_BYTES - 1 },
    resumable_after_head = { resumable_route(), EVENTS, 0 },
    resumable_within_later_event = { resumable_route(), EVENTS, EVENT_BYTES + 4 },
    turn_after_head = { turn_route(), EVENTS, 0 },
    turn_within_empty_line = { turn_route(), EVENTS, 2 * EVENT_BYTES - 1 },
)]
#[test_macro(actix_rt::test)]
async fn response_that_ends_early_looks_broken_off_to_its_client(
    route: Route,
    body: &'static str,
    kept: usize,
) {
    for framed in FRAMINGS {
        for end in [End::Closed, End::Reset] {
            // The end of the connection is the end of such a body.
            let is_whole = UNDELIMITED.contains(&framed)
                && end == End::Closed
                && (kept == EVENT_BYTES || (body == PLAIN_BODY && kept > 0));
            if is_whole {
                continue;
            }
            let script = move |request: &ReceivedRequest| broken(request, framed, body, kept, end);
            let (fleet, _server) = start(route.clone(), script).await;
            for version in ["1.1", "1.0"] {
                let response = request(fleet.caller_addr, version, "/a/x", "c1", "").await;
                let is_success = response.status == 200 && response.is_complete;
                assert!(!is_success, "{framed:?} {end:?} {version}: {response:?}");
            }
        }
    }
}

/// Guards against a short turn that is kept as whole, and that later turns would go on from.
#[actix_rt::test]
async fn turn_that_was_broken_off_is_not_kept() {
    for framed in FRAMINGS {
        for end in [End::Closed, End::Reset] {
            let kept = EVENT_BYTES + 4;
            let script =
                move |request: &ReceivedRequest| broken(request, framed, EVENTS, kept, end);
            let (fleet, _server) = start(turn_route(), script).await;
            call(&fleet, "t1").await;
            let next = "x-previous: t1\r\n";
            let response = request(fleet.caller_addr, "1.1", "/a/x", "t2", next).await;
            assert_eq!(response.status, 404, "{framed:?} {end:?}: {response:?}");
        }
    }
}

/// Guards against a stream that is resumed within a response and loses or repeats events.
#[parameterized(
    after_head = { 0 },
    within_first_event = { 4 },
    within_later_event = { EVENT_BYTES + 4 },
    within_empty_line = { 2 * EVENT_BYTES - 1 },
)]
#[test_macro(actix_rt::test)]
async fn stream_without_length_or_chunks_is_resumed_without_loss(kept: usize) {
    for end in [End::Closed, End::Reset] {
        let mut requests = 0;
        let script = move |request: &ReceivedRequest| {
            requests += 1;
            if requests == 1 {
                return broken(request, Framed::UntilClose, EVENTS, kept, end);
            }
            let last: usize = request
                .header("x-last")
                .map_or(0, |last| last.parse().expect("a number"));
            let head = framed_head(request, Framed::UntilClose, STREAM_TYPE, 0);
            Action::WriteAndClose(format!("{head}{}", &EVENTS[last * EVENT_BYTES..]))
        };
        let (fleet, server) = start(resumable_route(), script).await;
        let response = call(&fleet, "c1").await;
        assert_eq!(response.status, 200, "{end:?}");
        assert_eq!(response.body, EVENTS, "{end:?}");
        assert!(response.is_complete, "{end:?}");
        assert_eq!(server.requests().len(), 2);
    }
}

/// Guards against a stream that is resumed after its last event, and whose rest is empty: only the
/// framing tells that from a server that failed after its head.
#[actix_rt::test]
async fn empty_rest_of_a_resumed_stream_is_complete_only_if_its_framing_says_so() {
    for framed in FRAMINGS {
        let script = move |request: &ReceivedRequest| match request.header("x-last") {
            None => broken(request, Framed::Chunked, EVENTS, EVENTS.len(), End::Closed),
            Some(_) => {
                let head = framed_head(request, framed, STREAM_TYPE, 0);
                Action::WriteAndClose(format!("{head}{}", framed_body(framed, "")))
            }
        };
        let (fleet, _server) = start(resumable_route(), script).await;
        let response = call(&fleet, "c1").await;
        assert_eq!(response.body, EVENTS, "{framed:?}");
        assert_eq!(
            response.is_complete,
            !UNDELIMITED.contains(&framed),
            "{framed:?}"
        );
    }
}

/// Guards against a client of HTTP/1.0 that can't read chunks, and that takes any end of its
/// connection for the end of the response.
#[actix_rt::test]
async fn client_of_the_old_version_gets_whole_responses_without_chunks() {
    for framed in FRAMINGS {
        let (fleet, _server) = start(stream_route(), move |request| {
            whole(request, framed, EVENTS)
        })
        .await;
        let response = request(fleet.caller_addr, "1.0", "/a/x", "c1", "").await;
        assert!(!response.head.contains("transfer-encoding"), "{response:?}");
        assert_eq!(response.body, EVENTS, "{framed:?}");
        assert!(response.is_complete, "{framed:?}");
    }
}

/// Guards against a head that is passed on before it is known whether anything follows it.
#[actix_rt::test]
async fn stream_that_ends_before_its_first_event_is_answered_with_an_error() {
    for framed in FRAMINGS {
        let script =
            move |request: &ReceivedRequest| broken(request, framed, EVENTS, 4, End::Closed);
        let (fleet, _server) = start(stream_route(), script).await;
        let response = call(&fleet, "c1").await;
        assert_eq!(response.status, 502, "{framed:?}");
        assert!(response.is_complete, "{framed:?}");
    }
}

/// Guards against a verdict that depends on whether a reset comes before or after the last read.
#[parameterized(
    plain = { plain_route(), PLAIN_BODY },
    stream = { stream_route(), EVENTS },
)]
#[test_macro(actix_rt::test)]
async fn reset_after_an_orderly_close_changes_nothing(route: Route, body: &'static str) {
    for framed in FRAMINGS {
        let script = move |request: &ReceivedRequest| {
            let head = framed_head(request, framed, media_type(body), body.len());
            Action::WriteCloseAndReset(format!("{head}{}", framed_body(framed, body)))
        };
        let (fleet, _server) = start(route.clone(), script).await;
        let response = call(&fleet, "c1").await;
        assert_eq!(response.body, body, "{framed:?}");
        assert!(response.is_complete, "{framed:?}");
    }
}

/// Guards against a response longer than the gateway's buffer that ends early, or after its client
/// was slow, and looks complete.
#[actix_rt::test]
async fn long_response_is_complete_only_with_all_of_its_bytes() {
    let body: &'static str = "0123456789abcde\n".repeat(LONG_BODY_LINES).leak();
    let kept = body.len() - 5;
    for framed in FRAMINGS {
        for version in ["1.1", "1.0"] {
            let script = move |request: &ReceivedRequest| {
                let head = framed_head(request, framed, "text/plain", body.len());
                match request.header("x-call") {
                    Some("whole") => whole(request, framed, body),
                    Some("closed") => {
                        Action::WriteCloseAndReset(format!("{head}{}", framed_body(framed, body)))
                    }
                    _ => broken(request, framed, body, kept, End::Reset),
                }
            };
            let (fleet, _server) = start(plain_route(), script).await;
            let address = fleet.caller_addr;
            let response = request_slowly(address, version, "/a/x", "whole").await;
            assert!(response.is_complete, "{framed:?} {version}");
            assert_eq!(response.body.len(), body.len(), "{framed:?} {version}");
            for id in ["closed", "reset"] {
                let response = request_slowly(address, version, "/a/x", id).await;
                let is_short = response.body.len() < body.len();
                assert!(
                    !(is_short && response.is_complete),
                    "{framed:?} {version} {id}"
                );
                assert!(id == "closed" || is_short, "{framed:?} {version} {id}");
            }
        }
    }
}

/// Guards against waiting for a body that a response can't have.
#[parameterized(
    no_content = { "POST", "HTTP/1.1 204 No Content\r\nx-call: c1\r\n\r\n", 204 },
    not_modified = { "POST", "HTTP/1.1 304 Not Modified\r\nx-call: c1\r\ncontent-length: 9\r\n\r\n", 304 },
    empty = { "POST", "HTTP/1.1 200 OK\r\nx-call: c1\r\ncontent-length: 0\r\n\r\n", 200 },
    old_and_empty = { "POST", "HTTP/1.0 200 OK\r\nx-call: c1\r\ncontent-length: 0\r\n\r\n", 200 },
    head_with_length = { "HEAD", "HTTP/1.1 200 OK\r\nx-call: c1\r\ncontent-length: 9\r\n\r\n", 200 },
    head_with_chunks = { "HEAD", "HTTP/1.1 200 OK\r\nx-call: c1\r\ntransfer-encoding: chunked\r\n\r\n", 200 },
    head_without_either = { "HEAD", "HTTP/1.1 200 OK\r\nx-call: c1\r\n\r\n", 200 },
)]
#[test_macro(actix_rt::test)]
async fn response_without_a_body_is_complete_at_its_head(
    method: &'static str,
    text: &'static str,
    status: u16,
) {
    let script = move |_: &ReceivedRequest| Action::Write(text.to_owned());
    let (fleet, server) = start(plain_route(), script).await;
    let text = format!(
        "{method} /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: c1\r\nx-time: 3000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    let response = support::exchange(fleet.caller_addr, &text).await;
    assert_eq!(support::status(&response), status, "{response}");
    assert_eq!(server.requests().len(), 1);
}
