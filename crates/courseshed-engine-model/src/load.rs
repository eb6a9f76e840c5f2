//! Snapshots of an engine's load and its counters.

use serde::{Deserialize, Serialize};

/// What an engine reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for room.
    pub waiting: usize,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt_tokens: u64,
    /// Blocks of KV memory.
    pub total_blocks: usize,
    /// Blocks that hold nothing.
    pub free_blocks: usize,
    /// Blocks that hold cached prefixes, referred to or not.
    pub cached_blocks: usize,
    /// Cached blocks that may be evicted at once.
    pub evictable_blocks: usize,
    /// Cached blocks that leases hold.
    pub leased_blocks: usize,
    /// Leases in force.
    pub leases: usize,
}

/// Sums since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests taken in.
    pub submitted: u64,
    /// Requests that finished.
    pub finished: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Prompt tokens found in the cache at the first start of a request.
    pub hit_tokens: u64,
    /// Prompt tokens not found at the first start of a request.
    pub miss_tokens: u64,
    /// Tokens computed in prefill, recomputation after preemption included.
    pub prefill_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Steps run.
    pub steps: u64,
    /// Time spent in steps, in nanoseconds.
    pub busy_nanos: u64,
    /// Leases broken in favour of a waiting request.
    pub leases_broken: u64,
}
