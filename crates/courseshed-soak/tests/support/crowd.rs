//! Crowds of clients that misbehave. What a client sends is bounded, and all of it ends with the crowd.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

const CONNECT_LIMIT: Duration = Duration::from_secs(10);
/// A crowd has done what it can once no client could send anything for this time.
const QUIET_TIME: Duration = Duration::from_secs(2);
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Connections that a client makes at most.
const MAX_RETURNS: usize = 1_000;
const RETURN_PAUSE: Duration = Duration::from_millis(20);
/// Largest write of a client; as much as a socket may hold, so that bodies come at once.
const WRITE_BYTES: usize = 1024 * 1024;

/// What each client of a crowd sends before it stops, with its connection open.
#[derive(Clone, Debug)]
pub struct Script {
    /// Sent first.
    pub head: String,
    /// Sent next, this many times.
    pub piece: String,
    pub times: usize,
    /// Sent last.
    pub tail: String,
    /// Sent once a second from then on.
    pub drip: Option<String>,
    /// Whether a client whose connection is closed connects again and begins anew.
    pub returns: bool,
}

fn request_head(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: soak.example\r\nx-call: crowd\r\n{framing}\r\n\r\n")
}

impl Script {
    fn sending(head: String, piece: String, times: usize) -> Self {
        Self {
            head,
            piece,
            times,
            tail: String::new(),
            drip: None,
            returns: false,
        }
    }

    /// The same script, begun anew on another connection whenever one is closed.
    pub fn returning(self) -> Self {
        Self {
            returns: true,
            ..self
        }
    }

    /// A chunked body without its last chunk.
    pub fn chunks(path: &str, chunk_bytes: usize, count: usize) -> Self {
        let data = "x".repeat(chunk_bytes);
        let chunk = format!("{chunk_bytes:x}\r\n{data}\r\n");
        Self::sending(
            request_head(path, "transfer-encoding: chunked"),
            chunk,
            count,
        )
    }

    /// A body with a length, of which only a part is sent.
    pub fn length(path: &str, announced: usize, sent: usize) -> Self {
        Self::sending(
            request_head(path, &format!("content-length: {announced}")),
            "x".repeat(sent),
            1,
        )
    }

    /// A body with a length whose last bytes come one a second.
    pub fn dripping(path: &str, announced: usize, sent: usize) -> Self {
        Self {
            drip: Some("x".to_owned()),
            ..Self::length(path, announced, sent)
        }
    }

    /// One chunk of which the last byte is missing.
    pub fn cut_chunk(path: &str, chunk_bytes: usize) -> Self {
        Self {
            piece: "x".repeat(chunk_bytes - 1),
            times: 1,
            head: request_head(path, "transfer-encoding: chunked")
                + &format!("{chunk_bytes:x}\r\n"),
            ..Self::silent()
        }
    }

    /// A head without an end.
    pub fn endless_head(bytes: usize) -> Self {
        let line = format!("x-filler: {}\r\n", "x".repeat(1000));
        Self::sending(
            "GET / HTTP/1.1\r\nhost: soak.example\r\n".to_owned(),
            line.clone(),
            bytes / line.len(),
        )
    }

    /// A head of which a byte comes each second, after a whole request on the same connection.
    pub fn dripping_head() -> Self {
        Self {
            head: "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\nGET / HTTP/1.1\r\nx-slow: "
                .to_owned(),
            drip: Some("x".to_owned()),
            ..Self::silent()
        }
    }

    /// Whole requests, sent without waiting for answers.
    pub fn pipeline(requests: usize) -> Self {
        Self::sending(
            String::new(),
            "GET /nowhere/ HTTP/1.1\r\nhost: soak.example\r\n\r\n".to_owned(),
            requests,
        )
    }

    /// A chunked body whose trailer has no end.
    pub fn endless_trailer(path: &str, bytes: usize) -> Self {
        let line = format!("x-filler: {}\r\n", "x".repeat(1000));
        Self::sending(
            request_head(path, "transfer-encoding: chunked") + "1\r\nx\r\n0\r\n",
            line.clone(),
            bytes / line.len(),
        )
    }

    /// A chunk whose extension has no end.
    pub fn endless_extension(path: &str, bytes: usize) -> Self {
        Self::sending(
            request_head(path, "transfer-encoding: chunked") + "1;",
            "x".repeat(1000),
            bytes / 1000,
        )
    }

    /// The first bytes of a frame between nodes, which announces more than it brings.
    pub fn cut_frame(announced: u32, sent: usize) -> Self {
        // The length's bytes are ASCII here, so that the script stays text.
        let length = announced.to_be_bytes().map(char::from);
        Self::sending(length.into_iter().collect(), "x".repeat(sent), 1)
    }

    /// Nothing at all.
    pub fn silent() -> Self {
        Self::sending(String::new(), String::new(), 0)
    }

    /// The writes of a client, none much larger than [`WRITE_BYTES`] unless the piece is.
    fn writes(&self) -> impl Iterator<Item = Rc<str>> + use<> {
        let together = (WRITE_BYTES / self.piece.len().max(1)).clamp(1, self.times.max(1));
        let batch: Rc<str> = self.piece.repeat(together).into();
        let rest: Rc<str> = self.piece.repeat(self.times % together).into();
        let batches = std::iter::repeat_n(batch, self.times / together);
        let head: Rc<str> = self.head.as_str().into();
        let tail: Rc<str> = self.tail.as_str().into();
        let writes = std::iter::once(head).chain(batches).chain([rest, tail]);
        writes.filter(|text| !text.is_empty())
    }
}

/// What the clients of a crowd have done so far.
#[derive(Debug, Default)]
struct Progress {
    sent_bytes: Cell<u64>,
    /// Clients that have sent everything, or whose connection was closed.
    done: Cell<usize>,
}

/// Clients that run the same script at once. Dropping it closes their connections.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    progress: Rc<Progress>,
}

impl Crowd {
    /// Starts the clients.
    pub fn start(address: SocketAddr, clients: usize, script: &Script) -> Self {
        let progress = Rc::new(Progress::default());
        let start = |_| {
            let (script, progress) = (script.clone(), progress.clone());
            actix_rt::spawn(run_client(address, script, progress))
        };
        Self {
            clients: (0..clients).map(start).collect(),
            progress,
        }
    }

    /// Waits until every client has sent everything or lost its connection, or none gets on.
    pub async fn settle(&self) {
        let began = Instant::now();
        let mut last = (0, Instant::now());
        while self.progress.done.get() < self.clients.len() && began.elapsed() < SETTLE_LIMIT {
            sleep(Duration::from_millis(50)).await;
            let sent = self.progress.sent_bytes.get();
            if sent != last.0 {
                last = (sent, Instant::now());
            }
            if last.1.elapsed() >= QUIET_TIME {
                return;
            }
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

/// Runs one client until its task is aborted; it keeps its connection open whatever the response.
async fn run_client(address: SocketAddr, script: Script, progress: Rc<Progress>) {
    let mut is_counted = false;
    for _ in 0..MAX_RETURNS {
        let stream = send_script(address, &script, &progress).await;
        if !is_counted {
            is_counted = true;
            progress.done.set(progress.done.get() + 1);
        }
        if let Some(stream) = stream {
            stay(stream, &script).await;
        }
        if !script.returns {
            return;
        }
        sleep(RETURN_PAUSE).await;
    }
}

/// Connects and sends what the script says; the connection, unless it was closed meanwhile.
async fn send_script(
    address: SocketAddr,
    script: &Script,
    progress: &Progress,
) -> Option<TcpStream> {
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    for text in script.writes() {
        // Latin-1, so that a script may contain any byte.
        let bytes: Vec<u8> = text.chars().map(|letter| letter as u8).collect();
        for part in bytes.chunks(WRITE_BYTES) {
            stream.write_all(part).await.ok()?;
            let sent = progress.sent_bytes.get() + part.len() as u64;
            progress.sent_bytes.set(sent);
        }
    }
    Some(stream)
}

/// Keeps a connection open. A client that returns reads, to learn of its end; others read nothing.
async fn stay(mut stream: TcpStream, script: &Script) {
    let mut buffer = [0; 1024];
    loop {
        tokio::select! {
            read = stream.read(&mut buffer), if script.returns => {
                if !matches!(read, Ok(1..)) {
                    return;
                }
            }
            () = sleep(Duration::from_secs(1)) => {
                let drip = script.drip.as_deref().unwrap_or("");
                if stream.write_all(drip.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}
