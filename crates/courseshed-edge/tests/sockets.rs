//! Connections that rest are probed, and sent bytes don't wait for ever.

use std::time::Duration;

use courseshed_edge::sockets;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// A silent connection must be found out before the shortest times of routes are over twice.
const LONGEST_SILENCE: Duration = Duration::from_secs(4);

#[actix_rt::test]
async fn a_connection_that_went_silent_is_found_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("connects");
    sockets::prepare(&stream).expect("prepared");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("told"));
    let rest = socket.tcp_keepalive_time().expect("told");
    let unacknowledged = socket.tcp_user_timeout().expect("told");
    let unacknowledged = unacknowledged.expect("there is a limit");
    assert!(rest + unacknowledged <= LONGEST_SILENCE);
}
