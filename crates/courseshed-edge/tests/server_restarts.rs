//! Server restarts under the same name and zone evacuation, observed from callers and servers.

mod support;

use std::time::Duration;

use courseshed_registry::{Registration, Server, ServerState};
use support::server::MockServer;
use support::server::{Action, ReceivedRequest};
use support::{Fleet, call, plain_route, status, wait_until};

const GRACE: Duration = Duration::from_secs(20);
const CALLS: u32 = 10;

fn respond(request: &ReceivedRequest) -> Action {
    let call = request.header("x-call").unwrap_or_default();
    Action::Write(format!(
        "HTTP/1.1 200 OK\r\nx-call: {call}\r\ncontent-length: 2\r\n\r\nok"
    ))
}

fn registration(
    started_ms: u64,
    sequence: u64,
    zone: &str,
    mock_server: &MockServer,
) -> Registration {
    Registration {
        server: Server {
            id: Server::incarnation_id("one", Some(started_ms)),
            name: "one".to_owned(),
            started_ms: Some(started_ms),
            software_version: None,
            warmup_remaining_ms: 0,
            service: "s".to_owned(),
            address: mock_server.address,
            zone: zone.to_owned(),
            slots: 4,
            state: ServerState::Ready,
        },
        sequence,
    }
}

/// Makes `CALLS` calls and returns how many of them the server received.
async fn calls_served_by(fleet: &Fleet, mock_server: &MockServer) -> usize {
    let before = mock_server.requests().len();
    for number in 0..CALLS {
        let response = call(fleet.caller_addr, &format!("c{before}-{number}"), "", "").await;
        assert_eq!(status(&response), 200, "{response}");
    }
    mock_server.requests().len() - before
}

#[actix_rt::test]
async fn restarted_server_is_found_at_its_new_address() {
    let fleet = Fleet::start(GRACE).await;
    let first = MockServer::start(respond).await;
    let second = MockServer::start(respond).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.announce(&registration(1_000, 70, "a", &first)).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    assert_eq!(first.requests()[0].header("x-server"), Some("one"));
    fleet.announce(&registration(2_000, 1, "a", &second)).await;
    wait_until(async || {
        let received = second.requests().len();
        call(fleet.caller_addr, "look", "", "").await;
        second.requests().len() > received
    })
    .await;
    fleet.announce(&registration(1_000, 71, "a", &first)).await;
    assert_eq!(calls_served_by(&fleet, &second).await, CALLS as usize);
}

#[actix_rt::test]
async fn evacuated_zone_receives_no_calls_until_it_is_restored() {
    let fleet = Fleet::start(GRACE).await;
    let only = MockServer::start(respond).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.announce(&registration(1_000, 1, "a", &only)).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    wait_until(async || fleet.controller.evacuate("a", true).await.is_ok()).await;
    wait_until(async || status(&call(fleet.caller_addr, "look", "", "").await) == 503).await;
    let before = only.requests().len();
    let refused = call(fleet.caller_addr, "refused", "", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after"), "{refused}");
    assert_eq!(only.requests().len(), before);
    wait_until(async || fleet.controller.evacuate("a", false).await.is_ok()).await;
    wait_until(async || status(&call(fleet.caller_addr, "again", "", "").await) == 200).await;
}
