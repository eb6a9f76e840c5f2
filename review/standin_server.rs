//! Servers of a service: sound ones, but for what a case names.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{header, read_head, send, Headers, Request};
use crate::util::{sleep_ms, Record};

/// The bodies of the requests that ran, by their ids.
pub type Ran = Arc<Mutex<BTreeMap<String, Vec<u8>>>>;

/// The data of an event: what a model says depends on what it read.
pub fn event_data(body: &[u8], event: u32) -> String {
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{hash:016x}-{event}")
}

/// What the ids of a stream's events are counted from.
pub fn first_id(body: &[u8], has_long_ids: bool) -> u64 {
    if !has_long_ids {
        return 0;
    }
    let hash = event_data(body, 0);
    let number = u64::from_str_radix(&hash[..16], 16).unwrap_or(0);
    (1 << 60) | (number >> 4)
}

/// How the servers of a service answer.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A stream of events, numbered from 1 or, with `has_long_ids`, from a number of 61 bits.
    Stream { events: u32, gap_ms: u64, has_long_ids: bool },
    /// A plain answer of some bytes after some work.
    Plain { bytes: usize, work_ms: u64 },
}

pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    kind: Kind,
    record: Record,
    /// The requests that ran: their bodies by their ids.
    pub ran: Ran,
    /// Bytes that follow some of the whole answers.
    pub extra: Mutex<Option<Extra>>,
    answers: AtomicUsize,
}

/// Bytes sent on the same connection after some of the whole answers.
#[derive(Clone)]
pub struct Extra {
    /// After one of how many answers.
    pub every: usize,
    pub after_ms: u64,
    pub bytes: Vec<u8>,
}

pub struct Received {
    pub first: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Server {
    pub fn start(
        id: String,
        service: &'static str,
        zone: &str,
        ip: &str,
        kind: Kind,
        record: &Record,
        ran: &Ran,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let server = Arc::new(Self {
            id,
            service,
            zone: zone.to_owned(),
            address,
            kind,
            record: record.clone(),
            ran: ran.clone(),
            extra: Mutex::new(None),
            answers: AtomicUsize::new(0),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// Sends heartbeats to the controllers until the process ends.
    pub fn announce(self: &Arc<Self>, controllers: Vec<SocketAddr>) {
        let server = self.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            let mut next = 0;
            loop {
                for _ in 0..controllers.len() {
                    sequence += 1;
                    let body = format!(
                        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#,
                        server.service, server.address, server.zone
                    );
                    let request = Request {
                        method: "POST",
                        path: &format!("/instances/{}/heartbeat", server.id),
                        headers: vec![("Content-Type", "application/json".to_owned())],
                        body: body.into_bytes(),
                    };
                    let answer = send(controllers[next], "controller", &request, Duration::from_secs(1));
                    if answer.is_success() {
                        break;
                    }
                    next = (next + 1) % controllers.len();
                }
                sleep_ms(1200);
            }
        });
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some((first, headers)) = read_head(&mut reader)? {
            let length: usize = header(&headers, "content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let received = Received { first, headers, body };
            self.answer(&received, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Received, out: &mut TcpStream) -> std::io::Result<()> {
        if request.first.starts_with("GET /health ") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nCourseshed-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return out.write_all(head.as_bytes());
        }
        let id = header(&request.headers, "Courseshed-Request-Id").unwrap_or("").to_owned();
        let expected = header(&request.headers, "Courseshed-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nCourseshed-Request-Id: {id}\r\nCourseshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return out.write_all(head.as_bytes());
        }
        self.ran.lock().unwrap().insert(id.clone(), request.body.clone());
        self.record.line(format!(
            "server {} runs {id}: {} with {} bytes, last_event={:?}",
            self.id,
            request.first,
            request.body.len(),
            header(&request.headers, "Last-Event-Id")
        ));
        let seal = format!("seal-{id}");
        let common = format!(
            "HTTP/1.1 200 OK\r\nCourseshed-Request-Id: {id}\r\nCourseshed-Response-Seal: {seal}\r\nKeep-Alive: 15\r\n"
        );
        match self.kind {
            Kind::Stream { events, gap_ms, has_long_ids } => {
                let head = format!(
                    "{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                out.write_all(head.as_bytes())?;
                let last = header(&request.headers, "Last-Event-Id");
                let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
                let first = first_id(&request.body, has_long_ids);
                for event in 1..=events {
                    let number = first + u64::from(event);
                    if number <= last {
                        continue;
                    }
                    sleep_ms(gap_ms);
                    let data = event_data(&request.body, event);
                    let text = format!("id: {number}\ndata: {data}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    out.write_all(chunk.as_bytes())?;
                }
                out.write_all(b"0\r\n\r\n")?;
            }
            Kind::Plain { bytes, work_ms } => {
                sleep_ms(work_ms);
                let mut answer = format!("{common}Content-Length: {bytes}\r\n\r\n").into_bytes();
                let line = format!("answer to {id};");
                answer.extend(line.bytes().cycle().take(bytes));
                out.write_all(&answer)?;
            }
        }
        let extra = self.extra.lock().unwrap().clone();
        let answers = self.answers.fetch_add(1, Ordering::Relaxed);
        if let Some(Extra { every, after_ms, bytes }) = extra
            && answers % every == 0
        {
            let mut late = out.try_clone()?;
            let record = self.record.clone();
            let name = self.id.clone();
            thread::spawn(move || {
                sleep_ms(after_ms);
                let sent = late.write_all(&bytes).is_ok();
                record.line(format!("server {name} sends bytes after its answer to {id}: sent={sent}"));
            });
        }
        Ok(())
    }
}
