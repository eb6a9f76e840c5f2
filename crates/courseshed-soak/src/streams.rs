//! Streams of callers that come back: at any gateway, on connections that they cut themselves or that
//! broke, with the last event that they have.

use tokio::time::{Instant, timeout};

use crate::caller::{Caller, PATIENCE, TIME_TOLD_MS};
use crate::http_text::{Message, event_data};
use crate::ledger::{CallKind, CallSeen, Outcome, Promise};

/// Events of a whole stream.
pub const STREAM_EVENTS: u64 = 8;
/// Requests for one stream at the most, the first one included.
const MOST_REQUESTS: u32 = 5;
/// A caller cuts its connection after the event that a draw below this names, if there is one.
const CUTS_OF: u64 = 16;

/// The data of an event, which tells the software version that wrote it.
#[must_use]
pub fn versioned_event(version: u32, number: u64) -> String {
    format!("version {version} event {number}")
}

/// The version in the data of an event, as text.
fn version_of(data: &str) -> &str {
    data.split(' ').nth(1).unwrap_or("")
}

/// A stream as its caller knows it.
#[derive(Default)]
struct Received {
    /// The request that brought the first event.
    first: Option<String>,
    events: Vec<String>,
}

impl Received {
    fn has_all(&self) -> bool {
        self.events.len() as u64 == STREAM_EVENTS
    }
}

impl Caller {
    /// Asks for a stream, and resumes it until it is whole or the caller has tried often enough.
    pub(crate) async fn resumable_stream(&mut self) {
        let mut received = Received::default();
        for _ in 0..MOST_REQUESTS {
            let gateway = self.choose_gateway();
            self.request_stream(gateway, &mut received).await;
            if received.has_all() || self.world.is_over() {
                break;
            }
        }
        self.check_events(&received);
    }

    async fn request_stream(&mut self, gateway: usize, received: &mut Received) {
        let id = self.next_id();
        let cut_after = self.draw(CUTS_OF);
        let sent = Instant::now();
        let answered = self.exchange_stream(gateway, &id, received, cut_after);
        let (outcome, events) = match timeout(PATIENCE, answered).await {
            Ok((outcome, answer)) => (outcome, answer.map(|answer| event_data(&answer.body))),
            Err(_) => (Outcome::GaveUp, None),
        };
        let events = events.unwrap_or_default();
        let count = (received.events.len() + events.len()) as u64;
        if outcome == (Outcome::Answered { status: 200 }) && count < STREAM_EVENTS {
            let detail = format!("{id} ended as whole with {count} events at gateway {gateway}");
            self.violation(Promise::WholeAnswer, detail);
        }
        if received.first.is_some() {
            let mut ledger = self.world.ledger.borrow_mut();
            ledger.note_resumption(&outcome, !events.is_empty());
        }
        let seen = CallSeen {
            kind: CallKind::Stream,
            gateway,
            sent,
            over: Instant::now(),
            outcome,
            turn: None,
        };
        self.world.ledger.borrow_mut().note_call(id.clone(), seen);
        if !events.is_empty() {
            received.first.get_or_insert(id);
            received.events.extend(events);
        }
    }

    /// Sends one request for a stream, and reads until it ends or the caller cuts the connection.
    async fn exchange_stream(
        &mut self,
        gateway: usize,
        id: &str,
        received: &Received,
        cut_after: u64,
    ) -> (Outcome, Option<Message>) {
        let Some(mut connection) = self.take_connection(gateway).await else {
            return (Outcome::NotConnected, None);
        };
        let resumes = received.first.as_ref().map_or_else(String::new, |first| {
            format!(
                "x-last: {}\r\nx-resumes: {first}\r\n",
                received.events.len()
            )
        });
        let request = format!(
            "POST /stream/x HTTP/1.1\r\nhost: soak.example\r\nx-call: {id}\r\nx-time: {TIME_TOLD_MS}\r\n{resumes}content-length: 0\r\n\r\n"
        );
        let left = STREAM_EVENTS - received.events.len() as u64;
        let most = if cut_after == 0 || cut_after >= left {
            usize::MAX
        } else {
            usize::try_from(cut_after).unwrap_or(usize::MAX)
        };
        if connection.write(&request).await.is_err() {
            return (Outcome::NoAnswer, None);
        }
        let Some(answer) = connection.read_events(most).await else {
            return (Outcome::NoAnswer, None);
        };
        if !answer.is_whole {
            let is_cut = event_data(&answer.body).len() >= most;
            let outcome = if is_cut {
                Outcome::GaveUp
            } else {
                Outcome::BrokenOff
            };
            return (outcome, Some(answer));
        }
        self.keep_connection(gateway, connection);
        let status = answer.head.status().unwrap_or(0);
        (Outcome::Answered { status }, Some(answer))
    }

    /// Checks that the events are those of one server software, in order and each once.
    fn check_events(&self, received: &Received) {
        let Some(version) = received.events.first().map(|event| version_of(event)) else {
            return;
        };
        let versions = received.events.iter().map(|event| version_of(event));
        let first = received.first.as_deref().unwrap_or("");
        if versions.into_iter().any(|other| other != version) {
            let detail = format!("{first} holds {:?}", received.events);
            self.violation(Promise::StreamVersion, detail);
            return;
        }
        let version = version.parse().unwrap_or(0);
        let expected = (1..).map(|number| versioned_event(version, number));
        if !received
            .events
            .iter()
            .cloned()
            .eq(expected.take(received.events.len()))
        {
            let detail = format!("{first} was given {:?}", received.events);
            self.violation(Promise::WholeAnswer, detail);
        }
    }
}
