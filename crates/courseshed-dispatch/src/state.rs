//! Everything a dispatcher knows: its tables, and what waits to be sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use courseshed_types::{
    BranchPath, PolicySnapshot, ShardId, Timestamp, Tokens,
    dispatch::{
        DispatchEvent, DispatchEventBody, DispatcherIdentity, EngineOrder, EngineOrderBody, PoolId,
    },
    ids::EngineId,
};

use crate::{
    baselines::Strategy,
    config::DispatcherConfig,
    learn::{FadingRate, Shapes},
    output::{DispatchCounters, DispatchOutput, Waste},
    systems::liveness::LivenessChecks,
    tables::{
        BranchTable, CallTable, EngineTable, NodeIndex, ProgramTable, ShardTable, TimerTable,
    },
};

/// Service that calls ask for, by its parts.
#[derive(Debug)]
pub(crate) struct DemandMeter {
    pub(crate) prefill: FadingRate,
    pub(crate) decode: FadingRate,
}

impl DemandMeter {
    /// Time in which demand fades; placement moves weights, which takes minutes.
    const FADE: Duration = Duration::from_secs(120);

    pub(crate) fn new(now: Timestamp) -> DemandMeter {
        DemandMeter {
            prefill: FadingRate::new(now, DemandMeter::FADE),
            decode: FadingRate::new(now, DemandMeter::FADE),
        }
    }
}

/// What is counted of a branch's cache.
#[derive(Debug, Default)]
pub(crate) struct CacheAccount {
    /// Tokens of its own programs' prefixes believed cached now.
    pub(crate) cached: u64,
    /// Tokens held by leases now, those of branches below included.
    pub(crate) leased: u64,
    /// Waste that it caused.
    pub(crate) waste: Waste,
}

/// The state of one dispatcher.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) pool: PoolId,
    pub(crate) identity: DispatcherIdentity,
    pub(crate) config: DispatcherConfig,
    pub(crate) strategy: Strategy,
    pub(crate) policy: Arc<PolicySnapshot>,
    pub(crate) grace_until: Timestamp,
    pub(crate) branches: BranchTable,
    pub(crate) calls: CallTable,
    pub(crate) programs: ProgramTable,
    pub(crate) engines: EngineTable,
    pub(crate) shards: ShardTable,
    pub(crate) timers: TimerTable,
    pub(crate) shapes: Shapes,
    /// Calls taken out of the queues.
    pub(crate) drain_rate: FadingRate,
    /// Service asked for, in units.
    pub(crate) demand: DemandMeter,
    pub(crate) caches: BTreeMap<BranchPath, CacheAccount>,
    /// Part of the pool each branch is entitled to by the tree of shares, whatever the policy kind does with it.
    pub(crate) entitlements: BTreeMap<BranchPath, f64>,
    pub(crate) counters: DispatchCounters,
    /// Programs whose shards are to be asked whether they live.
    pub(crate) checks: LivenessChecks,
    /// Tokens of prefixes kept outside of engines.
    pub(crate) exported: Tokens,
    /// Queues that calls entered since shedding last ran.
    pub(crate) grown_queues: BTreeSet<NodeIndex>,
    pub(crate) outputs: Vec<DispatchOutput>,
}

impl State {
    /// Says something to a shard's leader, if the shard is known.
    pub(crate) fn say(&mut self, shard: ShardId, body: DispatchEventBody) {
        let Some(entry) = self.shards.get(shard) else {
            return;
        };
        let to = entry.leader;
        let event = DispatchEvent {
            shard,
            pool: self.pool.clone(),
            dispatcher: self.identity,
            body,
        };
        self.outputs.push(DispatchOutput::Event { to, event });
    }

    /// Asks something of an engine.
    pub(crate) fn order(&mut self, engine: EngineId, body: EngineOrderBody) {
        self.outputs
            .push(DispatchOutput::Order(EngineOrder { engine, body }));
    }

    /// Counts leased tokens to a branch and all above it.
    pub(crate) fn add_leased(&mut self, branch: &BranchPath, tokens: Tokens) {
        for path in branch.ancestry() {
            self.cache_account(&path).leased += tokens.0;
        }
    }

    /// Counts leased tokens of a branch and all above it no more.
    pub(crate) fn remove_leased(&mut self, branch: &BranchPath, tokens: Tokens) {
        for path in branch.ancestry() {
            let account = self.cache_account(&path);
            account.leased = account.leased.saturating_sub(tokens.0);
        }
    }

    /// The cache account of a branch.
    pub(crate) fn cache_account(&mut self, branch: &BranchPath) -> &mut CacheAccount {
        if !self.caches.contains_key(branch) {
            self.caches.insert(branch.clone(), CacheAccount::default());
        }
        self.caches.get_mut(branch).expect("just inserted")
    }
}
