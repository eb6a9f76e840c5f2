//! Forwards streaming calls, whose responses are server-sent events.
//!
//! Invariants: only complete events are forwarded, each once and in order; a stream is resumed at
//! another server only if its route allows it and after the previous connection was closed; the end
//! of a stored turn is forwarded only after the turn was stored.

use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use courseshed_pool::CallEnd;
use courseshed_quota::Standing;
use courseshed_records::PartitionId;
use futures_util::stream;
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

use super::attempts::{Attempts, LEAST_TIME, Opened};
use super::events::{Event, EventSplitter};
use super::memory_budget::BufferKind;
use super::plain::{answer, answer_head, forward, read_to_bound, refuse};
use super::program::{TokenReservation, compose_body, keep_ms, reserve, turn_of};
use super::refusal::Refusal;
use super::servers::CallReport;
use super::upstream::UpstreamError;

/// How long a resumable stream may be silent before it is resumed at another server.
const SILENCE_BORNE: Duration = Duration::from_millis(1200);
/// Maximum size of an event, in bytes.
const LARGEST_EVENT: usize = 1024 * 1024;
/// Timeout for storing a turn after its last event.
const KEEP_LIMIT: Duration = Duration::from_millis(2500);

/// Time without reading after which the client is considered stalled. Longer than delays of a busy
/// gateway, shorter than the write timeout of servers.
const HELD_BACK: Duration = Duration::from_secs(1);
/// Duration of a read that shows that the server's backlog has been read; much longer than the
/// latency between zones.
const CAUGHT_UP: Duration = Duration::from_millis(100);

/// The stream was truncated; the connection is closed so that it does not appear complete.
#[derive(Debug, Snafu)]
#[snafu(display("the stream was truncated"))]
struct BrokenOff;

/// Forwards a streaming call.
pub(super) async fn forward_stream(
    mut attempts: Attempts,
    tokens_per_event: u64,
) -> Response<BoxBody> {
    let prepared = futures_util::join!(
        reserve(
            &attempts.core,
            &attempts.call,
            attempts.caller.tenant_name(),
            &attempts.route,
            tokens_per_event,
            attempts.deadline,
        ),
        compose_body(
            &attempts.core,
            &attempts.call,
            attempts.caller.tenant_name(),
            attempts.kept_within(),
            attempts.deadline,
            &attempts.memory
        ),
    );
    let (mut reservation, composed) = match prepared {
        (Ok(reservation), Ok(composed)) => (reservation, composed),
        (_, Err(refusal)) | (Err(refusal), _) => return refuse(attempts, refusal),
    };
    attempts.body = composed.body;
    attempts.cached_prompts.extend(composed.hint);
    if let Some(reservation) = &mut reservation {
        attempts.cached_prompts.extend(reservation.take_hints());
    }
    if reservation.as_ref().is_some_and(TokenReservation::is_first) {
        attempts.standing = Standing::New;
    }
    let last_event = attempts.call.last_event;
    let opened = match attempts.open(last_event).await {
        Ok(opened) => opened,
        Err(refusal) => return refuse(attempts, refusal),
    };
    attempts.log.status = opened.head.status.as_u16();
    if opened.head.status != StatusCode::OK {
        return whole(attempts, opened).await;
    }
    attempts.release_body();
    let response = answer_head(&opened.head);
    let relay = EventRelay {
        attempts,
        opened: Some(opened),
        reservation,
        partition: composed.partition,
        splitter: EventSplitter::default(),
        last_event,
        output: BytesMut::new(),
        is_first: true,
        tokens_per_event,
        last_arrival: None,
        events_here: 0,
        given_at: None,
        is_held_back: false,
    };
    let events = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(broken) => {
                // Lets preceding events reach the client, so that it need not request them again.
                tokio::task::yield_now().await;
                Some((Err(broken), None))
            }
        }
    });
    response.set_body(BoxBody::new(BodyStream::new(Box::pin(events))))
}

/// Forwards a non-streaming response, such as an error.
async fn whole(mut attempts: Attempts, mut opened: Opened) -> Response<BoxBody> {
    attempts.release_body();
    match read_to_bound(&mut opened, &attempts).await {
        Ok(read) => answer(attempts, opened, read),
        Err(UpstreamError::TimedOut) => refuse(attempts, Refusal::TimedOut),
        Err(error) => {
            opened.end_call(CallEnd::Broken);
            attempts.note_broken(&opened.server, &error);
            refuse(attempts, Refusal::Broken)
        }
    }
}

/// A stream that is relayed from a server to a client.
struct EventRelay {
    attempts: Attempts,
    opened: Option<Opened>,
    reservation: Option<TokenReservation>,
    /// The partition that stores the turn.
    partition: PartitionId,
    splitter: EventSplitter,
    last_event: Option<u64>,
    output: BytesMut,
    is_first: bool,
    tokens_per_event: u64,
    /// When the current server last sent events, and how many it has sent.
    last_arrival: Option<Instant>,
    events_here: u32,
    /// When data was last passed to the client's connection.
    given_at: Option<Instant>,
    /// Whether the server may have been blocked by the slow client.
    is_held_back: bool,
}

impl EventRelay {
    /// All complete events received, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        let taken_after = self.given_at.map(|given_at| given_at.elapsed());
        self.is_held_back |= taken_after.is_some_and(|time| time > HELD_BACK);
        loop {
            let ready = self.take_events();
            if !ready.is_empty() {
                self.given_at = Some(Instant::now());
                return Ok(Some(ready));
            }
            match self.read().await {
                Ok(Some(chunk)) => self.push(&chunk)?,
                Ok(None) if !self.splitter.has_partial() => {
                    self.finish().await?;
                    return Ok(None);
                }
                Ok(None) => {
                    let error = UpstreamError::Broken {
                        reason: "stream ended within an event".to_owned(),
                    };
                    self.take_up(&error).await?;
                }
                Err(error) => self.take_up(&error).await?,
            }
        }
    }

    /// Adds received bytes. Aborts the stream if an event exceeds the size limit.
    fn push(&mut self, chunk: &[u8]) -> Result<(), BrokenOff> {
        self.splitter.push(chunk);
        self.note_held();
        if self.splitter.partial() > LARGEST_EVENT {
            let error = UpstreamError::Broken {
                reason: "event exceeds the size limit".to_owned(),
            };
            if let Some(mut opened) = self.opened.take() {
                self.attempts.note_broken(&opened.server, &error);
                opened.end_call(CallEnd::Broken);
            }
            return self.break_off();
        }
        Ok(())
    }

    fn note_held(&self) {
        let upstream = self.opened.as_ref();
        let read = upstream.map_or(0, |opened| opened.upstream.buffered());
        let held = read + self.splitter.held() + self.output.len();
        self.attempts.memory.set(BufferKind::Response, held);
    }

    /// The complete events that the client has not received, in their original bytes.
    fn take_events(&mut self) -> Bytes {
        let mut ready = BytesMut::new();
        let mut arrived = 0;
        while let Some(event) = self.splitter.next_event() {
            arrived += 1;
            if !self.is_new(&event) {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.attempts.log.events += 1;
            if let Some(reservation) = &mut self.reservation {
                reservation.count_event();
            }
            if self.attempts.route.keeps_turns
                && let Some(data) = &event.data
            {
                self.output.extend_from_slice(data);
                self.output.extend_from_slice(b"\n");
            }
            ready.extend_from_slice(&event.bytes);
        }
        self.note_arrived(arrived);
        ready.freeze()
    }

    /// Records the latency of events.
    fn note_arrived(&mut self, events: u32) {
        let Some(opened) = &mut self.opened else {
            return;
        };
        if events == 0 {
            return;
        }
        let now = Instant::now();
        match self.last_arrival.replace(now) {
            None => {
                let tokens = u64::from(events) * self.tokens_per_event;
                opened.first_tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
                let core = &self.attempts.core;
                core.report(&opened.server, CallReport::Answered);
                self.attempts.note_read(opened);
            }
            Some(before) => {
                let each = now.duration_since(before) / events;
                let core = &self.attempts.core;
                core.report(&opened.server, CallReport::Latency(each));
            }
        }
        self.events_here += events;
    }

    fn is_new(&self, event: &Event) -> bool {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        let Some(opened) = &mut self.opened else {
            return Err(UpstreamError::TimedOut);
        };
        let mut limit = self.attempts.deadline;
        if self.attempts.route.resumable && !self.is_first {
            limit = limit.min(Instant::now() + SILENCE_BORNE);
        }
        let began = Instant::now();
        let chunk = timeout_at(limit, opened.upstream.next_chunk()).await;
        if began.elapsed() > CAUGHT_UP {
            self.is_held_back = false;
        }
        let chunk = chunk.unwrap_or(Err(UpstreamError::TimedOut))?;
        self.is_first = false;
        Ok(chunk)
    }

    /// Resumes the stream at another server after the last forwarded event.
    async fn take_up(&mut self, error: &UpstreamError) -> Result<(), BrokenOff> {
        self.splitter = EventSplitter::default();
        if let Some(mut opened) = self.opened.take() {
            if self.is_to_blame() {
                self.attempts.note_broken(&opened.server, error);
                opened.end_call(CallEnd::Broken);
            } else {
                self.attempts.note_lost(&opened.server, error);
                opened.end_call(CallEnd::Given);
            }
        }
        if !self.attempts.may_repeat() {
            return self.break_off();
        }
        self.attempts.log.resumed += 1;
        match self.attempts.open(self.last_event).await {
            Ok(opened) if opened.head.status == StatusCode::OK => {
                self.opened = Some(opened);
                self.last_arrival = None;
                self.events_here = 0;
                self.is_held_back = false;
                Ok(())
            }
            Ok(mut opened) => {
                let report = CallReport::of_answer(opened.head.status);
                self.attempts.core.report(&opened.server, report);
                opened.end_call(opened.end_without_stream());
                self.break_off()
            }
            Err(_) => self.break_off(),
        }
    }

    /// Whether a failure, including a silent stream, counts against the server: not if the deadline
    /// has passed, or if the server may have aborted because the client did not read.
    fn is_to_blame(&self) -> bool {
        !self.is_held_back && self.attempts.time_left() >= LEAST_TIME
    }

    fn break_off(&mut self) -> Result<(), BrokenOff> {
        self.attempts.log.outcome = "broken_off";
        Err(BrokenOff)
    }

    /// Stores the turn if the route stores turns, and releases the connection.
    async fn finish(&mut self) -> Result<(), BrokenOff> {
        let mut cached = None;
        if let Some(mut opened) = self.opened.take() {
            let generated = u64::from(self.events_here) * self.tokens_per_event;
            let generated = u32::try_from(generated).unwrap_or(u32::MAX);
            let held = self.attempts.note_finished(&mut opened, generated);
            // A stored turn carries the same hint.
            let is_kept = self.attempts.route.keeps_turns;
            if let Some(reservation) = self.reservation.as_mut().filter(|_| !is_kept) {
                reservation.note_cached(held.clone());
            }
            cached = Some(held);
            opened.upstream.finish();
        }
        if self.attempts.route.keeps_turns {
            let output = self.output.split().freeze();
            let turn = turn_of(
                &self.attempts.call,
                self.attempts.caller.tenant_name(),
                output,
                cached,
            );
            let keep_ms = keep_ms(&self.attempts.route);
            let deadline = Instant::now() + KEEP_LIMIT;
            let kept = self
                .attempts
                .core
                .records
                .keep(self.partition, turn, keep_ms, deadline)
                .await;
            if kept.is_err() {
                self.attempts.log.outcome = "turn_not_kept";
                return Err(BrokenOff);
            }
        }
        self.attempts.log.outcome = "answered";
        Ok(())
    }
}

/// Forwards a call according to the kind of its route.
pub(super) async fn forward_by_kind(
    attempts: Attempts,
    tokens_per_event: Option<u64>,
) -> Response<BoxBody> {
    match attempts.route.kind {
        courseshed_routing::CallKind::Stream => {
            forward_stream(attempts, tokens_per_event.unwrap_or(1)).await
        }
        _ => forward(attempts).await,
    }
}
