//! Requests under which servers end: how many servers one of them may end, over all attempts of its client.

mod support;

use std::time::Duration;

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

/// Guards against attempts that start at zero because another gateway receives them.
#[actix_rt::test]
async fn request_ends_at_most_three_servers_at_several_gateways() {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![repeatable_route()]).await;
    let servers = start_fragile_servers(&fleet, EndsAt::BeforeHead).await;
    let second = fleet.start_second_gateway().await;
    let all_listed = async || {
        call(second.caller_addr, "ordinary", "", "").await;
        servers.iter().all(|server| !server.requests().is_empty())
    };
    wait_until(all_listed).await;
    send_lethal(&[&second], &fleet, 6, "x-program: p\r\n").await;
    assert!(
        ended(&servers) <= MAX_ENDED_SERVERS,
        "{} ended",
        ended(&servers)
    );
}
