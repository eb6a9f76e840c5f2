//! Has the shards led here announce their calls to a pool's new owner.
//!
//! A new owner asks all replicas for their calls as soon as it starts. That is not enough alone: a leader whose map
//! is older answers to the old owner. So each leader also announces by itself once its own map names another owner,
//! and whichever of the two nodes learns of the change last makes the owner complete.

use std::collections::BTreeSet;

use courseshed_membership::dispatcher_for;
use courseshed_types::{
    Incarnation, ModelName, NodeId, PolicySnapshot, RegionName,
    control::MemberMap,
    dispatch::{DispatchEvent, DispatchEventBody, DispatcherIdentity, PoolId},
};

use crate::{context::NodeContext, shards::ShardInput};

/// A pool and the node that decides for it from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NewOwner {
    pool: PoolId,
    node: NodeId,
}

/// All pools of a region: of the models that its engines serve and of those the settings declare.
pub(super) fn pools_of_region(
    region: &RegionName,
    map: &MemberMap,
    policy: &PolicySnapshot,
) -> BTreeSet<PoolId> {
    let engines = map.engines.engines.iter();
    let of_region = engines.filter(|engine| &engine.region == region);
    let served = of_region.flat_map(|engine| engine.models.iter());
    let pool = |model: &ModelName| PoolId {
        region: region.clone(),
        model: model.clone(),
    };
    served.chain(policy.models.iter()).map(pool).collect()
}

/// The pools whose owner differs between two maps.
pub(super) fn new_owners(
    pools: &BTreeSet<PoolId>,
    before: &MemberMap,
    now: &MemberMap,
) -> Vec<NewOwner> {
    let changed = pools.iter().filter_map(|pool| {
        let node = dispatcher_for(pool, now)?;
        (dispatcher_for(pool, before) != Some(node)).then(|| NewOwner {
            pool: pool.clone(),
            node,
        })
    });
    changed.collect()
}

/// Has every shard led here announce its calls of these pools.
pub(super) fn announce_to(context: &NodeContext, owners: &[NewOwner]) {
    if owners.is_empty() {
        return;
    }
    for shard in context.shards.led() {
        for owner in owners {
            let event = DispatchEvent {
                shard,
                pool: owner.pool.clone(),
                dispatcher: DispatcherIdentity {
                    node: owner.node,
                    incarnation: Incarnation::default(),
                },
                body: DispatchEventBody::AnnounceAll,
            };
            context
                .shards
                .step(context, shard, ShardInput::Dispatch(Box::new(event)));
        }
    }
}

#[cfg(test)]
mod tests;
