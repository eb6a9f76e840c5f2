//! A stand-in server that answers each request as a script says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The id of calls that only look whether the gateway sends here; the script doesn't see them.
pub const PROBE: &str = "probe";

/// How the ids of calls begin whose bodies the server never reads.
pub const NEVER_READ: &str = "unread";

/// A request as the server got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    pub head: String,
    pub body: String,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
    }
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Writes a head, and the same piece behind it so many times, as fast as it is taken.
    Repeat {
        head: String,
        piece: Arc<str>,
        times: usize,
    },
    /// The same, and closes the connection once nothing was taken for so long.
    RepeatAndCut {
        head: String,
        piece: Arc<str>,
        times: usize,
        patience: Duration,
    },
    /// Says nothing, takes no more connections, and closes this one.
    End,
}

type Script = Box<dyn FnMut(&Got) -> Act + Send>;

/// A stand-in server.
#[derive(Clone)]
pub struct StandIn {
    pub address: SocketAddr,
    got: Arc<Mutex<Vec<Got>>>,
    connections: Arc<Mutex<usize>>,
    probes: Arc<Mutex<usize>>,
    cut: Arc<Mutex<usize>>,
    ended: Arc<watch::Sender<bool>>,
    is_closed: Arc<watch::Sender<bool>>,
}

impl StandIn {
    pub async fn start(script: impl FnMut(&Got) -> Act + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            got: Arc::default(),
            connections: Arc::default(),
            probes: Arc::default(),
            cut: Arc::default(),
            ended: Arc::new(watch::channel(false).0),
            is_closed: Arc::new(watch::channel(false).0),
        };
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        let serving = server.clone();
        let mut ended = server.ended.subscribe();
        tokio::spawn(async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    *serving.connections.lock() += 1;
                    tokio::spawn(serving.clone().serve(stream, script.clone()));
                }
            };
            tokio::select! {
                () = accept => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
            drop(listener);
            serving.is_closed.send_replace(true);
        });
        server
    }

    pub fn got(&self) -> Vec<Got> {
        self.got.lock().clone()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock()
    }

    pub fn probes(&self) -> usize {
        *self.probes.lock()
    }

    /// Connections that were cut off since nothing was taken.
    pub fn cut(&self) -> usize {
        *self.cut.lock()
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Mutex<Script>>) {
        let mut buffer = Vec::new();
        while let Some(got) = read_request(&mut stream, &mut buffer).await {
            if got.header("x-call") == Some(PROBE) {
                *self.probes.lock() += 1;
                let _ = stream.write_all(answer(&got, "").as_bytes()).await;
                continue;
            }
            let act = script.lock()(&got);
            self.got.lock().push(got);
            match act {
                Act::Write(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Act::WriteAndClose(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    return;
                }
                Act::Repeat { head, piece, times } => {
                    if write_repeated(&mut stream, &head, &piece, times)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                Act::RepeatAndCut {
                    head,
                    piece,
                    times,
                    patience,
                } => {
                    let _ = stream.write_all(head.as_bytes()).await;
                    for _ in 0..times {
                        let written = stream.write_all(piece.as_bytes());
                        if tokio::time::timeout(patience, written).await.is_err() {
                            *self.cut.lock() += 1;
                            return;
                        }
                    }
                }
                Act::End => {
                    self.ended.send_replace(true);
                    let mut is_closed = self.is_closed.subscribe();
                    let _ = is_closed.wait_for(|closed| *closed).await;
                    return;
                }
            }
        }
    }
}

async fn write_repeated(
    stream: &mut TcpStream,
    head: &str,
    piece: &str,
    times: usize,
) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..times {
        stream.write_all(piece.as_bytes()).await?;
    }
    stream.write_all(END.as_bytes()).await
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Got> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            if head.contains(&format!("x-call: {NEVER_READ}")) {
                std::future::pending::<()>().await;
            }
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            if rest.len() >= length {
                let got = Got {
                    head: head.to_owned(),
                    body: rest[..length].to_owned(),
                };
                buffer.drain(..head.len() + 4 + length);
                return Some(got);
            }
        }
        let mut bytes = [0; 4096];
        let read = stream
            .read(&mut bytes)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        buffer.extend_from_slice(&bytes[..read]);
    }
}

/// A whole answer to a request.
pub fn answer(got: &Got, body: &str) -> String {
    let id = got.header("x-call").unwrap_or("");
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// The head of a stream of events.
pub fn stream_head(got: &Got) -> String {
    let id = got.header("x-call").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// One event as a chunk.
pub fn event(id: u64) -> String {
    chunk(&format!("id: {id}\ndata: d{id}\n\n"))
}

/// A piece of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The end of a chunked body.
pub const END: &str = "0\r\n\r\n";
