//! Client connections whose write backlog can be observed, and which can be aborted, from outside
//! the HTTP library.
//!
//! [`WatchedStream`] wraps the socket below the HTTP library and records how many bytes the socket
//! did not accept, and since when.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observed state of a client connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// The socket; `None` once the connection was closed here.
    socket: RefCell<Option<TcpStream>>,
    unwritten: Cell<usize>,
    blocked_since: Cell<Option<Instant>>,
    waker: RefCell<Option<Waker>>,
    is_aborted: Cell<bool>,
    is_closed: Cell<bool>,
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

    /// Aborts the connection the next time its task runs, discarding unwritten bytes.
    pub fn cut(&self) {
        self.is_aborted.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
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
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let connection = Connection {
            socket: RefCell::new(Some(stream)),
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
        let connection = &self.connection;
        let read = connection.poll_socket(|socket| socket.poll_read(context, buffer));
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
