//! A gateway whose event loop stood still serves the requests whose clients still wait, and sends nothing to
//! servers for those that are gone.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use courseshed_edge::gateway::{FreezeDetector, MemoryLimits, Policy};
use support::server::{Action, MockServer, response};
use support::{AMPLE_MEMORY, Fleet, call, plain_route, start_gateway, status, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

const GRACE: Duration = Duration::from_secs(20);
const FREEZE: Duration = Duration::from_millis(1_500);
/// Time for requests sent at the start of a freeze to reach the gateway's sockets.
const DELIVERY: Duration = Duration::from_millis(200);
const CALLERS: usize = 40;

/// A gateway on a thread of its own, whose event loop a test can stop.
struct FrozenGateway {
    arbiter: Arbiter,
    address: SocketAddr,
}

impl FrozenGateway {
    /// Starts a second gateway of a fleet and waits until it serves calls.
    async fn start(fleet: &Fleet) -> Self {
        let [a, b, c, _] = fleet.subnet.octets();
        let host = move |last| std::net::Ipv4Addr::new(a, b, c, last);
        let addresses = fleet.addresses;
        let arbiter = Arbiter::new();
        let (started, gateway) = oneshot::channel();
        arbiter.spawn_fn(move || {
            let memory = MemoryLimits::for_machine(AMPLE_MEMORY);
            let policy = Policy::default();
            let gateway = start_gateway(host(4), host(1), addresses, GRACE, policy, None, memory);
            let _ = started.send(gateway);
        });
        let gateway = gateway.await.expect("a gateway");
        let address = gateway.caller_addr;
        // Without its stop handle, the gateway would shut down.
        std::mem::forget(gateway);
        wait_until(async || status(&call(address, "ready", "", "").await) == 200).await;
        Self { arbiter, address }
    }

    /// Stops the event loop for the duration of a freeze.
    fn freeze(&self) {
        self.arbiter.spawn_fn(|| std::thread::sleep(FREEZE));
    }
}

impl Drop for FrozenGateway {
    fn drop(&mut self) {
        self.arbiter.stop();
    }
}

async fn start_server(fleet: &Fleet) -> MockServer {
    let server = MockServer::start(|request| Action::Write(response(request, "served"))).await;
    fleet.set_routes(vec![plain_route()]).await;
    fleet.add_server("one", &server).await;
    server
}

/// Ids of the calls with the prefix that reached the server.
fn received(server: &MockServer, prefix: &str) -> Vec<String> {
    let requests = server.requests();
    let ids = requests
        .iter()
        .filter_map(|request| request.header("x-call"));
    ids.filter(|id| id.starts_with(prefix))
        .map(str::to_owned)
        .collect()
}

fn request(id: &str) -> String {
    format!(
        "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: {id}\r\nx-time: 4000\r\ncontent-length: 2\r\n\r\nhi"
    )
}

async fn send(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream
        .write_all(request(id).as_bytes())
        .await
        .expect("sent");
    stream
}

async fn status_of(stream: &mut TcpStream) -> u16 {
    let mut bytes = [0; 1024];
    let read = stream.read(&mut bytes).await.unwrap_or(0);
    status(&String::from_utf8_lossy(&bytes[..read]))
}

/// Guards against calls of clients that left during a freeze taking the servers' time from those that wait. The
/// gateway has read the heads of some of them before.
#[actix_rt::test]
async fn only_callers_that_still_wait_are_served_after_a_freeze() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_server(&fleet).await;
    let gateway = FrozenGateway::start(&fleet).await;
    // Idle connections to the server, so that a call can be sent as soon as it is handled.
    let warm_up = (0..CALLERS).map(|_| call(gateway.address, "warm", "", ""));
    futures_util::future::join_all(warm_up).await;
    let mut leaving = Vec::new();
    for index in 0..CALLERS {
        let request = request(&format!("leaves{index}"));
        let mut stream = TcpStream::connect(gateway.address)
            .await
            .expect("connected");
        let head = request.strip_suffix("hi").expect("a body");
        stream.write_all(head.as_bytes()).await.expect("sent");
        leaving.push(stream);
    }
    tokio::time::sleep(DELIVERY).await;
    gateway.freeze();
    tokio::time::sleep(DELIVERY).await;
    for stream in &mut leaving {
        stream.write_all(b"hi").await.expect("sent");
    }
    let mut waiting = Vec::new();
    for index in 0..CALLERS {
        // Without a body, the call is complete when its head is read.
        let bodiless = request(&format!("leaves-unread{index}"))
            .replace("length: 2\r\n\r\nhi", "length: 0\r\n\r\n");
        let mut stream = TcpStream::connect(gateway.address)
            .await
            .expect("connected");
        stream.write_all(bodiless.as_bytes()).await.expect("sent");
        leaving.push(stream);
        waiting.push(send(gateway.address, &format!("waits{index}")).await);
    }
    tokio::time::sleep(DELIVERY).await;
    assert!(received(&server, "waits").is_empty(), "not frozen");
    drop(leaving);
    for stream in &mut waiting {
        assert_eq!(status_of(stream).await, 200);
    }
    assert_eq!(received(&server, "waits").len(), CALLERS);
    assert_eq!(received(&server, "leaves"), Vec::<String>::new());
}

/// Guards against a request that was read before the freeze being sent after its deadline.
#[actix_rt::test]
async fn request_whose_deadline_passed_in_a_freeze_is_not_sent() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_server(&fleet).await;
    let gateway = FrozenGateway::start(&fleet).await;
    // The gateway reads the head before the freeze and the body after it.
    let mut stream = TcpStream::connect(gateway.address)
        .await
        .expect("connected");
    let head = "POST /a/x HTTP/1.1\r\nhost: a.example\r\nx-call: late\r\nx-time: 1000\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    tokio::time::sleep(DELIVERY).await;
    gateway.freeze();
    stream.write_all(b"hi").await.expect("sent");
    assert_eq!(status_of(&mut stream).await, 503);
    assert_eq!(received(&server, "late"), Vec::<String>::new());
}

/// Guards against calls being sent by the server list of before the freeze.
#[actix_rt::test]
async fn fleet_state_is_read_before_calls_are_served_after_a_freeze() {
    let fleet = Fleet::start(GRACE).await;
    let server = start_server(&fleet).await;
    let gateway = FrozenGateway::start(&fleet).await;
    gateway.freeze();
    tokio::time::sleep(DELIVERY).await;
    let mut waiting = Vec::new();
    for index in 0..CALLERS {
        waiting.push(send(gateway.address, &format!("waits{index}")).await);
    }
    // The controller holds no route any more when the gateway wakes.
    let mut route = plain_route();
    route.path_prefix = "/elsewhere/".to_owned();
    fleet.publish_routing(2, vec![route], None).await;
    for stream in &mut waiting {
        assert_eq!(status_of(stream).await, 404);
    }
    assert_eq!(received(&server, "waits"), Vec::<String>::new());
}

/// Guards against a gateway that waits for the fleet state in vain: cut off, it serves by the state that it has.
#[actix_rt::test]
async fn calls_after_a_freeze_are_served_without_a_controller() {
    let fleet = Fleet::start(GRACE).await;
    let arbiter = Arbiter::new();
    let (started, server) = oneshot::channel();
    arbiter.spawn(async move {
        let script = |request: &_| Action::Write(response(request, "served"));
        let _ = started.send(MockServer::start(script).await);
    });
    fleet.set_routes(vec![plain_route()]).await;
    let server = server.await.expect("a server");
    fleet.add_server("one", &server).await;
    let gateway = FrozenGateway::start(&fleet).await;
    gateway.freeze();
    let address = gateway.address;
    let began = Instant::now();
    let caller = std::thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("connected");
        let request = request("alone");
        std::io::Write::write_all(&mut stream, request.as_bytes()).expect("sent");
        let mut bytes = [0; 1024];
        let read = std::io::Read::read(&mut stream, &mut bytes).expect("read");
        status(&String::from_utf8_lossy(&bytes[..read]))
    });
    // The controller runs on this thread, which is blocked meanwhile.
    assert_eq!(caller.join().expect("a status"), 200);
    assert!(began.elapsed() < FREEZE + Duration::from_secs(1));
    arbiter.stop();
}

/// Guards against ordinary delays of a busy gateway being taken for freezes.
#[test]
fn only_long_gaps_between_observations_are_freezes() {
    let ms = Duration::from_millis;
    let mut detector = FreezeDetector::new(ms(0));
    assert!(!detector.affects(ms(0)));
    assert_eq!(detector.observe(ms(400)), None);
    assert_eq!(detector.observe(ms(899)), None);
    assert_eq!(detector.observe(ms(2_899)), Some(ms(2_000)));
    assert_eq!(detector.observe(ms(2_900)), None);
    assert_eq!(detector.count(), 1);
    assert!(detector.affects(ms(800)));
    assert!(detector.affects(ms(3_800)));
    assert!(!detector.affects(ms(3_900)));
}
