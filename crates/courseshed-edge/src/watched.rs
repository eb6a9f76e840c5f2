//! Client connections that can be observed and ended from outside the HTTP library, and whose input
//! reaches the library through a [`RequestGate`].
//!
//! [`WatchedStream`] wraps the socket below the HTTP library. It records how many bytes the socket did
//! not accept, and since when, and holds back the input that the gate does not pass on.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::client_memory::ConnectionId;
use crate::request_gate::{BodyFraming, Phase, RequestGate};

/// Input read ahead while the gate is closed, in bytes. The end of a connection is noticed behind as
/// much.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// Observed state of a client connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// The socket; `None` once the connection was closed here.
    socket: RefCell<Option<TcpStream>>,
    unwritten: Cell<usize>,
    blocked_since: Cell<Option<Instant>>,
    waker: RefCell<Option<Waker>>,
    is_aborted: Cell<bool>,
    is_ended: Cell<bool>,
    is_closed: Cell<bool>,
    gate: RefCell<RequestGate>,
    /// Input that the gate has not passed on.
    held: RefCell<BytesMut>,
    phase: Cell<ObservedPhase>,
    id: Cell<ConnectionId>,
    max_head_bytes: usize,
    /// Whether the request body is to be read no further, and the notification of it.
    is_body_given_up: Cell<bool>,
    body_given_up: Notify,
}

/// A phase and its beginning.
#[derive(Clone, Copy, Debug)]
struct ObservedPhase {
    phase: Phase,
    since: Instant,
}

impl Default for ObservedPhase {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            since: Instant::now(),
        }
    }
}

impl Connection {
    /// Bytes passed to the last write that the socket did not accept.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        self.unwritten.get()
    }

    /// How long writes have been blocked; none if the last write succeeded.
    #[must_use]
    pub fn blocked_for(&self) -> Option<Duration> {
        self.blocked_since.get().map(|since| since.elapsed())
    }

    /// Whether the connection was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Whether the client has closed the connection, or it was closed here. Asks the kernel, so that
    /// it holds before the event loop has handled the event. Unread data hides the closing.
    #[must_use]
    pub fn is_closed_by_client(&self) -> bool {
        let socket = self.socket.borrow();
        let Some(socket) = &*socket else {
            return self.is_closed.get();
        };
        match SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]) {
            Ok(read) => read == 0,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        }
    }

    /// Calls `poll` with the socket.
    fn poll_socket<Output>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<Output>>,
    ) -> Poll<io::Result<Output>> {
        match &mut *self.socket.borrow_mut() {
            Some(socket) => poll(Pin::new(socket)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// What the connection is doing, and since when.
    #[must_use]
    pub fn phase(&self) -> (Phase, Instant) {
        let ObservedPhase { phase, since } = self.phase.get();
        (phase, since)
    }

    /// Its ID in the budget of its listener.
    #[must_use]
    pub fn id(&self) -> ConnectionId {
        self.id.get()
    }

    pub(crate) fn set_id(&self, id: ConnectionId) {
        self.id.set(id);
    }

    /// Lets the reader of the request body give it up.
    pub(crate) fn give_body_up(&self) {
        self.is_body_given_up.set(true);
        self.body_given_up.notify_waiters();
    }

    /// Waits until the request body is to be read no further.
    pub(crate) async fn body_given_up(&self) {
        if !self.is_body_given_up.get() {
            self.body_given_up.notified().await;
        }
    }

    /// Whether a request head exceeds the limit.
    #[must_use]
    pub fn has_endless_head(&self) -> bool {
        self.gate.borrow().head_bytes() > self.max_head_bytes
    }

    fn observe_phase(&self) {
        let phase = self.gate.borrow().phase();
        if phase != self.phase.get().phase {
            let since = Instant::now();
            self.phase.set(ObservedPhase { phase, since });
        }
    }

    /// The HTTP library handles a request; `framing` is that of its body, if it has one.
    pub(crate) fn begin_request(&self, framing: Option<BodyFraming>) {
        self.is_body_given_up.set(false);
        self.gate.borrow_mut().begin_request(framing);
        self.observe_phase();
    }

    /// The reader of a request body waits for more of it.
    pub(crate) fn want_body(&self) {
        if self.gate.borrow_mut().want_body() {
            self.wake();
        }
    }

    /// The HTTP library has found the end of a request body, or an error in it.
    pub(crate) fn end_body(&self) {
        self.gate.borrow_mut().end_body();
        self.observe_phase();
    }

    /// The response to a request is finished.
    pub(crate) fn end_response(&self) {
        self.gate.borrow_mut().end_response();
        self.observe_phase();
        if !self.held.borrow().is_empty() {
            self.wake();
        }
    }

    /// Whether the body of the current request has not been received whole.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.phase.get().phase == Phase::Body
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Ends the connection in order the next time its task runs, as if the client had closed it.
    pub fn end(&self) {
        self.is_ended.set(true);
        self.wake();
    }

    /// Aborts the connection the next time its task runs, discarding unwritten bytes.
    pub fn cut(&self) {
        self.is_aborted.set(true);
        self.wake();
    }

    /// Sets whether the connection is reset when it is closed, also by the end of the process.
    pub fn set_reset_on_close(&self, resets: bool) {
        let socket = self.socket.borrow();
        let Some(socket) = &*socket else {
            return;
        };
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(socket).set_linger(linger) {
            log::warn!(event = "not_reset"; "cannot set whether a client connection is reset: {error}");
        }
    }

    /// Reads what the gate passes on, at most what `buffer` has room for.
    fn poll_input(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_ended.get() {
            return Poll::Ready(Ok(()));
        }
        if self.has_endless_head() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let mut gate = self.gate.borrow_mut();
        let mut held = self.held.borrow_mut();
        if gate.is_open() && held.is_empty() {
            return self.poll_passed(context, buffer, &mut gate, &mut held);
        }
        if gate.is_open() {
            let room = held.len().min(buffer.remaining());
            let taken = gate.take(&held[..room]);
            buffer.put_slice(&held[..taken]);
            held.advance(taken);
            if held.is_empty() {
                *held = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        if let Poll::Ready(ended) = self.poll_ahead(context, &mut held) {
            return Poll::Ready(ended);
        }
        if held.is_empty() {
            gate.begin_turn();
            return Poll::Pending;
        }
        gate.end_turn();
        if gate.is_open() || gate.opens_next_turn() {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Reads into `buffer` from the socket, and holds back what the gate does not pass on.
    fn poll_passed(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        gate: &mut RequestGate,
        held: &mut BytesMut,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.poll_socket(|socket| socket.poll_read(context, buffer));
        if read.is_pending() {
            gate.begin_turn();
        }
        ready!(read)?;
        let input = &buffer.filled()[before..];
        let taken = gate.take(input);
        held.extend_from_slice(&input[taken..]);
        buffer.set_filled(before + taken);
        Poll::Ready(Ok(()))
    }

    /// Reads ahead until nothing more has arrived or enough is held. Ready if the connection has ended.
    fn poll_ahead(&self, context: &mut Context<'_>, held: &mut BytesMut) -> Poll<io::Result<()>> {
        while held.len() < READ_AHEAD_BYTES {
            let mut bytes = [MaybeUninit::uninit(); READ_AHEAD_BYTES];
            let mut ahead = ReadBuf::uninit(&mut bytes);
            ready!(self.poll_socket(|socket| socket.poll_read(context, &mut ahead)))?;
            if ahead.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            held.extend_from_slice(ahead.filled());
        }
        Poll::Pending
    }

    fn set_waker(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }

    fn record_write(&self, requested: usize, written: usize) {
        self.unwritten.set(requested - written);
        self.blocked_since.set(None);
    }

    fn record_blocked(&self, requested: usize) {
        self.unwritten.set(requested);
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    fn ensure_not_aborted(&self) -> io::Result<()> {
        if self.is_aborted.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// A client connection with its observed state.
#[derive(Debug)]
pub struct WatchedStream {
    connection: Rc<Connection>,
}

impl WatchedStream {
    /// Wraps a connection whose request heads may have `max_head_bytes`.
    #[must_use]
    pub fn new(stream: TcpStream, max_head_bytes: usize) -> Self {
        let connection = Connection {
            socket: RefCell::new(Some(stream)),
            max_head_bytes,
            ..Connection::default()
        };
        Self {
            connection: Rc::new(connection),
        }
    }

    /// Returns the observed state.
    #[must_use]
    pub fn connection(&self) -> Rc<Connection> {
        self.connection.clone()
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.connection.is_closed.set(true);
        let socket = self.connection.socket.take();
        if let Some(socket) = socket
            && self.connection.is_aborted.get()
        {
            // Reset the connection, or the kernel would keep the unsent bytes.
            let reset = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            if let Err(error) = reset {
                log::warn!(event = "not_reset"; "cannot reset an aborted client connection: {error}");
            }
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.ensure_not_aborted()?;
        let read = self.connection.poll_input(context, buffer);
        self.connection.observe_phase();
        if read.is_pending() {
            self.connection.set_waker(context.waker());
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.ensure_not_aborted()?;
        let connection = &self.connection;
        let written = connection.poll_socket(|socket| socket.poll_write(context, bytes));
        if written.is_pending() {
            self.connection.set_waker(context.waker());
            self.connection.record_blocked(bytes.len());
        }
        let written = ready!(written)?;
        self.connection.record_write(bytes.len(), written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection
            .poll_socket(|socket| socket.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection
            .poll_socket(|socket| socket.poll_shutdown(context))
    }
}
