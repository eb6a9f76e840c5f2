//! A caller's connection that can be looked at and cut off from outside the HTTP library.
//!
//! The library writes what it holds whenever the connection takes something, and keeps the rest.
//! This stands between the two and notes what was not taken, and since when.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is known of a caller's connection.
#[derive(Debug, Default)]
pub struct Connection {
    unwritten: Cell<usize>,
    blocked_since: Cell<Option<Instant>>,
    waker: RefCell<Option<Waker>>,
    is_cut: Cell<bool>,
    is_closed: Cell<bool>,
}

impl Connection {
    /// Bytes that the library wants to write and the connection didn't take.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        self.unwritten.get()
    }

    /// How long it has taken nothing; none while nothing waits.
    #[must_use]
    pub fn blocked_for(&self) -> Option<Duration> {
        self.blocked_since.get().map(|since| since.elapsed())
    }

    /// Whether it is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Has it closed as soon as its task runs, without waiting for what isn't taken.
    pub fn cut(&self) {
        self.is_cut.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn note_waiting(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }

    fn note_written(&self, wanted: usize, written: usize) {
        self.unwritten.set(wanted - written);
        self.blocked_since.set(None);
    }

    fn note_blocked(&self, wanted: usize) {
        self.unwritten.set(wanted);
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    fn check(&self) -> io::Result<()> {
        if self.is_cut.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// A caller's connection, with what is known of it.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl WatchedStream {
    /// Watches a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            connection: Rc::default(),
        }
    }

    /// What is known of it.
    #[must_use]
    pub fn connection(&self) -> Rc<Connection> {
        self.connection.clone()
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.connection.is_closed.set(true);
        if self.connection.is_cut.get() {
            // Otherwise the system keeps what the caller doesn't take.
            let reset = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            if let Err(error) = reset {
                log::warn!(event = "not_reset"; "a connection that was cut off lingers: {error}");
            }
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check()?;
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.connection.note_waiting(context.waker());
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_pending() {
            self.connection.note_waiting(context.waker());
            self.connection.note_blocked(bytes.len());
        }
        let written = ready!(written)?;
        self.connection.note_written(bytes.len(), written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
