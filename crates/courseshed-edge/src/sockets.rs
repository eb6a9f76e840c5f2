//! Socket options of connections to servers, for detecting half-open connections, and the limit of
//! descriptors.
//!
//! A peer may stop responding without a reset while new connections to it still work. The TCP user
//! timeout detects this while a request is in flight, keep-alive probes while a connection is idle.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection is closed. Well above the
/// round-trip time between zones and below the deadline of the shortest requests.
const USER_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle time before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Interval between unanswered keep-alive probes; the user timeout ends the sequence.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// File descriptors that this process may open.
#[must_use]
pub fn open_file_limit() -> u64 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.unwrap_or(u64::MAX)
}

/// Clears the TCP user timeout of a connection. A server that reads slowly also leaves bytes
/// unacknowledged, and must only be bounded by the request's deadline.
///
/// # Errors
/// Returns the error of the failed socket option.
pub fn tolerate_slow_reader(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(None)
}

/// Sets the options of a new connection to a server.
///
/// # Errors
/// Returns the error of the failed socket option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
