//! Forwards streaming calls, whose responses are server-sent events.
//!
//! Invariants: only complete events are forwarded, each once and in order; a stream is resumed at
//! another server only if its route allows it, at the software version at which it began, and after
//! the previous connection was closed; the end
//! of a stored turn is forwarded only after the turn was stored, and an event of one that the client may
//! resume only after the stores keep the output up to it.

use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use courseshed_pool::CallEnd;
use courseshed_quota::ProgramPhase;
use courseshed_records::PartitionId;
use futures_util::{Stream, StreamExt, stream};
use snafu::Snafu;
use tokio::time::{Instant, sleep, timeout_at};

use super::attempts::{Attempts, MIN_ATTEMPT_TIME, OpenedResponse, RESUMED};
use super::body_end::{BodyEnd, BodyProgress, Content, Ending, Framing};
use super::events::{Event, EventSplitter};
use super::plain::{forward, read_up_to_limit, refuse, respond, response_head};
use super::program::{TokenReservation, build_turn, compose_body, keep_ms, reserve};
use super::refusal::Refusal;
use super::servers::CallReport;
use super::upstream::{BodyRead, UpstreamError};
use crate::client_memory::BufferKind;
use crate::records::OutputKeeper;

/// How long a resumable stream may be silent before it is resumed at another server.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// Maximum size of an event, in bytes: many times what a model generates at once, and the size of
/// its longest complete response.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Timeout for storing a turn after its last event.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Pause before an output is sent to the stores again that too few of them keep.
const KEEP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time without reading after which the client is considered stalled. Longer than delays of a busy
/// gateway, shorter than the write timeout of servers.
const CLIENT_STALL_TIME: Duration = Duration::from_secs(1);
/// Duration of a read that shows that the server's backlog has been read; much longer than the
/// latency between zones.
const CAUGHT_UP_READ_TIME: Duration = Duration::from_millis(100);

/// The stream was truncated; the connection is closed so that it does not appear complete.
#[derive(Debug, Snafu)]
#[snafu(display("the stream was truncated"))]
struct Truncated;

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
            attempts.storage_regions(),
            attempts.deadline,
            &attempts.memory
        ),
        attempts.find_resumption(),
    );
    let (mut reservation, composed, resumption) = match prepared {
        (Ok(reservation), Ok(composed), Ok(resumption)) => (reservation, composed, resumption),
        (_, _, Err(refusal)) | (_, Err(refusal), _) | (Err(refusal), ..) => {
            attempts.record_client_resumption(refusal.as_str());
            return refuse(attempts, refusal);
        }
    };
    attempts.require_version(&resumption);
    attempts.body = composed.body;
    attempts.allowed_regions = attempts.allowed_regions.and(&composed.allowed_regions);
    if attempts.route.stores_turns {
        attempts.partition = Some(composed.partition);
    }
    let keeper = match attempts.open_keeper(resumption.beginning.as_ref()).await {
        Ok(keeper) => keeper,
        Err(refusal) => {
            attempts.record_client_resumption(refusal.as_str());
            return refuse(attempts, refusal);
        }
    };
    attempts.cached_prompts.extend(composed.hint);
    if let Some(reservation) = &mut reservation {
        attempts.cached_prompts.extend(reservation.take_hints());
    }
    if reservation.as_ref().is_some_and(TokenReservation::is_first) {
        attempts.phase = ProgramPhase::New;
    }
    let last_event = attempts.call.last_event;
    let opened = match attempts.open(last_event).await {
        Ok(opened) => opened,
        Err(refusal) => {
            attempts.record_client_resumption(refusal.as_str());
            return refuse(attempts, refusal);
        }
    };
    attempts.log.status = opened.head.status.as_u16();
    if opened.head.status != StatusCode::OK {
        attempts.record_client_resumption("other_response");
        return forward_unstreamed(attempts, opened).await;
    }
    attempts.record_client_resumption(RESUMED);
    attempts.release_body();
    let mut relay = EventRelay {
        attempts,
        response: Some(response_head(&opened.head)),
        opened: Some(opened),
        refusal: Refusal::Broken,
        reservation,
        partition: composed.partition,
        splitter: EventSplitter::default(),
        last_event,
        output: BytesMut::from(resumption.beginning.as_deref().unwrap_or_default()),
        keeper,
        is_first: true,
        tokens_per_event,
        last_arrival: None,
        server_events: 0,
        server_bytes: 0,
        server_new_events: 0,
        delivered_at: None,
        is_client_stalled: false,
    };
    // Until the first event, a stream that fails can be answered with an error.
    let first = match relay.next().await {
        Ok(first) => first,
        Err(Truncated) => return refuse(relay.attempts, relay.refusal),
    };
    let response = relay.response.take().unwrap_or_else(Response::ok);
    let rest = first.is_some().then_some(relay);
    let events = stream::iter(first.map(Ok)).chain(events_of(rest));
    response.set_body(BoxBody::new(BodyStream::new(Box::pin(events))))
}

/// The events of a relay until its stream ends.
fn events_of(relay: Option<EventRelay>) -> impl Stream<Item = Result<Bytes, Truncated>> {
    stream::unfold(relay, |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(truncated) => {
                // Lets preceding events reach the client, so that it need not request them again.
                tokio::task::yield_now().await;
                Some((Err(truncated), None))
            }
        }
    })
}

/// Forwards a non-streaming response, such as an error.
async fn forward_unstreamed(
    mut attempts: Attempts,
    mut opened: OpenedResponse,
) -> Response<BoxBody> {
    attempts.release_body();
    match read_up_to_limit(&mut opened, &mut attempts).await {
        Ok(read) => respond(attempts, opened, read),
        Err(UpstreamError::TimedOut) => refuse(attempts, Refusal::TimedOut),
        Err(error) => {
            opened.end_call(CallEnd::Disconnected);
            attempts.record_failure(&opened.server, &error);
            refuse(attempts, Refusal::Broken)
        }
    }
}

/// A stream that is relayed from a server to a client.
struct EventRelay {
    attempts: Attempts,
    /// The response without its body, until the first event; then the client has it.
    response: Option<Response<BoxBody>>,
    /// How the request is refused if it fails before the first event.
    refusal: Refusal,
    opened: Option<OpenedResponse>,
    reservation: Option<TokenReservation>,
    /// The partition that stores the turn.
    partition: PartitionId,
    splitter: EventSplitter,
    last_event: Option<u64>,
    /// The output of the turn, from its beginning also if the client resumed the stream.
    output: BytesMut,
    /// Keeps the output at the stores, if the client may resume the stream.
    keeper: Option<OutputKeeper>,
    is_first: bool,
    tokens_per_event: u64,
    /// When the current server last sent events, and how many it has sent.
    last_arrival: Option<Instant>,
    server_events: u32,
    /// Bytes that the current server has sent, and how many of its events were passed on.
    server_bytes: u64,
    server_new_events: u64,
    /// When data was last passed to the client's connection.
    delivered_at: Option<Instant>,
    /// Whether the server may have been blocked by the slow client.
    is_client_stalled: bool,
}

impl EventRelay {
    /// All complete events received, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        let delivery_time = self.delivered_at.map(|delivered_at| delivered_at.elapsed());
        self.is_client_stalled |= delivery_time.is_some_and(|time| time > CLIENT_STALL_TIME);
        loop {
            let ready = self.take_events();
            if !ready.is_empty() {
                self.keep_output().await?;
                self.delivered_at = Some(Instant::now());
                return Ok(Some(ready));
            }
            match self.read().await {
                BodyRead::Bytes(chunk) => self.push(&chunk)?,
                BodyRead::End(end) => match self.judge(end) {
                    Ok(()) => {
                        self.finish().await?;
                        return Ok(None);
                    }
                    Err(error) => self.resume(&error).await?,
                },
            }
        }
    }

    /// Waits until the stores keep the output that is passed on next. A client must never have an event that they
    /// lack, since it could resume the stream after it.
    async fn keep_output(&mut self) -> Result<(), Truncated> {
        let Some(keeper) = &mut self.keeper else {
            return Ok(());
        };
        let began = Instant::now();
        let limit = self.attempts.deadline.min(began + STORE_TIMEOUT);
        let is_kept = loop {
            if keeper.keep(&self.output).await.is_ok() {
                break true;
            }
            if Instant::now() + KEEP_RETRY_DELAY >= limit {
                break false;
            }
            sleep(KEEP_RETRY_DELAY).await;
        };
        let took = began.elapsed();
        let core = &self.attempts.core;
        core.metrics.output_keep_time.observe(took.as_secs_f64());
        if is_kept {
            return Ok(());
        }
        let request = self.attempts.call.request_id.as_str();
        log::warn!(event = "output_not_kept", request, bytes = self.output.len(), last_event = self.last_event, took_ms = took.as_millis() as u64; "too few stores keep the output of a turn; the stream is broken off");
        self.abort()
    }

    /// Decides whether the stream that the current server sent is complete.
    fn judge(&mut self, end: BodyEnd) -> Result<(), UpstreamError> {
        let Some(opened) = &self.opened else {
            return Err(UpstreamError::TimedOut);
        };
        let progress = BodyProgress {
            content: Content::Events,
            bytes: self.server_bytes,
            events: self.server_new_events,
            partial_event_bytes: self.splitter.partial_len(),
        };
        self.attempts.judge_end(&opened.server, end, progress)
    }

    /// Adds received bytes. Aborts the stream if an event exceeds the size limit.
    fn push(&mut self, chunk: &[u8]) -> Result<(), Truncated> {
        self.server_bytes += chunk.len() as u64;
        self.splitter.push(chunk);
        self.update_memory();
        if self.splitter.partial_len() > MAX_EVENT_BYTES {
            let error = UpstreamError::Broken {
                reason: "event exceeds the size limit".to_owned(),
            };
            if let Some(mut opened) = self.opened.take() {
                self.attempts.record_failure(&opened.server, &error);
                opened.end_call(CallEnd::Disconnected);
            }
            return self.abort();
        }
        Ok(())
    }

    fn update_memory(&self) {
        let upstream = self.opened.as_ref();
        let read = upstream.map_or(0, |opened| opened.upstream.buffered());
        let buffered = read + self.splitter.capacity() + self.output.len();
        self.attempts.memory.set(BufferKind::Response, buffered);
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
            if self.attempts.log.events == 0
                && let Some(opened) = &self.opened
            {
                self.attempts.bind_stream(opened);
                if let Some(keeper) = &mut self.keeper {
                    keeper.set_version(opened.server_version.clone());
                }
            }
            self.attempts.log.events += 1;
            self.server_new_events += 1;
            if let Some(reservation) = &mut self.reservation {
                reservation.count_event();
            }
            if self.attempts.route.stores_turns
                && let Some(data) = &event.data
            {
                self.output.extend_from_slice(data);
                self.output.extend_from_slice(b"\n");
            }
            if let (Some(keeper), Some(id)) = (&mut self.keeper, event.id) {
                keeper.mark(id, self.output.len());
            }
            ready.extend_from_slice(&event.bytes);
        }
        self.record_arrived(arrived);
        self.attempts.log.bytes += ready.len() as u64;
        ready.freeze()
    }

    /// Records the latency of events.
    fn record_arrived(&mut self, events: u32) {
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
                self.attempts.record_first_chunk(opened);
            }
            Some(before) => {
                let each = now.duration_since(before) / events;
                let core = &self.attempts.core;
                core.report(&opened.server, CallReport::Latency(each));
            }
        }
        self.server_events += events;
    }

    fn is_new(&self, event: &Event) -> bool {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }

    async fn read(&mut self) -> BodyRead {
        let Some(opened) = &mut self.opened else {
            return BodyRead::End(BodyEnd {
                framing: Framing::Empty,
                ending: Ending::Silent,
                detail: "no server".to_owned(),
            });
        };
        let mut limit = self.attempts.deadline;
        if self.attempts.route.resumable && !self.is_first {
            limit = limit.min(Instant::now() + MAX_SILENCE);
        }
        let began = Instant::now();
        let read = timeout_at(limit, opened.upstream.read_body()).await;
        if began.elapsed() > CAUGHT_UP_READ_TIME {
            self.is_client_stalled = false;
        }
        let read = read.unwrap_or_else(|_| BodyRead::End(opened.upstream.end(Ending::Silent, "")));
        self.is_first &= !matches!(read, BodyRead::Bytes(_));
        read
    }

    /// Resumes the stream at another server after the last forwarded event.
    async fn resume(&mut self, error: &UpstreamError) -> Result<(), Truncated> {
        self.splitter = EventSplitter::default();
        if let Some(mut opened) = self.opened.take() {
            if self.is_server_fault() {
                self.attempts.record_failure(&opened.server, error);
                opened.end_call(CallEnd::Disconnected);
            } else {
                self.attempts.record_truncated(&opened.server, error);
                opened.end_call(CallEnd::Abandoned);
            }
        }
        if !self.attempts.may_retry() {
            if matches!(error, UpstreamError::TimedOut) {
                self.refusal = Refusal::TimedOut;
            }
            return self.abort();
        }
        self.attempts.log.resumed += 1;
        match self.attempts.open(self.last_event).await {
            Ok(opened) if opened.head.status == StatusCode::OK => {
                self.attempts.record_resumed(&opened);
                if let Some(response) = &mut self.response {
                    *response = response_head(&opened.head);
                }
                self.opened = Some(opened);
                self.last_arrival = None;
                self.server_events = 0;
                self.server_bytes = 0;
                self.server_new_events = 0;
                self.is_client_stalled = false;
                Ok(())
            }
            Ok(mut opened) => {
                let report = CallReport::of_answer(opened.head.status);
                self.attempts.core.report(&opened.server, report);
                opened.end_call(opened.end_of_unstreamed());
                self.abort()
            }
            Err(refusal) => {
                self.refusal = refusal;
                self.attempts.record_not_resumed();
                self.abort()
            }
        }
    }

    /// Whether a failure, including a silent stream, counts against the server: not if the deadline
    /// has passed, or if the server may have aborted because the client did not read.
    fn is_server_fault(&self) -> bool {
        !self.is_client_stalled && self.attempts.time_left() >= MIN_ATTEMPT_TIME
    }

    fn abort(&mut self) -> Result<(), Truncated> {
        self.attempts.log.outcome = "broken_off";
        Err(Truncated)
    }

    /// Stores the turn if the route stores turns, and releases the connection.
    async fn finish(&mut self) -> Result<(), Truncated> {
        let mut cached = None;
        if let Some(mut opened) = self.opened.take() {
            let generated = u64::from(self.server_events) * self.tokens_per_event;
            let generated = u32::try_from(generated).unwrap_or(u32::MAX);
            let prompt = self.attempts.record_finished(&mut opened, generated);
            // A stored turn carries the same hint.
            let is_kept = self.attempts.route.stores_turns;
            if let Some(reservation) = self.reservation.as_mut().filter(|_| !is_kept) {
                reservation.set_cached(prompt.clone());
            }
            cached = Some(prompt);
            opened.upstream.release();
        }
        if self.attempts.route.stores_turns {
            let output = self.output.split().freeze();
            let turn = build_turn(
                &self.attempts.call,
                self.attempts.caller.tenant_name(),
                &self.attempts.allowed_regions,
                output,
                cached,
            );
            let keep_ms = keep_ms(&self.attempts.route);
            let deadline = Instant::now() + STORE_TIMEOUT;
            let stored = self
                .attempts
                .core
                .records
                .keep(self.partition, turn, keep_ms, deadline)
                .await;
            if stored.is_err() {
                self.attempts.log.outcome = "turn_not_kept";
                return Err(Truncated);
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
