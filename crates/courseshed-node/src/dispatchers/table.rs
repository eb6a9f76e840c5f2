//! The dispatchers a node owns, by the member map: a pool belongs to the node that rendezvous chooses.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use courseshed_dispatch::{Dispatcher, DispatcherConfig, PolicyKind, ShardLeader};
use courseshed_membership::dispatcher_for;
use courseshed_types::{
    CallId, PolicySnapshot,
    control::MemberMap,
    dispatch::{DispatchRequest, DispatcherIdentity, PoolId, WaitExplanation},
};
use parking_lot::RwLock;

use crate::{
    context::NodeContext,
    dispatchers::{handover::pools_of_region, slot::DispatcherSlot},
};

/// The dispatchers a node owns.
#[derive(Default)]
pub struct DispatcherTable {
    slots: RwLock<BTreeMap<PoolId, Arc<DispatcherSlot>>>,
}

impl DispatcherTable {
    /// All dispatchers here.
    pub fn all(&self) -> Vec<Arc<DispatcherSlot>> {
        self.slots.read().values().cloned().collect()
    }

    /// The dispatcher of a pool, if this node owns it.
    pub fn get(&self, pool: &PoolId) -> Option<Arc<DispatcherSlot>> {
        self.slots.read().get(pool).cloned()
    }

    /// What a shard's leader says. Dropped if the pool is another node's: the leader follows the map too, and
    /// announces its calls to the pool's owner.
    pub fn on_request(&self, context: &NodeContext, request: DispatchRequest) {
        match self.get(&request.pool) {
            Some(slot) => slot.step(context, |dispatcher, now| {
                dispatcher.on_request(now, request)
            }),
            None => log::debug!("no dispatcher here for {}", request.pool.model),
        }
    }

    /// Lets time pass.
    pub fn tick(&self, context: &NodeContext) {
        for slot in self.all() {
            slot.tick(context);
        }
    }

    /// Why a call waits.
    pub fn explain(
        &self,
        context: &NodeContext,
        pool: &PoolId,
        call: CallId,
    ) -> Option<WaitExplanation> {
        let now = context.clock.now();
        self.get(pool)?
            .read(|dispatcher| dispatcher.explain(now, call))
    }

    /// Starts and stops dispatchers so that they are those of the pools the map gives this node, and hands all
    /// of them the engines and the policy in force.
    pub fn reconcile(&self, context: &NodeContext) {
        let map = context.view.map();
        let policy = context.view.policy().snapshot.clone();
        let owned = owned_pools(context, &map, &policy);
        self.slots.write().retain(|pool, _| owned.contains(pool));
        for pool in owned {
            let slot = match self.get(&pool) {
                Some(slot) => slot,
                None => self.start(context, &map, pool),
            };
            let policy = policy.clone();
            let engines = map.engines.engines.clone();
            slot.step(context, |dispatcher, now| {
                dispatcher.on_policy(now, policy);
                dispatcher.on_engines(now, &engines);
            });
        }
    }

    /// Asks the shards again for all their calls: what was lost between a leader and a dispatcher, calls and ends of
    /// calls alike, is made good by it.
    pub fn reconcile_calls(&self, context: &NodeContext) {
        let map = context.view.map();
        for slot in self.all() {
            let leaders = replicas_of(&map, slot.pool());
            slot.step(context, |dispatcher, _| {
                dispatcher.request_announcements(&leaders)
            });
        }
    }

    fn start(&self, context: &NodeContext, map: &MemberMap, pool: PoolId) -> Arc<DispatcherSlot> {
        log::info!(region = pool.region.as_str(), model = pool.model.as_str(); "dispatcher started");
        let identity = DispatcherIdentity {
            node: context.identity.node,
            incarnation: context.next_dispatcher_incarnation(),
        };
        let now = context.clock.now();
        let config = DispatcherConfig {
            max_waiting: context.settings.limits.waiting_calls as usize,
            lease_ttl: context.settings.timeouts.cache_lease,
            ..DispatcherConfig::default()
        };
        let kind = PolicyKind::Courseshed;
        let mut dispatcher = Dispatcher::new(pool.clone(), identity, config, kind, now);
        dispatcher.request_announcements(&replicas_of(map, &pool));
        let slot = Arc::new(DispatcherSlot::new(dispatcher));
        self.slots.write().insert(pool, slot.clone());
        slot
    }
}

/// All replicas of the region's shards; those that don't lead ignore the question.
fn replicas_of(map: &MemberMap, pool: &PoolId) -> Vec<ShardLeader> {
    let of_region =
        |placement: &&courseshed_types::control::ShardPlacement| placement.region == pool.region;
    map.shards
        .values()
        .filter(of_region)
        .flat_map(|placement| {
            placement.replicas.iter().map(|leader| ShardLeader {
                shard: placement.shard,
                leader: *leader,
            })
        })
        .collect()
}

fn owned_pools(
    context: &NodeContext,
    map: &MemberMap,
    policy: &PolicySnapshot,
) -> BTreeSet<PoolId> {
    let mut pools = pools_of_region(&context.settings.region, map, policy);
    pools.retain(|pool| dispatcher_for(pool, map) == Some(context.identity.node));
    pools
}
