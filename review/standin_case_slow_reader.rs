//! A frontend machine is stopped as planned while clients read their answers slowly but steadily.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, SLM_DISPATCH};
use crate::http::{header, read_answer, Answer, Limited, Request};
use crate::server::{Ran, Kind, Server};
use crate::util::{sleep_ms, Record, SIGTERM};

const CLIENTS: usize = 8;
const ANSWER_BYTES: usize = 290_000;
/// Each client takes 4 KB every 30 ms or so, and its answer takes 5 s.
const PIECE: usize = 4096;
const PAUSE: Duration = Duration::from_millis(30);
/// The deadline and the route's timeout, as for `merchant-tally`.
const DEADLINE: Duration = Duration::from_millis(6000);

/// Reads at a steady pace.
struct Paced(Limited);

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(PAUSE);
        let most = buffer.len().min(PIECE);
        self.0.read(&mut buffer[..most])
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A small window, as on the platform's links.
fn limit_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 16 * 1024;
    // SAFETY: the value is an int that outlives the call.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4);
    }
}

fn ask(gateway: SocketAddr, id: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(gateway)?;
    limit_window(&stream);
    let request = Request {
        method: "POST",
        path: "/tally/1",
        headers: vec![
            ("Courseshed-Request-Id", id.to_owned()),
            ("Courseshed-Time-Remaining", DEADLINE.as_millis().to_string()),
        ],
        body: format!("order of {id}").into_bytes(),
    };
    stream.write_all(&request.bytes(HOST))?;
    let end = Instant::now() + DEADLINE;
    let paced = Paced(Limited { stream, end });
    Ok(read_answer(&mut BufReader::with_capacity(PIECE, paced)))
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let ran = Ran::default();
    let mut fleet = Fleet::start(&SLM_DISPATCH, record)?;
    let kind = Kind::Plain { bytes: ANSWER_BYTES, work_ms: 30 };
    for number in 0..3 {
        let (zone, ip) = (fleet.zone(number), fleet.server_ip(number));
        let server = Server::start(format!("i-{number}"), "track", zone, &ip, kind, record, &ran)?;
        server.announce(fleet.controllers());
    }
    fleet.configure(
        r#"{"version":1,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/tally/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1200,"priority":2,"service":"track","max_attempts":1,"retention_enabled":false,"retention_s":60.0,"session_affinity":false,"resumable":false,"target_gap_ms":400}],"services":[{"name":"track","health_check_path":"/health","connection_limit":110,"protocol":"h1","transport_security":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    fleet.wait_ready()?;
    sleep_ms(3500);
    let gateway = fleet.gateways()[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("q{client}");
                record.line(format!("client sends {id} to {gateway}"));
                let answer = ask(gateway, &id);
                let text = match &answer {
                    Ok(answer) => answer.describe(),
                    Err(error) => error.to_string(),
                };
                record.line(format!("client got for {id}: {text}"));
                let answer = answer.ok()?;
                let has_seal = header(&answer.headers, "Courseshed-Response-Seal").is_some();
                Some((id, answer, has_seal))
            })
        })
        .collect();
    sleep_ms(300);
    let first = fleet.of_role("gateway")[0];
    if trouble {
        fleet.signal(first, SIGTERM);
        fleet.wait_end(first, Duration::from_secs(8));
    }
    let mut lost = 0;
    let mut whole = 0;
    for client in clients {
        let Some((id, answer, has_seal)) = client.join().map_err(|_| "a client failed")? else {
            continue;
        };
        whole += usize::from(answer.is_success());
        let has_run = ran.lock().unwrap().contains_key(&id);
        if has_run && has_seal && !answer.is_whole && answer.error.contains("unexpected end") {
            lost += 1;
            record.line(format!(
                "LOST: {id} was read and run, and its connection closed after {} of {ANSWER_BYTES} bytes",
                answer.body.len()
            ));
        }
    }
    let summary = format!("{lost} of {CLIENTS} answers cut short, {whole} whole");
    record.line(&summary);
    println!("{summary}");
    if lost + whole == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(lost > 0)
}
