//! A conversation grows at gateways whose own links are as narrow as the site's.
//!
//! A client continues a conversation turn by turn: 22 turns (the most of the site's programs) with inputs of 31,000
//! bytes (the most of its requests), through either of two gateways. Beside it, other programs begin all the time at
//! four gateways. Nothing fails and nobody else is busy. With TROUBLE=0 the links have 1,000 Mbit/s.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Record, Terms, id};
use crate::http::{Handler, Server, Wire};

const BOUNDS: &str = r#""seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "acknowledge_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_ms": 2500, "rollback_slack_ms": 250, "outer_bound_ms": 6000, "recovery_s": 15, "pass_ms": 200, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000"#;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-rider-chat","host":"rider.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"priority":0,"service":"agent-llm","max_attempts":2,"retention_enabled":true,"retention_s":60.0,"session_affinity":true,"resumable":false,"target_gap_ms":500}],"services":[{"name":"agent-llm","health_check_path":"/health","connection_limit":460,"protocol":"h1","transport_security":false,"engine":{"slots":16,"kv_cache_tokens":167739,"kv_token_bytes":327680.0,"link_mbps":2900000.0,"backups":true,"stride":5,"most":16,"pin_duration_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const SERVERS: usize = 6;
const GATEWAYS: usize = 4;
/// The gateways that the client's connections reach.
const OWN_GATEWAYS: usize = 2;
const TURNS: usize = 22;
const INPUT_BYTES: usize = 31_000;
const EVENTS: usize = 7;
const EVENT_BYTES: usize = 55;
/// The first event: what is read, and the first token.
const FIRST_TIME: Duration = Duration::from_millis(100);
/// 5 tokens at 4.63 ms.
const EVENT_TIME: Duration = Duration::from_millis(23);
/// Between two turns: the slowest tool (`merchant-tally`, 312 ms) and a pause of 300 ms.
const PAUSE: Duration = Duration::from_millis(612);
const DEADLINE: Duration = Duration::from_secs(4);
/// 2.4 times the program's time on idle servers (22 turns of 261 ms, 26 ms for the way, and what is between turns),
/// and 0.2 s.
const AIM: Duration = Duration::from_millis(47_600);

fn terms(trouble: bool) -> Terms {
    Terms {
        zones: vec!["hcm-q1", "hcm-td", "hcm-q7"],
        region: "hcm",
        bounds: BOUNDS,
        frontend_mb: 88,
        storage_mb: 130,
        disk_mb: 370,
        machines: 2,
        gateway_link_mbps: Some(if trouble { 30.0 } else { 1000.0 }),
    }
}

/// What the servers saw: the ids of the requests that reached one, and the bodies that were wrong.
#[derive(Default)]
struct Seen {
    ids: Vec<String>,
}

pub fn run(record: Record, trouble: bool) -> Verdict {
    let fleet = Fleet::start(terms(trouble), (3, 5, GATEWAYS), record.clone());
    let seen = Arc::new(Mutex::new(Seen::default()));
    let handler = engine(seen.clone());
    if !fleet.configure(CONFIGURATION, Duration::from_secs(20)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    let controllers = fleet.control_addresses();
    for index in 0..SERVERS {
        let zone = terms(trouble).zones[index % 3];
        let server = Server::start(
            &format!("i-{}", id()),
            "agent-llm",
            zone,
            12,
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
    // The gateways are in touch `contact_ms` after their start.
    thread::sleep(Duration::from_secs(6));
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|index| fleet.frontend(index)).collect();
    let over = Arc::new(AtomicBool::new(false));
    let (firsts, reached) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let others = {
        let (over, gateways, firsts, reached) = (
            over.clone(),
            gateways.clone(),
            firsts.clone(),
            reached.clone(),
        );
        thread::spawn(move || {
            let mut turn = 0;
            while !over.load(Ordering::Relaxed) {
                let program = id();
                let try_ = attempt(
                    gateways[turn % GATEWAYS],
                    &program,
                    &input(5_100, &program),
                    None,
                    4_000,
                );
                firsts.fetch_add(1, Ordering::Relaxed);
                reached.fetch_add(usize::from(try_.status == 200), Ordering::Relaxed);
                turn += 1;
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    let program = id();
    let began = Instant::now();
    let mut previous: Option<String> = None;
    let mut size = 0;
    let mut verdict = None;
    for turn in 1..=TURNS {
        let body = input(INPUT_BYTES, &format!("{program}-{turn}"));
        let mut tries = Vec::new();
        let mut answered = None;
        // A try and one retry, and both twice more from the start.
        'turn: for resend in 0..3 {
            let started = Instant::now();
            for retry in 0..2 {
                let left = DEADLINE.saturating_sub(started.elapsed());
                if left < Duration::from_millis(50) {
                    break;
                }
                let gateway = gateways[(turn + resend + retry) % OWN_GATEWAYS];
                let result = attempt(
                    gateway,
                    &program,
                    &body,
                    previous.as_deref(),
                    left.as_millis() as u64,
                );
                let at = began.elapsed();
                record.line(format!("client: turn {turn} ({size} bytes of chain), try {} at {gateway}: {} after {} ms{}", tries.len() + 1, result.text, result.took.as_millis(), if at < AIM { "" } else { ", after the aim" }));
                let status = result.status;
                let retry_after = result.retry_after;
                tries.push((result.id.clone(), at < AIM));
                if status == 200 {
                    answered = Some(result.id);
                    break 'turn;
                }
                thread::sleep(retry_after.min(left / 3));
            }
            thread::sleep(Duration::from_millis(200));
        }
        if let Some(id) = answered {
            previous = Some(id);
            size += INPUT_BYTES + EVENTS * EVENT_BYTES;
            thread::sleep(PAUSE);
            continue;
        }
        let seen = seen.lock().unwrap();
        let reached_by = tries.iter().filter(|(id, _)| seen.ids.contains(id)).count();
        let in_aim = tries.iter().filter(|(_, in_aim)| *in_aim).count();
        verdict = Some((turn, tries.len(), in_aim, reached_by));
        break;
    }
    over.store(true, Ordering::Relaxed);
    let _ = others.join();
    let (firsts, reached) = (
        firsts.load(Ordering::Relaxed),
        reached.load(Ordering::Relaxed),
    );
    let text = format!("{reached} of {firsts} first turns of other programs were answered");
    drop(fleet);
    match verdict {
        None => Verdict::Held(format!("all {TURNS} turns were answered; {text}")),
        Some((turn, tries, in_aim, 0)) if in_aim >= 5 && reached * 10 >= firsts * 9 => {
            Verdict::Broken(format!(
                "turn {turn}, which goes on from {size} bytes, reached no server in {tries} tries, {in_aim} of them before the program's aim; {text}"
            ))
        }
        Some((turn, tries, in_aim, reached_by)) => Verdict::Held(format!(
            "turn {turn}, which goes on from {size} bytes, failed in {tries} tries, {in_aim} before the aim, of which {reached_by} reached a server; {text}"
        )),
    }
}

/// A model server.
fn engine(seen: Arc<Mutex<Seen>>) -> Handler {
    Arc::new(move |request, stream| {
        seen.lock().unwrap().ids.push(request.id().to_owned());
        let head = format!(
            "HTTP/1.1 200 OK\r\nCourseshed-Request-Id: {}\r\nCourseshed-Response-Seal: seal-{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id(),
            request.id()
        );
        let mut sent = stream.write_all(head.as_bytes());
        thread::sleep(FIRST_TIME);
        for event in 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            sent = sent.and_then(|()| {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            });
        }
        sent.and_then(|()| stream.write_all(b"0\r\n\r\n")).is_ok()
    })
}

fn input(bytes: usize, seed: &str) -> Vec<u8> {
    seed.bytes().cycle().take(bytes).collect()
}

struct Try {
    id: String,
    status: u16,
    text: String,
    took: Duration,
    retry_after: Duration,
}

/// One try of a turn, on a new connection.
fn attempt(
    gateway: SocketAddr,
    program: &str,
    body: &[u8],
    previous: Option<&str>,
    left_ms: u64,
) -> Try {
    let id = id();
    let began = Instant::now();
    let (left, prompt) = (left_ms.to_string(), format!("{:x}:2560,{}:514", 77, id));
    let mut headers = vec![
        ("Host", "rider.example"),
        ("Courseshed-Request-Id", id.as_str()),
        ("Courseshed-Time-Remaining", left.as_str()),
        ("Courseshed-Program-Id", program),
        ("Courseshed-Session-Id", program),
        ("Courseshed-Program-Deadline", "47600"),
        ("Courseshed-Token-Budget", "100000"),
        ("Courseshed-Token-Usage", "3074,135"),
        ("Courseshed-Model", "m"),
        ("Courseshed-Prompt-Prefix", prompt.as_str()),
    ];
    if let Some(previous) = previous {
        headers.push(("Courseshed-Previous-Turn", previous));
    }
    let answer =
        Wire::connect(gateway, Duration::from_millis(left_ms + 500)).and_then(|mut wire| {
            wire.send("POST", "/chat/go", &headers, body)?;
            wire.read_answer()
        });
    let took = began.elapsed();
    match answer {
        Ok(answer) => {
            let after = answer
                .head
                .get("retry-after")
                .and_then(|value| value.parse::<f64>().ok())
                .unwrap_or(0.0);
            let is_whole = answer.status == 200
                && answer.body.iter().filter(|byte| **byte == b'd').count() >= EVENTS;
            let text = match answer.status {
                200 if is_whole => "200, whole".to_owned(),
                status => format!(
                    "{status} {}",
                    String::from_utf8_lossy(&answer.body[..answer.body.len().min(40)])
                ),
            };
            Try {
                id,
                status: answer.status,
                text,
                took,
                retry_after: Duration::from_secs_f64(after),
            }
        }
        Err(error) => Try {
            id,
            status: 0,
            text: format!("no answer: {error}"),
            took,
            retry_after: Duration::ZERO,
        },
    }
}
