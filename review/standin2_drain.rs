//! A gateway is stopped as planned while clients read their answers slowly.
//!
//! The gateways are stopped and started in turn. Clients hold kept connections, send an order each (a route of kind
//! `unsafe`, deadline 3 s) 2 s after SIGTERM, and read the answer steadily, as a slow link does. Each would have its
//! whole answer within its deadline, and all of this ends well within `grace_period_s` (8 s). The answers of different
//! gateways differ in size by 4,000 bytes. With TROUBLE=0 the same happens without SIGTERM.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Record, Role, Terms, id};
use crate::http::{Handler, Server, Wire, answer_text};

pub const BOUNDS: &str = r#""seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "acknowledge_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_ms": 2500, "rollback_slack_ms": 250, "outer_bound_ms": 6000, "recovery_s": 15, "pass_ms": 200, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000"#;

pub fn terms() -> Terms {
    Terms {
        zones: vec!["pl-central-a", "pl-central-b", "pl-central-c"],
        region: "pl-central",
        bounds: BOUNDS,
        frontend_mb: 96,
        storage_mb: 130,
        disk_mb: 420,
        machines: 2,
        gateway_link_mbps: None,
    }
}

pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-batch-hold","host":"zim.example","path_prefix":"/hold/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":2,"service":"coldchain-app","max_attempts":1,"retention_enabled":false,"retention_s":60.0,"session_affinity":false,"resumable":false,"target_gap_ms":0}],"services":[{"name":"coldchain-app","health_check_path":"/health","connection_limit":500,"protocol":"h1","transport_security":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sizes of the answers, one for each gateway, and how fast a client reads them.
const SMALLEST_ANSWER: usize = 330_000;
const ANSWER_STEP: usize = 4_000;
const BYTES_PER_S: usize = 160_000;
const DEADLINE: Duration = Duration::from_secs(3);
const GATEWAYS: usize = 18;
const CLIENTS_OF_A_GATEWAY: usize = 3;
/// Time between the stops of two gateways.
const GAP: Duration = Duration::from_millis(1000);
/// When the clients of a gateway send their orders, after its SIGTERM: the platform takes a gateway out after two
/// readiness checks, a second each, and connections that are open stay.
const SEND_AFTER: Duration = Duration::from_millis(2000);

enum Outcome {
    Whole(Duration),
    Refused(u16),
    Cut(Duration),
}

pub fn run(record: Record, trouble: bool) -> Verdict {
    let fleet = Fleet::start(terms(), (3, 5, GATEWAYS), record.clone());
    let runs = Arc::new(AtomicUsize::new(0));
    let (counted, log) = (runs.clone(), record.clone());
    let handler: Handler = Arc::new(move |request, stream| {
        let size = request
            .head
            .path()
            .strip_prefix("/hold/report/")
            .and_then(|size| size.parse().ok());
        let length = size.unwrap_or(800);
        let body: Vec<u8> = (0..length).map(|at| b'a' + (at % 23) as u8).collect();
        let head = answer_text(request, "200 OK", "", length);
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&body));
        if size.is_some() {
            counted.fetch_add(1, Ordering::Relaxed);
            log.line(format!(
                "server {}: ran {}, whole answer of {length} bytes handed over: {}",
                request.server,
                request.id(),
                sent.is_ok()
            ));
        }
        sent.is_ok()
    });
    if !fleet.configure(CONFIGURATION, Duration::from_secs(20)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    let controllers = fleet.control_addresses();
    for index in 0..3 {
        let zone = terms().zones[index];
        let server = Server::start(
            &format!("i-{}", id()),
            "coldchain-app",
            zone,
            6,
            fleet.server_address(index),
            handler.clone(),
        );
        if !server.announce(&controllers, Duration::from_secs(5)) {
            return Verdict::NotRun("a server was not acknowledged".into());
        }
        server.keep_announced(controllers.clone());
    }
    for index in 0..GATEWAYS {
        if !fleet.wait_ready(index, Duration::from_secs(10)) {
            return Verdict::NotRun("a gateway is not ready".into());
        }
    }
    let fleet = Arc::new(Mutex::new(fleet));
    let began = Instant::now() + Duration::from_secs(2);
    let threads: Vec<_> = (0..GATEWAYS)
        .map(|index| {
            let (fleet, record) = (fleet.clone(), record.clone());
            let stop_at = began + GAP * index as u32;
            thread::spawn(move || roll(&fleet, index, stop_at, trouble, &record))
        })
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        match thread.join().unwrap() {
            Ok(of_gateway) => outcomes.extend(of_gateway),
            Err(why) => return Verdict::NotRun(why),
        }
    }
    let ran = runs.load(Ordering::Relaxed);
    let whole = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Whole(took) if *took < DEADLINE))
        .count();
    let refused = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Refused(_)))
        .count();
    let lost = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Cut(after) if *after < DEADLINE))
        .count();
    let text = format!(
        "{} orders were sent and {ran} run; {whole} answers came whole in time, {refused} were refused, {lost} connections closed within the answer before the deadline",
        outcomes.len()
    );
    if lost > 0 {
        return Verdict::Broken(text);
    }
    if !trouble && whole != outcomes.len() {
        return Verdict::NotRun(text);
    }
    Verdict::Held(text)
}

/// Stops a gateway as planned while its clients read, and starts it again once it has ended.
fn roll(
    fleet: &Mutex<Fleet>,
    index: usize,
    stop_at: Instant,
    trouble: bool,
    record: &Record,
) -> Result<Vec<Outcome>, String> {
    thread::sleep((stop_at - Duration::from_secs(1)).saturating_duration_since(Instant::now()));
    let gateway = fleet.lock().unwrap().frontend(index);
    let mut clients = Vec::new();
    for _ in 0..CLIENTS_OF_A_GATEWAY {
        let mut wire =
            Wire::connect(gateway, Duration::from_secs(6)).map_err(|error| error.to_string())?;
        wire.set_small_window(16 * 1024);
        wire.send("POST", "/hold/small", &headers(&id(), "3000"), b"{}")
            .map_err(|error| error.to_string())?;
        let answer = wire.read_answer().map_err(|error| error.to_string())?;
        if answer.status != 200 {
            return Err(format!(
                "the first request of a client was answered {}",
                answer.status
            ));
        }
        clients.push(wire);
    }
    thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    let at = fleet.lock().unwrap().find(Role::Gateway, index);
    if trouble {
        fleet.lock().unwrap().signal(at, "TERM");
    }
    let size = SMALLEST_ANSWER + ANSWER_STEP * index;
    let threads: Vec<_> = clients
        .into_iter()
        .map(|wire| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep((stop_at + SEND_AFTER).saturating_duration_since(Instant::now()));
                read_slowly(wire, size, &record, stop_at)
            })
        })
        .collect();
    let outcomes = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let until = stop_at + Duration::from_secs(8);
    while trouble && Instant::now() < until {
        let mut fleet = fleet.lock().unwrap();
        if fleet.has_ended(at) {
            fleet.restart(at);
            break;
        }
        drop(fleet);
        thread::sleep(Duration::from_millis(50));
    }
    Ok(outcomes)
}

fn headers<'a>(request: &'a str, left: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("Host", "zim.example"),
        ("Courseshed-Request-Id", request),
        ("Courseshed-Time-Remaining", left),
    ]
}

/// Sends an order and reads its answer at a steady rate.
fn read_slowly(mut wire: Wire, size: usize, record: &Record, stopped_at: Instant) -> Outcome {
    let request = id();
    let began = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(stopped_at).as_millis();
    record.line(format!(
        "client: sends {request}, {} ms after the stop began",
        since(began)
    ));
    if let Err(error) = wire.send(
        "POST",
        &format!("/hold/report/{size}"),
        &headers(&request, "3000"),
        b"{\"batch\":1}",
    ) {
        record.line(format!("client: {request} not sent: {error}"));
        return Outcome::Refused(503);
    }
    let head = match wire.read_head() {
        Ok(Some(head)) => head,
        other => {
            record.line(format!("client: {request} got no answer: {other:?}"));
            return Outcome::Cut(began.elapsed());
        }
    };
    if head.status() != 200 {
        record.line(format!("client: {request} was answered {}", head.status()));
        return Outcome::Refused(head.status());
    }
    let length: usize = head
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut read = wire.buffer.len();
    let mut chunk = vec![0; 4096];
    while read < length {
        let due = began + Duration::from_secs_f64(read as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let stream: &mut TcpStream = &mut wire.stream;
        match stream.read(&mut chunk) {
            Ok(0) => {
                record.line(format!("client: {request} CUT: the connection was closed after {read} of {length} bytes, {} ms after it was sent and {} ms after the stop began", began.elapsed().as_millis(), since(Instant::now())));
                return Outcome::Cut(began.elapsed());
            }
            Ok(bytes) => read += bytes,
            Err(error) => {
                record.line(format!("client: {request} CUT after {read} of {length} bytes, {} ms after it was sent: {error}", began.elapsed().as_millis()));
                return Outcome::Cut(began.elapsed());
            }
        }
    }
    let took = began.elapsed();
    record.line(format!(
        "client: {request} has the whole answer {} ms after it was sent",
        took.as_millis()
    ));
    Outcome::Whole(took)
}
