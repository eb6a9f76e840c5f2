//! Turns that a client resumes at another gateway: stored whole, or refused before they run.

mod support;

use std::net::SocketAddr;

use courseshed_routing::Route;
use support::server::{Action, FINAL_CHUNK, MockServer, ReceivedRequest, chunk};
use support::{Fleet, Gateway, call, status, stream_route, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GRACE: std::time::Duration = std::time::Duration::from_secs(20);
const EVENTS: u64 = 4;
/// The event without data of turns whose input begins with `quiet`.
const QUIET_EVENT: u64 = 2;

/// Runs the same turn for each request: a resumption goes on after the last event, and a turn stops without ending after
/// the event that its request's ID names (`begun@2`).
async fn engine(name: &'static str) -> MockServer {
    MockServer::start(move |request: &ReceivedRequest| {
        let last = request.header("x-last").and_then(|text| text.parse().ok());
        let last: u64 = last.unwrap_or(0);
        let id = request.header("x-call").unwrap_or_default();
        let stop = id.split_once('@').and_then(|(_, stop)| stop.parse().ok());
        let stop: u64 = stop.unwrap_or(EVENTS);
        let mut text = support::server::stream_head(request);
        for id in last + 1..=stop {
            text += &match request.body.starts_with("quiet") && id == QUIET_EVENT {
                true => chunk(&format!("id: {id}\n\n")),
                false => chunk(&format!("id: {id}\ndata: {name}-{id}\n\n")),
            };
        }
        if stop == EVENTS {
            text += FINAL_CHUNK;
        }
        Action::Write(text)
    })
    .await
}

fn route() -> Route {
    Route {
        resumable: true,
        stores_turns: true,
        max_attempts: 3,
        ..stream_route()
    }
}

struct Conversations {
    fleet: Fleet,
    second: Gateway,
    server: MockServer,
}

impl Conversations {
    async fn start(routes: Vec<Route>) -> Self {
        let fleet = Fleet::start(GRACE).await;
        fleet.set_routes(routes).await;
        let server = engine("piece").await;
        fleet.add_server_with_version("one", &server, "v1").await;
        fleet.wait_for_record_stores().await;
        let second = fleet.start_second_gateway().await;
        wait_until(async || {
            let id = support::server::PROBE_CALL_ID;
            let probe = call(second.caller_addr, id, "x-previous: never\r\n", "").await;
            status(&probe) == 404
        })
        .await;
        Self {
            fleet,
            second,
            server,
        }
    }

    fn addresses(&self) -> [SocketAddr; 2] {
        [self.fleet.caller_addr, self.second.caller_addr]
    }

    /// The body that the server got for a request.
    fn body_of(&self, id: &str) -> String {
        let requests = self.server.requests();
        let request = requests
            .iter()
            .find(|request| request.header("x-call") == Some(id));
        request.expect("the request ran").body.clone()
    }

    fn has_run(&self, id: &str) -> bool {
        let requests = self.server.requests();
        let mut ids = requests.iter().map(|request| request.header("x-call"));
        ids.any(|received| received == Some(id))
    }
}

/// Begins a turn, reads it up to an event and disconnects.
async fn read_until(address: SocketAddr, id: &str, headers: &str, body: &str, event: u64) {
    let mut client = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "POST /a/x?y=1 HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    client.write_all(request.as_bytes()).await.expect("sent");
    let mut received = String::new();
    while !received.contains(&format!("id: {event}\n")) {
        let mut bytes = [0; 4096];
        let read = client.read(&mut bytes).await.expect("readable");
        assert!(read > 0, "the stream ended early: {received}");
        received.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}

fn whole_turn() -> String {
    (1..=EVENTS).map(|id| format!("piece-{id}\n")).collect()
}

/// Guards against a turn that is stored without the part that another gateway passed on, whether or not the client
/// names the request that began it.
#[actix_rt::test]
async fn turn_that_its_client_resumed_elsewhere_is_stored_whole() {
    let conversations = Conversations::start(vec![route()]).await;
    let [first, second] = conversations.addresses();
    for (number, resumes) in [(0, ""), (1, "x-resumes: begun-1@2\r\n")] {
        let input = format!("in-{number}+");
        read_until(first, &format!("begun-{number}@2"), "", &input, 2).await;
        let headers = format!("x-last: 2\r\n{resumes}");
        let resumed = call(second, &format!("resumed-{number}"), &headers, &input).await;
        assert_eq!(status(&resumed), 200, "{resumed}");
        assert!(!resumed.contains("piece-2"), "{resumed}");
        let next = format!("next-{number}");
        let previous = format!("x-previous: resumed-{number}\r\n");
        let answer = call(first, &next, &previous, "more").await;
        assert_eq!(status(&answer), 200, "{answer}");
        let expected = format!("{input}{}more", whole_turn());
        assert_eq!(conversations.body_of(&next), expected);
    }
}

/// Guards against a client whose last event has no data, and which is refused since nothing was kept for that event.
#[actix_rt::test]
async fn turn_is_resumed_after_an_event_without_data() {
    let conversations = Conversations::start(vec![route()]).await;
    let [first, second] = conversations.addresses();
    let input = "quiet+";
    read_until(first, "begun@2", "", input, QUIET_EVENT).await;
    let resumed = call(second, "resumed", "x-last: 2\r\n", input).await;
    assert_eq!(status(&resumed), 200, "{resumed}");
    let answer = call(first, "next", "x-previous: resumed\r\n", "more").await;
    assert_eq!(status(&answer), 200, "{answer}");
    let expected = "quiet+piece-1\npiece-3\npiece-4\nmore";
    assert_eq!(conversations.body_of("next"), expected);
}

/// Guards against a turn that is whole only if it was resumed once.
#[actix_rt::test]
async fn turn_that_was_resumed_twice_is_stored_whole() {
    let conversations = Conversations::start(vec![route()]).await;
    let [first, second] = conversations.addresses();
    read_until(first, "begun@1", "", "in+", 1).await;
    read_until(second, "again@3", "x-last: 1\r\n", "in+", 3).await;
    let resumed = call(first, "third", "x-last: 3\r\n", "in+").await;
    assert_eq!(status(&resumed), 200, "{resumed}");
    // The same resumption once more, as after a lost answer.
    let repeated = call(second, "fourth", "x-last: 3\r\n", "in+").await;
    assert_eq!(status(&repeated), 200, "{repeated}");
    for (next, previous) in [("next-1", "third"), ("next-2", "fourth")] {
        let previous = format!("x-previous: {previous}\r\n");
        let answer = call(first, next, &previous, "more").await;
        assert_eq!(status(&answer), 200, "{answer}");
        let expected = format!("in+{}more", whole_turn());
        assert_eq!(conversations.body_of(next), expected);
    }
}

/// Guards against a beginning that is guessed: of a turn that nobody began, of an event that wasn't passed on, and of
/// a turn that began before its route stored turns.
#[actix_rt::test]
async fn turn_whose_beginning_is_not_known_is_refused_and_not_run() {
    let without_turns = Route {
        stores_turns: false,
        ..route()
    };
    let conversations = Conversations::start(vec![route()]).await;
    let [first, second] = conversations.addresses();
    let unknown = call(second, "unknown", "x-last: 2\r\n", "never+").await;
    assert!(unknown.ends_with("unknown_stream_version"), "{unknown}");
    read_until(first, "begun@2", "", "in+", 2).await;
    let beyond = call(second, "beyond", "x-last: 3\r\n", "in+").await;
    assert!(beyond.ends_with("unknown_stream_beginning"), "{beyond}");
    conversations
        .fleet
        .publish_table(support::table(7, vec![without_turns], None))
        .await;
    let mut attempt = 0;
    // Begins on a route that stores no turns, as soon as that is in force at the gateway.
    wait_until(async || {
        attempt += 1;
        let input = format!("plain-{attempt}+");
        read_until(first, &format!("plain-{attempt}@2"), "", &input, 2).await;
        let resumed = call(
            second,
            &format!("goes-on-{attempt}"),
            "x-last: 2\r\n",
            &input,
        )
        .await;
        let next = call(
            second,
            "n",
            &format!("x-previous: goes-on-{attempt}\r\n"),
            "m",
        )
        .await;
        status(&resumed) == 200 && status(&next) == 404
    })
    .await;
    read_until(first, "before@2", "", "before+", 2).await;
    conversations
        .fleet
        .publish_table(support::table(8, vec![route()], None))
        .await;
    wait_until(async || {
        let id = "changed";
        let changed = call(second, id, "x-last: 2\r\n", "before+").await;
        changed.ends_with("unknown_stream_beginning")
    })
    .await;
    for id in ["unknown", "beyond"] {
        assert!(!conversations.has_run(id), "{id} was sent to a server");
    }
}
