//! Reads the server-sent events of one call.

use std::time::Duration;

use actix_rt::time::timeout;
use awc::error::PayloadError;
use bytes::Bytes;
use courseshed_types::admin::ErrorDocument;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::{StreamExt, stream::LocalBoxStream};
use serde::Deserialize;

use super::{client::refusal_of, record::Refusal};

/// The data of the last event of a whole answer.
const DONE: &str = "[DONE]";
/// The name of an event that carries an error.
const ERROR_EVENT: &str = "error";
/// The status of an error inside a stream that began well.
const STATUS_OF_STREAMS: u16 = 200;

/// One step of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Text to append.
    Text {
        /// The id to come back with.
        id: String,
        /// The text.
        delta: String,
    },
    /// Nothing for the caller.
    Other,
    /// The answer is whole.
    Done,
    /// The call ended with an error.
    Failed(Refusal),
    /// The stream broke off, or said nothing for too long.
    Cut,
}

/// The stream of one call.
pub struct CallStream {
    events: EventStream<LocalBoxStream<'static, Result<Bytes, PayloadError>>>,
    silence: Duration,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
}

impl CallStream {
    /// Reads a body of events; silence for longer than `silence` counts as broken off.
    pub fn new(
        body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
        silence: Duration,
    ) -> CallStream {
        CallStream {
            events: body.eventsource(),
            silence,
        }
    }

    /// The next step. After `Done`, `Failed` or `Cut` the stream is over.
    pub async fn next(&mut self) -> StreamItem {
        match timeout(self.silence, self.events.next()).await {
            Ok(Some(Ok(event))) => read(event),
            _ => StreamItem::Cut,
        }
    }
}

fn read(event: Event) -> StreamItem {
    if event.data == DONE {
        return StreamItem::Done;
    }
    if event.event == ERROR_EVENT {
        let document: Result<ErrorDocument, _> = serde_json::from_str(&event.data);
        return match document {
            Ok(document) => StreamItem::Failed(refusal_of(STATUS_OF_STREAMS, document)),
            Err(_) => StreamItem::Cut,
        };
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
        return StreamItem::Cut;
    };
    let choice = chunk.choices.into_iter().next();
    match choice.and_then(|choice| choice.delta.content) {
        Some(delta) if !delta.is_empty() => StreamItem::Text {
            id: event.id,
            delta,
        },
        _ => StreamItem::Other,
    }
}
