//! The dispatcher of one pool, as its drivers see it.

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
    baselines::{Sharing, Strategy},
    config::{DispatcherConfig, PolicyKind},
    explain,
    learn::{FadingRate, Shapes},
    output::{DispatchOutput, DispatcherStats, PoolDemand, ShardLeader},
    state::{DemandMeter, State},
    systems::{
        assignment, cache_view, engine_health, expiry, intake, liveness, queueing, shedding,
    },
    tables::{
        BranchTable, CallPhase, CallTable, EngineTable, ProgramTable, ShardTable, Timer, TimerTable,
    },
};

/// Time in which the rate of calls served fades.
const DRAIN_FADE: Duration = Duration::from_secs(20);

/// Decides for one pool whose call runs on which engine. Free of I/O and deterministic: the same calls at the same
/// times give the same outputs.
///
/// Drivers feed it what arrives, call [`Dispatcher::tick`] after each batch of input and at
/// [`Dispatcher::next_wakeup`], and send what [`Dispatcher::take_outputs`] returns.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) state: State,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet. Its identity must differ from every earlier dispatcher of the pool.
    pub fn new(
        pool: PoolId,
        identity: DispatcherIdentity,
        config: DispatcherConfig,
        policy_kind: PolicyKind,
        now: Timestamp,
    ) -> Dispatcher {
        let policy = Arc::new(PolicySnapshot::default());
        let strategy = Strategy::of(policy_kind);
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
            shapes: Shapes::default(),
            drain_rate: FadingRate::new(now, DRAIN_FADE),
            demand: DemandMeter::new(now),
            caches: BTreeMap::new(),
            entitlements: BTreeMap::new(),
            counters: Default::default(),
            checks: Default::default(),
            exported: Tokens::ZERO,
            grown_queues: BTreeSet::new(),
            outputs: Vec::new(),
        };
        Dispatcher { state }
    }

    /// The pool it decides for.
    pub fn pool(&self) -> &PoolId {
        &self.state.pool
    }

    /// Asks shards for all their calls in this pool; a driver that knows the shards' leaders calls this at once
    /// after making the dispatcher.
    pub fn ask_announcements(&mut self, shards: &[ShardLeader]) {
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

    /// Takes what a shard's leader says. Messages may come twice or late.
    pub fn on_request(&mut self, now: Timestamp, request: DispatchRequest) {
        intake::take(&mut self.state, now, request);
    }

    /// Takes a settings version over; older ones are dropped. Accounts of branches that stay are kept.
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

    /// Takes the list of engines over; it names all engines, also those of other pools.
    pub fn on_engines(&mut self, now: Timestamp, engines: &[EngineMember]) {
        engine_health::take_directory(&mut self.state, now, engines);
    }

    /// Takes an engine's load report, which lags.
    pub fn on_engine_load(&mut self, now: Timestamp, engine: &EngineId, load: EngineLoad) {
        engine_health::take_load(&mut self.state, now, engine, load);
    }

    /// Takes an event of an engine's prefix cache; events come late and with gaps.
    pub fn on_cache_event(&mut self, _now: Timestamp, engine: &EngineId, event: CacheEvent) {
        cache_view::take_event(&mut self.state, engine, event);
    }

    /// Takes an engine's own whole listing of cached prefixes.
    pub fn on_cache_listing(&mut self, now: Timestamp, engine: &EngineId, listing: &[LeaseEntry]) {
        cache_view::take_listing(&mut self.state, now, engine, listing);
    }

    /// An engine can't be reached.
    pub fn on_engine_unreachable(&mut self, now: Timestamp, engine: &EngineId) {
        engine_health::unreachable(&mut self.state, now, engine);
    }

    /// Runs the systems.
    pub fn tick(&mut self, now: Timestamp) {
        expiry::run(&mut self.state, now);
        assignment::run(&mut self.state, now);
        shedding::run(&mut self.state, now);
        liveness::run(&mut self.state, now);
    }

    /// What is to be sent since the last call.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        mem::take(&mut self.state.outputs)
    }

    /// When [`Dispatcher::tick`] must run even if nothing arrives.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.state.timers.next()
    }

    /// Why a call waits; none if it does not wait here.
    pub fn explain(&self, now: Timestamp, call: CallId) -> Option<WaitExplanation> {
        explain::explain(&self.state, now, call)
    }

    /// Service that calls asked for of late, for placement; none until enough was seen.
    pub fn demand(&self, now: Timestamp) -> Option<PoolDemand> {
        let prefill = self.state.demand.prefill.per_second(now)?;
        let decode = self.state.demand.decode.per_second(now)?;
        Some(PoolDemand { prefill, decode })
    }

    /// Counters and tables for operators. Costs time in proportion to branches and engines.
    pub fn stats(&self, now: Timestamp) -> DispatcherStats {
        explain::stats(&self.state, now)
    }
}
