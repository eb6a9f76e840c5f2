//! A mock upstream server whose responses are scripted by the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Call id of probes that check whether the gateway routes here; they bypass the script.
pub const PROBE_CALL_ID: &str = "probe";

/// Prefix of the ids of calls whose body the server never reads.
pub const UNREAD_CALL_PREFIX: &str = "unread";

/// How long a peer has to read what was written before the connection is reset.
const TIME_BEFORE_RESET: Duration = Duration::from_millis(50);

/// Connections that wait to be accepted by servers with a small backlog.
const SMALL_BACKLOG: u32 = 4;

/// A connection attempt that takes longer is taken for one that nothing answers.
const SILENCE: Duration = Duration::from_millis(200);

/// A request as received by the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
    }
}

/// How the server handles a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Writes these bytes, gives the peer time to read them, and resets the connection.
    WriteAndReset(String),
    /// Writes these bytes, and resets the connection once told to.
    WriteAndResetWhen {
        text: String,
        when: watch::Receiver<bool>,
    },
    /// Writes these bytes, closes the connection in order, and then resets it.
    WriteCloseAndReset(String),
    /// Writes a head and then the same chunk `times` times, as fast as the peer reads.
    Repeat {
        head: String,
        chunk: Arc<str>,
        times: usize,
    },
    /// Like `Repeat`, but closes the connection once a write stalls for `write_timeout`.
    RepeatUntilStalled {
        head: String,
        chunk: Arc<str>,
        times: usize,
        write_timeout: Duration,
    },
    /// Writes a head and then the same chunk until the peer closes the connection.
    RepeatWithoutEnd { head: String, chunk: Arc<str> },
    /// Responds that the call was not run, once told to.
    Reject { when: watch::Receiver<bool> },
    /// Sends no response, stops accepting connections and closes this one.
    Shutdown,
    /// Writes these bytes, gives the peer time to read them, and does as `Shutdown`.
    WriteAndShutdown(String),
}

type Script = Box<dyn FnMut(&ReceivedRequest) -> Action + Send>;

/// A mock upstream server.
#[derive(Clone)]
pub struct MockServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<Mutex<usize>>,
    probes: Arc<Mutex<usize>>,
    stalled_writes: Arc<Mutex<usize>>,
    endless_writes: Arc<Mutex<EndlessWrites>>,
    shutdown: Arc<watch::Sender<bool>>,
    is_closed: Arc<watch::Sender<bool>>,
    new_connections: Arc<watch::Sender<NewConnections>>,
    /// Connections that fill the backlog.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

/// What the server wrote without end.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndlessWrites {
    /// Responses that the peer stopped by closing the connection.
    pub stopped: usize,
    /// Bytes written on all connections.
    pub bytes: usize,
}

/// What the server does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewConnections {
    Served,
    Closed,
    /// They stay in the backlog.
    Left,
}

impl MockServer {
    pub async fn start(script: impl FnMut(&ReceivedRequest) -> Action + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::serve_from(listener, script)
    }

    /// A server whose backlog [`Self::stop_answering_connections`] can fill.
    pub async fn start_with_small_backlog(
        script: impl FnMut(&ReceivedRequest) -> Action + Send + 'static,
    ) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a port");
        Self::serve_from(socket.listen(SMALL_BACKLOG).expect("a listener"), script)
    }

    fn serve_from(
        listener: TcpListener,
        script: impl FnMut(&ReceivedRequest) -> Action + Send + 'static,
    ) -> Self {
        let server = Self {
            address: listener.local_addr().expect("an address"),
            requests: Arc::default(),
            connections: Arc::default(),
            probes: Arc::default(),
            stalled_writes: Arc::default(),
            endless_writes: Arc::default(),
            shutdown: Arc::new(watch::channel(false).0),
            is_closed: Arc::new(watch::channel(false).0),
            new_connections: Arc::new(watch::channel(NewConnections::Served).0),
            fillers: Arc::default(),
        };
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        let serving = server.clone();
        let mut shutdown = server.shutdown.subscribe();
        tokio::spawn(async move {
            let mut new_connections = serving.new_connections.subscribe();
            let accept = async {
                loop {
                    let is_accepting = |new: &NewConnections| *new != NewConnections::Left;
                    let _ = new_connections.wait_for(is_accepting).await;
                    let accepted = tokio::select! {
                        accepted = listener.accept() => accepted,
                        _ = new_connections.changed() => continue,
                    };
                    let Ok((stream, _)) = accepted else {
                        return;
                    };
                    if *serving.new_connections.borrow() == NewConnections::Closed {
                        continue;
                    }
                    *serving.connections.lock() += 1;
                    tokio::spawn(serving.clone().serve(stream, script.clone()));
                }
            };
            tokio::select! {
                () = accept => {}
                _ = shutdown.wait_for(|is_shutdown| *is_shutdown) => {}
            }
            drop(listener);
            serving.is_closed.send_replace(true);
        });
        server
    }

    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().clone()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock()
    }

    pub fn probes(&self) -> usize {
        *self.probes.lock()
    }

    /// Number of connections closed because a write stalled.
    pub fn stalled_writes(&self) -> usize {
        *self.stalled_writes.lock()
    }

    /// Closes connections as soon as they are accepted.
    pub fn close_new_connections(&self) {
        self.new_connections.send_replace(NewConnections::Closed);
    }

    /// Fills the backlog, so that nothing answers further connection attempts.
    pub async fn stop_answering_connections(&self) {
        self.new_connections.send_replace(NewConnections::Left);
        loop {
            let connect = TcpStream::connect(self.address);
            match tokio::time::timeout(SILENCE, connect).await {
                Ok(Ok(stream)) => self.fillers.lock().push(stream),
                Ok(Err(error)) => panic!("filling the backlog: {error}"),
                Err(_) => return,
            }
        }
    }

    /// Refuses connections, and goes on serving those that are open.
    pub async fn stop_listening(&self) {
        self.shutdown.send_replace(true);
        let mut is_closed = self.is_closed.subscribe();
        let _ = is_closed.wait_for(|closed| *closed).await;
    }

    pub fn endless_writes(&self) -> EndlessWrites {
        *self.endless_writes.lock()
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Mutex<Script>>) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            if request.header("x-call") == Some(PROBE_CALL_ID) {
                *self.probes.lock() += 1;
                let _ = stream.write_all(response(&request, "").as_bytes()).await;
                continue;
            }
            let action = script.lock()(&request);
            self.requests.lock().push(request);
            match action {
                Action::Write(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Action::WriteAndClose(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    return;
                }
                Action::WriteAndReset(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    tokio::time::sleep(TIME_BEFORE_RESET).await;
                    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    reset.expect("a socket option");
                    return;
                }
                Action::WriteAndResetWhen { text, mut when } => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    let _ = when.wait_for(|is_due| *is_due).await;
                    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    reset.expect("a socket option");
                    return;
                }
                Action::WriteCloseAndReset(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    let _ = stream.shutdown().await;
                    tokio::time::sleep(TIME_BEFORE_RESET).await;
                    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    reset.expect("a socket option");
                    return;
                }
                Action::Repeat { head, chunk, times } => {
                    if write_repeated(&mut stream, &head, &chunk, times)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                Action::RepeatUntilStalled {
                    head,
                    chunk,
                    times,
                    write_timeout,
                } => {
                    let _ = stream.write_all(head.as_bytes()).await;
                    for _ in 0..times {
                        let write = stream.write_all(chunk.as_bytes());
                        if tokio::time::timeout(write_timeout, write).await.is_err() {
                            *self.stalled_writes.lock() += 1;
                            return;
                        }
                    }
                }
                Action::RepeatWithoutEnd { head, chunk } => {
                    let _ = stream.write_all(head.as_bytes()).await;
                    while stream.write_all(chunk.as_bytes()).await.is_ok() {
                        self.endless_writes.lock().bytes += chunk.len();
                    }
                    self.endless_writes.lock().stopped += 1;
                    return;
                }
                Action::Reject { mut when } => {
                    let text = rejection(self.requests.lock().last().expect("pushed above"));
                    let _ = when.wait_for(|released| *released).await;
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Action::Shutdown => {
                    self.stop_listening().await;
                    return;
                }
                Action::WriteAndShutdown(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    tokio::time::sleep(TIME_BEFORE_RESET).await;
                    self.stop_listening().await;
                    return;
                }
            }
        }
    }
}

async fn write_repeated(
    stream: &mut TcpStream,
    head: &str,
    chunk: &str,
    times: usize,
) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..times {
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(FINAL_CHUNK.as_bytes()).await
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            if head.contains(&format!("x-call: {UNREAD_CALL_PREFIX}")) {
                std::future::pending::<()>().await;
            }
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            if rest.len() >= length {
                let request = ReceivedRequest {
                    head: head.to_owned(),
                    body: rest[..length].to_owned(),
                };
                buffer.drain(..head.len() + 4 + length);
                return Some(request);
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

/// A complete response to a request.
pub fn response(request: &ReceivedRequest, body: &str) -> String {
    let id = request.header("x-call").unwrap_or("");
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A response that the call was not run.
pub fn rejection(request: &ReceivedRequest) -> String {
    let rejected = response(request, "").replace("200 OK", "503 Full");
    rejected.replace("\r\n\r\n", "\r\nx-not-run: 1\r\n\r\n")
}

/// The response head of an event stream.
pub fn stream_head(request: &ReceivedRequest) -> String {
    let id = request.header("x-call").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// One server-sent event, encoded as a chunk.
pub fn event(id: u64) -> String {
    chunk(&format!("id: {id}\ndata: d{id}\n\n"))
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The chunk that terminates a chunked body.
pub const FINAL_CHUNK: &str = "0\r\n\r\n";

/// How a response delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framed {
    Length,
    Chunked,
    UntilClose,
    UntilCloseOld,
}

/// The head of a response whose body, of `length` bytes when it is whole, is delimited like this.
pub fn framed_head(
    request: &ReceivedRequest,
    framed: Framed,
    media_type: &str,
    length: usize,
) -> String {
    let id = request.header("x-call").unwrap_or("");
    let (version, framing) = match framed {
        Framed::Length => ("1.1", format!("content-length: {length}\r\n")),
        Framed::Chunked => ("1.1", "transfer-encoding: chunked\r\n".to_owned()),
        Framed::UntilClose => ("1.1", String::new()),
        Framed::UntilCloseOld => ("1.0", String::new()),
    };
    format!("HTTP/{version} 200 OK\r\nx-call: {id}\r\ncontent-type: {media_type}\r\n{framing}\r\n")
}

/// A body that is broken off after `kept` bytes, delimited like this.
pub fn framed_part(framed: Framed, body: &str, kept: usize) -> String {
    match framed {
        Framed::Chunked if kept > 0 => chunk(&body[..kept]),
        Framed::Chunked => String::new(),
        _ => body[..kept].to_owned(),
    }
}

/// A whole body, delimited like this.
pub fn framed_body(framed: Framed, body: &str) -> String {
    let part = framed_part(framed, body, body.len());
    match framed {
        Framed::Chunked => format!("{part}{FINAL_CHUNK}"),
        _ => part,
    }
}
