//! Tenant authentication, key revocation and request quotas at the gateway.

mod support;

use std::time::Duration;

use courseshed_consensus::DiskFault;
use courseshed_edge::gateway::Policy;
use courseshed_routing::Route;
use futures_util::future::join_all;
use support::server::{Action, FINAL_CHUNK, MockServer, event, response, stream_head};
use support::{Fleet, call, get, plain_route, status, stream_route, tenant, wait_until};

const GRACE: Duration = Duration::from_secs(20);
const REVOCATION: Duration = Duration::from_secs(2);

fn public_route() -> Route {
    Route {
        name: "public".to_owned(),
        path_prefix: "/a/".to_owned(),
        is_public: true,
        allowed_regions: Vec::new(),
        ..plain_route()
    }
}

async fn start_hello_server() -> MockServer {
    MockServer::start(|request| Action::Write(response(request, "hello"))).await
}

#[actix_rt::test]
async fn tenant_is_forwarded_and_unknown_keys_are_rejected() {
    let fleet = Fleet::start_with_revocation(GRACE, REVOCATION).await;
    let server = start_hello_server().await;
    fleet
        .publish_routing(1, vec![public_route()], Some(vec![]))
        .await;
    fleet.add_server("one", &server).await;
    let tenants = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    fleet
        .publish_routing(2, vec![plain_route()], Some(tenants))
        .await;
    wait_until(async || status(&call(fleet.caller_addr, "c0", "", "").await) == 401).await;
    assert_eq!(
        status(&call(fleet.caller_addr, "c1", "x-auth: k9\r\n", "").await),
        401
    );
    let before = server.requests().len();
    let response = call(fleet.caller_addr, "c2", "x-auth: k2\r\nx-tenant: a\r\n", "").await;
    assert_eq!(status(&response), 200, "{response}");
    let requests = server.requests();
    assert_eq!(requests.len(), before + 1);
    assert_eq!(requests[before].header("x-tenant"), Some("b"));
    assert_eq!(requests[before].header("x-auth"), None);
}

#[actix_rt::test]
async fn revoked_key_is_rejected() {
    let fleet = Fleet::start_with_revocation(GRACE, REVOCATION).await;
    let server = start_hello_server().await;
    fleet
        .publish_routing(1, vec![public_route()], Some(vec![]))
        .await;
    fleet.add_server("one", &server).await;
    let both = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    fleet
        .publish_routing(2, vec![plain_route()], Some(both))
        .await;
    wait_until(async || status(&call(fleet.caller_addr, "c1", "x-auth: k1\r\n", "").await) == 200)
        .await;
    let remaining = vec![tenant("b", "k2", None)];
    fleet
        .publish_routing(3, vec![plain_route()], Some(remaining))
        .await;
    wait_until(async || status(&call(fleet.caller_addr, "c2", "x-auth: k1\r\n", "").await) == 401)
        .await;
    assert_eq!(
        status(&call(fleet.caller_addr, "c3", "x-auth: k2\r\n", "").await),
        200
    );
}

/// Without proof that its routing table is current, the gateway refuses callers with 503 immediately.
#[actix_rt::test]
async fn keys_are_not_accepted_without_a_proof() {
    let fleet = Fleet::start_with_revocation(GRACE, REVOCATION).await;
    let server = start_hello_server().await;
    fleet
        .publish_routing(1, vec![public_route()], Some(vec![]))
        .await;
    fleet.add_server("one", &server).await;
    let tenants = vec![tenant("a", "k1", None)];
    fleet
        .publish_routing(2, vec![plain_route()], Some(tenants))
        .await;
    wait_until(async || status(&call(fleet.caller_addr, "c1", "x-auth: k1\r\n", "").await) == 200)
        .await;
    assert_eq!(status(&get(fleet.readiness_addr, "/").await), 200);
    fleet.disk_faults.set(DiskFault::Full);
    // The controller detects the disk fault at its next write.
    let left = fleet.controller.leave("two".to_owned()).await;
    assert!(left.is_err());
    wait_until(async || status(&call(fleet.caller_addr, "c2", "x-auth: k1\r\n", "").await) == 503)
        .await;
    let refused = call(fleet.caller_addr, "c3", "x-auth: k1\r\n", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after: "), "{refused}");
    // An unknown key gets 503 rather than 401, as it may have been added since.
    wait_until(async || status(&call(fleet.caller_addr, "c4", "x-auth: k9\r\n", "").await) == 503)
        .await;
    wait_until(async || status(&get(fleet.readiness_addr, "/").await) == 503).await;
}

/// Two requests per second over a window of 5 s plus 10 % overshoot allow 11 requests.
#[actix_rt::test]
async fn tenant_request_quota_is_enforced() {
    let fleet = Fleet::start_with(GRACE, Policy::default()).await;
    let server = start_hello_server().await;
    fleet
        .publish_routing(1, vec![public_route()], Some(vec![]))
        .await;
    fleet.add_server("one", &server).await;
    let tenants = vec![tenant("a", "k1", Some(2.0)), tenant("b", "k2", Some(2.0))];
    fleet
        .publish_routing(2, vec![plain_route()], Some(tenants))
        .await;
    wait_until(async || status(&call(fleet.caller_addr, "c0", "", "").await) == 401).await;
    let before = server.requests().len();
    let calls = (0..30).map(|number| {
        let id = format!("c{number}");
        async move { call(fleet.caller_addr, &id, "x-auth: k1\r\n", "").await }
    });
    let responses = join_all(calls).await;
    let served = responses
        .iter()
        .filter(|response| status(response) == 200)
        .count();
    let refused: Vec<&String> = responses
        .iter()
        .filter(|response| status(response) == 429)
        .collect();
    assert_eq!(served + refused.len(), 30);
    assert_eq!(served, 11);
    assert!(
        refused
            .iter()
            .all(|response| response.contains("retry-after: "))
    );
    assert_eq!(server.requests().len(), before + 11);
    // The other tenant's quota is unaffected.
    let other = call(fleet.caller_addr, "d1", "x-auth: k2\r\n", "").await;
    assert_eq!(status(&other), 200, "{other}");
}

/// A tenant cannot continue another tenant's turn, and programs of the same name do not share a budget.
#[actix_rt::test]
async fn turns_and_budgets_are_isolated_between_tenants() {
    let fleet = Fleet::start(GRACE).await;
    let server = MockServer::start(|request| {
        Action::Write(format!("{}{}{FINAL_CHUNK}", stream_head(request), event(1)))
    })
    .await;
    fleet
        .publish_routing(1, vec![public_route()], Some(vec![]))
        .await;
    fleet.add_server("one", &server).await;
    let tenants = vec![tenant("a", "k1", None), tenant("b", "k2", None)];
    let mut route = stream_route();
    route.stores_turns = true;
    fleet.publish_routing(2, vec![route], Some(tenants)).await;
    let unknown = "x-auth: k1\r\nx-previous: never\r\n";
    wait_until(async || status(&call(fleet.caller_addr, "p", unknown, "").await) == 404).await;
    let turn = "x-auth: k1\r\nx-program: p\r\nx-budget: 10\r\nx-most: 10\r\n";
    assert_eq!(
        status(&call(fleet.caller_addr, "t1", turn, "first").await),
        200
    );
    let exhausted = call(fleet.caller_addr, "t2", turn, "").await;
    assert_eq!(status(&exhausted), 402, "{exhausted}");
    let other = turn.replace("k1", "k2");
    assert_eq!(
        status(&call(fleet.caller_addr, "t3", &other, "").await),
        200
    );
    let own = "x-auth: k1\r\nx-program: p\r\nx-previous: t1\r\n";
    assert_eq!(
        status(&call(fleet.caller_addr, "t4", own, "more").await),
        200
    );
    let stolen = own.replace("k1", "k2");
    assert_eq!(
        status(&call(fleet.caller_addr, "t5", &stolen, "more").await),
        404
    );
}
