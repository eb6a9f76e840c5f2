//! The dispatchers of a run, one for each model, and what waits at each.

use std::{collections::BTreeMap, sync::Arc};

use courseshed_dispatch::{DispatchOutput, Dispatcher};
use courseshed_types::{
    BranchPath, CallId, Incarnation, ModelName, NodeId, RegionName, Timestamp,
    dispatch::{
        DispatchRequest, DispatchRequestBody, DispatcherIdentity, EngineMember, PoolId, WaitingCall,
    },
};

use super::{
    event::{Event, PoolIndex},
    program::SHARD,
    run::Simulation,
    scenario::Scenario,
};
use crate::workload::TurnScript;

/// The region of a run.
const REGION: &str = "region";
/// The node that leads the shard.
const LEADER: NodeId = NodeId(1);

/// One model's dispatcher.
pub(super) struct Pool {
    pub(super) model: ModelName,
    id: PoolId,
    pub(super) dispatcher: Dispatcher,
    /// When a tick is due already.
    tick_at: Option<Timestamp>,
    /// Calls that wait, with the least service each needs.
    waiting: BTreeMap<CallId, (BranchPath, u64)>,
    decode_weight: u64,
}

impl Pool {
    /// A pool for each model of the fleet.
    pub(super) fn build(scenario: &Scenario) -> (Vec<Pool>, BTreeMap<ModelName, PoolIndex>) {
        let mut pools: Vec<Pool> = Vec::new();
        let mut places = BTreeMap::new();
        for spec in &scenario.engines {
            if !places.contains_key(&spec.model) {
                places.insert(spec.model.clone(), pools.len());
                pools.push(Pool::new(scenario, spec.model.clone()));
            }
        }
        (pools, places)
    }

    fn new(scenario: &Scenario, model: ModelName) -> Pool {
        let id = PoolId {
            region: RegionName::from(REGION),
            model: model.clone(),
        };
        let identity = DispatcherIdentity {
            node: LEADER,
            incarnation: Incarnation(1),
        };
        let config = scenario.dispatcher.clone();
        let decode_weight = config.decode_weight;
        let kind = scenario.policy_kind;
        let now = Timestamp::ZERO;
        let mut dispatcher = Dispatcher::new(id.clone(), identity, config, kind, now);
        dispatcher.on_policy(now, Arc::clone(&scenario.policy));
        Pool {
            model,
            id,
            dispatcher,
            tick_at: None,
            waiting: BTreeMap::new(),
            decode_weight,
        }
    }

    /// A call begins to wait.
    pub(super) fn begin_wait(&mut self, call: &WaitingCall, turn: &TurnScript) {
        let service = turn.new_tokens + self.decode_weight * turn.output_tokens;
        self.waiting
            .insert(call.call, (call.branch.clone(), service));
    }

    /// A call waits no more.
    pub(super) fn end_wait(&mut self, call: CallId) {
        self.waiting.remove(&call);
    }

    /// The least service that waiting calls need, by branch.
    pub(super) fn backlog(&self) -> BTreeMap<BranchPath, u64> {
        let mut backlog = BTreeMap::new();
        for (branch, service) in self.waiting.values() {
            *backlog.entry(branch.clone()).or_default() += service;
        }
        backlog
    }
}

impl Simulation<'_> {
    /// A message reaches a dispatcher.
    pub(super) fn dispatcher_hears(&mut self, pool: PoolIndex, body: DispatchRequestBody) {
        let now = self.now();
        let request = DispatchRequest {
            pool: self.pools[pool].id.clone(),
            shard: SHARD,
            leader: LEADER,
            term: 1,
            body,
        };
        self.pools[pool].dispatcher.on_request(now, request);
        self.want_tick(pool, now);
    }

    /// Has a dispatcher's systems run at a time, unless they run before that anyway.
    pub(super) fn want_tick(&mut self, pool: PoolIndex, at: Timestamp) {
        let due = self.pools[pool].tick_at;
        if due.is_none_or(|due| due > at) {
            self.pools[pool].tick_at = Some(at);
            self.queue.add(at, Event::Tick(pool));
        }
    }

    /// Runs a dispatcher's systems and sends what they say.
    pub(super) fn tick(&mut self, pool: PoolIndex) {
        let now = self.now();
        if self.pools[pool].tick_at.is_none_or(|due| due > now) {
            return;
        }
        self.pools[pool].tick_at = None;
        self.pools[pool].dispatcher.tick(now);
        let outputs = self.pools[pool].dispatcher.take_outputs();
        for output in outputs {
            self.send(output);
        }
        if let Some(at) = self.pools[pool].dispatcher.next_wakeup() {
            self.want_tick(pool, at.max(now));
        }
    }

    fn send(&mut self, output: DispatchOutput) {
        let at = self.now() + self.scenario.delays.message;
        match output {
            DispatchOutput::Event { event, .. } => {
                self.queue.add(at, Event::ShardHears(Box::new(event.body)));
            }
            DispatchOutput::Order(order) => {
                if let Some(engine) = self.scenario.engine_position(&order.engine) {
                    self.queue.add(at, Event::EngineOrdered(engine, order.body));
                }
            }
        }
    }

    /// Tells all dispatchers the list of engines.
    pub(super) fn announce_directory(&mut self) {
        let now = self.now();
        let members: Vec<EngineMember> = self
            .engines
            .iter()
            .zip(&self.scenario.engines)
            .map(|(host, spec)| EngineMember {
                engine: spec.engine.clone(),
                address: String::new(),
                region: RegionName::from(REGION),
                zone: spec.zone.clone(),
                models: vec![spec.model.clone()],
                state: host.state(),
            })
            .collect();
        for pool in 0..self.pools.len() {
            self.pools[pool].dispatcher.on_engines(now, &members);
            self.want_tick(pool, now);
        }
    }
}
