//! Budget of a listener for the memory and the connections of its clients, and the choice of clients to
//! disconnect when it is exhausted. No I/O.
//!
//! Invariants: a request body holds no more than was reserved for it; new bodies are refused while active
//! streams still have memory, large ones before small ones. A client is disconnected only if nothing is
//! lost with its connection (it is idle, or its request head is incomplete), if it accepts no data: for
//! the stall limit, for a shorter time under memory pressure, or at once when the total is exceeded, or if
//! its request body doesn't progress while another request needs the memory. To free memory, the longest
//! idle go first, then those with the largest product of bytes and stall time, and no more of them than
//! necessary.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::request_gate::Phase;

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

/// Bodies up to this size may use all of the admission limit, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Fraction of the admission limit that only small bodies may use: 1 of this.
const SMALL_BODY_SHARE: usize = 8;
/// A body progresses if at least this much of it arrived, in bytes.
const MIN_PROGRESS_BYTES: usize = 32 * 1024;
/// How long a connection is idle before it gives way to a new one, so that its first request can arrive.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// How long a body may lack progress, or a connection be idle, before it gives way to a new request that
/// needs its memory.
const BODY_STALL_LIMIT: Duration = Duration::from_secs(1);
/// How long the rest of a body may come after the response. Clients read the response meanwhile.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);
/// The same while another client needs the place.
const MIN_DISCARD_TIME: Duration = Duration::from_millis(100);
/// Fraction of the connections closed at once when a listener is full, so that the choice is rare: 1 of
/// this, and at least a few.
const PLACES_SHARE: usize = 32;
const MIN_PLACES: usize = 16;

/// Minimum memory budget for the clients of a controller, in bytes.
const MIN_CONTROLLER_BYTES: u64 = 24 * 1024 * 1024;
/// Connections of a listener that only answers probes, and their share of those of the process's clients: 1
/// of this.
const MAX_PROBE_CONNECTIONS: usize = 128;
const PROBE_SHARE: usize = 4;

/// Descriptors set aside for files of a process: a quarter of all, and no more than this.
const MAX_FILE_DESCRIPTORS: u64 = 200;

/// Connections that a listener accepts at the same time if the process may open `descriptors`: half of
/// those that remain beside its files. Each call under way may need a connection to a server.
#[must_use]
pub fn connections_for_descriptors(descriptors: u64) -> usize {
    let files = (descriptors / 4).min(MAX_FILE_DESCRIPTORS);
    usize::try_from((descriptors - files) / 2).unwrap_or(usize::MAX)
}

/// Memory limits of a listener.
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
    /// Connections open at the same time.
    pub max_connections: usize,
}

impl MemoryLimits {
    /// Limits for a process with the given memory. Of the memory above the base, an eighth is
    /// reserved for allocator overhead and growth between two polls of the connections, and another
    /// eighth is not available to new bodies.
    #[must_use]
    pub fn for_machine(memory_bytes: u64) -> Self {
        let total = (memory_bytes.saturating_sub(BASELINE_BYTES) / 8 * 7).max(MIN_BUDGET_BYTES);
        let total_bytes = usize::try_from(total).unwrap_or(usize::MAX);
        Self::for_clients(total_bytes)
    }

    /// Limits for the clients of a controller on a machine with this memory: a quarter of it, since the rest
    /// is for what the controller keeps, and at least one configuration of the largest size beside others.
    #[must_use]
    pub fn for_controller(memory_bytes: u64) -> Self {
        let total = (memory_bytes / 4).max(MIN_CONTROLLER_BYTES);
        Self::for_clients(usize::try_from(total).unwrap_or(usize::MAX))
    }

    /// Limits for a listener of probes in a process that accepts `client_connections`: few connections,
    /// and no request bodies to speak of.
    #[must_use]
    pub fn for_probes(client_connections: usize) -> Self {
        let max_connections = (client_connections / PROBE_SHARE).clamp(1, MAX_PROBE_CONNECTIONS);
        Self {
            max_connections,
            ..Self::for_clients(max_connections * 2 * CONNECTION_BYTES)
        }
    }

    /// Limits for clients that may hold `total_bytes` together, without a limit on their connections but
    /// that of their memory.
    #[must_use]
    pub fn for_clients(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            connection_bytes: CONNECTION_BYTES,
            admission_bytes: total_bytes / 8 * 7,
            stall_limit: STALL_LIMIT,
            pressure_stall_limit: PRESSURE_STALL_LIMIT,
            max_connections: usize::MAX,
        }
    }

    /// The same limits for a process that may open `descriptors`.
    #[must_use]
    pub fn with_descriptors(self, descriptors: u64) -> Self {
        Self {
            max_connections: connections_for_descriptors(descriptors),
            ..self
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Why a client is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The budget is exhausted or under pressure.
    Memory,
    /// The client accepted no data for the stall limit.
    Stall,
    /// The connection was idle and another client needs its place.
    Idle,
    /// The request head did not arrive in time.
    Head,
    /// The request body does not progress and another request needs its memory.
    Body,
    /// The rest of a request body did not end after the response.
    UnreadBody,
}

impl DisconnectReason {
    /// The name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Stall => "stall",
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::UnreadBody => "unread_body",
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
    /// How long it has accepted no data, or been idle, or how long its request has not progressed.
    pub stalled_for: Duration,
}

/// How far a request body has arrived.
#[derive(Clone, Copy, Debug)]
struct BodyProgress {
    /// Bytes at the last progress.
    received: usize,
    /// Time of the last progress.
    at: Duration,
}

#[derive(Debug)]
struct ConnectionUsage {
    bytes: [usize; BUFFER_KINDS],
    stalled_since: Option<Duration>,
    phase: Phase,
    phase_since: Duration,
    body: Option<BodyProgress>,
    is_disconnecting: bool,
}

impl ConnectionUsage {
    fn new(now: Duration) -> Self {
        Self {
            bytes: [0; BUFFER_KINDS],
            stalled_since: None,
            phase: Phase::Idle,
            phase_since: now,
            body: None,
            is_disconnecting: false,
        }
    }

    fn total(&self) -> usize {
        self.bytes.iter().sum()
    }

    /// Since when the connection has had no request that would be lost with it.
    fn idle_since(&self) -> Option<Duration> {
        let is_idle = matches!(self.phase, Phase::Idle | Phase::Head) && self.total() == 0;
        (is_idle && !self.is_disconnecting).then_some(self.phase_since)
    }

    /// Since when its request body has not progressed.
    fn body_stalled_since(&self) -> Option<Duration> {
        let progress = self.body.filter(|_| !self.is_disconnecting)?;
        Some(progress.at)
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
    pub fn begin(&mut self, now: Duration) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        self.connections.insert(id, ConnectionUsage::new(now));
        self.total += self.terms.connection_bytes;
        id
    }

    /// Open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether one more connection is within the limits.
    #[must_use]
    pub fn admits_connection(&self) -> bool {
        let bytes = self.total.saturating_add(self.terms.connection_bytes);
        let limit = self.terms.total_bytes.max(self.terms.admission_bytes);
        self.connections.len() < self.terms.max_connections && bytes <= limit
    }

    /// Notes what a connection is doing, and since when.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase, since: Duration) {
        if let Some(usage) = self.connections.get_mut(&id) {
            usage.phase = phase;
            usage.phase_since = since;
        }
    }

    /// Notes how many bytes of a request body have arrived.
    pub fn set_received(&mut self, id: ConnectionId, received: usize, now: Duration) {
        let Some(usage) = self.connections.get_mut(&id) else {
            return;
        };
        let has_progressed = usage
            .body
            .is_none_or(|progress| received >= progress.received + MIN_PROGRESS_BYTES);
        if has_progressed {
            usage.body = Some(BodyProgress { received, at: now });
        }
    }

    /// Notes that a request body has arrived, or is no longer read. The connection goes on, even if its
    /// body was to be given up meanwhile.
    pub fn end_body(&mut self, id: ConnectionId) {
        if let Some(usage) = self.connections.get_mut(&id)
            && usage.body.take().is_some()
        {
            usage.is_disconnecting = false;
        }
    }

    /// Reserves bytes for the request body of a connection, in place of those reserved before. Returns
    /// whether they fit.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let Some(usage) = self.connections.get(&id) else {
            return false;
        };
        let reserved = usage.bytes[BufferKind::Request as usize];
        let fits = bytes <= reserved || self.admits_in_place_of(reserved, bytes);
        if fits {
            self.set(id, BufferKind::Request, bytes);
        }
        fits
    }

    fn admits_in_place_of(&self, reserved: usize, bytes: usize) -> bool {
        (self.total - reserved).saturating_add(bytes) <= self.admission_limit(bytes)
    }

    /// Bytes held up to which a body of a size is admitted.
    fn admission_limit(&self, body_bytes: usize) -> usize {
        let admission = self.terms.admission_bytes;
        if body_bytes <= SMALL_BODY_BYTES {
            admission
        } else {
            admission - admission / SMALL_BODY_SHARE
        }
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
        self.admits_in_place_of(0, bytes)
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

    /// Selects connections to close so that one more client finds a place: the longest idle, or if none
    /// is idle, those that have had their response, then those whose request bodies don't progress. A few
    /// are selected at once.
    pub fn make_place(&mut self, now: Duration) -> Vec<Disconnect> {
        let most = (self.connections.len() / PLACES_SHARE).max(MIN_PLACES);
        let mut selected = self.idle_connections(now, MIN_IDLE_TIME);
        if selected.is_empty() {
            selected = self.overdue_where(now, |usage| match usage.phase {
                Phase::Discard => Some((DisconnectReason::UnreadBody, MIN_DISCARD_TIME)),
                _ => None,
            });
        }
        if selected.is_empty() {
            selected = self.stalled_bodies(now);
        }
        selected.truncate(most);
        for disconnect in &selected {
            self.mark_disconnecting(disconnect);
        }
        selected
    }

    /// Selects connections to disconnect so that `bytes` more fit for the request body of a connection:
    /// idle ones, then those whose bodies don't progress. None if that would not suffice.
    pub fn make_room(&mut self, id: ConnectionId, bytes: usize, now: Duration) -> Vec<Disconnect> {
        let Some(usage) = self.connections.get(&id) else {
            return Vec::new();
        };
        let reserved = usage.bytes[BufferKind::Request as usize];
        let needed = (self.total - reserved - self.disconnecting_bytes()).saturating_add(bytes);
        let excess = needed.saturating_sub(self.admission_limit(bytes));
        if excess == 0 {
            return Vec::new();
        }
        let mut candidates = self.idle_connections(now, BODY_STALL_LIMIT);
        candidates.extend(self.stalled_bodies(now));
        candidates.retain(|candidate| candidate.id != id);
        let mut freed = 0;
        let enough = candidates
            .iter()
            .position(|candidate| {
                freed += candidate.held_bytes;
                freed >= excess
            })
            .map(|last| last + 1);
        candidates.truncate(enough.unwrap_or(0));
        for disconnect in &candidates {
            self.mark_disconnecting(disconnect);
        }
        candidates
    }

    /// Whether memory is about to be freed by connections selected before.
    #[must_use]
    pub fn is_freeing(&self) -> bool {
        self.connections
            .values()
            .any(|usage| usage.is_disconnecting)
    }

    fn disconnecting_bytes(&self) -> usize {
        let fixed = self.terms.connection_bytes;
        let disconnecting = self.connections.values();
        disconnecting
            .filter(|usage| usage.is_disconnecting)
            .map(|usage| usage.total() + fixed)
            .sum()
    }

    /// Connections idle for `min_time`, the longest idle first.
    fn idle_connections(&self, now: Duration, min_time: Duration) -> Vec<Disconnect> {
        let idle = self.connections.iter().filter_map(|(id, usage)| {
            let stalled_for = now.saturating_sub(usage.idle_since()?);
            (stalled_for >= min_time).then_some(Disconnect {
                id: *id,
                reason: DisconnectReason::Idle,
                held_bytes: self.terms.connection_bytes,
                stalled_for,
            })
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|disconnect| std::cmp::Reverse(disconnect.stalled_for));
        idle
    }

    /// Connections whose request bodies don't progress, the largest product of bytes and time first.
    fn stalled_bodies(&self, now: Duration) -> Vec<Disconnect> {
        let stalled = self.connections.iter().filter_map(|(id, usage)| {
            let stalled_for = now.saturating_sub(usage.body_stalled_since()?);
            (stalled_for >= BODY_STALL_LIMIT).then_some(Disconnect {
                id: *id,
                reason: DisconnectReason::Body,
                held_bytes: usage.total(),
                stalled_for,
            })
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_by_key(|disconnect| {
            std::cmp::Reverse(disconnect.stalled_for.as_millis() * disconnect.held_bytes as u128)
        });
        stalled
    }

    /// Connections whose phase has lasted for the limit that `limit_of` gives them.
    fn overdue_where(
        &self,
        now: Duration,
        limit_of: impl Fn(&ConnectionUsage) -> Option<(DisconnectReason, Duration)>,
    ) -> Vec<Disconnect> {
        let fixed = self.terms.connection_bytes;
        let overdue = self.connections.iter().filter_map(|(id, usage)| {
            let (reason, limit) = limit_of(usage).filter(|_| !usage.is_disconnecting)?;
            let stalled_for = now.saturating_sub(usage.phase_since);
            (stalled_for >= limit).then_some(Disconnect {
                id: *id,
                reason,
                held_bytes: usage.total() + fixed,
                stalled_for,
            })
        });
        overdue.collect()
    }

    /// Connections that don't come to an end: heads beyond `head_limit`, and bodies beyond the limit for
    /// their rest after a response.
    fn overdue(&mut self, now: Duration, head_limit: Duration) -> Vec<Disconnect> {
        let overdue = self.overdue_where(now, |usage| match usage.phase {
            Phase::Head => Some((DisconnectReason::Head, head_limit)),
            Phase::Discard => Some((DisconnectReason::UnreadBody, DISCARD_LIMIT)),
            Phase::Idle | Phase::Body | Phase::Response => None,
        });
        for disconnect in &overdue {
            self.mark_disconnecting(disconnect);
        }
        overdue
    }

    /// Selects the connections to disconnect, each once. Their bytes count until they have closed.
    /// `head_limit` is how long a request head may take.
    pub fn select_disconnects(&mut self, now: Duration, head_limit: Duration) -> Vec<Disconnect> {
        let mut selected = self.stalled(now);
        selected.extend(self.overdue(now, head_limit));
        let mut remaining = self.total - self.disconnecting_bytes();
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
