//! Serving HTTP/1.1 on one thread, through the library's own service for it.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use snafu::Snafu;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::watched::{Connection, WatchedStream};

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const BACKLOG: u32 = 1024;
/// What the library may hold of an answer that its caller doesn't take, in bytes, before it asks for
/// no more: one read from a server, so that each is written in one go.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;
/// What the system may hold of it, in bytes, of which it uses twice as many with its own records:
/// tens of seconds of a stream, and 3 MB/s of a whole answer over 10 ms there and back.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// How long callers are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpTiming {
    /// How long the head of a request may take to arrive.
    pub head: Duration,
    /// How long a connection may rest.
    pub idle: Duration,
}

impl Default for HttpTiming {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// Headers that concern one connection only, and are not passed on.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns one connection only. The name is in lower case.
#[must_use]
pub fn is_of_connection(name: &str) -> bool {
    CONNECTION_HEADERS.contains(&name)
}

/// Why a body can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// It ends early, or isn't in the protocol.
    #[snafu(display("the body can't be read"))]
    Unreadable,
}

/// Listens on an address.
///
/// # Errors
/// What the system says.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and answers their requests until the process ends. `timing` is asked for
/// each new connection.
pub async fn serve<Handle, Answer>(
    listener: TcpListener,
    timing: impl Fn() -> HttpTiming,
    handle: Handle,
) where
    Handle: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<BoxBody>> + 'static,
{
    let mut current = timing();
    let mut service = build(current, handle.clone()).await;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let wanted = timing();
                if wanted != current {
                    current = wanted;
                    service = build(current, handle.clone()).await;
                }
                if let Err(error) = prepare(&stream) {
                    log::info!(event = "not_prepared"; "a caller's connection can't be used: {error}");
                    continue;
                }
                let stream = WatchedStream::new(stream);
                actix_rt::spawn(service.call((stream, Some(peer))));
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "cannot accept a connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}

/// What is known of the connection that a request came on.
#[must_use]
pub fn connection_of(request: &Request) -> Rc<Connection> {
    let connection = request.conn_data::<Rc<Connection>>();
    connection.cloned().unwrap_or_default()
}

/// The body of a request.
///
/// # Errors
/// [`BodyError`].
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Unreadable)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

async fn build<Handle, Answer>(
    timing: HttpTiming,
    handle: Handle,
) -> impl Service<
    (WatchedStream, Option<SocketAddr>),
    Future = impl Future<Output = Result<(), impl Sized + 'static>> + 'static,
>
where
    Handle: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<BoxBody>> + 'static,
{
    let service = fn_service(move |request: Request| {
        let answer = handle(request);
        async move { Ok::<_, actix_http::Error>(answer.await) }
    });
    HttpService::build()
        .keep_alive(KeepAlive::Timeout(timing.idle))
        .client_request_timeout(timing.head)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|stream: &WatchedStream, data| {
            data.insert(stream.connection());
        })
        .h1(service)
        .new_service(())
        .await
        .unwrap_or_else(|()| unreachable!("the service can always be made"))
}
