//! Connects to a server that failed, to find out whether its process goes on running.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Connection attempts before a server counts as silent: a lost SYN is sent again only after a second.
const ATTEMPTS: usize = 2;
/// How long a process that ends takes from closing its first connection to closing its last socket.
pub(super) const EXIT_TIME: Duration = Duration::from_millis(10);

/// What connecting to a server showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepted a connection and kept it open.
    Open,
    /// The server accepted connections and closed them.
    Closed,
    /// The host refused the connection: nothing listens at the address.
    Refused,
    /// Nothing answered in time.
    TimedOut,
    /// The connection failed for another reason, which may be this gateway's own.
    Failed(io::ErrorKind),
}

impl ProbeResult {
    fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            kind => Self::Failed(kind),
        }
    }
}

impl fmt::Display for ProbeResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open => formatter.write_str("open"),
            Self::Closed => formatter.write_str("closed"),
            Self::Refused => formatter.write_str("refused"),
            Self::TimedOut => formatter.write_str("timed_out"),
            Self::Failed(kind) => write!(formatter, "failed: {kind}"),
        }
    }
}

/// A new connection on which nothing was sent, or what its failure shows. `limit` applies to each attempt.
pub(super) async fn connect_probe(
    address: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, ProbeResult> {
    for _ in 0..ATTEMPTS {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => return Err(ProbeResult::of_error(&error)),
            Err(_) => {}
        }
    }
    Err(ProbeResult::TimedOut)
}
