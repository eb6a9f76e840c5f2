//! Servers that start again under their name, and zones that are emptied, as callers and servers see it.

mod support;

use std::time::Duration;

use courseshed_registry::{Registration, Server, ServerState};
use support::server::StandIn;
use support::server::{Act, Got};
use support::{Fleet, call, plain_route, status, until};

const GRACE: Duration = Duration::from_secs(20);
const CALLS: u32 = 10;

fn answer(got: &Got) -> Act {
    let call = got.header("x-call").unwrap_or_default();
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nx-call: {call}\r\ncontent-length: 2\r\n\r\nok"
    ))
}

fn life(started_ms: u64, sequence: u64, zone: &str, stand_in: &StandIn) -> Registration {
    Registration {
        server: Server {
            id: Server::incarnation_id("one", Some(started_ms)),
            name: "one".to_owned(),
            started_ms: Some(started_ms),
            warmup_remaining_ms: 0,
            service: "s".to_owned(),
            address: stand_in.address,
            zone: zone.to_owned(),
            slots: 4,
            state: ServerState::Ready,
        },
        sequence,
    }
}

async fn announce(fleet: &Fleet, registration: &Registration) {
    until(async || {
        fleet
            .controller
            .announce(registration.clone())
            .await
            .is_ok()
    })
    .await;
}

/// Waits until calls get through, then counts how many of some get to a server.
async fn served_by(fleet: &Fleet, stand_in: &StandIn) -> usize {
    let before = stand_in.got().len();
    for number in 0..CALLS {
        let answer = call(fleet.callers, &format!("c{before}-{number}"), "", "").await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
    stand_in.got().len() - before
}

#[actix_rt::test]
async fn a_server_that_starts_again_elsewhere_is_found_and_called_by_its_name() {
    let fleet = Fleet::start(GRACE).await;
    let first = StandIn::start(answer).await;
    let second = StandIn::start(answer).await;
    fleet.route(vec![plain_route()]).await;
    announce(&fleet, &life(1_000, 70, "a", &first)).await;
    until(async || status(&call(fleet.callers, "first", "", "").await) == 200).await;
    assert_eq!(first.got()[0].header("x-server"), Some("one"));
    announce(&fleet, &life(2_000, 1, "a", &second)).await;
    until(async || {
        let seen = second.got().len();
        call(fleet.callers, "look", "", "").await;
        second.got().len() > seen
    })
    .await;
    announce(&fleet, &life(1_000, 71, "a", &first)).await;
    assert_eq!(served_by(&fleet, &second).await, CALLS as usize);
}

#[actix_rt::test]
async fn an_emptied_zone_gets_nothing_until_it_is_taken_back() {
    let fleet = Fleet::start(GRACE).await;
    let only = StandIn::start(answer).await;
    fleet.route(vec![plain_route()]).await;
    announce(&fleet, &life(1_000, 1, "a", &only)).await;
    until(async || status(&call(fleet.callers, "first", "", "").await) == 200).await;
    until(async || fleet.controller.evacuate("a", true).await.is_ok()).await;
    until(async || status(&call(fleet.callers, "look", "", "").await) == 503).await;
    let before = only.got().len();
    let refused = call(fleet.callers, "refused", "", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after"), "{refused}");
    assert_eq!(only.got().len(), before);
    until(async || fleet.controller.evacuate("a", false).await.is_ok()).await;
    until(async || status(&call(fleet.callers, "again", "", "").await) == 200).await;
}
