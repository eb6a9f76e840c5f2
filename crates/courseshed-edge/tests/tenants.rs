//! Callers with keys before a gateway: who is let in, until when, and how often.

mod support;

use std::time::Duration;

use courseshed_consensus::DiskFault;
use courseshed_edge::gateway::Policy;
use courseshed_routing::Route;
use futures_util::future::join_all;
use support::server::{Act, END, StandIn, answer, event, stream_head};
use support::{Fleet, call, get, plain_route, status, stream_route, tenant, until};

const GRACE: Duration = Duration::from_secs(20);
const REVOCATION: Duration = Duration::from_secs(2);

fn public_route() -> Route {
    Route {
        name: "public".to_owned(),
        path_prefix: "/a/".to_owned(),
        is_public: true,
        home_regions: Vec::new(),
        ..plain_route()
    }
}

async fn echo() -> StandIn {
    StandIn::start(|got| Act::Write(answer(got, "hello"))).await
}

#[actix_rt::test]
async fn servers_are_told_the_tenant_and_strangers_are_turned_away() {
    let fleet = Fleet::start_strict(GRACE, REVOCATION).await;
    let server = echo().await;
    fleet.put(1, vec![public_route()], Some(vec![])).await;
    fleet.announce("one", &server).await;
    let tenants = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    fleet.put(2, vec![plain_route()], Some(tenants)).await;
    until(async || status(&call(fleet.callers, "c0", "", "").await) == 401).await;
    assert_eq!(
        status(&call(fleet.callers, "c1", "x-auth: k9\r\n", "").await),
        401
    );
    let before = server.got().len();
    let told = call(fleet.callers, "c2", "x-auth: k2\r\nx-tenant: a\r\n", "").await;
    assert_eq!(status(&told), 200, "{told}");
    let got = server.got();
    assert_eq!(got.len(), before + 1);
    assert_eq!(got[before].header("x-tenant"), Some("b"));
    assert_eq!(got[before].header("x-auth"), None);
}

#[actix_rt::test]
async fn a_key_that_was_taken_away_lets_nobody_in() {
    let fleet = Fleet::start_strict(GRACE, REVOCATION).await;
    let server = echo().await;
    fleet.put(1, vec![public_route()], Some(vec![])).await;
    fleet.announce("one", &server).await;
    let both = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    fleet.put(2, vec![plain_route()], Some(both)).await;
    until(async || status(&call(fleet.callers, "c1", "x-auth: k1\r\n", "").await) == 200).await;
    let left = vec![tenant("b", "k2", None)];
    fleet.put(3, vec![plain_route()], Some(left)).await;
    until(async || status(&call(fleet.callers, "c2", "x-auth: k1\r\n", "").await) == 401).await;
    assert_eq!(
        status(&call(fleet.callers, "c3", "x-auth: k2\r\n", "").await),
        200
    );
}

/// Nobody can prove that the keys are still in use: a caller is sent elsewhere, at once.
#[actix_rt::test]
async fn without_a_proof_keys_are_not_used() {
    let fleet = Fleet::start_strict(GRACE, REVOCATION).await;
    let server = echo().await;
    fleet.put(1, vec![public_route()], Some(vec![])).await;
    fleet.announce("one", &server).await;
    let tenants = vec![tenant("a", "k1", None)];
    fleet.put(2, vec![plain_route()], Some(tenants)).await;
    until(async || status(&call(fleet.callers, "c1", "x-auth: k1\r\n", "").await) == 200).await;
    assert_eq!(status(&get(fleet.readiness, "/").await), 200);
    fleet.disk_faults.set(DiskFault::Full);
    // The controller notices with its next write.
    let announced = fleet.controller.leave("two".to_owned()).await;
    assert!(announced.is_err());
    until(async || status(&call(fleet.callers, "c2", "x-auth: k1\r\n", "").await) == 503).await;
    let refused = call(fleet.callers, "c3", "x-auth: k1\r\n", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after: "), "{refused}");
    // Nor is it said that a key is unknown, which may have been added since.
    until(async || status(&call(fleet.callers, "c4", "x-auth: k9\r\n", "").await) == 503).await;
    until(async || status(&get(fleet.readiness, "/").await) == 503).await;
}

/// Two requests a second over a window of 5 s, and a tenth beyond: 11 of them.
#[actix_rt::test]
async fn a_tenant_makes_no_more_requests_than_it_may() {
    let fleet = Fleet::start_with(GRACE, Policy::default()).await;
    let server = echo().await;
    fleet.put(1, vec![public_route()], Some(vec![])).await;
    fleet.announce("one", &server).await;
    let tenants = vec![tenant("a", "k1", Some(2.0)), tenant("b", "k2", Some(2.0))];
    fleet.put(2, vec![plain_route()], Some(tenants)).await;
    until(async || status(&call(fleet.callers, "c0", "", "").await) == 401).await;
    let before = server.got().len();
    let calls = (0..30).map(|number| {
        let id = format!("c{number}");
        async move { call(fleet.callers, &id, "x-auth: k1\r\n", "").await }
    });
    let answers = join_all(calls).await;
    let served = answers
        .iter()
        .filter(|answer| status(answer) == 200)
        .count();
    let refused: Vec<&String> = answers
        .iter()
        .filter(|answer| status(answer) == 429)
        .collect();
    assert_eq!(served + refused.len(), 30);
    assert_eq!(served, 11);
    assert!(
        refused
            .iter()
            .all(|answer| answer.contains("retry-after: "))
    );
    assert_eq!(server.got().len(), before + 11);
    // The other tenant has its own.
    let other = call(fleet.callers, "d1", "x-auth: k2\r\n", "").await;
    assert_eq!(status(&other), 200, "{other}");
}

/// Another tenant's turn is as good as none, and a budget is not shared by a program of the same name.
#[actix_rt::test]
async fn tenants_have_turns_and_budgets_of_their_own() {
    let fleet = Fleet::start(GRACE).await;
    let server =
        StandIn::start(|got| Act::Write(format!("{}{}{END}", stream_head(got), event(1)))).await;
    fleet.put(1, vec![public_route()], Some(vec![])).await;
    fleet.announce("one", &server).await;
    let tenants = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    let mut route = stream_route();
    route.keeps_turns = true;
    fleet.put(2, vec![route], Some(tenants)).await;
    let unknown = "x-auth: k1\r\nx-previous: never\r\n";
    until(async || status(&call(fleet.callers, "p", unknown, "").await) == 404).await;
    let turn = "x-auth: k1\r\nx-program: p\r\nx-budget: 10\r\nx-most: 10\r\n";
    assert_eq!(status(&call(fleet.callers, "t1", turn, "first").await), 200);
    let spent = call(fleet.callers, "t2", turn, "").await;
    assert_eq!(status(&spent), 402, "{spent}");
    let other = turn.replace("k1", "k2");
    assert_eq!(status(&call(fleet.callers, "t3", &other, "").await), 200);
    let own = "x-auth: k1\r\nx-program: p\r\nx-previous: t1\r\n";
    assert_eq!(status(&call(fleet.callers, "t4", own, "more").await), 200);
    let stolen = own.replace("k1", "k2");
    assert_eq!(
        status(&call(fleet.callers, "t5", &stolen, "more").await),
        404
    );
}
