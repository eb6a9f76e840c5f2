//! Renders a call's events as server-sent events in OpenAI's chunk format.
//!
//! The id of an event is `<attempt>.<bytes>`: the bytes of the answer's text up to and including it. A caller that
//! comes back with it gets the rest, from whichever gateway, engine or record holds it.

use std::{
    collections::VecDeque,
    fmt::Write as _,
    pin::Pin,
    str::FromStr,
    task::{Context, Poll},
};

use bytes::Bytes;
use courseshed_types::{
    Attempt, CallAnswer, CallError, CallId, CallOutcome, ErrorCode, Verdict, shard::SettledCall,
};
use futures_util::Stream;
use tokio::sync::mpsc;

use crate::gateway::{
    documents::{UsageDocument, completion_id},
    error::ApiError,
    events::CallEvent,
};

/// Events put into one write at most.
const EVENTS_PER_WRITE: usize = 64;

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

/// The events of one call as the body of a response.
pub struct SseBody {
    events: mpsc::Receiver<CallEvent>,
    first: VecDeque<CallEvent>,
    renderer: Renderer,
    ended: bool,
}

impl SseBody {
    /// The body that begins with `first`, for a caller that had `had` bytes.
    pub fn new(
        shape: StreamShape,
        first: CallEvent,
        events: mpsc::Receiver<CallEvent>,
        had: Option<EventId>,
    ) -> SseBody {
        SseBody {
            events,
            first: VecDeque::from([first]),
            renderer: Renderer::new(shape, had),
            ended: false,
        }
    }

    fn take(&mut self, event: CallEvent, out: &mut String) {
        match event {
            CallEvent::Text {
                attempt,
                end,
                delta,
            } => self.renderer.text(attempt, end, &delta, out),
            CallEvent::Settled(settled) => {
                self.ended = true;
                self.renderer.settled(&settled, out);
            }
            CallEvent::Broken(error) => {
                self.ended = true;
                render_error(error, out);
            }
        }
    }
}

impl Stream for SseBody {
    type Item = Result<Bytes, actix_web::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let mut out = String::new();
        for _ in 0..EVENTS_PER_WRITE {
            let event = match this.first.pop_front() {
                Some(event) => Poll::Ready(Some(event)),
                None => this.events.poll_recv(context),
            };
            match event {
                Poll::Ready(Some(event)) => this.take(event, &mut out),
                Poll::Ready(None) => {
                    this.ended = true;
                    render_error(let_go(), &mut out);
                }
                Poll::Pending if out.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
            if this.ended {
                break;
            }
        }
        Poll::Ready(Some(Ok(Bytes::from(out))))
    }
}

fn let_go() -> CallError {
    let message =
        "the stream was read too slowly; the call goes on: ask for it again with Last-Event-ID";
    CallError::may_have_run(ErrorCode::Unavailable, message)
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
        let model = quoted(&shape.model);
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

    fn text(&mut self, attempt: Attempt, end: u64, delta: &str, out: &mut String) {
        self.attempt = attempt;
        self.bytes = end;
        let role = if std::mem::take(&mut self.is_first) {
            "\"role\":\"assistant\","
        } else {
            ""
        };
        let delta = quoted(delta);
        let head = &self.head;
        let _ = write!(
            out,
            "id: {attempt}.{end}\n{head}{{\"index\":0,\"delta\":{{{role}\"content\":{delta}}},\"finish_reason\":null}}]}}\n\n"
        );
    }

    fn settled(&mut self, settled: &SettledCall, out: &mut String) {
        match &settled.outcome {
            CallOutcome::Answered(answer) => self.answered(answer, out),
            CallOutcome::Failed(error) => render_error(error.clone(), out),
        }
    }

    fn answered(&mut self, answer: &CallAnswer, out: &mut String) {
        let text = answer.message.content.as_str().unwrap_or_default();
        let had = if self.attempt == answer.attempt || self.attempt == Attempt(0) {
            usize::try_from(self.bytes).unwrap_or(usize::MAX)
        } else {
            0
        };
        match text.get(had..) {
            Some("") => {}
            Some(rest) => self.text(answer.attempt, text.len() as u64, rest, out),
            None => return render_error(beyond_answer(), out),
        }
        self.finish(answer, out);
    }

    fn finish(&self, answer: &CallAnswer, out: &mut String) {
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
        out.push_str("data: [DONE]\n\n");
    }
}

fn beyond_answer() -> CallError {
    let message = "Last-Event-ID lies beyond the answer; ask again without it";
    CallError {
        code: ErrorCode::InvalidRequest,
        verdict: Verdict::Ran,
        message: message.to_owned(),
        retry_after: None,
    }
}

/// An error inside a stream whose status was sent before.
fn render_error(error: CallError, out: &mut String) {
    let document = json(&ApiError::from(error).document());
    let _ = write!(out, "event: error\ndata: {document}\n\n");
}

fn quoted(text: &str) -> String {
    json(text)
}

fn json<T: serde::Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "null".to_owned())
}
