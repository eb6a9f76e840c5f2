//! Tracks the connections and the memory of a listener's clients, reads their request bodies, and
//! disconnects the clients that the budget selects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Payload, Request};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::client_memory::{
    BufferKind, ConnectionId, Disconnect, DisconnectReason, MemoryBudget, MemoryLimits,
};
use crate::clock::Clock;
use crate::http::{connection_of, content_length};
use crate::metrics::{DisconnectLabels, ListenerGauges, ListenerReasonLabels, Metrics};
use crate::watched::Connection;

/// How often connections are polled; short compared with the stall limits.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The same while the total is exceeded.
const EXCEEDED_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Upper bound of buffer capacity relative to content: the HTTP library doubles buffers as they
/// grow.
const BUFFER_OVERHEAD_FACTOR: usize = 2;
/// Initial capacity of a request body buffer, in bytes; it grows with the received data.
const INITIAL_BODY_CAPACITY: usize = 16 * 1024;
/// Time for disconnected clients to release their memory, and how often it is waited for.
const RELEASE_TIME: Duration = Duration::from_millis(5);
const MAX_RELEASE_WAITS: usize = 4;
/// How long a search for memory that found none holds for other requests.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes of an unwanted body that are read, and for how long, so that its connection can be used again.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;
const SKIP_TIME: Duration = Duration::from_millis(10);

/// How often a full listener closes connections to make places. A new connection keeps its place for many
/// times this, so that its request can arrive.
const PLACE_INTERVAL: Duration = Duration::from_millis(16);
/// How often a new connection waits for a place before it is refused: a second.
const MAX_PLACE_WAITS: usize = 64;
/// The listener whose memory the gauges of slow clients describe.
pub const CALLERS: &str = "callers";
/// Longer than any body takes that progresses.
const NO_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Why a request body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It exceeds the size limit.
    TooLarge,
    /// It is malformed, or its client has left.
    Unreadable,
    /// It did not arrive in time.
    Late,
    /// The memory budget is exhausted.
    NoMemory,
}

impl BodyRefusal {
    fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Unreadable => "unreadable",
            Self::Late => "late",
            Self::NoMemory => "no_memory",
        }
    }
}

/// The connections of a listener and their memory budget.
pub struct ClientTracker {
    listener: &'static str,
    memory: RefCell<MemoryBudget>,
    connections: RefCell<HashMap<ConnectionId, TrackedConnection>>,
    stall_limit: Duration,
    /// Until when no memory can be freed for a body.
    searched_until: Cell<Duration>,
    /// Notified when the total is exceeded.
    exceeded: Notify,
    clock: Clock,
    gauges: ListenerGauges,
    metrics: Arc<Metrics>,
}

/// A connection charged to the budget.
struct TrackedConnection {
    connection: Rc<Connection>,
    /// ID of the latest request on the connection.
    request: String,
}

impl ClientTracker {
    /// Tracks the clients of a listener, which has this name in metrics and logs.
    #[must_use]
    pub fn new(listener: &'static str, limits: MemoryLimits, metrics: Arc<Metrics>) -> Rc<Self> {
        let to_gauge = |limit| i64::try_from(limit).unwrap_or(i64::MAX);
        let gauges = metrics.listeners.of(listener);
        gauges
            .connections_limit
            .set(to_gauge(limits.max_connections));
        gauges.held_limit.set(to_gauge(limits.total_bytes));
        if listener == CALLERS {
            metrics.held_limit.set(to_gauge(limits.total_bytes));
        }
        Rc::new(Self {
            listener,
            memory: RefCell::new(MemoryBudget::new(limits)),
            connections: RefCell::default(),
            stall_limit: limits.stall_limit,
            searched_until: Cell::default(),
            exceeded: Notify::new(),
            clock: Clock::start(),
            gauges,
            metrics,
        })
    }

    /// Adds a connection that was accepted, in place of others if the listener is full. Returns whether
    /// there is a place for it.
    pub(crate) async fn accept(&self, connection: &Rc<Connection>) -> bool {
        if !self.memory.borrow().admits_connection() && !self.find_place().await {
            self.gauges.refused.inc();
            log::info!(event = "connection_refused", listener = self.listener, open = self.connections.borrow().len(), held_bytes = self.memory.borrow().total(); "closed a new connection: the listener is full");
            return false;
        }
        let id = self.memory.borrow_mut().begin(self.clock.now());
        connection.set_id(id);
        let tracked = TrackedConnection {
            connection: connection.clone(),
            request: String::new(),
        };
        self.connections.borrow_mut().insert(id, tracked);
        true
    }

    /// Closes connections that can be done without, and waits until one has closed. Clients that connect
    /// meanwhile wait their turn. Returns whether there is a place.
    async fn find_place(&self) -> bool {
        self.refresh();
        if self.memory.borrow().admits_connection() {
            return true;
        }
        for _ in 0..MAX_PLACE_WAITS {
            if !self.memory.borrow().is_freeing() {
                self.make_place();
            }
            sleep(PLACE_INTERVAL).await;
            self.refresh();
            if self.memory.borrow().admits_connection() {
                return true;
            }
        }
        false
    }

    /// Closes connections that can be done without.
    pub(crate) fn make_place(&self) {
        let now = self.clock.now();
        let disconnects = self.memory.borrow_mut().make_place(now);
        self.disconnect_all(&disconnects);
    }

    /// Starts tracking a request on a connection.
    pub(crate) fn begin(
        self: &Rc<Self>,
        connection: Rc<Connection>,
        request: &str,
    ) -> RequestMemory {
        let id = connection.id();
        if let Some(tracked) = self.connections.borrow_mut().get_mut(&id) {
            request.clone_into(&mut tracked.request);
        }
        RequestMemory {
            tracker: self.clone(),
            id,
            connection,
        }
    }

    /// Reads the body of a request that has no deadline, or rejects it as [`RequestMemory::read_body`] does.
    ///
    /// # Errors
    /// [`BodyRefusal`].
    pub async fn receive(
        self: &Rc<Self>,
        request: &mut Request,
        limit: usize,
    ) -> Result<ReceivedBody, BodyRefusal> {
        let memory = self.begin(connection_of(request), "");
        let deadline = Instant::now() + NO_DEADLINE;
        let bytes = memory.read_body(request, limit, deadline).await?;
        Ok(ReceivedBody {
            bytes,
            _memory: memory,
        })
    }

    /// Takes the state of every connection into the budget, and removes closed ones.
    fn refresh(&self) {
        let now = self.clock.now();
        let mut memory = self.memory.borrow_mut();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|id, tracked| {
            let connection = &tracked.connection;
            if connection.is_closed() {
                memory.end(*id);
                if connection.has_endless_head() {
                    self.count_closed("head_too_large");
                    log::info!(event = "endless_head", listener = self.listener; "closed a connection whose request head is too large");
                }
                return false;
            }
            let ago = |time| now.saturating_sub(time);
            let unsent = BUFFER_OVERHEAD_FACTOR * connection.unwritten();
            memory.set_unsent(*id, unsent, connection.blocked_for().map(ago));
            let (phase, since) = connection.phase();
            memory.set_phase(*id, phase, ago(since.elapsed()));
            true
        });
    }

    /// Updates the budget and disconnects the clients that it selects. `head_limit` is how long a request
    /// head may take.
    fn poll(&self, head_limit: Duration) {
        self.refresh();
        let disconnects = {
            let mut memory = self.memory.borrow_mut();
            let disconnects = memory.select_disconnects(self.clock.now(), head_limit);
            self.gauges.connections.set(memory.connections() as i64);
            self.record_held(&memory);
            disconnects
        };
        self.disconnect_all(&disconnects);
    }

    fn record_held(&self, memory: &MemoryBudget) {
        if !memory.has_room() {
            self.exceeded.notify_one();
        }
        let held = memory.total();
        self.gauges.held_bytes.set(held as i64);
        if self.listener == CALLERS {
            self.metrics.set_held(held);
        }
    }

    fn count_closed(&self, reason: &'static str) {
        let listener = self.listener;
        let labels = ListenerReasonLabels { listener, reason };
        self.metrics.listeners.closed.get_or_create(&labels).inc();
    }

    fn disconnect_all(&self, disconnects: &[Disconnect]) {
        let connections = self.connections.borrow();
        for disconnect in disconnects {
            if let Some(tracked) = connections.get(&disconnect.id) {
                self.disconnect(tracked, disconnect);
            }
        }
    }

    fn disconnect(&self, tracked: &TrackedConnection, disconnect: &Disconnect) {
        let reason = disconnect.reason.as_str();
        let listener = self.listener;
        let request = tracked.request.as_str();
        let held_bytes = disconnect.held_bytes;
        let stalled_ms = disconnect.stalled_for.as_millis() as u64;
        self.count_closed(reason);
        match disconnect.reason {
            DisconnectReason::Memory | DisconnectReason::Stall => {
                let labels = DisconnectLabels { reason };
                self.metrics.callers_cut_off.get_or_create(&labels).inc();
                log::info!(event = "caller_cut_off", listener, request, reason, held_bytes, unread_ms = stalled_ms; "disconnected a client that does not read its response");
                tracked.connection.cut();
            }
            DisconnectReason::Idle => {
                log::info!(event = "idle_closed", listener, held_bytes, idle_ms = stalled_ms, open = self.connections.borrow().len(); "closed an idle connection to make room");
                tracked.connection.end();
            }
            DisconnectReason::Body => {
                log::info!(event = "body_given_up", listener, request, held_bytes, stalled_ms; "gave up a request body that does not progress to make room");
                tracked.connection.give_body_up();
            }
            DisconnectReason::Head | DisconnectReason::UnreadBody => {
                log::info!(event = "overdue_closed", listener, request, reason, stalled_ms; "disconnected a client whose request does not end");
                tracked.connection.cut();
            }
        }
    }

    fn try_reserve(&self, id: ConnectionId, bytes: usize) -> bool {
        let mut memory = self.memory.borrow_mut();
        let fits = memory.reserve(id, bytes);
        self.record_held(&memory);
        fits
    }

    /// Makes room for a request body by disconnecting others. Returns whether memory is being freed.
    fn make_room(&self, id: ConnectionId, bytes: usize) -> bool {
        let now = self.clock.now();
        if now < self.searched_until.get() {
            return self.memory.borrow().is_freeing();
        }
        self.refresh();
        let disconnects = self.memory.borrow_mut().make_room(id, bytes, now);
        self.disconnect_all(&disconnects);
        if !disconnects.is_empty() {
            return true;
        }
        self.searched_until.set(now + SEARCH_INTERVAL);
        self.memory.borrow().is_freeing()
    }
}

/// A request body with the memory that it holds, which is released on drop.
pub struct ReceivedBody {
    /// The body.
    pub bytes: Bytes,
    _memory: RequestMemory,
}

/// Polls the connections of a listener until the process exits. `head_limit` is evaluated each time.
pub(crate) async fn monitor_connections(
    tracker: Rc<ClientTracker>,
    head_limit: impl Fn() -> Duration,
) {
    loop {
        tokio::select! {
            () = sleep(POLL_INTERVAL) => {}
            () = tracker.exceeded.notified() => sleep(EXCEEDED_POLL_INTERVAL).await,
        }
        tracker.poll(head_limit());
    }
}

/// Memory held for one request; released on drop.
pub(crate) struct RequestMemory {
    tracker: Rc<ClientTracker>,
    id: ConnectionId,
    connection: Rc<Connection>,
}

impl RequestMemory {
    /// Sets the number of bytes held in buffers of a kind.
    pub(crate) fn set(&self, kind: BufferKind, bytes: usize) {
        let mut memory = self.tracker.memory.borrow_mut();
        memory.set(self.id, kind, bytes);
        self.tracker.record_held(&memory);
    }

    /// Whether responses may be read ahead of the client.
    pub(crate) fn has_room(&self) -> bool {
        self.tracker.memory.borrow().has_room()
    }

    /// Whether the client has closed the connection.
    pub(crate) fn is_client_gone(&self) -> bool {
        self.connection.is_closed_by_client()
    }

    /// Reserves memory for a body of a size, in place of what was reserved for it before. Disconnects
    /// clients that hold memory without progress if that is needed.
    ///
    /// # Errors
    /// [`BodyRefusal::NoMemory`], which is also counted in the metrics.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<(), BodyRefusal> {
        for _ in 0..MAX_RELEASE_WAITS {
            if self.tracker.try_reserve(self.id, bytes) {
                return Ok(());
            }
            if !self.tracker.make_room(self.id, bytes) {
                break;
            }
            sleep(RELEASE_TIME).await;
        }
        if self.tracker.try_reserve(self.id, bytes) {
            return Ok(());
        }
        self.tracker.metrics.held_refusals.inc();
        let held_bytes = self.tracker.memory.borrow().total();
        log::info!(event = "no_memory", listener = self.tracker.listener, needed_bytes = bytes, held_bytes; "there is no memory for a request body");
        Err(BodyRefusal::NoMemory)
    }

    /// Reads a request body that must have arrived at `deadline`, or rejects it unread if its content
    /// length exceeds the limit or the budget. What it holds was reserved before.
    ///
    /// # Errors
    /// [`BodyRefusal`], which is also counted in the metrics.
    pub(crate) async fn read_body(
        &self,
        request: &mut Request,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, BodyRefusal> {
        if matches!(request.payload(), Payload::None) {
            return Ok(Bytes::new());
        }
        let length = content_length(request);
        let read = self.read_within(request, length, limit, deadline).await;
        self.tracker.memory.borrow_mut().end_body(self.id);
        if let Err(refusal) = read {
            self.set(BufferKind::Request, 0);
            self.record_refusal(refusal, length, deadline);
        }
        read
    }

    fn record_refusal(&self, refusal: BodyRefusal, length: Option<usize>, deadline: Instant) {
        let listener = self.tracker.listener;
        let reason = refusal.as_str();
        let labels = ListenerReasonLabels { listener, reason };
        let listeners = &self.tracker.metrics.listeners;
        listeners.body_refusals.get_or_create(&labels).inc();
        let left = deadline.saturating_duration_since(Instant::now());
        log::info!(event = "body_refused", listener, reason, length:? = length, left_ms = left.as_millis() as u64; "a request body was not read whole");
    }

    async fn read_within(
        &self,
        request: &mut Request,
        length: Option<usize>,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, BodyRefusal> {
        let limit = match length {
            Some(length) if length > limit => return Err(BodyRefusal::TooLarge),
            Some(length) => {
                self.reserve(length).await?;
                length
            }
            None => limit,
        };
        let mut payload = request.take_payload();
        let mut body = Vec::new();
        self.record_received(0);
        loop {
            // A client that sends nothing for the stall limit is considered gone.
            let chunk_deadline = deadline.min(Instant::now() + self.tracker.stall_limit);
            let next = async {
                tokio::select! {
                    biased;
                    next = payload.next() => Ok(next),
                    () = self.connection.body_given_up() => Err(BodyRefusal::NoMemory),
                }
            };
            let next = timeout_at(chunk_deadline, next).await;
            let Some(chunk) = next.map_err(|_| BodyRefusal::Late)?? else {
                return Ok(body.into());
            };
            let chunk = chunk.map_err(|_| BodyRefusal::Unreadable)?;
            let needed = body.len() + chunk.len();
            if needed > limit {
                return Err(BodyRefusal::TooLarge);
            }
            if needed > body.capacity() {
                let capacity = grown_capacity(body.capacity(), needed, limit);
                if length.is_none() {
                    self.reserve(capacity).await?;
                }
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
            self.record_received(body.len());
        }
    }

    fn record_received(&self, bytes: usize) {
        let now = self.tracker.clock.now();
        let mut memory = self.tracker.memory.borrow_mut();
        memory.set_received(self.id, bytes, now);
    }

    /// Reads the body of a request that is refused, if it has arrived already, so that the connection can
    /// be used again.
    pub(crate) async fn skip_body(&self, request: &mut Request) {
        let mut payload = request.take_payload();
        let skip = async {
            let mut skipped = 0;
            while let Some(Ok(chunk)) = payload.next().await {
                skipped += chunk.len();
                if skipped > MAX_SKIPPED_BYTES {
                    return;
                }
            }
        };
        // The rest of a body that is still arriving is discarded by the connection.
        let _is_skipped = timeout(SKIP_TIME, skip).await;
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.set(BufferKind::Request, 0);
        self.set(BufferKind::Response, 0);
    }
}

/// The next capacity of a buffer that needs room for `needed` bytes, and never for more than `limit`.
fn grown_capacity(capacity: usize, needed: usize, limit: usize) -> usize {
    let doubled = (2 * capacity).max(INITIAL_BODY_CAPACITY).max(needed);
    doubled.min(limit.max(needed))
}
