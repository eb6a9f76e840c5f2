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
use tokio::time::timeout_at;

use super::attempts::{Attempts, Opened};
use super::memory_budget::BufferKind;
use super::memory_tracker::RequestMemory;
use super::refusal::Refusal;
use super::servers::CallReport;
use super::upstream::UpstreamError;
use crate::http::is_of_connection;

/// Longest response that is buffered completely, in bytes.
const WHOLE_ANSWER: usize = 1024 * 1024;
/// Size of the chunks passed to the client's connection, in bytes; the HTTP library writes that
/// much at once.
const PIECE: usize = 8 * 1024;

/// Forwards a call and returns the response.
pub(super) async fn forward(mut attempts: Attempts) -> Response<BoxBody> {
    loop {
        let mut opened = match attempts.open(None).await {
            Ok(opened) => opened,
            Err(refusal) => return refuse(attempts, refusal),
        };
        attempts.release_body();
        match read_body(&mut opened, &attempts).await {
            Ok(read) => return answer(attempts, opened, read),
            Err(UpstreamError::TimedOut) => return refuse(attempts, Refusal::TimedOut),
            Err(error) => {
                attempts.note_broken(&opened.server, &error);
                opened.end_call(CallEnd::Broken);
                if !attempts.may_repeat() {
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
pub(super) enum AnswerRead {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of the body.
    Begun(Bytes),
}

async fn read_body(opened: &mut Opened, attempts: &Attempts) -> Result<AnswerRead, UpstreamError> {
    let read = read_to_bound(opened, attempts).await?;
    // Server errors don't represent the latency of calls.
    if !opened.head.status.is_server_error() {
        let took = opened.sent_at.elapsed();
        attempts
            .core
            .report(&opened.server, CallReport::Latency(took));
        attempts.note_answer_time(took);
        match read {
            AnswerRead::Whole(_) => attempts.note_finished(opened, 0),
            // The rest arrives at the client's pace, and the engine stays occupied until then.
            AnswerRead::Begun(_) => attempts.note_read_prompt(opened, 0, took),
        };
    }
    Ok(read)
}

/// Reads a response body up to the buffer limit.
pub(super) async fn read_to_bound(
    opened: &mut Opened,
    attempts: &Attempts,
) -> Result<AnswerRead, UpstreamError> {
    let upstream = &mut opened.upstream;
    let memory = &attempts.memory;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = upstream.next_chunk().await? {
            body.extend_from_slice(&chunk);
            memory.set(BufferKind::Response, body.capacity() + upstream.buffered());
            if body.len() > WHOLE_ANSWER || !memory.has_room() {
                return Ok(AnswerRead::Begun(body.freeze()));
            }
        }
        Ok(AnswerRead::Whole(body.freeze()))
    };
    timeout_at(attempts.deadline, read)
        .await
        .unwrap_or(Err(UpstreamError::TimedOut))
}

/// Responds with the buffered part, followed by the rest of the body.
pub(super) fn answer(
    mut attempts: Attempts,
    mut opened: Opened,
    read: AnswerRead,
) -> Response<BoxBody> {
    let response = answer_head(&opened.head);
    attempts.log.status = opened.head.status.as_u16();
    match read {
        AnswerRead::Whole(body) => {
            attempts.log.outcome = "answered";
            attempts.note_answered(&mut opened);
            opened.upstream.finish();
            response.set_body(BoxBody::new(WholeAnswer {
                rest: body,
                _memory: attempts.memory,
            }))
        }
        AnswerRead::Begun(ready) => {
            let pieces = Pieces {
                attempts,
                opened,
                ready,
            };
            response.set_body(BoxBody::new(BodyStream::new(Box::pin(pieces.stream()))))
        }
    }
}

/// A completely buffered body, released in chunks as the client's connection accepts them.
struct WholeAnswer {
    rest: Bytes,
    _memory: RequestMemory,
}

impl MessageBody for WholeAnswer {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let length = self.rest.len().min(PIECE);
        let piece = self.rest.split_to(length);
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}

/// The response was truncated; the connection is closed so that it does not appear complete.
#[derive(Debug, Snafu)]
#[snafu(display("the response was truncated"))]
struct BrokenOff;

/// A response that is streamed to the client after its buffered beginning.
struct Pieces {
    attempts: Attempts,
    opened: Opened,
    ready: Bytes,
}

impl Pieces {
    fn stream(self) -> impl stream::Stream<Item = Result<Bytes, BrokenOff>> {
        stream::unfold(Some(self), |pieces| async {
            let mut pieces = pieces?;
            match pieces.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(pieces))),
                Ok(None) => {
                    pieces.attempts.log.outcome = "answered";
                    pieces.attempts.note_answered(&mut pieces.opened);
                    pieces.opened.upstream.finish();
                    None
                }
                Err(error) => {
                    pieces.note_end(&error);
                    pieces.attempts.log.outcome = "broken_off";
                    Some((Err(BrokenOff), None))
                }
            }
        })
    }

    /// Records why the rest of the response is missing. A passed deadline may be due to a slow
    /// client and does not count against the server.
    fn note_end(&mut self, error: &UpstreamError) {
        let server = &self.opened.server;
        if matches!(error, UpstreamError::TimedOut) {
            self.attempts.log.note_error(server, error);
            return;
        }
        self.attempts.note_broken(server, error);
        self.opened.end_call(CallEnd::Broken);
    }

    /// The next chunk. Reads from the server only after the client's connection accepted the
    /// previous one.
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        if !self.ready.is_empty() {
            let length = self.ready.len().min(PIECE);
            return Ok(Some(self.ready.split_to(length)));
        }
        self.ready = Bytes::new();
        let upstream = &mut self.opened.upstream;
        let next = timeout_at(self.attempts.deadline, upstream.next_chunk()).await;
        let buffered = upstream.buffered();
        self.attempts.memory.set(BufferKind::Response, buffered);
        next.unwrap_or(Err(UpstreamError::TimedOut))
    }
}

/// The head of the server's response, without hop-by-hop headers.
pub(super) fn answer_head(head: &ResponseHead) -> Response<BoxBody> {
    let mut response = Response::new(head.status);
    for (name, value) in head.headers() {
        let is_written_anew = name == header::CONTENT_LENGTH || name == header::DATE;
        if !is_of_connection(name.as_str()) && !is_written_anew {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
