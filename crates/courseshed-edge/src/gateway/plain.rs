//! Forwards non-streaming calls. Responses are buffered up to a limit before they are sent to the
//! client; longer ones, and those for which memory is short, are streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody};
use actix_http::header;
use actix_http::{Response, ResponseHead};
use bytes::{Bytes, BytesMut};
use courseshed_pool::CallEnd;
use futures_util::stream;
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

use super::attempts::{Attempts, OpenedResponse};
use super::body_end::{BodyEnd, BodyProgress, Content, Ending};
use super::refusal::Refusal;
use super::servers::CallReport;
use super::upstream::{BodyRead, Upstream, UpstreamError};
use crate::client_memory::BufferKind;
use crate::client_tracker::RequestMemory;
use crate::http::is_hop_by_hop_header;

/// Longest response that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Size of the chunks passed to the client's connection, in bytes; the HTTP library writes that
/// much at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// Forwards a call and returns the response.
pub(super) async fn forward(mut attempts: Attempts) -> Response<BoxBody> {
    loop {
        let mut opened = match attempts.open(None).await {
            Ok(opened) => opened,
            Err(refusal) => return refuse(attempts, refusal),
        };
        attempts.release_body();
        match read_body(&mut opened, &mut attempts).await {
            Ok(read) => return respond(attempts, opened, read),
            Err(UpstreamError::TimedOut) => return refuse(attempts, Refusal::TimedOut),
            Err(error) => {
                attempts.record_failure(&opened.server, &error);
                opened.end_call(CallEnd::Disconnected);
                if !attempts.may_retry() {
                    return refuse(attempts, Refusal::Broken);
                }
            }
        }
    }
}

/// Responds with a refusal and records it in the access log.
pub(super) fn refuse(mut attempts: Attempts, refusal: Refusal) -> Response<BoxBody> {
    attempts.log.outcome = refusal.as_str();
    let response = refusal.response();
    attempts.log.status = response.status().as_u16();
    response
}

/// The part of a response that was buffered before the client receives any of it.
pub(super) enum BufferedResponse {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of the body.
    Partial(Bytes),
}

async fn read_body(
    opened: &mut OpenedResponse,
    attempts: &mut Attempts,
) -> Result<BufferedResponse, UpstreamError> {
    let read = read_up_to_limit(opened, attempts).await?;
    // Server errors don't represent the latency of calls.
    if !opened.head.status.is_server_error() {
        let took = opened.sent_at.elapsed();
        attempts
            .core
            .report(&opened.server, CallReport::Latency(took));
        attempts.record_response_time(took);
        match read {
            BufferedResponse::Complete(_) => attempts.record_finished(opened, 0),
            // The rest arrives at the client's pace, and the engine stays occupied until then.
            BufferedResponse::Partial(_) => attempts.record_processed(opened, 0, took),
        };
    }
    Ok(read)
}

/// Reads a response body up to the buffer limit.
pub(super) async fn read_up_to_limit(
    opened: &mut OpenedResponse,
    attempts: &mut Attempts,
) -> Result<BufferedResponse, UpstreamError> {
    let mut body = BytesMut::new();
    let end = loop {
        match read_until(attempts.deadline, &mut opened.upstream).await {
            BodyRead::Bytes(chunk) => body.extend_from_slice(&chunk),
            BodyRead::End(end) => break end,
        }
        let memory = &attempts.memory;
        let held = body.capacity() + opened.upstream.buffered();
        memory.set(BufferKind::Response, held);
        if body.len() > MAX_BUFFERED_BYTES || !memory.has_room() {
            return Ok(BufferedResponse::Partial(body.freeze()));
        }
    };
    judge_plain(attempts, opened, end, body.len() as u64)?;
    Ok(BufferedResponse::Complete(body.freeze()))
}

/// The next bytes of a body, or its end; silence until the deadline is an end.
async fn read_until(deadline: Instant, upstream: &mut Upstream) -> BodyRead {
    match timeout_at(deadline, upstream.read_body()).await {
        Ok(read) => read,
        Err(_) => BodyRead::End(upstream.end(Ending::Silent, "")),
    }
}

/// Decides whether a plain body of which `bytes` were received is complete.
fn judge_plain(
    attempts: &mut Attempts,
    opened: &OpenedResponse,
    end: BodyEnd,
    bytes: u64,
) -> Result<(), UpstreamError> {
    let is_success = opened.head.status.is_success();
    let progress = BodyProgress {
        content: Content::Plain { is_success },
        bytes,
        events: 0,
        partial_event_bytes: 0,
    };
    attempts.judge_end(&opened.server, end, progress)
}

/// Responds with the buffered part, followed by the rest of the body.
pub(super) fn respond(
    mut attempts: Attempts,
    mut opened: OpenedResponse,
    read: BufferedResponse,
) -> Response<BoxBody> {
    let response = response_head(&opened.head);
    attempts.log.status = opened.head.status.as_u16();
    match read {
        BufferedResponse::Complete(body) => {
            attempts.log.outcome = "answered";
            attempts.log.bytes = body.len() as u64;
            attempts.record_outcome(&mut opened);
            opened.upstream.release();
            // The length of the body that a GET would bring is not known here.
            if attempts.call.method == "HEAD" {
                return response.set_body(BoxBody::new(actix_http::body::None::new()));
            }
            response.set_body(BoxBody::new(BufferedBody {
                rest: body,
                _memory: attempts.memory,
            }))
        }
        BufferedResponse::Partial(ready) => {
            let body = StreamedBody {
                received: ready.len() as u64,
                attempts,
                opened,
                ready,
            };
            response.set_body(BoxBody::new(BodyStream::new(Box::pin(body.stream()))))
        }
    }
}

/// A completely buffered body, released in chunks as the client's connection accepts them.
struct BufferedBody {
    rest: Bytes,
    _memory: RequestMemory,
}

impl MessageBody for BufferedBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let length = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(length);
        Poll::Ready((!chunk.is_empty()).then_some(Ok(chunk)))
    }
}

/// The response was truncated; the connection is closed so that it does not appear complete.
#[derive(Debug, Snafu)]
#[snafu(display("the response was truncated"))]
struct Truncated;

/// A response that is streamed to the client after its buffered beginning.
struct StreamedBody {
    attempts: Attempts,
    opened: OpenedResponse,
    ready: Bytes,
    /// Bytes of the body received from the server.
    received: u64,
}

impl StreamedBody {
    fn stream(self) -> impl stream::Stream<Item = Result<Bytes, Truncated>> {
        stream::unfold(Some(self), |body| async {
            let mut body = body?;
            match body.next().await {
                Ok(Some(chunk)) => {
                    body.attempts.log.bytes += chunk.len() as u64;
                    Some((Ok(chunk), Some(body)))
                }
                Ok(None) => {
                    body.attempts.log.outcome = "answered";
                    body.attempts.record_outcome(&mut body.opened);
                    body.opened.upstream.release();
                    None
                }
                Err(error) => {
                    body.record_truncation(&error);
                    body.attempts.log.outcome = "broken_off";
                    Some((Err(Truncated), None))
                }
            }
        })
    }

    /// Records why the rest of the response is missing. A passed deadline may be due to a slow
    /// client and does not count against the server.
    fn record_truncation(&mut self, error: &UpstreamError) {
        let server = &self.opened.server;
        if matches!(error, UpstreamError::TimedOut) {
            self.attempts.log.record_error(server, error);
            return;
        }
        self.attempts.record_failure(server, error);
        self.opened.end_call(CallEnd::Disconnected);
    }

    /// The next chunk. Reads from the server only after the client's connection accepted the
    /// previous one.
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        if !self.ready.is_empty() {
            let length = self.ready.len().min(CHUNK_BYTES);
            return Ok(Some(self.ready.split_to(length)));
        }
        self.ready = Bytes::new();
        let read = read_until(self.attempts.deadline, &mut self.opened.upstream).await;
        let buffered = self.opened.upstream.buffered();
        self.attempts.memory.set(BufferKind::Response, buffered);
        match read {
            BodyRead::Bytes(chunk) => {
                self.received += chunk.len() as u64;
                Ok(Some(chunk))
            }
            BodyRead::End(end) => {
                judge_plain(&mut self.attempts, &self.opened, end, self.received)?;
                Ok(None)
            }
        }
    }
}

/// The head of the server's response, without hop-by-hop headers.
pub(super) fn response_head(head: &ResponseHead) -> Response<BoxBody> {
    let mut response = Response::new(head.status);
    for (name, value) in head.headers() {
        let is_regenerated = name == header::CONTENT_LENGTH || name == header::DATE;
        if !is_hop_by_hop_header(name.as_str()) && !is_regenerated {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
