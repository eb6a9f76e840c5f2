//! HTTP/1.1 server on a single thread, built on `actix_http`.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Payload, Request, Response, header,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::Stream;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client_tracker::{ClientTracker, monitor_connections};
use crate::request_gate::BodyFraming;
use crate::watched::{Connection, WatchedStream};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const BACKLOG: u32 = 1024;
/// Write buffer of the HTTP library per connection. Matches the size of one read from a server, so
/// that each read is forwarded in one write.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;
/// Kernel send buffer per client connection, which bounds memory held for slow readers. The kernel
/// doubles this value for its own bookkeeping.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// How long the rest of a request body is discarded after the response, so that the client can read the
/// response before the connection is closed.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Factor by which a request head may exceed its limit and still be answered.
const HEAD_TOLERANCE: usize = 2;
/// Time beyond the limit for request heads after which connections are closed without an answer.
const HEAD_GRACE: Duration = Duration::from_secs(1);

/// Limits of requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpTiming {
    /// Timeout for receiving a request head.
    pub head: Duration,
    /// Keep-alive timeout of idle connections.
    pub idle: Duration,
    /// Maximum size of a request head, in bytes. Larger ones reach the handler up to twice the size.
    pub max_head_bytes: usize,
}

impl Default for HttpTiming {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(3),
            idle: Duration::from_secs(15),
            max_head_bytes: 16 * 1024,
        }
    }
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header is hop-by-hop. The name must be in lower case.
#[must_use]
pub fn is_hop_by_hop_header(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Binds a listening socket.
///
/// # Errors
/// Returns the error of the failed system call.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves their requests indefinitely, within the limits of `clients`. `timing`
/// is evaluated for each new connection.
pub async fn serve<Handle, Answer>(
    listener: TcpListener,
    clients: Rc<ClientTracker>,
    timing: impl Fn() -> HttpTiming,
    handle: Handle,
) where
    Handle: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<BoxBody>> + 'static,
{
    let head_limit = || timing().head + HEAD_GRACE;
    let monitoring = monitor_connections(clients.clone(), head_limit);
    let accepting = accept_connections(listener, clients, &timing, handle);
    tokio::join!(monitoring, accepting);
}

async fn accept_connections<Handle, Answer>(
    listener: TcpListener,
    clients: Rc<ClientTracker>,
    timing: &impl Fn() -> HttpTiming,
    handle: Handle,
) where
    Handle: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<BoxBody>> + 'static,
{
    let mut current = timing();
    let mut service = build_service(current, handle.clone()).await;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let latest = timing();
                if latest != current {
                    current = latest;
                    service = build_service(current, handle.clone()).await;
                }
                if let Err(error) = configure_socket(&stream) {
                    log::info!(event = "not_prepared"; "cannot set the options of a client connection: {error}");
                    continue;
                }
                let stream = WatchedStream::new(stream, HEAD_TOLERANCE * current.max_head_bytes);
                if clients.accept(&stream.connection()).await {
                    actix_rt::spawn(service.call((stream, Some(peer))));
                }
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "cannot accept a connection: {error}");
                clients.make_place();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}

/// The observed state of the connection that a request arrived on.
#[must_use]
pub fn connection_of(request: &Request) -> Rc<Connection> {
    let connection = request.conn_data::<Rc<Connection>>();
    connection.cloned().unwrap_or_default()
}

async fn build_service<Handle, Answer>(
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
    let service = fn_service(move |mut request: Request| {
        let connection = connection_of(&request);
        let framing = body_framing(&mut request);
        connection.begin_request(framing);
        if framing.is_some() {
            watch_body(&mut request, connection.clone());
        }
        // Boxed, so that idle connections have no room for it.
        let answer = Box::pin(handle(request));
        async move { Ok::<_, actix_http::Error>(watch_response(answer.await, connection)) }
    });
    HttpService::build()
        .keep_alive(KeepAlive::Timeout(timing.idle))
        .client_request_timeout(timing.head)
        .client_disconnect_timeout(LINGER_TIME)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|stream: &WatchedStream, data| {
            data.insert(stream.connection());
        })
        .h1(service)
        .new_service(())
        .await
        .unwrap_or_else(|()| unreachable!("building the service is infallible"))
}

/// How the body of a request ends; `None` if it has none.
fn body_framing(request: &mut Request) -> Option<BodyFraming> {
    if matches!(request.payload(), Payload::None) {
        return None;
    }
    let length = content_length(request).filter(|_| !request.head().upgrade());
    Some(length.map_or(BodyFraming::Chunked, |length| {
        BodyFraming::Length(length as u64)
    }))
}

/// The length of the body in bytes, if the request states it.
#[must_use]
pub fn content_length(request: &Request) -> Option<usize> {
    let length = request.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Lets the connection know what the reader of the body waits for, and when the body has ended.
fn watch_body(request: &mut Request, connection: Rc<Connection>) {
    let body = WatchedBody {
        body: request.take_payload(),
        connection,
    };
    *request.payload() = Payload::Stream {
        payload: Box::pin(body),
    };
}

struct WatchedBody {
    body: Payload,
    connection: Rc<Connection>,
}

impl Stream for WatchedBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        let this = self.get_mut();
        let next = Pin::new(&mut this.body).poll_next(context);
        match &next {
            Poll::Pending => this.connection.want_body(),
            Poll::Ready(None | Some(Err(_))) => this.connection.end_body(),
            Poll::Ready(Some(Ok(_))) => {}
        }
        next
    }
}

/// Lets the connection know when the response is finished. A connection whose request body was not read
/// whole is not used again: what follows can't be told from the rest of the body.
fn watch_response(
    mut response: Response<BoxBody>,
    connection: Rc<Connection>,
) -> Response<BoxBody> {
    if connection.has_unread_body() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response.map_body(|_, body| BoxBody::new(WatchedResponse { body, connection }))
}

struct WatchedResponse {
    body: BoxBody,
    connection: Rc<Connection>,
}

impl MessageBody for WatchedResponse {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

impl Drop for WatchedResponse {
    fn drop(&mut self) {
        self.connection.end_response();
    }
}
