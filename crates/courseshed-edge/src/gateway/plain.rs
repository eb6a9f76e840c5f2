//! Calls that are answered at once: the whole answer is read before the caller gets any of it.

use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::{Response, ResponseHead};
use bytes::{Bytes, BytesMut};
use courseshed_pool::CallEnd;
use tokio::time::timeout_at;

use super::attempts::{Attempts, Opened};
use super::refusal::Refusal;
use super::servers::Report;
use super::upstream::UpstreamError;
use crate::http::is_of_connection;

/// Passes a call on and answers it.
pub(super) async fn forward(mut attempts: Attempts) -> Response<BoxBody> {
    loop {
        let mut opened = match attempts.open(None).await {
            Ok(opened) => opened,
            Err(refusal) => return refuse(attempts, refusal),
        };
        match read_body(&mut opened, &attempts).await {
            Ok(body) => {
                attempts.log.outcome = "answered";
                attempts.log.status = opened.head.status.as_u16();
                return answer(opened, body);
            }
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

async fn read_body(opened: &mut Opened, attempts: &Attempts) -> Result<Bytes, UpstreamError> {
    let upstream = &mut opened.upstream;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = upstream.next_chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let body = timeout_at(attempts.deadline, read)
        .await
        .unwrap_or(Err(UpstreamError::TimedOut))?;
    note_answered(opened, attempts);
    Ok(body)
}

/// Notes a whole answer. An error of the server's own says nothing of how fast it serves calls.
fn note_answered(opened: &mut Opened, attempts: &Attempts) {
    let report = Report::of_answer(opened.head.status);
    attempts.core.report(&opened.server, report);
    if report == Report::Answered {
        let took = opened.sent_at.elapsed();
        attempts.core.report(&opened.server, Report::Paced(took));
        attempts.note_answer_time(took);
        attempts.note_finished(opened, 0);
    } else {
        opened.end_call(opened.end_without_stream());
    }
}

fn answer(opened: Opened, body: Bytes) -> Response<BoxBody> {
    let response = answer_head(&opened.head).set_body(BoxBody::new(body));
    opened.upstream.finish();
    response
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
