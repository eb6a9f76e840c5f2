//! Dispatcher outputs and operator statistics.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, EngineId, NodeId, ShardId, Timestamp,
    dispatch::{DispatchEvent, EngineOrder, EngineState},
};

/// A message for the driver to send. Delivery need not be reliable.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchOutput {
    /// A message to the leader of a shard.
    Event {
        /// The leader's node.
        to: NodeId,
        /// The message.
        event: DispatchEvent,
    },
    /// An order to an engine.
    Order(EngineOrder),
}

/// A shard and its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLeader {
    /// The shard.
    pub shard: ShardId,
    /// The node that leads it.
    pub leader: NodeId,
}

/// Prefix tokens that were computed but never reused, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waste {
    /// Evicted. Charged to the owner if its cached tokens exceed its entitled share, else to the
    /// branch that exceeds its entitled share most.
    pub evicted: u64,
    /// Abandoned by programs that ended.
    pub abandoned: u64,
    /// Left on an engine by programs that continued on another.
    pub moved: u64,
    /// Lost when an engine restarted or went down.
    pub engine_lost: u64,
}

impl Waste {
    /// Sum over all causes.
    pub fn total(&self) -> u64 {
        self.evicted + self.abandoned + self.moved + self.engine_lost
    }
}

/// Demand for service in a pool, in units per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolDemand {
    /// For uncached prompt tokens.
    pub prefill: f64,
    /// For generated tokens.
    pub decode: f64,
}

/// Statistics of a branch.
#[derive(Debug, Clone, PartialEq)]
pub struct BranchStats {
    /// The branch.
    pub branch: BranchPath,
    /// Whether this entry is for the branch's own queue, which competes with the branch's children.
    pub own_queue: bool,
    /// Entitled fraction of the pool, 0 to 1.
    pub entitled_share: f64,
    /// Service charged since the dispatcher started, in units.
    pub served: u64,
    /// Calls queued in the branch and its descendants.
    pub waiting: usize,
    /// Prefix tokens of the branch's own programs believed cached.
    pub cached_tokens: u64,
    /// Leased prefix tokens, including those of descendant branches.
    pub leased_tokens: u64,
    /// Wasted prefix tokens charged to the branch.
    pub waste: Waste,
}

/// Statistics of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStats {
    /// The engine.
    pub engine: EngineId,
    /// State in the engine directory.
    pub state: EngineState,
    /// Whether the engine accepts new calls, capacity aside.
    pub accepts_calls: bool,
    /// End of the current ejection.
    pub ejected_until: Option<Timestamp>,
    /// Calls of this dispatcher in flight on the engine.
    pub in_flight: u32,
    /// Current limit on in-flight calls.
    pub call_limit: u32,
    /// Calls parked for the engine because it caches their prefix.
    pub parked: usize,
    /// Expected KV usage of the in-flight calls, in tokens.
    pub memory_tokens: u64,
    /// KV tokens held by leases.
    pub leased_tokens: u64,
    /// Running calls in the last load report.
    pub reported_running: Option<u32>,
    /// Calls queued inside the engine in the last load report.
    pub reported_waiting: Option<u32>,
}

/// Event counters since the dispatcher started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Calls assigned to an engine.
    pub assigned: u64,
    /// Assignments resent because they were not confirmed in time.
    pub resent: u64,
    /// Calls shed because the pool's queue was too long.
    pub shed_overload: u64,
    /// Calls shed because their queue deadline passed.
    pub shed_deadline: u64,
    /// Messages dropped because they came from a replaced leader.
    pub stale_terms: u64,
    /// Messages dropped because the attempt had already ended.
    pub stale_attempts: u64,
    /// Engine ejections.
    pub ejections: u64,
    /// Gaps in cache event sequences.
    pub event_gaps: u64,
    /// Leases granted or renewed.
    pub leases_renewed: u64,
    /// Leases missing from an engine's listing.
    pub leases_lost: u64,
    /// Lease releases sent to engines.
    pub leases_released: u64,
    /// Prefixes exported from engines.
    pub exports: u64,
    /// Prefixes imported into engines.
    pub imports: u64,
    /// Calls parked for the engine that caches their prefix.
    pub parked: u64,
    /// Leases released to make room for a queued call.
    pub leases_reclaimed: u64,
    /// Calls shed because their expected wait exceeded their remaining queue time.
    pub shed_unservable: u64,
    /// Calls dropped because their shard no longer announces them.
    pub dropped_calls: u64,
}

/// Dispatcher statistics for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherStats {
    /// Queued calls, including parked ones.
    pub waiting: usize,
    /// Calls assigned or running.
    pub in_flight: usize,
    /// Known programs.
    pub programs: usize,
    /// Pending timers.
    pub timers: usize,
    /// Branches, parents before children.
    pub branches: Vec<BranchStats>,
    /// Engines by id.
    pub engines: BTreeMap<EngineId, EngineStats>,
    /// Event counters.
    pub counters: DispatchCounters,
}
