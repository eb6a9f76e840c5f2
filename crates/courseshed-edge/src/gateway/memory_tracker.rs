//! Tracks the memory of client connections and disconnects the clients that the memory budget
//! selects.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header;
use actix_http::{HttpMessage, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time::{sleep, timeout};

use super::memory_budget::{BufferKind, ConnectionId, Disconnect, MemoryBudget, MemoryLimits};
use super::refusal::Refusal;
use crate::clock::Clock;
use crate::http::BodyError;
use crate::metrics::{DisconnectLabels, Metrics};
use crate::watched::Connection;

/// How often connections are polled; short compared with the stall limits.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of buffer capacity relative to content: the HTTP library doubles buffers as they
/// grow.
const BUFFER_OVERHEAD_FACTOR: usize = 2;
/// Initial capacity of a request body buffer, in bytes; it grows with the received data.
const INITIAL_BODY_CAPACITY: usize = 16 * 1024;

/// The memory budget of a gateway and the connections charged to it.
pub(super) struct MemoryTracker {
    memory: RefCell<MemoryBudget>,
    connections: RefCell<HashMap<*const Connection, TrackedConnection>>,
    stall_limit: Duration,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// A connection charged to the budget.
struct TrackedConnection {
    id: ConnectionId,
    connection: Rc<Connection>,
    /// ID of the latest request on the connection.
    request: String,
}

impl MemoryTracker {
    pub(super) fn new(terms: MemoryLimits, metrics: Arc<Metrics>) -> Rc<Self> {
        let limit = i64::try_from(terms.total_bytes).unwrap_or(i64::MAX);
        metrics.held_limit.set(limit);
        Rc::new(Self {
            memory: RefCell::new(MemoryBudget::new(terms)),
            connections: RefCell::default(),
            stall_limit: terms.stall_limit,
            clock: Clock::start(),
            metrics,
        })
    }

    /// Starts tracking a request on a connection.
    pub(super) fn begin(
        self: &Rc<Self>,
        connection: Rc<Connection>,
        request: &str,
    ) -> RequestMemory {
        let mut connections = self.connections.borrow_mut();
        let tracked = connections
            .entry(Rc::as_ptr(&connection))
            .or_insert_with(|| TrackedConnection {
                id: self.memory.borrow_mut().begin(),
                connection: connection.clone(),
                request: String::new(),
            });
        request.clone_into(&mut tracked.request);
        RequestMemory {
            tracker: self.clone(),
            id: tracked.id,
            connection,
        }
    }

    /// Updates the unsent bytes of every connection and disconnects the clients that the budget
    /// selects.
    fn poll(&self) {
        let now = self.clock.now();
        let mut memory = self.memory.borrow_mut();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, tracked| {
            let connection = &tracked.connection;
            if connection.is_closed() {
                memory.end(tracked.id);
                return false;
            }
            let blocked_for = connection.blocked_for();
            let since = blocked_for.map(|time| now.saturating_sub(time));
            memory.set_unsent(
                tracked.id,
                BUFFER_OVERHEAD_FACTOR * connection.unwritten(),
                since,
            );
            true
        });
        let disconnects = memory.select_disconnects(now);
        self.metrics.set_held(memory.total());
        for disconnect in disconnects {
            let tracked = connections
                .values()
                .find(|tracked| tracked.id == disconnect.id);
            if let Some(tracked) = tracked {
                self.disconnect(tracked, &disconnect);
            }
        }
    }

    fn disconnect(&self, tracked: &TrackedConnection, disconnect: &Disconnect) {
        let reason = disconnect.reason.as_str();
        self.metrics
            .callers_cut_off
            .get_or_create(&DisconnectLabels { reason })
            .inc();
        log::info!(event = "caller_cut_off", request = tracked.request.as_str(), reason, held_bytes = disconnect.held_bytes, unread_ms = disconnect.stalled_for.as_millis() as u64; "disconnected a client that does not read its response");
        tracked.connection.cut();
    }
}

/// Polls the connections until the process exits.
pub(super) async fn monitor_connections(tracker: Rc<MemoryTracker>) {
    loop {
        sleep(POLL_INTERVAL).await;
        tracker.poll();
    }
}

/// Memory held for one request; released on drop.
pub(super) struct RequestMemory {
    tracker: Rc<MemoryTracker>,
    id: ConnectionId,
    connection: Rc<Connection>,
}

impl RequestMemory {
    /// Sets the number of bytes held in buffers of a kind.
    pub(super) fn set(&self, kind: BufferKind, bytes: usize) {
        let mut memory = self.tracker.memory.borrow_mut();
        memory.set(self.id, kind, bytes);
        self.tracker.metrics.set_held(memory.total());
    }

    /// Whether responses may be read ahead of the client.
    pub(super) fn has_room(&self) -> bool {
        self.tracker.memory.borrow().has_room()
    }

    /// Whether the client has closed the connection.
    pub(super) fn is_client_gone(&self) -> bool {
        self.connection.is_closed_by_client()
    }

    /// Checks that the budget admits more bytes of request bodies.
    ///
    /// # Errors
    /// [`Refusal::NoMemory`], which is also counted in the metrics.
    pub(super) fn check_budget(&self, bytes: usize) -> Result<(), Refusal> {
        if self.tracker.memory.borrow().admits(bytes) {
            return Ok(());
        }
        self.tracker.metrics.held_refusals.inc();
        Err(Refusal::NoMemory)
    }

    /// Reads a request body, or rejects it unread if its content length exceeds the limit or the
    /// budget.
    pub(super) async fn read_body(
        &self,
        request: &mut Request,
        limit: usize,
    ) -> Result<Bytes, Refusal> {
        let declared = content_length(request).unwrap_or(0);
        if declared > limit {
            return Err(BodyError::TooLarge.into());
        }
        self.check_budget(declared)?;
        let mut payload = request.take_payload();
        let mut body = BytesMut::with_capacity(declared.min(INITIAL_BODY_CAPACITY));
        // A client that sends nothing for the stall limit is considered gone.
        while let Some(chunk) = timeout(self.tracker.stall_limit, payload.next())
            .await
            .map_err(|_| BodyError::Unreadable)?
        {
            let chunk = chunk.map_err(|_| BodyError::Unreadable)?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge.into());
            }
            self.check_budget(chunk.len())?;
            body.extend_from_slice(&chunk);
            self.set(BufferKind::Request, body.capacity());
        }
        Ok(body.freeze())
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.set(BufferKind::Request, 0);
        self.set(BufferKind::Response, 0);
    }
}

fn content_length(request: &Request) -> Option<usize> {
    let length = request.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
