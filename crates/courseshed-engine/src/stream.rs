//! The stream of one answer.

use crate::error::EngineError;
use crate::protocol::{ChatChunk, ErrorBody, STREAM_DONE, STREAM_ERROR_EVENT};
use crate::timeouts::EngineTimeouts;
use actix_rt::time::{Instant, Sleep, sleep_until};
use awc::error::PayloadError;
use bytes::Bytes;
use courseshed_types::call::{FinishReason, Usage};
use eventsource_stream::{Event, EventStream, EventStreamError};
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// One step of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEvent {
    /// Chunks of text up to and including this one: where a resumed stream would go on.
    pub offset: u64,
    /// Text to append; empty in the last event.
    pub delta: String,
    /// Only in the last event.
    pub finish: Option<StreamFinish>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamFinish {
    /// Why.
    pub reason: FinishReason,
    /// What it took.
    pub usage: Usage,
}

type Payload = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// An answer as it comes.
///
/// It yields events with growing offsets; the last one has `finish` set, and after it or after
/// an error the stream is over. Dropping it does not cancel the request.
pub struct EngineStream {
    address: Arc<str>,
    events: EventStream<Payload>,
    timeouts: EngineTimeouts,
    /// When to give up unless something comes.
    deadline: Instant,
    /// Fires at a deadline that may since have moved on.
    alarm: Pin<Box<Sleep>>,
    offset: u64,
    reason: Option<FinishReason>,
    usage: Option<Usage>,
    ended: bool,
}

impl EngineStream {
    pub(crate) fn new(
        address: Arc<str>,
        payload: Payload,
        timeouts: EngineTimeouts,
        from_offset: u64,
    ) -> Self {
        let deadline = Instant::now() + timeouts.first_token;
        EngineStream {
            address,
            events: EventStream::new(payload),
            timeouts,
            deadline,
            alarm: Box::pin(sleep_until(deadline)),
            offset: from_offset,
            reason: None,
            usage: None,
            ended: false,
        }
    }

    /// Chunks of text received so far, those before a resume included.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Moves the deadline on; the alarm is set again only when it fires.
    fn note_progress(&mut self) {
        self.deadline = Instant::now() + self.timeouts.idle;
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<EngineError> {
        while self.alarm.as_mut().poll(context).is_ready() {
            if Instant::now() >= self.deadline {
                return Poll::Ready(EngineError::TimedOut {
                    address: self.address.to_string(),
                    awaited: "the next token",
                });
            }
            let deadline = self.deadline;
            self.alarm.as_mut().reset(deadline);
        }
        Poll::Pending
    }

    /// Reads one event; `None` if it holds nothing for the caller.
    fn read(&mut self, event: Event) -> Result<Option<StreamEvent>, EngineError> {
        if event.event == STREAM_ERROR_EVENT {
            return Err(self.read_error(&event));
        }
        if event.data == STREAM_DONE {
            return self.read_done().map(Some);
        }
        let chunk: ChatChunk = serde_json::from_str(&event.data)
            .map_err(|error| self.protocol_error(format!("unreadable chunk: {error}")))?;
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage.into());
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        self.reason = choice.finish_reason.or(self.reason);
        let delta = choice.delta.content.unwrap_or_default();
        if delta.is_empty() {
            return Ok(None);
        }
        self.read_text(&event.id, delta)
    }

    fn read_text(&mut self, id: &str, delta: String) -> Result<Option<StreamEvent>, EngineError> {
        let offset = id
            .parse::<u64>()
            .map_err(|_| self.protocol_error(format!("event id '{id}' is not an offset")))?;
        if offset <= self.offset {
            return Ok(None);
        }
        if offset > self.offset + 1 {
            let reason = format!("offset {offset} follows {}", self.offset);
            return Err(self.protocol_error(reason));
        }
        self.offset = offset;
        Ok(Some(StreamEvent {
            offset,
            delta,
            finish: None,
        }))
    }

    fn read_done(&mut self) -> Result<StreamEvent, EngineError> {
        let (Some(reason), Some(usage)) = (self.reason, self.usage) else {
            return Err(self.protocol_error("the stream ended without reason or usage".to_owned()));
        };
        Ok(StreamEvent {
            offset: self.offset,
            delta: String::new(),
            finish: Some(StreamFinish { reason, usage }),
        })
    }

    fn read_error(&self, event: &Event) -> EngineError {
        match serde_json::from_str::<ErrorBody>(&event.data) {
            Ok(body) => EngineError::StreamFailed {
                address: self.address.to_string(),
                body: Box::new(body),
            },
            Err(error) => self.protocol_error(format!("unreadable error event: {error}")),
        }
    }

    fn protocol_error(&self, reason: String) -> EngineError {
        EngineError::protocol(&self.address, reason)
    }

    fn transport_error(&self, error: EventStreamError<PayloadError>) -> EngineError {
        match error {
            EventStreamError::Transport(error) => EngineError::from_payload(&self.address, &error),
            other => self.protocol_error(other.to_string()),
        }
    }

    fn broken_off(&self) -> EngineError {
        EngineError::Broken {
            address: self.address.to_string(),
            reason: "the stream ended before its answer did".to_owned(),
        }
    }
}

impl Stream for EngineStream {
    type Item = Result<StreamEvent, EngineError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<StreamEvent, EngineError>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        loop {
            let result = match Pin::new(&mut this.events).poll_next(context) {
                Poll::Ready(Some(Ok(event))) => {
                    this.note_progress();
                    this.read(event)
                }
                Poll::Ready(Some(Err(error))) => Err(this.transport_error(error)),
                Poll::Ready(None) => Err(this.broken_off()),
                Poll::Pending => match this.poll_deadline(context) {
                    Poll::Ready(error) => Err(error),
                    Poll::Pending => return Poll::Pending,
                },
            };
            match result {
                Ok(None) => continue,
                Ok(Some(event)) => {
                    this.ended = event.finish.is_some();
                    return Poll::Ready(Some(Ok(event)));
                }
                Err(error) => {
                    this.ended = true;
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
    }
}
