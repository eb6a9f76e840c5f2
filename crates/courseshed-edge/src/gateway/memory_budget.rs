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
const BASELINE_BYTES: u64 = 24_000_000;
/// Minimum memory budget for clients, in bytes, regardless of machine size.
const MIN_BUDGET_BYTES: u64 = 16 * 1024 * 1024;
/// Memory of a connection with a stream that its client keeps up with, in bytes, excluding data
/// read from the server: library buffers and tasks. See `docs/design/slow-readers.md`.
const CONNECTION_BYTES: usize = 36 * 1024;
/// How long a client may accept no data before it is disconnected. Several times the
/// two seconds or more after which clients themselves give up, so that a live client's pause is
/// shorter.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// Fraction of the admission limit above which memory is under pressure. The rest is for bodies
/// that arrive between two polls of the connections.
const PRESSURE_NUMERATOR: usize = 7;
const PRESSURE_DENOMINATOR: usize = 8;
/// Stall limit under memory pressure; longer than impatient clients wait before they disconnect.
const PRESSURE_STALL_LIMIT: Duration = Duration::from_secs(3);

/// Memory limits of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Total bytes held for all clients; above it, clients are disconnected.
    pub total_bytes: usize,
    /// Fixed bytes charged for each connection.
    pub connection_bytes: usize,
    /// Bytes held above which no new request body is admitted. Lower than the total, to leave
    /// memory for active responses.
    pub admission_bytes: usize,
    /// How long a client may accept no data before it is disconnected.
    pub stall_limit: Duration,
    /// The same limit under memory pressure.
    pub pressure_stall_limit: Duration,
}

impl MemoryLimits {
    /// Limits for a process with the given memory. Of the memory above the base, an eighth is
    /// reserved for allocator overhead and growth between two polls of the connections, and another
    /// eighth is not available to new bodies.
    #[must_use]
    pub fn for_machine(memory_bytes: u64) -> Self {
        let total = (memory_bytes.saturating_sub(BASELINE_BYTES) / 8 * 7).max(MIN_BUDGET_BYTES);
        let total_bytes = usize::try_from(total).unwrap_or(usize::MAX);
        Self {
            total_bytes,
            connection_bytes: CONNECTION_BYTES,
            admission_bytes: total_bytes / 8 * 7,
            stall_limit: STALL_LIMIT,
            pressure_stall_limit: PRESSURE_STALL_LIMIT,
        }
    }
}

/// The kind of data in a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// A request body, until no attempt can need it any more.
    Request,
    /// Response data read from the server and not yet passed to the client's connection.
    Response,
    /// Response data passed to the client's connection that its socket has not accepted.
    Unsent,
}

const BUFFER_KINDS: usize = 3;

/// ID of a client connection in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Why a client is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The budget is exhausted or under pressure.
    Memory,
    /// The client accepted no data for the stall limit.
    Stall,
}

impl DisconnectReason {
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
pub struct Disconnect {
    /// The connection.
    pub id: ConnectionId,
    /// Why it is disconnected.
    pub reason: DisconnectReason,
    /// Bytes held for it.
    pub held_bytes: usize,
    /// How long it has accepted no data.
    pub stalled_for: Duration,
}

#[derive(Debug, Default)]
struct ConnectionUsage {
    bytes: [usize; BUFFER_KINDS],
    stalled_since: Option<Duration>,
    is_disconnecting: bool,
}

impl ConnectionUsage {
    fn total(&self) -> usize {
        self.bytes.iter().sum()
    }

    fn stalled_for(&self, now: Duration) -> Option<Duration> {
        let since = self.stalled_since.filter(|_| !self.is_disconnecting)?;
        Some(now.saturating_sub(since))
    }
}

/// The bytes held for each client connection. Times are those of the process's monotonic clock.
#[derive(Debug)]
pub struct MemoryBudget {
    terms: MemoryLimits,
    connections: BTreeMap<ConnectionId, ConnectionUsage>,
    next: u64,
    total: usize,
}

impl MemoryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(terms: MemoryLimits) -> Self {
        Self {
            terms,
            connections: BTreeMap::new(),
            next: 0,
            total: 0,
        }
    }

    /// Adds a client connection.
    pub fn begin(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        self.connections.insert(id, ConnectionUsage::default());
        self.total += self.terms.connection_bytes;
        id
    }

    /// Removes a connection and releases its bytes.
    pub fn end(&mut self, id: ConnectionId) {
        if let Some(usage) = self.connections.remove(&id) {
            self.total -= usage.total() + self.terms.connection_bytes;
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
    pub fn set(&mut self, id: ConnectionId, kind: BufferKind, bytes: usize) {
        if let Some(usage) = self.connections.get_mut(&id) {
            let before = std::mem::replace(&mut usage.bytes[kind as usize], bytes);
            self.total = self.total - before + bytes;
        }
    }

    /// Sets the unsent bytes of a connection, and since when it has accepted no data.
    pub fn set_unsent(&mut self, id: ConnectionId, bytes: usize, since: Option<Duration>) {
        self.set(id, BufferKind::Unsent, bytes);
        if let Some(usage) = self.connections.get_mut(&id) {
            usage.stalled_since = since;
        }
    }

    /// Selects the connections to disconnect, each once. Their bytes count until they have closed.
    pub fn select_disconnects(&mut self, now: Duration) -> Vec<Disconnect> {
        let mut selected = self.stalled(now);
        let fixed = self.terms.connection_bytes;
        let disconnecting_bytes = |connections: &BTreeMap<ConnectionId, ConnectionUsage>| -> usize {
            let disconnecting = connections.values().filter(|usage| usage.is_disconnecting);
            disconnecting.map(|usage| usage.total() + fixed).sum()
        };
        let mut remaining = self.total - disconnecting_bytes(&self.connections);
        while let Some(least) = self.stall_limit(remaining) {
            let Some(worst) = self.largest_stalled(now, least) else {
                break;
            };
            remaining = remaining.saturating_sub(worst.held_bytes);
            self.mark_disconnecting(&worst);
            selected.push(worst);
        }
        selected
    }

    fn stalled(&mut self, now: Duration) -> Vec<Disconnect> {
        let limit = self.terms.stall_limit;
        let connections = self.stalled_connections(now, DisconnectReason::Stall);
        let stalled: Vec<_> = connections
            .filter(|disconnect| disconnect.stalled_for >= limit)
            .collect();
        for disconnect in &stalled {
            self.mark_disconnecting(disconnect);
        }
        stalled
    }

    /// The minimum stall for which a client is disconnected at this usage; `None` without memory
    /// pressure.
    fn stall_limit(&self, held_bytes: usize) -> Option<Duration> {
        if held_bytes > self.terms.total_bytes {
            return Some(Duration::ZERO);
        }
        let pressure_bytes = self.terms.admission_bytes / PRESSURE_DENOMINATOR * PRESSURE_NUMERATOR;
        (held_bytes > pressure_bytes).then_some(self.terms.pressure_stall_limit)
    }

    fn largest_stalled(&self, now: Duration, least: Duration) -> Option<Disconnect> {
        let connections = self.stalled_connections(now, DisconnectReason::Memory);
        let candidates = connections
            .filter(|disconnect| disconnect.held_bytes > 0 && disconnect.stalled_for >= least);
        candidates.max_by_key(|disconnect| {
            disconnect.stalled_for.as_millis() * disconnect.held_bytes as u128
        })
    }

    fn stalled_connections(
        &self,
        now: Duration,
        reason: DisconnectReason,
    ) -> impl Iterator<Item = Disconnect> {
        let fixed = self.terms.connection_bytes;
        self.connections.iter().filter_map(move |(id, usage)| {
            Some(Disconnect {
                id: *id,
                reason,
                held_bytes: usage.total() + fixed,
                stalled_for: usage.stalled_for(now)?,
            })
        })
    }

    fn mark_disconnecting(&mut self, disconnect: &Disconnect) {
        if let Some(usage) = self.connections.get_mut(&disconnect.id) {
            usage.is_disconnecting = true;
        }
    }
}
