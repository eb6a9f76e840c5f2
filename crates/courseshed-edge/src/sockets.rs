//! Settings of connections to servers, so that one that went silent is noticed.
//!
//! A connection may go silent for good without a reset, while new ones work. Bytes that were sent
//! and stay unacknowledged show it while a request is under way, keep-alive probes while it rests.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged: many times the way between zones, and a part of the
/// time that the shortest requests have.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(900);
/// How long a connection rests before it is probed: most are used again sooner, so that probes cost
/// next to nothing (worked out: two packets of 40 bytes each 3 s).
const REST_BEFORE_PROBE: Duration = Duration::from_secs(3);
/// Pause between probes that aren't answered. The limit for unacknowledged bytes ends them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Has a fresh connection bear a server that reads slowly: one that reads nothing for a while leaves
/// bytes unacknowledged as well, and only the request's own deadline ends the wait for it.
///
/// # Errors
/// What the system says.
pub fn bear_slow_reader(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(None)
}

/// Sets a fresh connection to a server up.
///
/// # Errors
/// What the system says.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(REST_BEFORE_PROBE)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
