//! Calls that are answered at once: the whole answer is read before the caller gets any of it, up to
//! a bound. What is longer, or finds no memory, is passed on in pieces as the caller takes them.

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
use super::held::Holding;
use super::held_memory::HeldKind;
use super::refusal::Refusal;
use super::servers::Report;
use super::upstream::UpstreamError;
use crate::http::is_of_connection;

/// Longest answer that is read whole, in bytes: far more than a tool or a model answers with, and
/// small beside the memory of the smallest machine.
const WHOLE_ANSWER: usize = 1024 * 1024;
/// What is handed to the caller's connection at a time, in bytes: what the library writes at once.
const PIECE: usize = 8 * 1024;

/// Passes a call on and answers it.
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

/// Answers a caller with a refusal, and notes it.
pub(super) fn refuse(mut attempts: Attempts, refusal: Refusal) -> Response<BoxBody> {
    attempts.log.outcome = refusal.as_str();
    let response = refusal.response();
    attempts.log.status = response.status().as_u16();
    response
}

/// As much of an answer as is read before the caller gets any of it.
pub(super) enum AnswerRead {
    /// All of it.
    Whole(Bytes),
    /// Its beginning.
    Begun(Bytes),
}

async fn read_body(opened: &mut Opened, attempts: &Attempts) -> Result<AnswerRead, UpstreamError> {
    let read = read_to_bound(opened, attempts).await?;
    // An error of the server's own says nothing of how fast it serves calls.
    if !opened.head.status.is_server_error() {
        let took = opened.sent_at.elapsed();
        attempts.core.report(&opened.server, Report::Paced(took));
        attempts.note_answer_time(took);
        match read {
            AnswerRead::Whole(_) => attempts.note_finished(opened, 0),
            // The rest takes as long as the caller does, and the engine is occupied until then.
            AnswerRead::Begun(_) => attempts.note_read_prompt(opened, 0, took),
        };
    }
    Ok(read)
}

/// Reads an answer, as far as it may be read before the caller gets any of it.
pub(super) async fn read_to_bound(
    opened: &mut Opened,
    attempts: &Attempts,
) -> Result<AnswerRead, UpstreamError> {
    let upstream = &mut opened.upstream;
    let holding = &attempts.holding;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = upstream.next_chunk().await? {
            body.extend_from_slice(&chunk);
            holding.set(HeldKind::Answer, body.capacity() + upstream.buffered());
            if body.len() > WHOLE_ANSWER || !holding.has_room() {
                return Ok(AnswerRead::Begun(body.freeze()));
            }
        }
        Ok(AnswerRead::Whole(body.freeze()))
    };
    timeout_at(attempts.deadline, read)
        .await
        .unwrap_or(Err(UpstreamError::TimedOut))
}

/// Answers a caller with what was read, and what follows it.
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
                _holding: attempts.holding,
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

/// An answer that was read whole, handed on as the caller's connection takes it.
struct WholeAnswer {
    rest: Bytes,
    _holding: Holding,
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

/// The rest of an answer doesn't come; its connection is closed so that it doesn't look whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off"))]
struct BrokenOff;

/// An answer of which the caller gets the beginning before its end is there.
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

    /// Notes why the rest doesn't come. That the call's time is over may be the caller's doing, and says
    /// nothing of the server.
    fn note_end(&mut self, error: &UpstreamError) {
        let server = &self.opened.server;
        if matches!(error, UpstreamError::TimedOut) {
            self.attempts.log.note_error(server, error);
            return;
        }
        self.attempts.note_broken(server, error);
        self.opened.end_call(CallEnd::Broken);
    }

    /// The next piece; nothing is read from the server before the one before was taken.
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        if !self.ready.is_empty() {
            let length = self.ready.len().min(PIECE);
            return Ok(Some(self.ready.split_to(length)));
        }
        self.ready = Bytes::new();
        let upstream = &mut self.opened.upstream;
        let next = timeout_at(self.attempts.deadline, upstream.next_chunk()).await;
        let buffered = upstream.buffered();
        self.attempts.holding.set(HeldKind::Answer, buffered);
        next.unwrap_or(Err(UpstreamError::TimedOut))
    }
}

/// The head of the server's answer, as it goes to the caller.
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
