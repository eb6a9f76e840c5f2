//! Calls of a service whose servers are warming up, with a real gateway and controller: guards
//! against servers that get more requests than their limit, against a service that is refused
//! entirely, and against calls that wait though they can't be served.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use courseshed_consensus::DiskFault;
use courseshed_registry::{Registration, Server, ServerState};
use courseshed_warmup::WarmupPolicy;
use futures_util::future::join_all;
use parking_lot::Mutex;
use support::server::{Action, MockServer, response};
use support::{Fleet, call, plain_route, status, table, wait_until};

const GRACE: Duration = Duration::from_secs(20);
/// The limit of a server that is warming up: 4 x 1.5 + 5.
const RATE: f64 = 4.0;
const PERMITS: usize = 11;
/// Longer than any test.
const WARM_UP: Duration = Duration::from_secs(120);
/// Time in which a call that can't be served must be refused; below the shortest Retry-After and
/// much longer than the bound on the wait for a permit, for busy machines.
const PROMPT: Duration = Duration::from_millis(400);

/// A server that records when requests arrive.
struct LimitedServer {
    mock_server: MockServer,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedServer {
    async fn start() -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = arrivals.clone();
        let mock_server = MockServer::start(move |request| {
            recorded.lock().push(Instant::now());
            Action::Write(response(request, "hello"))
        })
        .await;
        Self {
            mock_server,
            arrivals,
        }
    }

    fn count(&self) -> usize {
        self.arrivals.lock().len()
    }

    /// The most requests that arrived within a second.
    fn peak(&self) -> usize {
        let arrivals = self.arrivals.lock();
        let in_second = |first: &Instant| {
            let window = |at: &&Instant| {
                at.checked_duration_since(*first)
                    .is_some_and(|passed| passed < Duration::from_secs(1))
            };
            arrivals.iter().filter(window).count()
        };
        arrivals.iter().map(in_second).max().unwrap_or(0)
    }

    /// Registers a state of the server.
    async fn register(&self, fleet: &Fleet, name: &str, started_ms: u64, state: Reported) {
        let server = Server {
            id: Server::incarnation_id(name, Some(started_ms)),
            name: name.to_owned(),
            started_ms: Some(started_ms),
            software_version: None,
            warmup_remaining_ms: state.warmup.as_millis() as u32,
            service: "s".to_owned(),
            address: self.mock_server.address,
            zone: "a".to_owned(),
            slots: 64,
            state: ServerState::Ready,
        };
        let registration = Registration {
            server,
            sequence: state.sequence,
        };
        fleet.announce(&registration).await;
    }
}

/// What a heartbeat reports.
#[derive(Clone, Copy)]
struct Reported {
    sequence: u64,
    warmup: Duration,
}

const COLD: Reported = Reported {
    sequence: 1,
    warmup: WARM_UP,
};

/// Starts a fleet whose service limits servers that are warming up to `rate`.
async fn start_fleet(rate: f64) -> Fleet {
    let fleet = Fleet::start(GRACE).await;
    publish_rate(&fleet, 1, rate).await;
    wait_until(async || status(&support::get(fleet.readiness_addr, "/").await) == 200).await;
    fleet
}

async fn publish_rate(fleet: &Fleet, version: u64, rate: f64) {
    let mut table = table(version, vec![plain_route()], None);
    table.table.services[0].warm_up_rate_per_s = Some(rate);
    fleet.publish_table(table).await;
}

/// Makes calls at the same time, and returns their responses and how long each took.
async fn calls(address: std::net::SocketAddr, number: usize) -> Vec<(String, Duration)> {
    let calls = (0..number).map(|number| async move {
        let began = Instant::now();
        let response = call(address, &format!("c{number}"), "", "").await;
        (response, began.elapsed())
    });
    join_all(calls).await
}

fn served(responses: &[(String, Duration)]) -> usize {
    let served = responses.iter().filter(|(text, _)| status(text) == 200);
    served.count()
}

fn assert_refused_at_once(responses: &[(String, Duration)]) {
    for (text, took) in responses.iter().filter(|(text, _)| status(text) != 200) {
        assert_eq!(status(text), 503, "{text}");
        assert!(text.contains("retry-after: "), "{text}");
        assert!(text.contains("warming_up"), "{text}");
        assert!(*took < PROMPT, "refused after {took:?}");
    }
}

/// A service that is cold as a whole is served up to its limit; the other calls are refused at
/// once and say when to come back.
#[actix_rt::test]
async fn cold_service_is_served_up_to_its_limit() {
    assert_eq!(WarmupPolicy::default().permits(RATE) as usize, PERMITS);
    let fleet = start_fleet(RATE).await;
    let servers = [LimitedServer::start().await, LimitedServer::start().await];
    servers[0].register(&fleet, "one", 1_000, COLD).await;
    servers[1].register(&fleet, "two", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    let second = fleet.start_second_gateway().await;
    let addresses = [fleet.caller_addr, second.caller_addr];
    let mut all = Vec::new();
    for _ in 0..10 {
        let responses = join_all(addresses.map(|address| calls(address, 10))).await;
        all.extend(responses.into_iter().flatten());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for server in &servers {
        assert!(server.peak() <= PERMITS, "{} in a second", server.peak());
        // Each permit is used once and again after a second and a half.
        assert!(
            server.count() >= PERMITS + PERMITS / 2,
            "{}",
            server.count()
        );
    }
    assert!(served(&all) < all.len());
    assert_refused_at_once(&all);
}

/// A gateway gets only a part of the free permits at once, so that others get some too. Calls that
/// come together must not be refused while permits are left.
#[actix_rt::test]
async fn burst_at_one_gateway_uses_all_permits() {
    let fleet = start_fleet(24.0).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    let responses = calls(fleet.caller_addr, 40).await;
    assert_eq!(served(&responses), 40);
    let refused = calls(fleet.caller_addr, 10).await;
    assert_eq!(served(&refused), 0);
    assert_refused_at_once(&refused);
}

/// The permits of the incarnation before the restart must not add to those after it: all requests
/// reach the same address.
#[actix_rt::test]
async fn server_that_restarts_while_warming_up_stays_limited() {
    let fleet = start_fleet(RATE).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    calls(fleet.caller_addr, 20).await;
    server.register(&fleet, "one", 2_000, COLD).await;
    for _ in 0..10 {
        assert_refused_at_once(&calls(fleet.caller_addr, 10).await);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert!(server.peak() <= PERMITS, "{} in a second", server.peak());
    assert!(server.count() > PERMITS, "{}", server.count());
}

/// A lower rate in a new routing table applies to new permits at once.
#[actix_rt::test]
async fn lower_rate_applies_to_permits_in_use() {
    let fleet = start_fleet(24.0).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    calls(fleet.caller_addr, 50).await;
    publish_rate(&fleet, 2, RATE).await;
    // Permits that were granted under the former rate have expired by then.
    tokio::time::sleep(Duration::from_secs(4)).await;
    server.arrivals.lock().clear();
    for _ in 0..10 {
        calls(fleet.caller_addr, 10).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert!(server.peak() <= PERMITS, "{} in a second", server.peak());
    assert!(server.count() >= PERMITS, "{}", server.count());
}

/// Without a leader, permits are usable until their lease ends; then calls are refused at once.
#[actix_rt::test]
async fn cut_off_gateway_sends_nothing_without_a_lease() {
    let fleet = start_fleet(RATE).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    fleet.disk_faults.set(DiskFault::Full);
    // The controller detects the disk fault at its next write.
    assert!(fleet.controller.leave("other".to_owned()).await.is_err());
    tokio::time::sleep(courseshed_warmup::LEASE + Duration::from_millis(500)).await;
    let before = server.count();
    let responses = calls(fleet.caller_addr, 10).await;
    assert_refused_at_once(&responses);
    assert_eq!((served(&responses), server.count()), (0, before));
}

/// A new owner must renew the permits that a gateway holds, so that the service goes on, and must
/// not grant them once more. The simulation covers permits that are not reported.
#[actix_rt::test]
async fn limit_holds_across_a_change_of_the_owner() {
    let fleet = start_fleet(RATE).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    calls(fleet.caller_addr, 20).await;
    fleet.disk_faults.set(DiskFault::Full);
    // The controller detects the disk fault at its next write, and leads again in another term.
    assert!(fleet.controller.leave("other".to_owned()).await.is_err());
    fleet.disk_faults.set(DiskFault::None);
    let before = server.count();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(7) {
        assert_refused_at_once(&calls(fleet.caller_addr, 5).await);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(server.peak() <= PERMITS, "{} in a second", server.peak());
    let after = server.count() - before;
    assert!(after >= 2 * PERMITS, "{after} after the change");
}

/// Servers of a zone that was evacuated may be cold when it is taken back, though their last
/// heartbeat said otherwise.
#[actix_rt::test]
async fn reopened_zone_is_limited_until_its_servers_report() {
    let fleet = start_fleet(RATE).await;
    let server = LimitedServer::start().await;
    let warm = |sequence| Reported {
        sequence,
        warmup: Duration::ZERO,
    };
    server.register(&fleet, "one", 1_000, warm(1)).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    wait_until(async || fleet.controller.evacuate("a", true).await.is_ok()).await;
    wait_until(async || status(&call(fleet.caller_addr, "look", "", "").await) == 503).await;
    server.arrivals.lock().clear();
    wait_until(async || fleet.controller.evacuate("a", false).await.is_ok()).await;
    wait_until(async || status(&call(fleet.caller_addr, "again", "", "").await) == 200).await;
    calls(fleet.caller_addr, 40).await;
    assert!(server.peak() <= PERMITS, "{} in a second", server.peak());
    server.register(&fleet, "one", 1_000, warm(2)).await;
    wait_until(async || served(&calls(fleet.caller_addr, 40).await) == 40).await;
}

/// Once a server has warmed up, its calls need no permits, and nothing is held back.
#[actix_rt::test]
async fn warm_server_is_not_limited() {
    let fleet = start_fleet(RATE).await;
    let server = LimitedServer::start().await;
    server.register(&fleet, "one", 1_000, COLD).await;
    wait_until(async || status(&call(fleet.caller_addr, "first", "", "").await) == 200).await;
    let warm = Reported {
        sequence: 2,
        warmup: Duration::ZERO,
    };
    server.register(&fleet, "one", 1_000, warm).await;
    wait_until(async || served(&calls(fleet.caller_addr, 40).await) == 40).await;
}
