//! Lookup, resumption and cancellation by request id, and the forms of answers.

use crate::engine::error;
use crate::engine::record::{Phase, Progress, RequestRecord};
use crate::engine::state::{EngineState, Shared};
use crate::engine::stream::AnswerStream;
use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_engine::protocol::{
    EngineErrorCode, HEADER_LAST_EVENT_ID, RequestState, RequestStatus, UsageBody,
};
use courseshed_engine_model::RequestKey;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// `GET /v1/requests/{id}`.
pub(crate) async fn lookup(shared: web::Data<Shared>, id: web::Path<String>) -> HttpResponse {
    let state = shared.lock();
    let status = match state.requests.get(id.as_str()) {
        Some(record) => status_of(record, state.start),
        None => unknown(state.start),
    };
    HttpResponse::Ok().json(status)
}

/// `GET /v1/requests/{id}/stream`.
pub(crate) async fn resume(
    shared: web::Data<Shared>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    let Some(record) = shared.lock().requests.get(id.as_str()).cloned() else {
        let message = "no request of this id is known";
        return error::doubtful(EngineErrorCode::RequestUnknown, message);
    };
    if record.progress().phase == Phase::NeverStarted {
        return error::known(RequestState::NeverStarted);
    }
    let header = request.headers().get(HEADER_LAST_EVENT_ID);
    let text = header.map_or(Ok("0"), |value| value.to_str());
    let offset = text.ok().and_then(|text| text.trim().parse::<u32>().ok());
    match offset {
        Some(offset) if offset <= record.output_tokens => event_stream(record, offset),
        _ => {
            let message = format!("{HEADER_LAST_EVENT_ID} is not an offset of this answer");
            error::doubtful(EngineErrorCode::InvalidRequest, message)
        }
    }
}

/// `POST /v1/requests/{id}/cancel`.
pub(crate) async fn cancel(shared: web::Data<Shared>, id: web::Path<String>) -> HttpResponse {
    let now = shared.now();
    let mut state = shared.lock();
    state.move_on(now);
    let record = match state.requests.get(id.as_str()).cloned() {
        Some(record) => record,
        None => state.bury(&id, now),
    };
    state.cancel_record(&record, now);
    let status = status_of(&record, state.start);
    drop(state);
    shared.changed.notify_one();
    HttpResponse::Ok().json(status)
}

impl EngineState {
    /// Ends a request unless it is over; one that only waited never starts.
    fn cancel_record(&mut self, record: &RequestRecord, now: Duration) {
        let progress = record.progress();
        if progress.phase.is_over() {
            return;
        }
        self.model.cancel(now, RequestKey(record.key));
        self.by_key.remove(&record.key);
        let phase = match progress.phase {
            Phase::Queued => Phase::NeverStarted,
            _ => Phase::Cancelled,
        };
        record.change(|progress| {
            progress.phase = phase;
            progress.ended_at = Some(now);
        });
    }
}

fn status_of(record: &RequestRecord, start: u64) -> RequestStatus {
    let progress = record.progress();
    let finished = progress.phase == Phase::Finished;
    RequestStatus {
        state: progress.phase.state(),
        start,
        tokens: u64::from(progress.produced),
        answer: finished.then(|| record.answer.clone()),
        finish_reason: finished.then_some(record.finish_reason),
        usage: finished.then(|| UsageBody::from(record.usage(&progress))),
    }
}

fn unknown(start: u64) -> RequestStatus {
    RequestStatus {
        state: RequestState::Unknown,
        start,
        tokens: 0,
        answer: None,
        finish_reason: None,
        usage: None,
    }
}

/// The stream of a request from an offset on.
pub(crate) fn event_stream(record: Arc<RequestRecord>, from_offset: u32) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("Cache-Control", "no-store"))
        .streaming(AnswerStream::new(record, from_offset))
}

/// The whole answer of a request, once it is over.
pub(crate) async fn whole_answer(record: Arc<RequestRecord>) -> HttpResponse {
    let progress = poll_fn(|context| {
        let progress = record.watch(context.waker());
        match progress.phase.is_over() {
            true => Poll::Ready(progress),
            false => Poll::Pending,
        }
    })
    .await;
    match progress.phase {
        Phase::Finished => HttpResponse::Ok().json(completion(&record, &progress)),
        phase => error::known(phase.state()),
    }
}

fn completion(record: &RequestRecord, progress: &Progress) -> serde_json::Value {
    serde_json::json!({
        "id": record.id,
        "object": "chat.completion",
        "model": record.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": record.answer},
            "finish_reason": record.finish_reason,
        }],
        "usage": UsageBody::from(record.usage(progress)),
    })
}
