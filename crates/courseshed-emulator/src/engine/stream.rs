//! The server-sent events of one answer.

use crate::answer;
use crate::engine::error::error_body;
use crate::engine::record::{Phase, Progress, RequestRecord};
use bytes::{Bytes, BytesMut};
use courseshed_engine::protocol::{EngineErrorCode, STREAM_DONE, STREAM_ERROR_EVENT, UsageBody};
use courseshed_types::Verdict;
use futures_util::Stream;
use std::fmt::Write;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes of one event around its text, roughly.
const EVENT_BYTES: usize = 220;

/// Streams a request's answer from an offset on, at the pace of its generation.
///
/// Dropping it leaves the request running.
pub(crate) struct AnswerStream {
    record: Arc<RequestRecord>,
    sent: u32,
    cuts: u32,
    ended: bool,
}

impl AnswerStream {
    pub(crate) fn new(record: Arc<RequestRecord>, from_offset: u32) -> Self {
        let cuts = record.progress().cuts;
        AnswerStream {
            record,
            sent: from_offset,
            cuts,
            ended: false,
        }
    }

    fn write_events(&mut self, progress: &Progress) -> Option<Bytes> {
        let count = progress.produced.saturating_sub(self.sent) as usize;
        let mut buffer = BytesMut::with_capacity((count + 2) * EVENT_BYTES);
        while self.sent < progress.produced {
            self.write_token(&mut buffer);
        }
        if progress.phase.is_over() {
            self.write_end(&mut buffer, progress);
            self.ended = true;
        }
        (!buffer.is_empty()).then(|| buffer.freeze())
    }

    fn write_token(&mut self, buffer: &mut BytesMut) {
        let text = answer::token_text(&self.record.answer, self.sent);
        let role = match self.sent {
            0 => "\"role\":\"assistant\",",
            _ => "",
        };
        self.sent += 1;
        let offset = self.sent;
        let RequestRecord { id, model, .. } = &*self.record;
        // Texts are letters, spaces and brackets: nothing to escape. Writing to a buffer in
        // memory can't fail.
        let _ = write!(
            buffer,
            "id: {offset}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\
             \"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{{role}\
             \"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
        );
    }

    fn write_end(&self, buffer: &mut BytesMut, progress: &Progress) {
        match progress.phase {
            Phase::Finished => self.write_finish(buffer, progress),
            _ => write_error(buffer),
        }
    }

    fn write_finish(&self, buffer: &mut BytesMut, progress: &Progress) {
        let record = &self.record;
        let chunk = serde_json::json!({
            "id": record.id,
            "object": "chat.completion.chunk",
            "model": record.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": record.finish_reason}],
            "usage": UsageBody::from(record.usage(progress)),
        });
        let offset = self.sent;
        let _ = write!(
            buffer,
            "id: {offset}\ndata: {chunk}\n\ndata: {STREAM_DONE}\n\n"
        );
    }
}

fn write_error(buffer: &mut BytesMut) {
    let message = "the request was cancelled";
    let body = error_body(EngineErrorCode::Cancelled, Verdict::MayHaveRun, message);
    let body = serde_json::json!(body);
    let _ = write!(buffer, "event: {STREAM_ERROR_EVENT}\ndata: {body}\n\n");
}

impl Stream for AnswerStream {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let progress = this.record.watch(context.waker());
        if progress.cuts != this.cuts || progress.phase == Phase::Lost {
            this.ended = true;
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            return Poll::Ready(Some(Err(cut)));
        }
        match this.write_events(&progress) {
            Some(bytes) => Poll::Ready(Some(Ok(bytes))),
            None => Poll::Pending,
        }
    }
}
