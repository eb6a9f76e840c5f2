//! What a dispatcher wants sent, and what it tells operators.

use std::collections::BTreeMap;

use courseshed_types::{
    BranchPath, EngineId, NodeId, ShardId, Timestamp,
    dispatch::{DispatchEvent, EngineOrder, EngineState},
};

/// Something to send; the driver sends it and need not keep it.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchOutput {
    /// To the node that leads a shard.
    Event {
        /// The node.
        to: NodeId,
        /// What is said.
        event: DispatchEvent,
    },
    /// To an engine.
    Order(EngineOrder),
}

/// A shard and the node that leads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLeader {
    /// The shard.
    pub shard: ShardId,
    /// Its leader.
    pub leader: NodeId,
}

/// Prefix tokens that were filled and not reused, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waste {
    /// Evicted; charged to the owner if more was cached for it than its part of the pool, else to the branch that
    /// exceeded its part most.
    pub evicted: u64,
    /// Left behind by programs that ended.
    pub abandoned: u64,
    /// Left behind by programs that went on at another engine.
    pub moved: u64,
    /// Lost with an engine that restarted or went down.
    pub engine_lost: u64,
}

impl Waste {
    /// All tokens wasted.
    pub fn total(&self) -> u64 {
        self.evicted + self.abandoned + self.moved + self.engine_lost
    }
}

/// Service asked of a pool, in units a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolDemand {
    /// For prompt tokens not found in a cache.
    pub prefill: f64,
    /// For generated tokens.
    pub decode: f64,
}

/// One branch as the dispatcher sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct BranchStats {
    /// The branch.
    pub branch: BranchPath,
    /// Whether this is the queue of the branch's own calls beside its children.
    pub own_queue: bool,
    /// Part of the pool by shares alone, 0 to 1.
    pub entitled_share: f64,
    /// Service charged since the dispatcher started, in units.
    pub served: u64,
    /// Calls waiting in it and below.
    pub waiting: usize,
    /// Prefix tokens of its own programs believed cached.
    pub cached_tokens: u64,
    /// Prefix tokens held by leases, those of branches below included.
    pub leased_tokens: u64,
    /// Waste that it caused.
    pub waste: Waste,
}

/// One engine as the dispatcher sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStats {
    /// The engine.
    pub engine: EngineId,
    /// What the list of engines says.
    pub state: EngineState,
    /// Whether it would be given a call now, room apart.
    pub takes_work: bool,
    /// Until when it is ejected.
    pub ejected_until: Option<Timestamp>,
    /// Calls this dispatcher has there.
    pub in_flight: u32,
    /// Most calls it may have there now.
    pub call_limit: u32,
    /// Calls that wait for a slot there, for the sake of their prefix.
    pub parked: usize,
    /// KV tokens those calls are expected to take.
    pub memory_tokens: u64,
    /// KV tokens held by leases.
    pub leased_tokens: u64,
    /// Calls running, as last reported.
    pub reported_running: Option<u32>,
    /// Calls waiting inside the engine, as last reported.
    pub reported_waiting: Option<u32>,
}

/// Counts of what the dispatcher did since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Calls given to an engine.
    pub assigned: u64,
    /// Assignments sent again for want of confirmation.
    pub resent: u64,
    /// Calls refused for length of the queue.
    pub shed_overload: u64,
    /// Calls refused after waiting too long.
    pub shed_deadline: u64,
    /// Messages dropped because a newer leader has spoken.
    pub stale_terms: u64,
    /// Messages dropped because the attempt had ended.
    pub stale_attempts: u64,
    /// Engines ejected.
    pub ejections: u64,
    /// Gaps in cache events.
    pub event_gaps: u64,
    /// Leases renewed.
    pub leases_renewed: u64,
    /// Leases that an engine no longer listed.
    pub leases_lost: u64,
    /// Leases given up.
    pub leases_released: u64,
    /// Prefixes copied out of engines.
    pub exports: u64,
    /// Copies brought to an engine.
    pub imports: u64,
    /// Calls that waited for the engine that holds their prefix.
    pub parked: u64,
    /// Leases given up because a call that waited needed the memory.
    pub leases_reclaimed: u64,
    /// Calls refused because the wait expected of them was far longer than their branch allows.
    pub shed_hopeless: u64,
    /// Calls forgotten because their shard no longer names them.
    pub forgotten_calls: u64,
}

/// Everything an operator may want to see of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherStats {
    /// Calls waiting.
    pub waiting: usize,
    /// Calls assigned or running.
    pub in_flight: usize,
    /// Programs known.
    pub programs: usize,
    /// Timers set.
    pub timers: usize,
    /// Branches, parents before children.
    pub branches: Vec<BranchStats>,
    /// Engines by id.
    pub engines: BTreeMap<EngineId, EngineStats>,
    /// Counters.
    pub counters: DispatchCounters,
}
