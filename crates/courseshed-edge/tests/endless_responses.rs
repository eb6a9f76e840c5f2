//! Servers that send bytes which are no response, without end: what a gateway reads of them is bounded.

mod support;

use std::sync::Arc;
use std::time::Duration;

use courseshed_routing::Route;
use support::server::{Action, MockServer, ReceivedRequest, stream_head};
use support::{Fleet, call, plain_route, status, stream_route, wait_until};
use tokio::time::timeout;
use yare::parameterized;

const GRACE: Duration = Duration::from_secs(20);
/// Below the route's timeout, which would end any request.
const PATIENCE: Duration = Duration::from_secs(30);
/// More than a gateway may read of what is no response: besides its own limits, the buffers of two sockets.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// What the server sends without end.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// Bytes that are no HTTP.
    Noise,
    /// A header that doesn't end.
    Header,
    /// Headers, each of which ends.
    Headers,
    /// Informational responses.
    Informational,
    /// The body of a response to another request.
    StrayBody,
    /// Responses to other requests.
    StrayResponses,
    /// The extension of a chunk.
    ChunkExtension,
    /// The size of a chunk.
    ChunkSize,
    /// Trailers after the last chunk.
    Trailers,
}

impl Endless {
    fn action(self, request: &ReceivedRequest) -> Action {
        let stray = "HTTP/1.1 200 OK\r\nx-call: another\r\n";
        let (head, chunk) = match self {
            Self::Noise => (String::new(), "\u{1}noise".repeat(512)),
            Self::Header => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "a".repeat(4096)),
            Self::Headers => (
                "HTTP/1.1 200 OK\r\n".to_owned(),
                "x-more: a\r\n".repeat(512),
            ),
            Self::Informational => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(128)),
            Self::StrayBody => (
                format!("{stray}transfer-encoding: chunked\r\n\r\n"),
                format!("1000\r\n{}\r\n", "s".repeat(4096)),
            ),
            Self::StrayResponses => (
                String::new(),
                format!("{stray}content-length: 4\r\n\r\nbody").repeat(64),
            ),
            Self::ChunkExtension => (format!("{}1;", stream_head(request)), "e".repeat(4096)),
            Self::ChunkSize => (stream_head(request), "0".repeat(4096)),
            Self::Trailers => (
                format!("{}0\r\n", stream_head(request)),
                "x-more: a\r\n".repeat(512),
            ),
        };
        Action::RepeatWithoutEnd {
            head,
            chunk: Arc::from(chunk),
        }
    }
}

/// Guards against reading, holding or forwarding what a server sends without end and is no response.
#[parameterized(
    noise = { plain_route(), Endless::Noise },
    header = { plain_route(), Endless::Header },
    headers = { plain_route(), Endless::Headers },
    informational = { plain_route(), Endless::Informational },
    stray_body = { plain_route(), Endless::StrayBody },
    stray_responses = { plain_route(), Endless::StrayResponses },
    chunk_extension = { plain_route(), Endless::ChunkExtension },
    chunk_size = { plain_route(), Endless::ChunkSize },
    trailers = { plain_route(), Endless::Trailers },
    stream_header = { stream_route(), Endless::Header },
    stream_stray_body = { stream_route(), Endless::StrayBody },
    stream_chunk_extension = { stream_route(), Endless::ChunkExtension },
    stream_chunk_size = { stream_route(), Endless::ChunkSize },
    stream_trailers = { stream_route(), Endless::Trailers },
)]
#[test_macro(actix_rt::test)]
async fn endless_bytes_that_are_no_response_end_the_connection(route: Route, endless: Endless) {
    let fleet = Fleet::start(GRACE).await;
    fleet.set_routes(vec![route]).await;
    let server = MockServer::start(move |request| endless.action(request)).await;
    fleet.add_server("server", &server).await;
    let response = timeout(PATIENCE, call(fleet.caller_addr, "c1", "", "")).await;
    let response = response.expect("an end of the request");
    let is_whole = status(&response) == 200 && response.ends_with("0\r\n\r\n");
    assert!(!is_whole, "{response}");
    wait_until(async || server.endless_writes().stopped > 0).await;
    let written = server.endless_writes();
    assert!(written.bytes < MAX_BYTES, "{written:?}");
}
