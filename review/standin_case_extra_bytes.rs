//! One of three servers sends bytes after some of its whole answers. The bytes name no request.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, SLM_DISPATCH};
use crate::http::{header, send, Request};
use crate::server::{Ran, Extra, Kind, Server};
use crate::util::{sleep_ms, Record};

/// Of the site's `garble`: one of three servers (`share` 0.35), one answer of fifty (`x` 0.02), for
/// 5 s (`for_s` 5.5).
const SERVERS: usize = 3;
const EVERY: usize = 50;
const GARBLE: Duration = Duration::from_secs(5);
/// When the bytes follow the answer.
const AFTER_MS: u64 = 15;
const CLIENTS: usize = 12;
const EXTRA: &str = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nbytes of no one's order";
/// Sent instead with EXTRA=refusal, to see what else follows from the same cause.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nCourseshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let ran = Ran::default();
    let fleet = Fleet::start(&SLM_DISPATCH, record)?;
    let kind = Kind::Plain { bytes: 800, work_ms: 30 };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (zone, ip) = (fleet.zone(number), fleet.server_ip(number));
        let server = Server::start(format!("i-{number}"), "track", zone, &ip, kind, record, &ran)?;
        server.announce(fleet.controllers());
        servers.push(server);
    }
    fleet.configure(
        r#"{"version":1,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/tally/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1200,"priority":2,"service":"track","max_attempts":1,"retention_enabled":false,"retention_s":60.0,"session_affinity":false,"resumable":false,"target_gap_ms":400}],"services":[{"name":"track","health_check_path":"/health","connection_limit":110,"protocol":"h1","transport_security":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    fleet.wait_ready()?;
    sleep_ms(3500);
    let is_refusal = std::env::var("EXTRA").is_ok_and(|kind| kind == "refusal");
    let extra = if is_refusal { REFUSAL } else { EXTRA };
    if trouble {
        *servers[0].extra.lock().unwrap() = Some(Extra {
            every: EVERY,
            after_ms: AFTER_MS,
            bytes: extra.as_bytes().to_vec(),
        });
    }
    let answered = Arc::new(AtomicUsize::new(0));
    let mixed = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + GARBLE;
    let gateways = fleet.gateways();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, answered, mixed) = (record.clone(), answered.clone(), mixed.clone());
            let gateway = gateways[client % gateways.len()];
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("q{client}-{number}");
                    let request = Request {
                        method: "POST",
                        path: "/tally/1",
                        headers: vec![
                            ("Courseshed-Request-Id", id.clone()),
                            ("Courseshed-Time-Remaining", "6000".to_owned()),
                        ],
                        body: format!("order of {id}").into_bytes(),
                    };
                    let answer = send(gateway, HOST, &request, Duration::from_millis(6000));
                    record.line(format!("client got for {id}: {}", answer.describe()));
                    if !answer.is_success() {
                        continue;
                    }
                    answered.fetch_add(1, Ordering::Relaxed);
                    let seal = header(&answer.headers, "Courseshed-Response-Seal");
                    let is_own = answer.body.starts_with(format!("answer to {id};").as_bytes());
                    if seal != Some(format!("seal-{id}").as_str()) || !is_own {
                        mixed.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("MIXED: the success for {id} lacks the server's seal"));
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let (answered, mixed) = (answered.load(Ordering::Relaxed), mixed.load(Ordering::Relaxed));
    let summary = format!("{mixed} of {answered} successes lack the server's seal");
    record.line(&summary);
    println!("{summary}");
    if answered < 100 {
        return Err("too few requests were answered".to_owned());
    }
    Ok(mixed > 0)
}
