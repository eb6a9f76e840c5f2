//! TCP keepalive and user timeout of prepared sockets.

use std::time::Duration;

use courseshed_edge::sockets;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Dead connections must be detected within twice the shortest route timeout.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

#[actix_rt::test]
async fn dead_connections_are_detected_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("connection");
    sockets::prepare(&stream).expect("prepared");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("socket option"));
    let keepalive_time = socket.tcp_keepalive_time().expect("socket option");
    let user_timeout = socket.tcp_user_timeout().expect("socket option");
    let user_timeout = user_timeout.expect("a user timeout");
    assert!(keepalive_time + user_timeout <= MAX_DETECTION_TIME);
}
