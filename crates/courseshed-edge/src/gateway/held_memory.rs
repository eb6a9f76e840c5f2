//! Memory budget of a gateway for slow clients and servers, and the choice of clients to disconnect
//! when it is exhausted. No I/O.
//!
//! Invariants: new request bodies are refused while active streams still have memory; a client is
//! disconnected only if it accepts no data: for the stall limit, for a shorter time under memory
//! pressure, or at once when the total is exceeded. To free memory, clients with the largest
//! product of bytes and stall time go first, and no more of them than necessary.

use std::collections::BTreeMap;
use std::time::Duration;

/// Memory of an idle gateway, in bytes: code, tables, peer connections and allocator overhead.
const BASE_BYTES: u64 = 24_000_000;
/// Minimum memory budget for clients, in bytes, regardless of machine size.
const LEAST_BYTES: u64 = 16 * 1024 * 1024;
/// Memory of a connection with a stream that its client keeps up with, in bytes, excluding data
/// read from the server: library buffers and tasks. See `docs/design/slow-readers.md`.
const CONNECTION_BYTES: usize = 36 * 1024;
/// How long a client may accept no data before it is disconnected. Exceeds the pauses of live
/// clients, which themselves give up after a few seconds.
const READ_STALL: Duration = Duration::from_secs(10);

/// Fraction of the admission limit above which memory is under pressure. The rest is for bodies
/// that arrive between two polls of the connections.
const PRESSED_PART: usize = 7;
const PRESSED_OF: usize = 8;
/// Stall limit under memory pressure; longer than impatient clients wait before they disconnect.
const PRESSED_STALL: Duration = Duration::from_secs(3);

/// Memory limits of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldTerms {
    /// Total bytes held for all clients; above it, clients are disconnected.
    pub total_bytes: usize,
    /// Fixed bytes charged for each connection.
    pub connection_bytes: usize,
    /// Bytes held above which no new request body is admitted. Lower than the total, to leave
    /// memory for active responses.
    pub admission_bytes: usize,
    /// How long a client may accept no data before it is disconnected.
    pub read_stall: Duration,
    /// The same limit under memory pressure.
    pub pressed_stall: Duration,
}

impl HeldTerms {
    /// Limits for a process with the given memory. Of the memory above the base, an eighth is
    /// reserved for allocator overhead and growth between two polls of the connections, and another
    /// eighth is not available to new bodies.
    #[must_use]
    pub fn of_machine(memory_bytes: u64) -> Self {
        let total = (memory_bytes.saturating_sub(BASE_BYTES) / 8 * 7).max(LEAST_BYTES);
        let total_bytes = usize::try_from(total).unwrap_or(usize::MAX);
        Self {
            total_bytes,
            connection_bytes: CONNECTION_BYTES,
            admission_bytes: total_bytes / 8 * 7,
            read_stall: READ_STALL,
            pressed_stall: PRESSED_STALL,
        }
    }
}

/// The kind of data in a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldKind {
    /// A request body, until no attempt can need it any more.
    Request,
    /// Response data read from the server and not yet passed to the client's connection.
    Answer,
    /// Response data passed to the client's connection that its socket has not accepted.
    Unread,
}

const KINDS: usize = 3;

/// ID of a client connection in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldId(u64);

/// Why a client is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// The budget is exhausted or under pressure.
    Memory,
    /// The client accepted no data for the stall limit.
    Stall,
}

impl CutReason {
    /// The name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Stall => "stall",
        }
    }
}

/// A client to disconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// The connection.
    pub id: HeldId,
    /// Why it is disconnected.
    pub reason: CutReason,
    /// Bytes held for it.
    pub held_bytes: usize,
    /// How long it has accepted no data.
    pub unread_for: Duration,
}

#[derive(Debug, Default)]
struct Held {
    bytes: [usize; KINDS],
    unread_since: Option<Duration>,
    is_cut: bool,
}

impl Held {
    fn total(&self) -> usize {
        self.bytes.iter().sum()
    }

    fn unread_for(&self, now: Duration) -> Option<Duration> {
        let since = self.unread_since.filter(|_| !self.is_cut)?;
        Some(now.saturating_sub(since))
    }
}

/// The bytes held for each client connection. Times are those of the process's monotonic clock.
#[derive(Debug)]
pub struct HeldMemory {
    terms: HeldTerms,
    callers: BTreeMap<HeldId, Held>,
    next: u64,
    total: usize,
}

impl HeldMemory {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(terms: HeldTerms) -> Self {
        Self {
            terms,
            callers: BTreeMap::new(),
            next: 0,
            total: 0,
        }
    }

    /// Adds a client connection.
    pub fn begin(&mut self) -> HeldId {
        let id = HeldId(self.next);
        self.next += 1;
        self.callers.insert(id, Held::default());
        self.total += self.terms.connection_bytes;
        id
    }

    /// Removes a connection and releases its bytes.
    pub fn end(&mut self, id: HeldId) {
        if let Some(held) = self.callers.remove(&id) {
            self.total -= held.total() + self.terms.connection_bytes;
        }
    }

    /// Bytes held for all connections.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Whether the budget admits that many more bytes of request bodies.
    #[must_use]
    pub fn admits(&self, bytes: usize) -> bool {
        self.total.saturating_add(bytes) <= self.terms.admission_bytes
    }

    /// Whether responses may be read ahead of the client.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.total < self.terms.total_bytes
    }

    /// Sets the number of bytes that a connection holds in buffers of a kind.
    pub fn set(&mut self, id: HeldId, kind: HeldKind, bytes: usize) {
        if let Some(held) = self.callers.get_mut(&id) {
            let before = std::mem::replace(&mut held.bytes[kind as usize], bytes);
            self.total = self.total - before + bytes;
        }
    }

    /// Sets the unsent bytes of a connection, and since when it has accepted no data.
    pub fn note_unread(&mut self, id: HeldId, bytes: usize, since: Option<Duration>) {
        self.set(id, HeldKind::Unread, bytes);
        if let Some(held) = self.callers.get_mut(&id) {
            held.unread_since = since;
        }
    }

    /// Selects the connections to disconnect, each once. Their bytes count until they have closed.
    pub fn cut_offs(&mut self, now: Duration) -> Vec<CutOff> {
        let mut cut = self.stalled(now);
        let fixed = self.terms.connection_bytes;
        let leaving = |callers: &BTreeMap<HeldId, Held>| -> usize {
            let cut = callers.values().filter(|held| held.is_cut);
            cut.map(|held| held.total() + fixed).sum()
        };
        let mut left = self.total - leaving(&self.callers);
        while let Some(least) = self.stall_borne(left) {
            let Some(worst) = self.worst(now, least) else {
                break;
            };
            left = left.saturating_sub(worst.held_bytes);
            self.mark(&worst);
            cut.push(worst);
        }
        cut
    }

    fn stalled(&mut self, now: Duration) -> Vec<CutOff> {
        let limit = self.terms.read_stall;
        let waiting = self.waiting(now, CutReason::Stall);
        let stalled: Vec<_> = waiting.filter(|cut| cut.unread_for >= limit).collect();
        for cut in &stalled {
            self.mark(cut);
        }
        stalled
    }

    /// The minimum stall for which a client is disconnected at this usage; `None` without memory
    /// pressure.
    fn stall_borne(&self, held: usize) -> Option<Duration> {
        if held > self.terms.total_bytes {
            return Some(Duration::ZERO);
        }
        let pressed = self.terms.admission_bytes / PRESSED_OF * PRESSED_PART;
        (held > pressed).then_some(self.terms.pressed_stall)
    }

    fn worst(&self, now: Duration, least: Duration) -> Option<CutOff> {
        let waiting = self.waiting(now, CutReason::Memory);
        let holding = waiting.filter(|cut| cut.held_bytes > 0 && cut.unread_for >= least);
        holding.max_by_key(|cut| cut.unread_for.as_millis() * cut.held_bytes as u128)
    }

    fn waiting(&self, now: Duration, reason: CutReason) -> impl Iterator<Item = CutOff> {
        let fixed = self.terms.connection_bytes;
        self.callers.iter().filter_map(move |(id, held)| {
            Some(CutOff {
                id: *id,
                reason,
                held_bytes: held.total() + fixed,
                unread_for: held.unread_for(now)?,
            })
        })
    }

    fn mark(&mut self, cut: &CutOff) {
        if let Some(held) = self.callers.get_mut(&cut.id) {
            held.is_cut = true;
        }
    }
}
