//! Renders a call's events as server-sent events in OpenAI's chunk format.
//!
//! The id of an event is `<attempt>.<bytes>`: the bytes of the answer's text up to and including it. A caller that
//! comes back with it gets the rest, from whichever gateway, engine or record holds it.

use std::{
    io::Write as _,
    pin::Pin,
    str::FromStr,
    task::{Context, Poll},
};

use bytes::Bytes;
use courseshed_types::{Attempt, CallAnswer, CallError, CallId, CallOutcome, ErrorCode, Verdict};
use futures_util::Stream;

use crate::gateway::{
    documents::{UsageDocument, completion_id},
    error::ApiError,
    events::{CallEnd, CallProgress, CallReader, diverged},
    streams::OpenBody,
};

/// Bytes of an event beside its head and its text, roughly.
const EVENT_BYTES: usize = 128;

/// The place of an event in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventId {
    /// The attempt that gave the text.
    pub attempt: Attempt,
    /// Bytes of text up to and including the event.
    pub bytes: u64,
}

impl FromStr for EventId {
    type Err = ();

    fn from_str(text: &str) -> Result<EventId, ()> {
        let (attempt, bytes) = text.split_once('.').ok_or(())?;
        Ok(EventId {
            attempt: attempt.parse().map_err(|_| ())?,
            bytes: bytes.parse().map_err(|_| ())?,
        })
    }
}

/// What does not change over the chunks of one stream.
#[derive(Debug, Clone)]
pub struct StreamShape {
    /// The call.
    pub call: CallId,
    /// The model named in each chunk.
    pub model: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Whether the usage is sent in a chunk of its own.
    pub include_usage: bool,
}

/// The answer of one call as the body of a response.
pub struct SseBody {
    reader: CallReader,
    /// The end, if it was told before the body was made.
    end: Option<CallEnd>,
    renderer: Renderer,
    ended: bool,
    /// Counts the body as open until its connection has taken it whole or is gone.
    counted: Option<OpenBody>,
}

impl SseBody {
    /// The body for a caller that had `had` bytes; `end` if there is no more text.
    pub fn new(
        shape: StreamShape,
        reader: CallReader,
        end: Option<CallEnd>,
        had: Option<EventId>,
    ) -> SseBody {
        SseBody {
            reader,
            end,
            renderer: Renderer::new(shape, had),
            ended: false,
            counted: None,
        }
    }

    /// The same body, counted as open.
    pub fn counted(mut self, counted: OpenBody) -> SseBody {
        self.counted = Some(counted);
        self
    }

    fn render_text(&mut self, out: &mut Vec<u8>) {
        let renderer = &mut self.renderer;
        let rendered = self
            .reader
            .take_text(|attempt, end, text| renderer.text(attempt, end, text, out));
        if rendered.is_none() {
            self.ended = true;
            render_error(not_a_place(), out);
        }
    }

    fn render_end(&mut self, end: CallEnd, out: &mut Vec<u8>) {
        self.ended = true;
        match end {
            CallEnd::Broken(error) => render_error(error, out),
            CallEnd::Settled(settled) => match &settled.outcome {
                CallOutcome::Failed(error) => render_error(error.clone(), out),
                CallOutcome::Answered(answer) => self.render_answer(answer, out),
            },
        }
    }

    fn render_answer(&mut self, answer: &CallAnswer, out: &mut Vec<u8>) {
        let text = answer.message.content.as_str().unwrap_or_default();
        if !self.reader.agrees_with(text) {
            return render_error(diverged(), out);
        }
        self.renderer.answered(answer, text, out);
    }
}

impl Stream for SseBody {
    type Item = Result<Bytes, actix_web::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let mut out = Vec::new();
        if let Some(end) = this.end.take() {
            this.render_end(end, &mut out);
            return Poll::Ready(Some(Ok(Bytes::from(out))));
        }
        // Text and the end that follows it leave in one write.
        while !this.ended {
            match this.reader.poll_progress(context) {
                Poll::Ready(CallProgress::Text) => this.render_text(&mut out),
                Poll::Ready(CallProgress::End(end)) => this.render_end(end, &mut out),
                Poll::Pending if out.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready(Some(Ok(Bytes::from(out))))
    }
}

/// Renders chunks.
struct Renderer {
    shape: StreamShape,
    /// All of a chunk up to its choices.
    head: String,
    attempt: Attempt,
    bytes: u64,
    is_first: bool,
}

impl Renderer {
    fn new(shape: StreamShape, had: Option<EventId>) -> Renderer {
        let id = completion_id(shape.call);
        let model = json(&shape.model);
        let created = shape.created;
        let head = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":{created},\"model\":{model},\"choices\":["
        );
        Renderer {
            shape,
            head,
            attempt: had.map_or(Attempt(0), |had| had.attempt),
            bytes: had.map_or(0, |had| had.bytes),
            is_first: had.is_none(),
        }
    }

    fn text(&mut self, attempt: Attempt, end: u64, delta: &str, out: &mut Vec<u8>) {
        self.attempt = attempt;
        self.bytes = end;
        let role = match std::mem::take(&mut self.is_first) {
            true => "\"role\":\"assistant\",",
            false => "",
        };
        let head = &self.head;
        out.reserve(EVENT_BYTES + head.len() + delta.len());
        let _ = writeln!(out, "id: {attempt}.{end}");
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(b"{\"index\":0,\"delta\":{");
        out.extend_from_slice(role.as_bytes());
        out.extend_from_slice(b"\"content\":");
        // Writing to memory can't fail.
        let _ = serde_json::to_writer(&mut *out, delta);
        out.extend_from_slice(b"},\"finish_reason\":null}]}\n\n");
    }

    fn answered(&mut self, answer: &CallAnswer, text: &str, out: &mut Vec<u8>) {
        let had = usize::try_from(self.bytes).unwrap_or(usize::MAX);
        match text.get(had..) {
            Some("") => {}
            Some(rest) => self.text(answer.attempt, text.len() as u64, rest, out),
            None => return render_error(not_a_place(), out),
        }
        self.finish(answer, out);
    }

    fn finish(&self, answer: &CallAnswer, out: &mut Vec<u8>) {
        let head = &self.head;
        let attempt = answer.attempt;
        let bytes = self.bytes;
        let reason = json(&answer.finish_reason);
        let _ = write!(
            out,
            "id: {attempt}.{bytes}\n{head}{{\"index\":0,\"delta\":{{}},\"finish_reason\":{reason}}}]}}\n\n"
        );
        if self.shape.include_usage {
            let usage = json(&UsageDocument::from(answer.usage));
            let _ = write!(out, "{head}],\"usage\":{usage}}}\n\n");
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
    }
}

fn not_a_place() -> CallError {
    let message = "Last-Event-ID is no place of this answer; ask again without it";
    CallError {
        code: ErrorCode::InvalidRequest,
        verdict: Verdict::Ran,
        message: message.to_owned(),
        retry_after: None,
    }
}

/// An error inside a stream whose status was sent before.
fn render_error(error: CallError, out: &mut Vec<u8>) {
    let document = json(&ApiError::from(error).document());
    let _ = write!(out, "event: error\ndata: {document}\n\n");
}

fn json<T: serde::Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "null".to_owned())
}
