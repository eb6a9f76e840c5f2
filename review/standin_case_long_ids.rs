//! A frontend is killed while it passes on streams of a resumable route, whose events have ids of 61
//! bits. Clients take their streams up at another frontend.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, HOST, SLM_DISPATCH_WHOLE};
use crate::http::{send, Answer, Request};
use crate::server::{event_data, first_id, Kind, Ran, Server};
use crate::util::{sleep_ms, Record, SIGKILL};

const CLIENTS: usize = 12;
const EVENTS: u32 = 11;

/// The whole events of an answer: their ids and data.
fn events_of(answer: &Answer) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut parts: Vec<&str> = text.split("\n\n").collect();
    parts.pop();
    let mut events = Vec::new();
    for part in parts {
        let id = part.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
        let data = part.lines().find_map(|line| line.strip_prefix("data: "));
        if let (Some(id), Some(data)) = (id, data) {
            events.push((id, data.to_owned()));
        }
    }
    events
}

fn ask(record: &Record, gateway: SocketAddr, id: &str, body: &str, last: Option<u64>) -> Answer {
    let mut headers = vec![
        ("Courseshed-Request-Id", id.to_owned()),
        ("Courseshed-Token-Usage", "600,60".to_owned()),
        ("Courseshed-Model", "m".to_owned()),
        ("Courseshed-Time-Remaining", "5000".to_owned()),
    ];
    if let Some(last) = last {
        headers.push(("Last-Event-Id", last.to_string()));
    }
    let request = Request {
        method: "POST",
        path: "/quote/1",
        headers,
        body: body.as_bytes().to_vec(),
    };
    record.line(format!("client sends {id} to {gateway}, last_event={last:?}"));
    let answer = send(gateway, HOST, &request, Duration::from_millis(5500));
    record.line(format!("client got for {id}: {}", answer.describe()));
    answer
}

/// Reads one stream; returns whether it ended as complete with pieces lost or repeated, if it ended so.
fn read_stream(record: &Record, gateways: &[SocketAddr], client: usize) -> Option<bool> {
    let body = format!("[prompt of {client}]");
    let mut answer = ask(record, gateways[0], &format!("q{client}-a0"), &body, None);
    let mut events = events_of(&answer);
    for attempt in 1..4 {
        if answer.is_success() {
            break;
        }
        sleep_ms(150);
        let last = events.last().map(|(id, _)| *id);
        answer = ask(record, gateways[1], &format!("q{client}-a{attempt}"), &body, last);
        if answer.status == 200 {
            events.extend(events_of(&answer));
        }
    }
    if !answer.is_success() {
        record.line(format!("the stream of {client} did not end whole"));
        return None;
    }
    let first = first_id(body.as_bytes(), true);
    let expected: Vec<_> = (1..=EVENTS)
        .map(|event| (first + u64::from(event), event_data(body.as_bytes(), event)))
        .collect();
    let is_wrong = events != expected;
    if is_wrong {
        let ids: Vec<u64> = events.iter().map(|(id, _)| id - first).collect();
        record.line(format!(
            "ORDER: the stream of {client} ended as complete with the pieces {ids:?} of 1 to {EVENTS}, counted from {first}"
        ));
    }
    Some(is_wrong)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let ran = Ran::default();
    let mut fleet = Fleet::start(&SLM_DISPATCH_WHOLE, record)?;
    let kind = Kind::Stream { events: EVENTS, gap_ms: 100, has_long_ids: true };
    for number in 0..6 {
        let (zone, ip) = (fleet.zone(number), fleet.server_ip(number));
        let server = Server::start(format!("i-{number}"), "agent", zone, &ip, kind, record, &ran)?;
        server.announce(fleet.controllers());
    }
    fleet.configure(
        r#"{"version":1,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/quote/","kind":"streaming","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"agent","max_attempts":2,"retention_enabled":false,"retention_s":60.0,"session_affinity":true,"resumable":true,"target_gap_ms":400}],"services":[{"name":"agent","health_check_path":"/health","connection_limit":370,"protocol":"h1","transport_security":false,"engine":{"slots":64,"kv_cache_tokens":211374,"kv_token_bytes":18432.0,"link_mbps":370000.0,"backups":true,"stride":3,"most":12,"pin_duration_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    fleet.wait_ready()?;
    // All servers have run one version for a while.
    sleep_ms(14_000);
    let gateways = fleet.gateways();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, gateways) = (record.clone(), gateways.clone());
            thread::spawn(move || read_stream(&record, &gateways, client))
        })
        .collect();
    sleep_ms(500);
    if trouble {
        let killed = fleet.of_role("gateway")[0];
        fleet.signal(killed, SIGKILL);
        fleet.wait_end(killed, Duration::from_secs(1));
        sleep_ms(1000);
        fleet.start_node(killed, false)?;
    }
    let (mut wrong, mut ended) = (0, 0);
    for client in clients {
        if let Some(is_wrong) = client.join().map_err(|_| "a client failed")? {
            ended += 1;
            wrong += usize::from(is_wrong);
        }
    }
    let summary = format!("{wrong} of {ended} streams ended as complete with pieces lost or repeated");
    record.line(&summary);
    println!("{summary}");
    if ended == 0 {
        return Err("no stream ended whole".to_owned());
    }
    Ok(wrong > 0)
}
