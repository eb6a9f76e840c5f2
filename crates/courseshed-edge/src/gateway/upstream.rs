//! Connections to servers: a keep-alive pool, with one request at a time on each connection.
//!
//! Invariants: a request is written to a connection once; a response with the ID of another request
//! is read to its end and dropped; a connection with unread data is not reused.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::header::{self, HeaderValue};
use actix_http::{ResponseHead, ServiceConfig, Version};
use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Decoder;

use super::body_end::{BodyEnd, Ending, Framing};
use super::probe::{EXIT_TIME, ProbeResult, connect_probe};
use crate::sockets;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Default keep-alive time if the server does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the server's keep-alive timeout a connection is dropped.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 24;
/// Largest body that socket buffers accept even if the server does not read, in bytes: half of the
/// smallest window that systems begin with. Larger
/// bodies use a new connection, which is known to be alive and configured to tolerate servers that
/// read slowly.
const MAX_SOCKET_BUFFERED_BODY: usize = 32 * 1024;
/// The largest valid status code (RFC 9110, section 15); the HTTP library refuses those below 100.
const MAX_STATUS: u16 = 599;
/// Read size, in bytes; small, to limit the memory held for clients that do not read.
const READ_BYTES: usize = 8 * 1024;
/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;
/// Maximum number of bytes read between two parts of the response that are none of it: informational responses,
/// responses to other requests, chunk sizes and extensions, trailers.
const MAX_FOREIGN_BYTES: usize = 1024 * 1024;

/// Why no response was received.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The request was not sent.
    #[snafu(display("failed to connect: {source}"))]
    NotSent {
        /// The cause.
        source: io::Error,
    },
    /// At least part of the request was sent, and the response was incomplete.
    #[snafu(display("{reason}"))]
    Broken {
        /// The cause.
        reason: String,
    },
    /// The request was sent, and the server did not respond in the usual time.
    #[snafu(display("no response within the usual response time"))]
    Silent,
    /// The request was sent, and its deadline passed.
    #[snafu(display("deadline exceeded"))]
    TimedOut,
}

/// What reading a response body brought.
pub enum BodyRead {
    /// The next bytes.
    Bytes(Bytes),
    /// The end, which may be premature.
    End(BodyEnd),
}

/// How the rest of a response body is read.
enum BodySource {
    /// Nothing is left, by the framing.
    Ended,
    /// By its length or its chunks.
    Framed(ClientPayloadCodec),
    /// Until the connection ends.
    UntilClose,
}

fn broken(reason: impl ToString) -> UpstreamError {
    UpstreamError::Broken {
        reason: reason.to_string(),
    }
}

/// Idle connections, by server address; each is valid for one server instance.
#[derive(Clone)]
pub struct UpstreamPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    config: ServiceConfig,
}

struct IdleConnection {
    server: String,
    stream: TcpStream,
    usable_until: Instant,
}

impl UpstreamPool {
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: Rc::default(),
            config: ServiceConfig::default(),
        }
    }

    /// Returns an idle connection that is still open, or a new one. `body_bytes` is the size of the
    /// request body.
    ///
    /// # Errors
    /// [`UpstreamError::NotSent`].
    pub async fn connect(
        &self,
        server: &str,
        address: SocketAddr,
        body_bytes: usize,
    ) -> Result<Upstream, UpstreamError> {
        let tolerates_slow_reads = body_bytes > MAX_SOCKET_BUFFERED_BODY;
        let idle = if tolerates_slow_reads {
            None
        } else {
            self.take_idle(server, address)
        };
        let began = Instant::now();
        let is_new = idle.is_none();
        let stream = match idle {
            Some(stream) => stream,
            None => connect_to(address, tolerates_slow_reads)
                .await
                .map_err(|source| UpstreamError::NotSent { source })?,
        };
        Ok(Upstream {
            pool: self.clone(),
            server: server.to_owned(),
            address,
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Empty,
            body: BodySource::Ended,
            is_reusable: false,
            was_fully_sent: false,
            tolerates_slow_reads,
            connect_time: is_new.then(|| began.elapsed()),
            keep_alive: DEFAULT_KEEP_ALIVE,
            foreign_bytes: 0,
        })
    }

    /// Connects to a server to find out whether it goes on running; `limit` applies to each connection attempt. The
    /// connection is kept for later requests.
    pub async fn probe(&self, server: &str, address: SocketAddr, limit: Duration) -> ProbeResult {
        let stream = match connect_probe(address, limit).await {
            Ok(stream) => stream,
            Err(result) => return result,
        };
        // A process that ends may accept connections until its last socket is closed.
        sleep(EXIT_TIME).await;
        if !is_open_and_drained(&stream) {
            // A server that has too many connections closes further ones, too.
            return match connect_probe(address, limit).await {
                Ok(_) => ProbeResult::Closed,
                Err(result) => result,
            };
        }
        match sockets::prepare(&stream) {
            Ok(()) => self.return_idle(server, address, stream, DEFAULT_KEEP_ALIVE),
            Err(error) => {
                log::info!(event = "not_kept", server; "connection not returned to the pool: {error}");
            }
        }
        ProbeResult::Open
    }

    /// Closes idle connections to servers that are no longer listed, and those past their
    /// keep-alive time.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.usable_until > now && is_listed(&idle.server));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, server: &str, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let is_current = candidate.server == server && candidate.usable_until > Instant::now();
            if is_current && is_open_and_drained(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    fn return_idle(
        &self,
        server: &str,
        address: SocketAddr,
        stream: TcpStream,
        keep_alive: Duration,
    ) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection {
                server: server.to_owned(),
                stream,
                usable_until: Instant::now() + keep_alive,
            });
        }
    }
}

impl Default for UpstreamPool {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether the connection is open with nothing to read.
fn is_open_and_drained(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

async fn connect_to(address: SocketAddr, tolerates_slow_reads: bool) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    sockets::prepare(&stream)?;
    if tolerates_slow_reads {
        sockets::tolerate_slow_reader(&stream)?;
    }
    Ok(stream)
}

/// A connection with a request in progress. Dropping it closes the connection, which cancels the
/// request.
pub struct Upstream {
    pool: UpstreamPool,
    server: String,
    address: SocketAddr,
    stream: TcpStream,
    buffer: BytesMut,
    /// Framing of the response.
    framing: Framing,
    body: BodySource,
    is_reusable: bool,
    /// Whether the request was written completely before its response arrived.
    was_fully_sent: bool,
    /// Whether the connection tolerates a server that reads slowly.
    tolerates_slow_reads: bool,
    /// Connection setup time; `None` for a reused connection.
    connect_time: Option<Duration>,
    keep_alive: Duration,
    /// Bytes read since the last part of the response.
    foreign_bytes: usize,
}

impl Upstream {
    /// Sends a request and reads the head of its response. `is_head_request` tells whether its
    /// method is HEAD; `is_ours` recognizes responses to other requests.
    ///
    /// # Errors
    /// [`UpstreamError`]; the request may have been executed.
    pub async fn exchange(
        &mut self,
        request: impl Buf,
        is_head_request: bool,
        deadline: Instant,
        is_ours: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, UpstreamError> {
        let exchange = async {
            self.was_fully_sent = self.send_until_answered(request).await?;
            self.is_reusable = self.was_fully_sent;
            loop {
                let head = self.read_head(is_head_request).await?;
                if head.status.is_informational() {
                    continue;
                }
                if is_ours(&head) {
                    self.foreign_bytes = 0;
                    return Ok(head);
                }
                log::warn!(event = "stray_answer", server = self.server.as_str(); "dropped a response to another request");
                if self.framing == Framing::UntilClose {
                    return Err(broken(
                        "connection closed after a response to another request",
                    ));
                }
                self.skip_body().await?;
            }
        };
        timeout_at(deadline, exchange)
            .await
            .unwrap_or(Err(UpstreamError::TimedOut))
    }

    /// Writes the request while watching for an early response. Returns false if one arrived before
    /// the request was written completely.
    async fn send_until_answered(&mut self, mut request: impl Buf) -> Result<bool, UpstreamError> {
        let (mut reader, mut writer) = self.stream.split();
        let write = writer.write_all_buf(&mut request);
        tokio::pin!(write);
        let mut early = BytesMut::with_capacity(READ_BYTES);
        tokio::select! {
            biased;
            written = &mut write => {
                written.map_err(broken)?;
                Ok(true)
            }
            read = reader.read_buf(&mut early) => {
                if read.map_err(broken)? == 0 {
                    return Err(broken("connection closed before the request was sent"));
                }
                self.buffer = early;
                Ok(false)
            }
        }
    }

    /// Reads the body of a response to another request to its end.
    async fn skip_body(&mut self) -> Result<(), UpstreamError> {
        loop {
            match self.read_any_body().await {
                BodyRead::Bytes(_) => {}
                BodyRead::End(end) if end.ending == Ending::Framing => return Ok(()),
                BodyRead::End(_) => {
                    return Err(broken("connection closed within another response"));
                }
            }
        }
    }

    async fn read_head(&mut self, is_head_request: bool) -> Result<ResponseHead, UpstreamError> {
        let mut codec = ClientCodec::new(self.pool.config.clone());
        loop {
            let decoded = codec.decode(&mut self.buffer);
            if let Some(head) = decoded.map_err(|error: ParseError| broken(error))? {
                if head.status.as_u16() > MAX_STATUS {
                    return Err(broken("invalid status code"));
                }
                if head.version < Version::HTTP_11
                    && head.headers().contains_key(header::TRANSFER_ENCODING)
                {
                    return Err(broken("HTTP/1.0 response with a transfer encoding"));
                }
                self.framing = Framing::of(&head, is_head_request);
                self.apply_head(&head, codec);
                return Ok(head);
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD {
                return Err(broken("response head too large"));
            }
            if self.fill().await.map_err(broken)? == 0 {
                return Err(broken("connection closed without a response"));
            }
        }
    }

    fn apply_head(&mut self, head: &ResponseHead, codec: ClientCodec) {
        self.is_reusable &= stays_open(head) && self.framing != Framing::UntilClose;
        if let Some(keep_alive) = keep_alive_of(head) {
            self.keep_alive = keep_alive;
        }
        // The codec takes a response with neither a length nor chunks for one without a body, and
        // doesn't know of HEAD.
        self.body = match self.framing {
            Framing::Empty => BodySource::Ended,
            Framing::Length if declares_no_bytes(head) => BodySource::Ended,
            Framing::Length | Framing::Chunked => BodySource::Framed(codec.into_payload_codec()),
            Framing::UntilClose => BodySource::UntilClose,
        };
    }

    /// The next bytes of the body, or its end.
    pub async fn read_body(&mut self) -> BodyRead {
        let read = self.read_any_body().await;
        self.foreign_bytes = 0;
        read
    }

    /// The next bytes of the body of whatever response is being read, or its end.
    async fn read_any_body(&mut self) -> BodyRead {
        loop {
            match &mut self.body {
                BodySource::Ended => return BodyRead::End(self.end(Ending::Framing, "")),
                BodySource::UntilClose if self.buffer.is_empty() => {}
                BodySource::UntilClose => return BodyRead::Bytes(self.buffer.split().freeze()),
                BodySource::Framed(codec) => match codec.decode(&mut self.buffer) {
                    Ok(Some(Some(chunk))) => return BodyRead::Bytes(chunk),
                    Ok(Some(None)) => {
                        self.body = BodySource::Ended;
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => return BodyRead::End(self.end(Ending::Invalid, error)),
                },
            }
            match self.fill().await {
                Ok(0) if self.was_fully_sent => {
                    return BodyRead::End(self.end(Ending::Closed, ""));
                }
                Ok(0) => return BodyRead::End(self.end(Ending::ClosedEarly, "")),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return BodyRead::End(self.end(Ending::Invalid, error));
                }
                Err(error) => return BodyRead::End(self.end(Ending::Reset, error)),
            }
        }
    }

    /// The end of the body that `ending` brought.
    #[must_use]
    pub fn end(&self, ending: Ending, detail: impl ToString) -> BodyEnd {
        BodyEnd {
            framing: self.framing,
            ending,
            detail: detail.to_string(),
        }
    }

    /// Connection setup time; `None` for a reused connection.
    #[must_use]
    pub fn connect_time(&self) -> Option<Duration> {
        self.connect_time
    }

    /// Capacity of the read buffer, in bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the connection to the pool if the response was complete and nothing is left to read.
    pub fn release(self) {
        let has_ended = matches!(self.body, BodySource::Ended);
        if self.is_reusable && has_ended && self.buffer.is_empty() {
            if self.tolerates_slow_reads
                && let Err(error) = sockets::prepare(&self.stream)
            {
                log::info!(event = "not_kept", server = self.server.as_str(); "connection not returned to the pool: {error}");
                return;
            }
            self.pool
                .return_idle(&self.server, self.address, self.stream, self.keep_alive);
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.foreign_bytes > MAX_FOREIGN_BYTES {
            let error = "too many bytes that are no part of the response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await?;
        self.foreign_bytes += read;
        Ok(read)
    }
}

/// The server's keep-alive timeout, less a margin.
fn keep_alive_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let number = part.trim().strip_prefix("timeout=").unwrap_or(part.trim());
        number.parse::<u64>().ok()
    })?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}

/// Whether the server keeps the connection open after a response.
fn stays_open(head: &ResponseHead) -> bool {
    let connection = head.headers().get(header::CONNECTION);
    let is_kept = head.version >= Version::HTTP_11 || header_has(connection, "keep-alive");
    is_kept && !header_has(connection, "close")
}

/// Whether a response declares a length of zero.
fn declares_no_bytes(head: &ResponseHead) -> bool {
    let length = head.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok());
    length.and_then(|length| length.trim().parse::<u64>().ok()) == Some(0)
}

fn header_has(value: Option<&HeaderValue>, token: &str) -> bool {
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    text.split(',')
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}
