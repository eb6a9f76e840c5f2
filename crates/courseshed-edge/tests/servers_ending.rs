//! Requests under which servers end: how many servers one of them may end, over all attempts of its client.

mod support;

use std::time::Duration;

use courseshed_edge::gateway::{Mechanism, Policy};
use courseshed_routing::{CallKind, Route};
use support::server::{Action, MockServer, event, rejection, response, stream_head};
use support::{Fleet, Gateway, call, plain_route, status, stream_route, wait_until};
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(20);
/// The body of requests that end the server that runs them.
const LETHAL: &str = "lethal";
/// The most servers that may end under one request.
const MAX_ENDED_SERVERS: usize = 3;
const SERVERS: usize = 20;

fn repeatable_route() -> Route {
    Route {
        kind: CallKind::Repeatable,
        max_attempts: 2,
        ..plain_route()
    }
}

fn resumable_route() -> Route {
    Route {
        resumable: true,
        max_attempts: 2,
        ..stream_route()
    }
}

/// Where a server ends that runs a lethal request.
#[derive(Clone, Copy, Debug)]
enum EndsAt {
    BeforeHead,
    WithinResponse,
}

/// Starts servers that end under lethal requests and answer all others.
async fn start_fragile_servers(fleet: &Fleet, ends_at: EndsAt) -> Vec<MockServer> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = MockServer::start(move |request| {
            if request.body != LETHAL {
                return Action::Write(response(request, "served"));
            }
            match ends_at {
                EndsAt::BeforeHead => Action::Shutdown,
                EndsAt::WithinResponse => {
                    Action::WriteAndShutdown(format!("{}{}", stream_head(request), event(1)))
                }
            }
        })
        .await;
        fleet.add_server(&format!("server-{number}"), &server).await;
        servers.push(server);
    }
    servers
}

fn ended(servers: &[MockServer]) -> usize {
    let received = |server: &&MockServer| {
        let requests = server.requests();
        requests.iter().any(|request| request.body == LETHAL)
    };
    servers.iter().filter(received).count()
}

/// Sends a lethal request until the servers' ends are known or `attempts` are used up.
async fn send_lethal(gateways: &[&Gateway], fleet: &Fleet, attempts: usize, headers: &str) {
    for attempt in 0..attempts {
        let address = match attempt % (gateways.len() + 1) {
            0 => fleet.caller_addr,
            number => gateways[number - 1].caller_addr,
        };
        let response = call(address, &format!("lethal-{attempt}"), headers, LETHAL).await;
        assert_ne!(status(&response), 503, "{response}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Guards against a server that ran a request and then refuses its retry making room for another one.
#[parameterized(
    plain = { repeatable_route(), "" },
    resumable_stream = { resumable_route(), "" },
)]
#[test_macro(actix_rt::test)]
async fn server_that_ran_a_request_counts_after_it_refuses_the_retry(route: Route, headers: &str) {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![route]).await;
    let mut servers = Vec::new();
    for number in 0..8 {
        let mut has_run = false;
        let server = MockServer::start(move |request| {
            if std::mem::replace(&mut has_run, true) {
                return Action::Write(rejection(request));
            }
            Action::WriteAndReset(String::new())
        })
        .await;
        fleet.add_server(&format!("server-{number}"), &server).await;
        servers.push(server);
    }
    let response = call(fleet.caller_addr, "c1", headers, "").await;
    let ran = servers
        .iter()
        .filter(|server| !server.requests().is_empty());
    assert_eq!(ran.count(), 2);
    assert_eq!(status(&response), 502, "{response}");
}

/// Guards against a client whose every attempt ends further servers.
#[parameterized(
    plain = { repeatable_route(), EndsAt::BeforeHead, "" },
    plain_of_a_program = { repeatable_route(), EndsAt::BeforeHead, "x-program: p\r\n" },
    resumable_stream = { resumable_route(), EndsAt::BeforeHead, "x-program: p\r\n" },
    within_a_stream = { resumable_route(), EndsAt::WithinResponse, "x-program: p\r\n" },
    stream_that_runs_once = { stream_route(), EndsAt::WithinResponse, "x-program: p\r\n" },
)]
#[test_macro(actix_rt::test)]
async fn request_ends_at_most_three_servers_over_all_attempts(
    route: Route,
    ends_at: EndsAt,
    headers: &str,
) {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![route]).await;
    let servers = start_fragile_servers(&fleet, ends_at).await;
    send_lethal(&[], &fleet, 5, headers).await;
    assert!(
        ended(&servers) <= MAX_ENDED_SERVERS,
        "{} ended",
        ended(&servers)
    );
}

/// Sends a lethal request to two gateways in turn. Returns the number of servers that ended.
async fn send_lethal_to_two_gateways(fleet: &Fleet) -> usize {
    fleet.set_routes(vec![repeatable_route()]).await;
    let servers = start_fragile_servers(fleet, EndsAt::BeforeHead).await;
    let second = fleet.start_second_gateway().await;
    let all_listed = async || {
        call(second.caller_addr, "ordinary", "", "").await;
        servers.iter().all(|server| !server.requests().is_empty())
    };
    wait_until(all_listed).await;
    send_lethal(&[&second], fleet, 6, "x-program: p\r\n").await;
    ended(&servers)
}

/// Guards against attempts that start at zero because another gateway receives them.
#[actix_rt::test]
async fn request_ends_at_most_three_servers_at_several_gateways() {
    let fleet = Fleet::start(GRACE).await;
    let ended = send_lethal_to_two_gateways(&fleet).await;
    assert!(ended <= MAX_ENDED_SERVERS, "{ended} ended");
}

/// Guards against a test that passes whether or not gateways tell each other.
#[actix_rt::test]
async fn gateway_that_tells_nobody_lets_a_request_end_more_servers() {
    let policy = Policy::without([Mechanism::SharedSuspects]);
    let fleet = Fleet::start_with(GRACE, policy).await;
    let ended = send_lethal_to_two_gateways(&fleet).await;
    assert!(ended > MAX_ENDED_SERVERS, "{ended} ended");
}

/// Guards against a request that is sent on, or held, although it can't be served any more.
#[actix_rt::test]
async fn request_that_is_given_up_is_refused_without_a_time_to_come_back() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![repeatable_route()]).await;
    let servers = start_fragile_servers(&fleet, EndsAt::BeforeHead).await;
    send_lethal(&[], &fleet, 2, "").await;
    let response = call(fleet.caller_addr, "again", "", LETHAL).await;
    assert_eq!(status(&response), 502, "{response}");
    assert!(response.ends_with("servers_ended"), "{response}");
    assert!(!response.contains("retry-after"), "{response}");
    assert_eq!(ended(&servers), MAX_ENDED_SERVERS);
    let figures = fleet.metrics.text();
    assert!(
        figures.contains("courseshed_requests_given_up_total{service=\"s\"}"),
        "{figures}"
    );
    let ordinary = call(fleet.caller_addr, "ordinary", "", "").await;
    assert_eq!(status(&ordinary), 200, "{ordinary}");
}

/// Guards against requests that are given up because half of the servers ended at once.
#[actix_rt::test]
async fn requests_survive_the_end_of_half_of_the_servers() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![repeatable_route()]).await;
    for number in 0..12 {
        let server = MockServer::start(move |request| {
            if number % 2 == 0 {
                return Action::Shutdown;
            }
            Action::Write(response(request, "served"))
        })
        .await;
        fleet.add_server(&format!("server-{number}"), &server).await;
    }
    let calls = (0..24).map(|number| {
        let address = fleet.caller_addr;
        async move {
            let id = format!("call-{number}");
            let headers = format!("x-program: {id}\r\n");
            status(&call(address, &id, &headers, "").await)
        }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert_eq!(statuses, vec![200; 24]);
}

/// Guards against blaming a request for failures of servers that go on running.
#[actix_rt::test]
async fn server_that_fails_and_lives_on_is_not_taken_for_one_that_ended() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![repeatable_route()]).await;
    for number in 0..8 {
        let server = MockServer::start(|_| Action::WriteAndReset(String::new())).await;
        fleet.add_server(&format!("server-{number}"), &server).await;
    }
    for attempt in 0..4 {
        let id = format!("c{attempt}");
        let response = call(fleet.caller_addr, &id, "x-program: p\r\n", "").await;
        assert!(response.ends_with("broken"), "{response}");
    }
}
