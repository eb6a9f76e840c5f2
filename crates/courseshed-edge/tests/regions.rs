//! What servers, stores and links between regions receive of calls that are restricted to a region,
//! while the fleet tolerates the loss of a region.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use courseshed_routing::{CallKind, Route};
use socket2::{Domain, Socket, Type};
use support::regions::{EAST, NORTH, RegionFleet, WEST};
use support::server::{Action, FINAL_CHUNK, MockServer, ReceivedRequest, event, stream_head};
use support::{plain_route, post, status, stream_route, tenant, wait_until};
use tokio::sync::watch;

/// Longer than messages between regions take, in which a replica elsewhere would have been written.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Longer than stores must be silent to be replaced, with time to plan and to read the records.
const REPLACEMENT_TIME: Duration = Duration::from_secs(5);
/// Bound on an immediate refusal: far below the timeouts of a round of queries and of a connection.
const IMMEDIATE: Duration = Duration::from_millis(250);
const RESTRICTED: &str = "/a/x";
const UNRESTRICTED: &str = "/b/x";

fn answer(request: &ReceivedRequest) -> Action {
    let head = stream_head(request);
    Action::Write(format!("{head}{}{FINAL_CHUNK}", event(1)))
}

/// A route that stores turns, restricted to `regions`.
fn storing_route(path_prefix: &str, regions: &[&str]) -> Route {
    Route {
        name: path_prefix.to_owned(),
        path_prefix: path_prefix.to_owned(),
        stores_turns: true,
        allowed_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
        ..stream_route()
    }
}

fn routes() -> Vec<Route> {
    vec![storing_route("/a/", &["east"]), storing_route("/b/", &[])]
}

struct Setup {
    fleet: RegionFleet,
    east: MockServer,
    west: MockServer,
}

/// A fleet with a server in each of two regions and a route that is restricted to the first one.
async fn start() -> Setup {
    let fleet = RegionFleet::start().await;
    let east = MockServer::start(answer).await;
    let west = MockServer::start(answer).await;
    fleet.publish(1, routes(), None).await;
    fleet.add_server(EAST, &east).await;
    fleet.add_server(WEST, &west).await;
    for region in [EAST, WEST] {
        let address = fleet.gateway(region);
        for path in [RESTRICTED, UNRESTRICTED] {
            let mut tries = 0;
            wait_until(async || {
                tries += 1;
                let id = format!("warm-up-{region}-{tries}-{}", path.len() + tries);
                status(&post(address, path, &id, "", "warm-up").await) == 200
            })
            .await;
        }
    }
    Setup { fleet, east, west }
}

fn has_received(server: &MockServer, text: &str) -> bool {
    let requests = server.requests();
    requests.iter().any(|request| request.body.contains(text))
}

/// Asserts that a call is refused as not run, with the time after which it may be sent again.
async fn assert_refused(address: SocketAddr, path: &str, id: &str, body: &str) -> Duration {
    let began = Instant::now();
    let response = post(address, path, id, "", body).await;
    let took = began.elapsed();
    assert_eq!(status(&response), 503, "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    took
}

/// Guards against refusing restricted turns, and against replicas of them in other regions.
#[actix_rt::test]
async fn restricted_turns_are_stored_and_read_within_their_region() {
    let Setup { fleet, east, west } = start().await;
    let gateway = fleet.gateway(EAST);
    let first = post(gateway, RESTRICTED, "t1", "", "secret-one").await;
    assert_eq!(status(&first), 200, "{first}");
    let second = post(
        gateway,
        RESTRICTED,
        "t2",
        "x-previous: t1\r\n",
        "secret-two",
    )
    .await;
    assert_eq!(status(&second), 200, "{second}");
    assert!(has_received(&east, "secret-oned1\nsecret-two"));
    let open = post(gateway, UNRESTRICTED, "u1", "", "anywhere").await;
    assert_eq!(status(&open), 200, "{open}");
    tokio::time::sleep(SETTLING_TIME).await;
    for text in ["secret-one", "secret-two"] {
        assert_eq!(fleet.regions_storing(text), ["east"]);
        assert!(!fleet.has_crossed(text), "{text}");
        assert!(!has_received(&west, text), "{text}");
    }
    assert_eq!(fleet.regions_storing("anywhere"), ["east", "west", "north"]);
    assert!(fleet.has_crossed("anywhere"));
}

/// Guards against leaving the region when a program continues at a gateway elsewhere.
#[actix_rt::test]
async fn program_continues_at_another_gateway_after_the_loss_of_its_own() {
    let Setup {
        mut fleet,
        east,
        west,
    } = start().await;
    let first = post(fleet.gateway(EAST), RESTRICTED, "t1", "", "secret-one").await;
    assert_eq!(status(&first), 200, "{first}");
    fleet.lose_gateway(EAST);
    let previous = "x-previous: t1\r\n";
    let second = post(
        fleet.gateway(WEST),
        RESTRICTED,
        "t2",
        previous,
        "secret-two",
    )
    .await;
    assert_eq!(status(&second), 200, "{second}");
    assert!(has_received(&east, "secret-oned1\nsecret-two"));
    tokio::time::sleep(SETTLING_TIME).await;
    for text in ["secret-one", "secret-two"] {
        assert_eq!(fleet.regions_storing(text), ["east"]);
        assert!(!has_received(&west, text), "{text}");
    }
}

/// Guards against applying only one of the restrictions of a route and a tenant.
#[actix_rt::test]
async fn restrictions_of_route_and_tenant_both_apply() {
    let fleet = RegionFleet::start().await;
    let servers = [EAST, WEST, NORTH];
    let mut received = Vec::new();
    let routes = vec![storing_route("/a/", &["west", "east"])];
    let mut restricted = tenant("restricted", "key-1", None);
    restricted.allowed_regions = vec!["north".to_owned(), "east".to_owned()];
    let open = tenant("open", "key-2", None);
    fleet.publish(1, routes, Some(vec![restricted, open])).await;
    for region in servers {
        let server = MockServer::start(answer).await;
        fleet.add_server(region, &server).await;
        received.push(server);
    }
    let gateway = fleet.gateway(WEST);
    let mut calls = 0;
    // Until the gateway has listed the servers and has partitions for the route.
    wait_until(async || {
        calls += 1;
        let id = format!("warm-up-{calls}");
        post(gateway, RESTRICTED, &id, "x-auth: key-2\r\n", "warm-up").await;
        has_received(&received[WEST], "warm-up")
    })
    .await;
    for (key, text) in [("key-1", "secret"), ("key-2", "route-only")] {
        wait_until(async || {
            calls += 1;
            let id = format!("{key}-{calls}");
            let headers = format!("x-auth: {key}\r\n");
            status(&post(gateway, RESTRICTED, &id, &headers, text).await) == 200
        })
        .await;
    }
    tokio::time::sleep(SETTLING_TIME).await;
    let regions_of = |text: &str| -> Vec<usize> {
        let having = servers
            .into_iter()
            .filter(|region| has_received(&received[*region], text));
        having.collect()
    };
    assert_eq!(regions_of("secret"), [EAST]);
    assert_eq!(fleet.regions_storing("secret"), ["east"]);
    assert_eq!(regions_of("route-only"), [WEST], "the near one");
    assert_eq!(fleet.regions_storing("route-only"), ["west"]);
}

/// Guards against sending a restricted turn to another region as the beginning of a call of a route
/// without a restriction.
#[actix_rt::test]
async fn call_that_continues_a_restricted_turn_is_bound_by_its_restriction() {
    let Setup { fleet, east, west } = start().await;
    let first = post(fleet.gateway(EAST), RESTRICTED, "t1", "", "secret-one").await;
    assert_eq!(status(&first), 200, "{first}");
    let gateway = fleet.gateway(WEST);
    let own = post(gateway, UNRESTRICTED, "u1", "", "anywhere").await;
    assert_eq!(status(&own), 200, "{own}");
    assert!(has_received(&west, "anywhere"), "the near server is free");
    let previous = "x-previous: t1\r\n";
    let second = post(gateway, UNRESTRICTED, "u2", previous, "secret-two").await;
    assert_eq!(status(&second), 200, "{second}");
    let previous = "x-previous: u2\r\n";
    let third = post(gateway, UNRESTRICTED, "u3", previous, "secret-three").await;
    assert_eq!(status(&third), 200, "{third}");
    assert!(has_received(&east, "secret-twod1\nsecret-three"));
    tokio::time::sleep(SETTLING_TIME).await;
    for text in ["secret-one", "secret-two", "secret-three"] {
        assert_eq!(fleet.regions_storing(text), ["east"]);
        assert!(!has_received(&west, text), "{text}");
    }
}

/// Guards against running turns that can't be stored, and against storing them elsewhere.
#[actix_rt::test]
async fn restricted_turns_are_refused_without_a_quorum_of_the_home_regions_stores() {
    let Setup {
        mut fleet,
        east,
        west,
    } = start().await;
    fleet.lose_stores(EAST, 2);
    for attempt in 0..3 {
        for region in [EAST, WEST] {
            let id = format!("t{attempt}-{region}");
            let gateway = fleet.gateway(region);
            let took = assert_refused(gateway, RESTRICTED, &id, "secret").await;
            assert!(attempt == 0 || took < IMMEDIATE, "{took:?}");
        }
    }
    for region in [EAST, WEST] {
        let id = format!("u{region}");
        let open = post(fleet.gateway(region), UNRESTRICTED, &id, "", "anywhere").await;
        assert_eq!(status(&open), 200, "{open}");
    }
    tokio::time::sleep(SETTLING_TIME).await;
    assert!(!has_received(&east, "secret") && !has_received(&west, "secret"));
    assert!(fleet.regions_storing("secret").is_empty());
    assert!(!fleet.has_crossed("secret"));
}

/// Guards against serving restricted calls elsewhere while their region is unreachable, against
/// holding them, and against a home region that can't serve without the others.
#[actix_rt::test]
async fn isolated_home_region_serves_its_restricted_calls_and_no_other_region_does() {
    let Setup { fleet, east, west } = start().await;
    let first = post(fleet.gateway(EAST), RESTRICTED, "t1", "", "secret-one").await;
    assert_eq!(status(&first), 200, "{first}");
    fleet.isolate(Some(EAST));
    for attempt in 0..3 {
        let id = format!("w{attempt}");
        let took = assert_refused(fleet.gateway(WEST), RESTRICTED, &id, "kept-out").await;
        assert!(attempt == 0 || took < IMMEDIATE, "{took:?}");
    }
    let previous = "x-previous: t1\r\n";
    let second = post(
        fleet.gateway(EAST),
        RESTRICTED,
        "t2",
        previous,
        "secret-two",
    )
    .await;
    assert_eq!(status(&second), 200, "{second}");
    assert!(has_received(&east, "secret-oned1\nsecret-two"));
    let open = post(fleet.gateway(WEST), UNRESTRICTED, "u1", "", "anywhere").await;
    assert_eq!(status(&open), 200, "unrestricted programs continue: {open}");
    assert!(!has_received(&east, "kept-out") && !has_received(&west, "kept-out"));
    assert!(fleet.regions_storing("kept-out").is_empty());
    // Until the controllers would replace the stores that they don't hear.
    tokio::time::sleep(REPLACEMENT_TIME).await;
    let took = assert_refused(fleet.gateway(WEST), RESTRICTED, "w3", "kept-out").await;
    assert!(took < IMMEDIATE, "{took:?}");
    let open = post(fleet.gateway(WEST), UNRESTRICTED, "u2", "", "anywhere").await;
    assert_eq!(status(&open), 200, "unrestricted programs continue: {open}");
    fleet.isolate(None);
    let mut tries = 0;
    wait_until(async || {
        tries += 1;
        let id = format!("back-{tries}");
        let previous = "x-previous: t2\r\n";
        let gateway = fleet.gateway(WEST);
        status(&post(gateway, RESTRICTED, &id, previous, "secret-back").await) == 200
    })
    .await;
    assert!(has_received(&east, "secret-twod1\nsecret-back"));
    tokio::time::sleep(SETTLING_TIME).await;
    for text in ["secret-one", "secret-two", "secret-back"] {
        assert_eq!(fleet.regions_storing(text), ["east"]);
        assert!(!has_received(&west, text), "{text}");
    }
}

/// Guards against failover to a region that is not allowed.
#[actix_rt::test]
async fn restricted_calls_are_refused_immediately_without_servers_of_their_region() {
    let fleet = RegionFleet::start().await;
    let east = MockServer::start(|_| Action::Shutdown).await;
    let west = MockServer::start(answer).await;
    let restricted = Route {
        kind: CallKind::Repeatable,
        max_attempts: 3,
        allowed_regions: vec!["east".to_owned()],
        ..plain_route()
    };
    let open = Route {
        name: "open".to_owned(),
        path_prefix: "/b/".to_owned(),
        allowed_regions: Vec::new(),
        ..restricted.clone()
    };
    fleet.publish(1, vec![restricted, open], None).await;
    fleet.add_server(EAST, &east).await;
    fleet.add_server(WEST, &west).await;
    let gateways = [EAST, WEST].map(|region| fleet.gateway(region));
    for gateway in gateways {
        wait_until(async || {
            let response = post(gateway, UNRESTRICTED, "warm-up", "", "").await;
            status(&response) == 200
        })
        .await;
    }
    // The first call that reaches the server ends it.
    let mut tries = 0;
    wait_until(async || {
        tries += 1;
        let id = format!("last-{tries}");
        post(gateways[0], RESTRICTED, &id, "", "").await;
        !east.requests().is_empty()
    })
    .await;
    for (number, gateway) in gateways.into_iter().enumerate() {
        let id = format!("c{number}");
        let took = assert_refused(gateway, RESTRICTED, &id, "secret").await;
        assert!(took < IMMEDIATE, "{took:?}");
    }
    assert!(!has_received(&west, "secret"));
}

/// An address at which connection attempts get no response, as over a link that is cut.
struct SilentAddress {
    address: SocketAddr,
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

impl SilentAddress {
    fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any_port.into()).expect("a port");
        listener.listen(0).expect("listening");
        let address = listener.local_addr().expect("an address");
        let address = address.as_socket().expect("an IP address");
        // Connections that are never accepted fill the queue, and later ones are dropped.
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let queued = std::iter::from_fn(connect).take(16).collect();
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

/// Guards against holding each restricted call for the timeouts of several connection attempts while
/// its region can't be reached, and against refusing it for longer than that.
#[actix_rt::test]
async fn restricted_calls_are_refused_immediately_while_their_region_cannot_be_reached() {
    const CALLS: usize = 12;
    let fleet = RegionFleet::start().await;
    let west = MockServer::start(answer).await;
    let silent: Vec<SilentAddress> = (0..6).map(|_| SilentAddress::new()).collect();
    let routes = vec![
        plain_restricted_route(&["east"]),
        Route {
            stores_turns: false,
            ..storing_route("/b/", &[])
        },
    ];
    fleet.publish(1, routes, None).await;
    for (number, silent) in silent.iter().enumerate() {
        let id = format!("silent-{number}");
        fleet.add_address(EAST, &id, silent.address).await;
    }
    fleet.add_server(WEST, &west).await;
    let gateway = fleet.gateway(WEST);
    wait_until(async || status(&post(gateway, UNRESTRICTED, "warm-up", "", "").await) == 200).await;
    for number in 0..2 {
        let id = format!("first-{number}");
        assert_refused(gateway, RESTRICTED, &id, "secret").await;
    }
    let mut immediate = 0;
    for number in 0..CALLS {
        let id = format!("c{number}");
        let took = assert_refused(gateway, RESTRICTED, &id, "secret").await;
        immediate += usize::from(took < IMMEDIATE);
        // A call that probes the region waits for one connection attempt, of 0.3 s.
        assert!(took < 3 * IMMEDIATE, "{took:?}");
    }
    assert!(immediate >= CALLS - 2, "{immediate}");
    let east = MockServer::start(answer).await;
    fleet.add_server(EAST, &east).await;
    let mut tries = 0;
    wait_until(async || {
        tries += 1;
        let id = format!("back-{tries}");
        status(&post(gateway, RESTRICTED, &id, "", "secret").await) == 200
    })
    .await;
    assert!(!has_received(&west, "secret"));
}

/// Sends a call that its first server, in the east, rejects as not run after the restriction of the
/// route has changed from `before` to `after`. Returns the response, and whether the server in the
/// west has received the call.
async fn reject_after_change(before: Route, after: Route) -> (String, bool) {
    let fleet = RegionFleet::start().await;
    let release = Arc::new(watch::channel(false).0);
    let released = release.subscribe();
    let east = MockServer::start(move |request| match request.body.as_str() {
        "in-flight" => Action::Reject {
            when: released.clone(),
        },
        _ => answer(request),
    })
    .await;
    let west = MockServer::start(answer).await;
    let warm_up = storing_route("/b/", &[]);
    fleet.publish(1, vec![before, warm_up.clone()], None).await;
    fleet.add_server(WEST, &west).await;
    fleet.add_server(EAST, &east).await;
    let gateway = fleet.gateway(EAST);
    // Until the gateway has listed both servers and has a partition for the route.
    for path in [UNRESTRICTED, RESTRICTED] {
        let mut tries = 0;
        wait_until(async || {
            tries += 1;
            let id = format!("warm-up-{tries}{path}");
            let response = post(gateway, path, &id, "", "").await;
            status(&response) == 200 && !east.requests().is_empty()
        })
        .await;
    }
    let call =
        actix_rt::spawn(async move { post(gateway, RESTRICTED, "c", "", "in-flight").await });
    wait_until(async || has_received(&east, "in-flight")).await;
    fleet.publish(2, vec![after, warm_up], None).await;
    release.send_replace(true);
    let response = call.await.expect("a response");
    (response, has_received(&west, "in-flight"))
}

fn plain_restricted_route(regions: &[&str]) -> Route {
    Route {
        kind: CallKind::Repeatable,
        max_attempts: 3,
        stores_turns: false,
        ..storing_route("/a/", regions)
    }
}

/// Guards against forwarding a call by the table that it was accepted under alone.
#[actix_rt::test]
async fn call_in_flight_is_bound_by_a_new_restriction() {
    let before = plain_restricted_route(&[]);
    let after = plain_restricted_route(&["east"]);
    let (response, has_left) = reject_after_change(before, after).await;
    assert_eq!(status(&response), 503, "{response}");
    assert!(!has_left);
}

/// Guards against forwarding a call by the table in force alone.
#[actix_rt::test]
async fn call_in_flight_is_still_bound_by_the_restriction_that_it_was_accepted_under() {
    let before = plain_restricted_route(&["east"]);
    let after = plain_restricted_route(&[]);
    let (response, has_left) = reject_after_change(before, after).await;
    assert_eq!(status(&response), 503, "{response}");
    assert!(!has_left);
}

/// A call that no restriction concerns is sent to the other region, so the tests above can fail.
#[actix_rt::test]
async fn unrestricted_call_in_flight_is_sent_to_another_region() {
    let route = plain_restricted_route(&[]);
    let (response, has_left) = reject_after_change(route.clone(), route).await;
    assert_eq!(status(&response), 200, "{response}");
    assert!(has_left);
}

/// Guards against storing a turn where it was to be stored before the restriction came into force.
#[actix_rt::test]
async fn turn_in_flight_is_not_run_if_its_partition_is_no_longer_allowed() {
    let before = Route {
        max_attempts: 3,
        ..storing_route("/a/", &[])
    };
    let after = storing_route("/a/", &["west"]);
    let (response, has_left) = reject_after_change(before, after).await;
    assert_eq!(status(&response), 503, "{response}");
    assert!(!has_left);
}
