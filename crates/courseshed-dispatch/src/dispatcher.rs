//! Public interface of the dispatcher of one pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
    time::Duration,
};

use courseshed_types::{
    CallId, EngineId, PolicySnapshot, Timestamp, Tokens,
    dispatch::{
        CacheEvent, DispatchEventBody, DispatchRequest, DispatcherIdentity, EngineLoad,
        EngineMember, LeaseEntry, PoolId, WaitExplanation,
    },
};

use crate::{
    config::{DispatcherConfig, PolicyKind},
    estimates::{DecayingRate, WorkloadEstimates},
    explain,
    output::{DispatchOutput, DispatcherStats, PoolDemand, ShardLeader},
    state::{DemandMeter, State},
    strategy::{Sharing, Strategy},
    systems::{
        assignment, cache_view, engine_health, expiry, liveness, queueing, requests, shedding,
    },
    tables::{
        BranchTable, CallPhase, CallTable, EngineTable, ProgramTable, ShardTable, Timer, TimerTable,
    },
};

/// Time constant of the queue drain rate.
const DRAIN_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Schedules the calls of one pool onto its engines. Performs no I/O and is deterministic: the same
/// inputs at the same times give the same outputs.
///
/// Drivers pass in incoming messages, call [`Dispatcher::tick`] after each batch of input and at
/// [`Dispatcher::next_wakeup`], and send what [`Dispatcher::take_outputs`] returns.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) state: State,
}

impl Dispatcher {
    /// Creates an empty dispatcher. Its identity must differ from that of every earlier dispatcher
    /// of the pool.
    pub fn new(
        pool: PoolId,
        identity: DispatcherIdentity,
        config: DispatcherConfig,
        policy_kind: PolicyKind,
        now: Timestamp,
    ) -> Dispatcher {
        let policy = Arc::new(PolicySnapshot::default());
        let strategy = Strategy::for_kind(policy_kind);
        let branches = BranchTable::build(&policy, strategy.sharing, None);
        let grace_until = now + config.announce_grace;
        let mut timers = TimerTable::default();
        timers.set(grace_until, Timer::GraceEnds);
        let state = State {
            pool,
            identity,
            config,
            strategy,
            policy,
            grace_until,
            branches,
            calls: CallTable::default(),
            programs: ProgramTable::default(),
            engines: EngineTable::default(),
            shards: ShardTable::default(),
            timers,
            workload: WorkloadEstimates::default(),
            drain_rate: DecayingRate::new(now, DRAIN_TIME_CONSTANT),
            demand: DemandMeter::new(now),
            cache_accounts: BTreeMap::new(),
            entitlements: BTreeMap::new(),
            counters: Default::default(),
            liveness_checks: Default::default(),
            exported: Tokens::ZERO,
            grown_queues: BTreeSet::new(),
            outputs: Vec::new(),
        };
        Dispatcher { state }
    }

    /// The pool this dispatcher schedules.
    pub fn pool(&self) -> &PoolId {
        &self.state.pool
    }

    /// Asks the leaders of shards to announce their calls in this pool. A driver that knows the
    /// leaders should call this right after creating the dispatcher.
    pub fn request_announcements(&mut self, shards: &[ShardLeader]) {
        for shard in shards {
            let event = courseshed_types::dispatch::DispatchEvent {
                shard: shard.shard,
                pool: self.state.pool.clone(),
                dispatcher: self.state.identity,
                body: DispatchEventBody::AnnounceAll,
            };
            let to = shard.leader;
            self.state.outputs.push(DispatchOutput::Event { to, event });
        }
    }

    /// Handles a message from a shard leader. Messages may be duplicated or delayed.
    pub fn on_request(&mut self, now: Timestamp, request: DispatchRequest) {
        requests::handle(&mut self.state, now, request);
    }

    /// Applies a policy snapshot; older versions are ignored. Accounting state of branches that
    /// remain is preserved.
    pub fn on_policy(&mut self, now: Timestamp, policy: Arc<PolicySnapshot>) {
        let state = &mut self.state;
        if policy.version < state.policy.version {
            return;
        }
        let older = &state.branches;
        state.branches = BranchTable::build(&policy, state.strategy.sharing, Some(older));
        state.entitlements = BranchTable::build(&policy, Sharing::Tree, None).entitlements();
        state.policy = policy;
        let mut waiting = Vec::new();
        for (id, entry) in state.calls.iter_mut() {
            entry.queue = state.branches.queue_of(&entry.call.branch);
            if matches!(entry.phase, CallPhase::Waiting(_)) {
                waiting.push(*id);
            }
        }
        for call in waiting {
            queueing::enqueue(state, now, call);
        }
    }

    /// Applies the engine directory, which lists the engines of all pools.
    pub fn on_engines(&mut self, now: Timestamp, engines: &[EngineMember]) {
        engine_health::apply_directory(&mut self.state, now, engines);
    }

    /// Handles a load report from an engine; reports lag behind the engine's state.
    pub fn on_engine_load(&mut self, now: Timestamp, engine: &EngineId, load: EngineLoad) {
        engine_health::record_load(&mut self.state, now, engine, load);
    }

    /// Handles a prefix cache event from an engine. Events may be late and have gaps.
    pub fn on_cache_event(&mut self, _now: Timestamp, engine: &EngineId, event: CacheEvent) {
        cache_view::handle_event(&mut self.state, engine, event);
    }

    /// Handles a full listing of an engine's cached prefixes.
    pub fn on_cache_listing(&mut self, now: Timestamp, engine: &EngineId, listing: &[LeaseEntry]) {
        cache_view::reconcile_listing(&mut self.state, now, engine, listing);
    }

    /// Handles a report that an engine is unreachable.
    pub fn on_engine_unreachable(&mut self, now: Timestamp, engine: &EngineId) {
        engine_health::mark_unreachable(&mut self.state, now, engine);
    }

    /// Runs due timers, then assignment, shedding and liveness checks.
    pub fn tick(&mut self, now: Timestamp) {
        expiry::run(&mut self.state, now);
        assignment::run(&mut self.state, now);
        shedding::run(&mut self.state, now);
        liveness::run(&mut self.state, now);
    }

    /// Returns and clears the pending outputs.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        mem::take(&mut self.state.outputs)
    }

    /// When [`Dispatcher::tick`] must run next even without new input.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.state.timers.next()
    }

    /// Explains why a call is queued; `None` if it is not queued in this pool.
    pub fn explain(&self, now: Timestamp, call: CallId) -> Option<WaitExplanation> {
        explain::explain(&self.state, now, call)
    }

    /// Recent demand for service, for placement; `None` until enough samples were recorded.
    pub fn demand(&self, now: Timestamp) -> Option<PoolDemand> {
        let prefill = self.state.demand.prefill.per_second(now)?;
        let decode = self.state.demand.decode.per_second(now)?;
        Some(PoolDemand { prefill, decode })
    }

    /// Counters and tables for operators. Takes time linear in the number of branches and engines.
    pub fn stats(&self, now: Timestamp) -> DispatcherStats {
        explain::stats(&self.state, now)
    }
}
