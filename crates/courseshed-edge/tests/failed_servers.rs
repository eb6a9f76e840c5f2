//! Servers that fail under a request and go on running: the request reaches no more servers than its route allows.

mod support;

use std::time::Duration;

use courseshed_registry::{Registration, Server, ServerState};
use courseshed_routing::{CallKind, Route};
use support::server::{Action, MockServer, event, response, stream_head};
use support::{Fleet, call, plain_route, ready_server, status, stream_route, wait_until};
use tokio::sync::watch;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(20);
const SERVERS: usize = 6;
/// The body of requests that the servers break off.
const BROKEN_OFF: &str = "broken-off";
/// Streams continue only at servers of the version at which they began.
const VERSION: &str = "v1";
/// By when gateways have a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(500);

fn plain(max_attempts: u32) -> Route {
    Route {
        kind: CallKind::Repeatable,
        max_attempts,
        ..plain_route()
    }
}

fn resumable_stream(max_attempts: u32) -> Route {
    Route {
        resumable: true,
        max_attempts,
        ..stream_route()
    }
}

/// What happens to each server that has the request, before it breaks off its response.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Nothing answers connection attempts, as when packets are lost or the path takes long.
    Silent,
    /// It drains, and refuses connections.
    Draining,
    /// It is no longer listed.
    Unlisted,
    /// It is no longer listed, and refuses connections.
    Gone,
    /// It closes each new connection.
    Closing,
}

struct FailingServers {
    servers: Vec<MockServer>,
    /// Lets the servers break off their responses.
    breaks_off: watch::Sender<bool>,
}

impl FailingServers {
    async fn start(fleet: &Fleet, route: &Route) -> Self {
        let (breaks_off, when) = watch::channel(false);
        let is_stream = route.kind == CallKind::Stream;
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let when = when.clone();
            let server = MockServer::start_with_small_backlog(move |request| {
                if request.body != BROKEN_OFF {
                    return Action::Write(response(request, "served"));
                }
                let text = if is_stream {
                    format!("{}{}", stream_head(request), event(1))
                } else {
                    String::new()
                };
                Action::WriteAndResetWhen {
                    text,
                    when: when.clone(),
                }
            })
            .await;
            fleet
                .add_server_with_version(&name(number), &server, VERSION)
                .await;
            servers.push(server);
        }
        Self {
            servers,
            breaks_off,
        }
    }

    fn received(&self) -> Vec<usize> {
        let has_received = |number: &usize| {
            let requests = self.servers[*number].requests();
            requests.iter().any(|request| request.body == BROKEN_OFF)
        };
        (0..SERVERS).filter(has_received).collect()
    }

    async fn apply(&self, fleet: &Fleet, change: Change, number: usize) {
        let server = &self.servers[number];
        match change {
            Change::Silent => server.stop_answering_connections().await,
            Change::Draining => {
                drain(fleet, number, server).await;
                server.stop_listening().await;
            }
            Change::Unlisted => leave(fleet, number).await,
            Change::Gone => {
                leave(fleet, number).await;
                server.stop_listening().await;
            }
            Change::Closing => server.close_new_connections(),
        }
    }
}

fn name(number: usize) -> String {
    format!("server-{number}")
}

async fn drain(fleet: &Fleet, number: usize, server: &MockServer) {
    let registration = Registration {
        server: Server {
            state: ServerState::Draining,
            software_version: Some(VERSION.to_owned()),
            ..ready_server(&name(number), server)
        },
        sequence: 2,
    };
    fleet.announce(&registration).await;
    tokio::time::sleep(LIST_DELAY).await;
}

async fn leave(fleet: &Fleet, number: usize) {
    wait_until(async || fleet.controller.leave(name(number)).await.is_ok()).await;
    tokio::time::sleep(LIST_DELAY).await;
}

/// Guards against a server that fails and goes on running being taken for one that ended, so that a further server
/// runs the request.
#[parameterized(
    silent_plain = { plain(1), Change::Silent },
    silent_plain_twice = { plain(2), Change::Silent },
    silent_stream = { resumable_stream(1), Change::Silent },
    silent_stream_twice = { resumable_stream(2), Change::Silent },
    draining_plain = { plain(1), Change::Draining },
    draining_stream = { resumable_stream(1), Change::Draining },
    draining_stream_twice = { resumable_stream(2), Change::Draining },
    unlisted_plain = { plain(1), Change::Unlisted },
    unlisted_stream = { resumable_stream(1), Change::Unlisted },
    unlisted_stream_twice = { resumable_stream(2), Change::Unlisted },
    gone_stream = { resumable_stream(1), Change::Gone },
    closing_plain = { plain(1), Change::Closing },
    closing_stream = { resumable_stream(1), Change::Closing },
)]
#[test_macro(actix_rt::test)]
async fn servers_that_go_on_running_count_towards_the_attempts(route: Route, change: Change) {
    let max_attempts = route.max_attempts as usize;
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![route.clone()]).await;
    let failing = FailingServers::start(&fleet, &route).await;
    let address = fleet.caller_addr;
    let sent = actix_rt::spawn(async move { call(address, "c1", "", BROKEN_OFF).await });
    wait_until(async || !failing.received().is_empty()).await;
    for number in 0..SERVERS {
        // Further servers may only be reached by a request that is sent on.
        if failing.received().contains(&number) {
            failing.apply(&fleet, change, number).await;
        }
    }
    failing.breaks_off.send_replace(true);
    let response = sent.await.expect("a response");
    assert!(
        failing.received().len() <= max_attempts,
        "reached {:?}: {response}",
        failing.received()
    );
    assert_ne!(status(&response), 503, "{response}");
}
