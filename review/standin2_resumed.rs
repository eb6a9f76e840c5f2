//! A frontend is killed while it passes on a turn; the client takes the turn up elsewhere, and goes on from it.
//!
//! The route stores turns and is resumable. The servers make the same eleven events of a request, and go on after
//! `Last-Event-Id`. With TROUBLE=0 no frontend is killed.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Record, Role, Terms, id};
use crate::http::{Handler, Server, Wire};

const BOUNDS: &str = r#""seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4.3, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000"#;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-rider-chat","host":"rider.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"agent-llm","max_attempts":2,"retention_enabled":true,"retention_s":60.0,"session_affinity":true,"resumable":true,"target_gap_ms":400}],"services":[{"name":"agent-llm","health_check_path":"/health","connection_limit":370,"protocol":"h1","transport_security":false,"engine":{"slots":64,"kv_cache_tokens":211374,"kv_token_bytes":18432.0,"link_mbps":370000.0,"backups":true,"stride":5,"most":64,"pin_duration_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const GATEWAYS: usize = 8;
const CONVERSATIONS: usize = 8;
const EVENTS: usize = 11;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Whole events that a client has when its frontend is killed, at least.
const BEFORE_KILL: usize = 4;

fn terms() -> Terms {
    Terms {
        zones: vec!["hcm-q1", "hcm-td", "hcm-q7"],
        region: "hcm",
        bounds: BOUNDS,
        frontend_mb: 110,
        storage_mb: 120,
        disk_mb: 340,
        machines: 1,
        gateway_link_mbps: None,
    }
}

/// The data of an event: the same at every server that runs the turn.
fn data(conversation: &str, event: usize) -> String {
    format!("{conversation}-piece-{event}")
}

/// The bodies that servers ran, by request id.
type Ran = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

fn engine(ran: Ran) -> Handler {
    Arc::new(move |request, stream| {
        ran.lock()
            .unwrap()
            .push((request.id().to_owned(), request.body.clone()));
        let conversation = request
            .head
            .get("courseshed-session-id")
            .unwrap_or("")
            .to_owned();
        let last: usize = request
            .head
            .get("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nCourseshed-Request-Id: {}\r\nCourseshed-Response-Seal: seal-{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id(),
            request.id()
        );
        let mut sent = stream.write_all(head.as_bytes());
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: {}\n\n", data(&conversation, event));
            sent = sent.and_then(|()| {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            });
        }
        sent.and_then(|()| stream.write_all(b"0\r\n\r\n")).is_ok()
    })
}

pub fn run(record: Record, trouble: bool) -> Verdict {
    let fleet = Fleet::start(terms(), (3, 3, GATEWAYS), record.clone());
    let ran = Ran::default();
    if !fleet.configure(CONFIGURATION, Duration::from_secs(20)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    let controllers = fleet.control_addresses();
    for index in 0..3 {
        let server = Server::start(
            &format!("i-{}", id()),
            "agent-llm",
            terms().zones[index],
            64,
            fleet.server_address(index),
            engine(ran.clone()),
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
    // The gateways have known the servers and their one version for some time.
    thread::sleep(Duration::from_secs(14));
    let fleet = Arc::new(Mutex::new(fleet));
    let gateways: Vec<SocketAddr> = (0..GATEWAYS)
        .map(|index| fleet.lock().unwrap().frontend(index))
        .collect();
    let progress = Arc::new(Mutex::new(vec![0; CONVERSATIONS]));
    let threads: Vec<_> = (0..CONVERSATIONS)
        .map(|index| {
            let (gateways, record, progress, ran) = (
                gateways.clone(),
                record.clone(),
                progress.clone(),
                ran.clone(),
            );
            thread::spawn(move || converse(index, &gateways, &record, &progress, &ran))
        })
        .collect();
    if trouble {
        let until = Instant::now() + Duration::from_secs(5);
        while progress
            .lock()
            .unwrap()
            .iter()
            .any(|events| *events < BEFORE_KILL)
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(5));
        }
        let mut fleet = fleet.lock().unwrap();
        let at = fleet.find(Role::Gateway, 0);
        fleet.kill(at);
        fleet.restart(at);
    }
    let results: Vec<Result<bool, String>> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let wrong = results
        .iter()
        .filter(|result| matches!(result, Ok(false)))
        .count();
    let right = results
        .iter()
        .filter(|result| matches!(result, Ok(true)))
        .count();
    let failed: Vec<&String> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    let text = format!(
        "of {CONVERSATIONS} second turns, {right} reached their server with the whole conversation, {wrong} without the beginning of the first turn's answer, {} did not run {failed:?}",
        failed.len()
    );
    if wrong > 0 {
        return Verdict::Broken(text);
    }
    if right == 0 || !trouble && right < CONVERSATIONS {
        return Verdict::NotRun(text);
    }
    Verdict::Held(text)
}

/// Two turns; whether the second one's body was right.
fn converse(
    index: usize,
    gateways: &[SocketAddr],
    record: &Record,
    progress: &Mutex<Vec<usize>>,
    ran: &Ran,
) -> Result<bool, String> {
    let conversation = id();
    let input = format!("[first input of {conversation}]");
    let first = id();
    let mut events = turn(
        gateways[0],
        &conversation,
        &first,
        &input,
        None,
        None,
        |count| progress.lock().unwrap()[index] = count,
    );
    let mut named = first.clone();
    record.line(format!(
        "client {index}: turn 1, {first}: {} events, whole: {}",
        events.0.len(),
        events.1
    ));
    let mut tries = 0;
    while !events.1 && tries < 3 {
        tries += 1;
        let last = events.0.len();
        named = id();
        let rest = turn(
            gateways[1 + (index + tries) % (GATEWAYS - 1)],
            &conversation,
            &named,
            &input,
            None,
            (last > 0).then_some(last),
            |_| {},
        );
        record.line(format!("client {index}: turn 1 taken up after event {last}, {named}: {} events more, whole: {}", rest.0.len(), rest.1));
        events.0.extend(rest.0);
        events.1 = rest.1;
        thread::sleep(Duration::from_millis(200));
    }
    let expected: Vec<String> = (1..=EVENTS)
        .map(|event| data(&conversation, event))
        .collect();
    if !events.1 || events.0 != expected {
        return Err(format!(
            "client {index} has {} events of turn 1",
            events.0.len()
        ));
    }
    let next = format!("[second input of {conversation}]");
    let second = id();
    let answer = turn(
        gateways[1 + (index + 3) % (GATEWAYS - 1)],
        &conversation,
        &second,
        &next,
        Some(&named),
        None,
        |_| {},
    );
    let bodies = ran.lock().unwrap();
    let Some((_, body)) = bodies.iter().find(|(id, _)| *id == second) else {
        return Err(format!(
            "client {index}: turn 2 reached no server; {} events",
            answer.0.len()
        ));
    };
    let whole = format!(
        "{input}{}{next}",
        expected
            .iter()
            .map(|piece| format!("{piece}\n"))
            .collect::<String>()
    );
    let is_right = body == whole.as_bytes();
    record.line(format!(
        "client {index}: turn 2, {second}, goes on from {named}; its server got {:?}{}",
        String::from_utf8_lossy(body),
        if is_right { "" } else { " UNASKED" }
    ));
    Ok(is_right)
}

/// One try of a turn: the data of its whole events, and whether the answer was whole.
fn turn(
    gateway: SocketAddr,
    conversation: &str,
    id: &str,
    input: &str,
    previous: Option<&str>,
    last: Option<usize>,
    mut told: impl FnMut(usize),
) -> (Vec<String>, bool) {
    let last = last.map(|last| last.to_string());
    let mut headers = vec![
        ("Host", "rider.example"),
        ("Courseshed-Request-Id", id),
        ("Courseshed-Time-Remaining", "5000"),
        ("Courseshed-Program-Id", conversation),
        ("Courseshed-Session-Id", conversation),
        ("Courseshed-Program-Deadline", "30000"),
        ("Courseshed-Token-Budget", "100000"),
        ("Courseshed-Token-Usage", "1200,60"),
        ("Courseshed-Model", "m"),
    ];
    headers.extend(previous.map(|previous| ("Courseshed-Previous-Turn", previous)));
    headers.extend(last.as_deref().map(|last| ("Last-Event-Id", last)));
    let mut events = Vec::new();
    let mut read = || -> std::io::Result<bool> {
        let mut wire = Wire::connect(gateway, Duration::from_millis(5_500))?;
        wire.send("POST", "/chat/go", &headers, input.as_bytes())?;
        let head = wire.read_head()?;
        if head.is_none_or(|head| head.status() != 200) {
            return Ok(false);
        }
        let mut text = String::new();
        while let Some(chunk) = wire.read_chunk()? {
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                events.extend(
                    event
                        .lines()
                        .find_map(|line| line.strip_prefix("data: "))
                        .map(str::to_owned),
                );
                told(events.len());
            }
        }
        Ok(true)
    };
    let is_whole = read().unwrap_or(false);
    (events, is_whole)
}
