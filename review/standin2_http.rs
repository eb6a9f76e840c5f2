//! HTTP/1.1 as the users' pages describe it: a small client, and servers that register themselves.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// A connection with what was read from it and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn ended(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    /// Bounds the receive window, as on the users' links, whose windows are small.
    pub fn set_small_window(&self, bytes: i32) {
        use std::os::fd::AsRawFd;
        unsafe extern "C" {
            fn setsockopt(
                socket: i32,
                level: i32,
                name: i32,
                value: *const i32,
                length: u32,
            ) -> i32;
        }
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the descriptor is open and the value is an int that lives through the call.
        let result =
            unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
        assert_eq!(result, 0, "setsockopt failed");
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// The next head; none if the connection ended before it began.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ended("within a head"))
                };
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ended("within a line"));
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ended(&format!(
                    "after {} of {length} bytes",
                    self.buffer.len()
                )));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next chunk; none after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, format!("chunk size {line:?}"))
        })?;
        let data = self.read_exact(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(data))
    }

    pub fn read_body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head
            .get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        if let Some(length) = head.get("content-length") {
            return self.read_exact(length.parse().unwrap_or(0));
        }
        if is_answer && !matches!(head.status(), 204 | 304) {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !headers
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case("host"))
        {
            text.push_str("Host: control\r\n");
        }
        if method != "GET" || !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let head = self.read_head()?.ok_or_else(|| ended("no answer"))?;
        let body = self.read_body(&head, true)?;
        Ok(Answer {
            status: head.status(),
            head,
            body,
        })
    }
}

/// One call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut wire = Wire::connect(address, limit)?;
    wire.send(method, path, headers, body)?;
    wire.read_answer()
}

/// A request as a server got it.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
    pub server: String,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.get("courseshed-request-id").unwrap_or("")
    }
}

/// Answers a request; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// A server of the users that registers itself.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub stopped: Arc<AtomicBool>,
    pub silent: Arc<AtomicBool>,
    pub state: Arc<Mutex<&'static str>>,
    pub sequence: Arc<AtomicU64>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        address: SocketAddr,
        handler: Handler,
    ) -> Server {
        let server = Server {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            stopped: Arc::default(),
            silent: Arc::default(),
            state: Arc::new(Mutex::new("ready")),
            sequence: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("bind a server");
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if serving.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (server, handler) = (serving.clone(), handler.clone());
                thread::spawn(move || server.serve(stream, &handler));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(body) = wire.read_body(&head, false) else {
                return;
            };
            let expected = head.get("courseshed-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let request_id = head.get("courseshed-request-id").unwrap_or("").to_owned();
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nCourseshed-Not-Executed: 1\r\nCourseshed-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
                );
                if wire.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request = Request {
                head,
                body,
                server: self.id.clone(),
            };
            if !handler(&request, &mut wire.stream) {
                return;
            }
        }
    }

    pub fn beat(&self, sequence: u64, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Sends one heartbeat, to one node after the other until it is acknowledged.
    pub fn announce(&self, controllers: &[SocketAddr], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut turn = crate::fleet::unique() as usize;
        while Instant::now() < until {
            turn += 1;
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let state = *self.state.lock().unwrap();
            let path = format!("/instances/{}/heartbeat", self.id);
            let headers = [("Content-Type", "application/json")];
            let answer = call(
                controllers[turn % controllers.len()],
                "POST",
                &path,
                &headers,
                self.beat(sequence, state).as_bytes(),
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends heartbeats until the server is stopped.
    pub fn keep_announced(&self, controllers: Vec<SocketAddr>) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.stopped.load(Ordering::Relaxed) {
                if !server.silent.load(Ordering::Relaxed) {
                    server.announce(&controllers, Duration::from_secs(3));
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
}

/// A whole answer with the headers that servers set.
pub fn answer_text(request: &Request, status: &str, extra: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 {status}\r\nCourseshed-Request-Id: {}\r\nCourseshed-Response-Seal: seal-{}\r\n{extra}Content-Length: {length}\r\n\r\n",
        request.id(),
        request.id()
    )
}
