//! A client that tells from the framing of a response alone whether it is complete.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PAUSE_OF_SLOW_CLIENT: Duration = Duration::from_millis(300);

/// A response as its client sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the framing says that the body is complete.
    pub is_complete: bool,
}

/// Sends a request of an HTTP version and reads until the connection ends.
pub async fn request(
    address: SocketAddr,
    version: &str,
    path: &str,
    id: &str,
    headers: &str,
) -> ClientResponse {
    let mut stream = send(address, version, path, id, headers).await;
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received).await;
    interpret(received, read.is_err())
}

/// Like `request`, but begins to read only after all buffers on the way are full.
pub async fn request_slowly(
    address: SocketAddr,
    version: &str,
    path: &str,
    id: &str,
) -> ClientResponse {
    let mut stream = send(address, version, path, id, "").await;
    tokio::time::sleep(PAUSE_OF_SLOW_CLIENT).await;
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received).await;
    interpret(received, read.is_err())
}

async fn send(
    address: SocketAddr,
    version: &str,
    path: &str,
    id: &str,
    headers: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let text = format!(
        "POST {path} HTTP/{version}\r\nhost: a.example\r\nx-call: {id}\r\n{headers}content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.expect("sent");
    stream
}

/// Interprets the bytes of a connection that then was reset, or closed in order.
fn interpret(received: Vec<u8>, is_reset: bool) -> ClientResponse {
    let received = String::from_utf8(received).expect("text");
    let Some((head, rest)) = received.split_once("\r\n\r\n") else {
        return ClientResponse::default();
    };
    let head = head.to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map(|length| length.parse::<usize>().expect("a length"));
    let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
        join_chunks(rest)
    } else if let Some(length) = length {
        (rest.to_owned(), rest.len() == length)
    } else {
        (rest.to_owned(), !is_reset)
    };
    ClientResponse {
        status: status.unwrap_or(0),
        head,
        body,
        is_complete,
    }
}

/// The bytes of a chunked body, and whether its last chunk came.
fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        if size == 0 {
            return (body, after == "\r\n");
        }
        let kept = size.min(after.len());
        body.push_str(&after[..kept]);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
