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

use super::held_memory::{CutOff, HeldId, HeldKind, HeldMemory, HeldTerms};
use super::refusal::Refusal;
use crate::clock::Clock;
use crate::http::BodyError;
use crate::metrics::{CutLabels, Metrics};
use crate::watched::Connection;

/// How often connections are polled; short compared with the stall limits.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of buffer capacity relative to content: the HTTP library doubles buffers as they
/// grow.
const BUFFER_GROWTH: usize = 2;
/// Initial capacity of a request body buffer, in bytes; it grows with the received data.
const FIRST_BODY_BYTES: usize = 16 * 1024;

/// The memory budget of a gateway and the connections charged to it.
pub(super) struct Ledger {
    memory: RefCell<HeldMemory>,
    watched: RefCell<HashMap<*const Connection, Watch>>,
    read_stall: Duration,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// A connection charged to the budget.
struct Watch {
    id: HeldId,
    connection: Rc<Connection>,
    /// ID of the latest request on the connection.
    request: String,
}

impl Ledger {
    pub(super) fn new(terms: HeldTerms, metrics: Arc<Metrics>) -> Rc<Self> {
        let limit = i64::try_from(terms.total_bytes).unwrap_or(i64::MAX);
        metrics.held_limit.set(limit);
        Rc::new(Self {
            memory: RefCell::new(HeldMemory::new(terms)),
            watched: RefCell::default(),
            read_stall: terms.read_stall,
            clock: Clock::start(),
            metrics,
        })
    }

    /// Starts tracking a request on a connection.
    pub(super) fn begin(self: &Rc<Self>, connection: Rc<Connection>, request: &str) -> Holding {
        let mut watched = self.watched.borrow_mut();
        let watch = watched
            .entry(Rc::as_ptr(&connection))
            .or_insert_with(|| Watch {
                id: self.memory.borrow_mut().begin(),
                connection,
                request: String::new(),
            });
        request.clone_into(&mut watch.request);
        Holding {
            ledger: self.clone(),
            id: watch.id,
        }
    }

    /// Updates the unsent bytes of every connection and disconnects the clients that the budget
    /// selects.
    fn look(&self) {
        let now = self.clock.now();
        let mut memory = self.memory.borrow_mut();
        let mut watched = self.watched.borrow_mut();
        watched.retain(|_, watch| {
            let connection = &watch.connection;
            if connection.is_closed() {
                memory.end(watch.id);
                return false;
            }
            let blocked_for = connection.blocked_for();
            let since = blocked_for.map(|time| now.saturating_sub(time));
            memory.note_unread(watch.id, BUFFER_GROWTH * connection.unwritten(), since);
            true
        });
        let cut_offs = memory.cut_offs(now);
        self.metrics.set_held(memory.total());
        for cut in cut_offs {
            let watch = watched.values().find(|watch| watch.id == cut.id);
            if let Some(watch) = watch {
                self.cut(watch, &cut);
            }
        }
    }

    fn cut(&self, watch: &Watch, cut: &CutOff) {
        let reason = cut.reason.as_str();
        self.metrics
            .callers_cut_off
            .get_or_create(&CutLabels { reason })
            .inc();
        log::info!(event = "caller_cut_off", request = watch.request.as_str(), reason, held_bytes = cut.held_bytes, unread_ms = cut.unread_for.as_millis() as u64; "disconnected a client that does not read its response");
        watch.connection.cut();
    }
}

/// Polls the connections until the process exits.
pub(super) async fn watch_callers(ledger: Rc<Ledger>) {
    loop {
        sleep(LOOK_INTERVAL).await;
        ledger.look();
    }
}

/// Memory held for one request; released on drop.
pub(super) struct Holding {
    ledger: Rc<Ledger>,
    id: HeldId,
}

impl Holding {
    /// Sets the number of bytes held in buffers of a kind.
    pub(super) fn set(&self, kind: HeldKind, bytes: usize) {
        let mut memory = self.ledger.memory.borrow_mut();
        memory.set(self.id, kind, bytes);
        self.ledger.metrics.set_held(memory.total());
    }

    /// Whether responses may be read ahead of the client.
    pub(super) fn has_room(&self) -> bool {
        self.ledger.memory.borrow().has_room()
    }

    /// Checks that the budget admits more bytes of request bodies.
    ///
    /// # Errors
    /// [`Refusal::NoMemory`], which is also counted in the metrics.
    pub(super) fn check_room(&self, bytes: usize) -> Result<(), Refusal> {
        if self.ledger.memory.borrow().admits(bytes) {
            return Ok(());
        }
        self.ledger.metrics.held_refusals.inc();
        Err(Refusal::NoMemory)
    }

    /// Reads a request body, or rejects it unread if its content length exceeds the limit or the
    /// budget.
    pub(super) async fn read_body(
        &self,
        request: &mut Request,
        limit: usize,
    ) -> Result<Bytes, Refusal> {
        let announced = announced_length(request).unwrap_or(0);
        if announced > limit {
            return Err(BodyError::TooLarge.into());
        }
        self.check_room(announced)?;
        let mut payload = request.take_payload();
        let mut body = BytesMut::with_capacity(announced.min(FIRST_BODY_BYTES));
        // A client that sends nothing for the stall limit is considered gone.
        while let Some(chunk) = timeout(self.ledger.read_stall, payload.next())
            .await
            .map_err(|_| BodyError::Unreadable)?
        {
            let chunk = chunk.map_err(|_| BodyError::Unreadable)?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge.into());
            }
            self.check_room(chunk.len())?;
            body.extend_from_slice(&chunk);
            self.set(HeldKind::Request, body.capacity());
        }
        Ok(body.freeze())
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.set(HeldKind::Request, 0);
        self.set(HeldKind::Answer, 0);
    }
}

fn announced_length(request: &Request) -> Option<usize> {
    let length = request.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
