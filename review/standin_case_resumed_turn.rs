//! A frontend is killed while it passes on turns of a route that stores turns and is resumable.
//! Clients take their streams up at other frontends, and go on from these turns.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, HOST, SLM_DISPATCH_WHOLE};
use crate::http::{send, Answer, Request};
use crate::server::{event_data, Kind, Ran, Server};
use crate::util::{sleep_ms, Record, SIGKILL};

const CONVERSATIONS: usize = 6;
const EVENTS: u32 = 11;

/// The whole events of an answer: their ids and data.
fn events_of(answer: &Answer) -> Vec<(u32, String)> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut events = Vec::new();
    let mut parts: Vec<&str> = text.split("\n\n").collect();
    parts.pop();
    for part in parts {
        let id = part.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
        let data = part.lines().find_map(|line| line.strip_prefix("data: "));
        if let (Some(id), Some(data)) = (id, data) {
            events.push((id, data.to_owned()));
        }
    }
    events
}

struct Turn<'a> {
    program: usize,
    id: String,
    input: &'a str,
    previous: Option<&'a str>,
    last_event: Option<u32>,
}

fn try_turn(record: &Record, gateway: SocketAddr, turn: &Turn) -> Answer {
    let mut headers = vec![
        ("Courseshed-Request-Id", turn.id.clone()),
        ("Courseshed-Program-Id", format!("program{}", turn.program)),
        ("Courseshed-Session-Id", format!("session{}", turn.program)),
        ("Courseshed-Program-Deadline", "30000".to_owned()),
        ("Courseshed-Token-Budget", "100000".to_owned()),
        ("Courseshed-Token-Usage", "600,60".to_owned()),
        ("Courseshed-Model", "m".to_owned()),
        ("Courseshed-Time-Remaining", "5000".to_owned()),
    ];
    if let Some(previous) = turn.previous {
        headers.push(("Courseshed-Previous-Turn", previous.to_owned()));
    }
    if let Some(last) = turn.last_event {
        headers.push(("Last-Event-Id", last.to_string()));
    }
    let request = Request {
        method: "POST",
        path: "/chat/1",
        headers,
        body: turn.input.as_bytes().to_vec(),
    };
    record.line(format!(
        "client sends {} to {gateway}, previous={:?}, last_event={:?}",
        turn.id, turn.previous, turn.last_event
    ));
    let answer = send(gateway, HOST, &request, Duration::from_millis(5500));
    record.line(format!("client got for {}: {}", turn.id, answer.describe()));
    answer
}

/// Plays a conversation of two turns; returns whether the second turn's body was wrong, if it ran.
fn converse(record: &Record, gateways: &[SocketAddr], ran: &Ran, program: usize) -> Option<bool> {
    let first_input = format!("[first input of {program}]");
    let mut turn = Turn {
        program,
        id: format!("p{program}-a0"),
        input: &first_input,
        previous: None,
        last_event: None,
    };
    let mut answer = try_turn(record, gateways[0], &turn);
    let mut events = events_of(&answer);
    for attempt in 1..4 {
        if answer.is_success() {
            break;
        }
        sleep_ms(150);
        turn.id = format!("p{program}-a{attempt}");
        turn.last_event = events.last().map(|(id, _)| *id);
        answer = try_turn(record, gateways[1], &turn);
        if answer.status == 200 {
            events.extend(events_of(&answer));
        }
    }
    let expected: Vec<_> = (1..=EVENTS)
        .map(|event| (event, event_data(first_input.as_bytes(), event)))
        .collect();
    if !answer.is_success() || events != expected {
        record.line(format!("the first turn of {program} was not answered whole"));
        return None;
    }
    let second_input = format!("[second input of {program}]");
    let second = Turn {
        program,
        id: format!("p{program}-b0"),
        input: &second_input,
        previous: Some(&turn.id),
        last_event: None,
    };
    try_turn(record, gateways[2], &second);
    let mut wanted = first_input.clone();
    for (_, data) in &events {
        wanted.push_str(data);
        wanted.push('\n');
    }
    wanted.push_str(&second_input);
    let body = ran.lock().unwrap().get(&second.id).cloned()?;
    let is_wrong = body != wanted.as_bytes();
    if is_wrong {
        record.line(format!(
            "UNASKED: the body of {} is {:?}, and not {wanted:?}",
            second.id,
            String::from_utf8_lossy(&body)
        ));
    }
    Some(is_wrong)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let ran = Ran::default();
    let mut fleet = Fleet::start(&SLM_DISPATCH_WHOLE, record)?;
    let kind = Kind::Stream { events: EVENTS, gap_ms: 100, has_long_ids: false };
    for number in 0..6 {
        let (zone, ip) = (fleet.zone(number), fleet.server_ip(number));
        let server = Server::start(format!("i-{number}"), "agent", zone, &ip, kind, record, &ran)?;
        server.announce(fleet.controllers());
    }
    fleet.configure(
        r#"{"version":1,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"agent","max_attempts":2,"retention_enabled":true,"retention_s":60.0,"session_affinity":true,"resumable":true,"target_gap_ms":400}],"services":[{"name":"agent","health_check_path":"/health","connection_limit":370,"protocol":"h1","transport_security":false,"engine":{"slots":64,"kv_cache_tokens":211374,"kv_token_bytes":18432.0,"link_mbps":370000.0,"backups":true,"stride":3,"most":12,"pin_duration_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    fleet.wait_ready()?;
    // All servers have run one version for a while.
    sleep_ms(14_000);
    let gateways = fleet.gateways();
    let clients: Vec<_> = (0..CONVERSATIONS)
        .map(|program| {
            let (record, gateways, ran) = (record.clone(), gateways.clone(), ran.clone());
            thread::spawn(move || converse(&record, &gateways, &ran, program))
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
    let (mut wrong, mut ran_turns) = (0, 0);
    for client in clients {
        if let Some(is_wrong) = client.join().map_err(|_| "a client failed")? {
            ran_turns += 1;
            wrong += usize::from(is_wrong);
        }
    }
    let summary = format!("{wrong} of {ran_turns} second turns ran with a wrong body");
    record.line(&summary);
    println!("{summary}");
    if ran_turns == 0 {
        return Err("no second turn ran".to_owned());
    }
    Ok(wrong > 0)
}
