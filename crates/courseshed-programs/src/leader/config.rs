//! Times and limits of the leader; the defaults suit one region with zones a millisecond apart.

use std::time::Duration;

use courseshed_types::{NodeId, RegionName, ShardId};

use super::pace::PaceLimits;

/// Who the leader is, and its times and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderConfig {
    /// This node.
    pub node: NodeId,
    /// The shard.
    pub shard: ShardId,
    /// How often the shard was founded; numbers of programs of different generations differ.
    pub generation: u32,
    /// The region whose dispatchers decide.
    pub region: RegionName,
    /// Shards of the region; limits of a branch "per region" are divided by it, rounded up.
    pub shards_in_region: u32,
    /// Shards of the region over which the programs of one tenant are spread.
    pub shards_of_tenant: u32,
    /// Proposals that may be in flight before new work is refused.
    pub max_in_flight: usize,
    /// An attempt whose gateway was not heard of for so long is looked up at its engine.
    pub stream_silence: Duration,
    /// Bound of the difference between two nodes' clocks and of the time a gateway takes to send a call to its
    /// engine. A call that is not repeatable is not asked about before its order to start has run out by this much.
    pub start_margin: Duration,
    /// Time between two questions about the same attempt.
    pub query_interval: Duration,
    /// An engine that can't be reached for so long counts as lost, with all that ran there.
    pub unreachable_limit: Duration,
    /// The same for attempts of repeatable calls, which lose nothing but engine time if the engine comes back.
    pub unreachable_repeatable: Duration,
    /// An assignment is held for so long until a gateway is there to run it.
    pub runner_wait: Duration,
    /// Attempts of one call, whatever their end.
    pub max_attempts: u32,
    /// Attempts of one call that may have run.
    pub max_doubtful_attempts: u32,
    /// Wait before the second attempt; doubled for each further one.
    pub retry_base: Duration,
    /// Longest wait before an attempt.
    pub retry_cap: Duration,
    /// A call waits for escrow at most so long.
    pub grant_wait: Duration,
    /// Time between two sendings of the same request or return of escrow.
    pub grant_resend: Duration,
    /// How much escrow is asked for at once.
    pub grant_pace: PaceLimits,
    /// Escrow of a branch that was idle for so long is given back.
    pub escrow_idle: Duration,
    /// Time between two passes over all programs.
    pub sweep_interval: Duration,
    /// Records of ended programs are kept whole for so long.
    pub keep_ended: Duration,
    /// Ended programs kept whole at most.
    pub max_ended: u32,
    /// Tombstones are kept for so long.
    pub keep_tombstones: Duration,
    /// Tombstones kept at most.
    pub max_tombstones: u32,
}

impl LeaderConfig {
    /// The defaults for one shard.
    pub fn new(node: NodeId, shard: ShardId, region: RegionName) -> LeaderConfig {
        LeaderConfig {
            node,
            shard,
            generation: 1,
            region,
            shards_in_region: 1,
            shards_of_tenant: 1,
            max_in_flight: 4_096,
            stream_silence: Duration::from_secs(10),
            start_margin: Duration::from_secs(2),
            query_interval: Duration::from_secs(1),
            unreachable_limit: Duration::from_secs(15),
            unreachable_repeatable: Duration::from_secs(2),
            runner_wait: Duration::from_secs(2),
            max_attempts: 8,
            max_doubtful_attempts: 3,
            retry_base: Duration::from_millis(50),
            retry_cap: Duration::from_secs(2),
            grant_wait: Duration::from_secs(5),
            grant_resend: Duration::from_secs(1),
            grant_pace: PaceLimits::default(),
            escrow_idle: Duration::from_secs(120),
            sweep_interval: Duration::from_secs(1),
            keep_ended: Duration::from_secs(10 * 60),
            max_ended: 2_000,
            keep_tombstones: Duration::from_secs(24 * 60 * 60),
            max_tombstones: 50_000,
        }
    }
}
