//! Dispatcher state: tables, counters and pending outputs.

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
    config::DispatcherConfig,
    estimates::{DecayingRate, WorkloadEstimates},
    output::{DispatchCounters, DispatchOutput, Waste},
    strategy::Strategy,
    systems::liveness::LivenessChecks,
    tables::{
        BranchTable, CallTable, EngineTable, NodeIndex, ProgramTable, ShardTable, TimerTable,
    },
};

/// Requested service, split into prefill and decode.
#[derive(Debug)]
pub(crate) struct DemandMeter {
    pub(crate) prefill: DecayingRate,
    pub(crate) decode: DecayingRate,
}

impl DemandMeter {
    /// Time constant of the demand estimate. Minutes long, because placement moves model weights.
    const TIME_CONSTANT: Duration = Duration::from_secs(120);

    pub(crate) fn new(now: Timestamp) -> DemandMeter {
        DemandMeter {
            prefill: DecayingRate::new(now, DemandMeter::TIME_CONSTANT),
            decode: DecayingRate::new(now, DemandMeter::TIME_CONSTANT),
        }
    }
}

/// Prefix cache accounting of a branch.
#[derive(Debug, Default)]
pub(crate) struct CacheAccount {
    /// Prefix tokens of the branch's own programs believed cached.
    pub(crate) cached: u64,
    /// Leased tokens, including those of descendant branches.
    pub(crate) leased: u64,
    /// Wasted prefix tokens charged to the branch.
    pub(crate) waste: Waste,
}

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
    pub(crate) workload: WorkloadEstimates,
    /// Rate at which calls leave the queues.
    pub(crate) drain_rate: DecayingRate,
    pub(crate) demand: DemandMeter,
    pub(crate) cache_accounts: BTreeMap<BranchPath, CacheAccount>,
    /// Fraction of the pool each branch is entitled to by hierarchical shares, whichever policy
    /// kind is in use.
    pub(crate) entitlements: BTreeMap<BranchPath, f64>,
    pub(crate) counters: DispatchCounters,
    /// Programs whose shards will be asked whether they are still alive.
    pub(crate) liveness_checks: LivenessChecks,
    /// Prefix tokens stored outside engines.
    pub(crate) exported: Tokens,
    /// Queues that have grown since shedding last ran.
    pub(crate) grown_queues: BTreeSet<NodeIndex>,
    pub(crate) outputs: Vec<DispatchOutput>,
}

impl State {
    /// Queues an event for the leader of a shard, if the shard is known.
    pub(crate) fn send_event(&mut self, shard: ShardId, body: DispatchEventBody) {
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

    /// Queues an order for an engine.
    pub(crate) fn send_order(&mut self, engine: EngineId, body: EngineOrderBody) {
        self.outputs
            .push(DispatchOutput::Order(EngineOrder { engine, body }));
    }

    /// Adds leased tokens to a branch and its ancestors.
    pub(crate) fn add_leased(&mut self, branch: &BranchPath, tokens: Tokens) {
        for path in branch.ancestry() {
            self.cache_account(&path).leased += tokens.0;
        }
    }

    /// Subtracts leased tokens from a branch and its ancestors.
    pub(crate) fn remove_leased(&mut self, branch: &BranchPath, tokens: Tokens) {
        for path in branch.ancestry() {
            let account = self.cache_account(&path);
            account.leased = account.leased.saturating_sub(tokens.0);
        }
    }

    /// Cache account of a branch, created on first use.
    pub(crate) fn cache_account(&mut self, branch: &BranchPath) -> &mut CacheAccount {
        if !self.cache_accounts.contains_key(branch) {
            self.cache_accounts
                .insert(branch.clone(), CacheAccount::default());
        }
        self.cache_accounts.get_mut(branch).expect("just inserted")
    }
}
