//! Servers that fail and then answer no connection attempts for a time, as when packets are lost or a path takes long,
//! while they go on running.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Connections that wait to be accepted by a server.
const SMALL_BACKLOG: u32 = 8;
/// A connection attempt that takes longer is taken for one that nothing answers.
const NO_ANSWER: Duration = Duration::from_millis(60);
/// How long a server is silent, in milliseconds.
pub const SILENCE_MS: std::ops::Range<u64> = 200..1_500;

/// A listener whose backlog [`fill_backlog`] can fill.
///
/// # Errors
/// What the system says when it can't listen.
pub fn listen_with_small_backlog(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(SMALL_BACKLOG)
}

/// Connects to a listener that accepts nothing, until nothing answers. The connections are to be kept.
pub async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    while connections.len() <= 2 * SMALL_BACKLOG as usize {
        match timeout(NO_ANSWER, TcpStream::connect(address)).await {
            Ok(Ok(connection)) => connections.push(connection),
            Ok(Err(error)) => {
                log::info!("{address} refuses connections: {error}");
                break;
            }
            Err(_) => break,
        }
    }
    connections
}
