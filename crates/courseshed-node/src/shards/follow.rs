//! Follows the member map: opens and closes replicas, tells leaders whom to admit, and notes nodes that are gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use courseshed_membership::SHARDS_OF_TENANT;
use courseshed_programs::LeaderConfig;
use courseshed_types::{
    Incarnation, MapEpoch, NodeId,
    control::{MemberMap, NodeState},
};
use parking_lot::Mutex;

use crate::{
    context::NodeContext,
    shards::{
        input::{ReplicaStart, ShardInput},
        plan::{NewReplica, ReplicaChange, ReplicaTarget, plan_replicas, replica_address},
    },
};

/// The member map that the shards of a node follow.
#[derive(Default)]
pub struct FollowedMap(Mutex<Followed>);

#[derive(Default)]
struct Followed {
    epoch: MapEpoch,
    /// The starts of nodes that took part.
    alive: BTreeMap<NodeId, Incarnation>,
}

impl FollowedMap {
    /// Makes the node's replicas those that the map wants, as far as that can be done at once; leaders do the rest
    /// while they tick. Call it with every map that comes into force; older ones change nothing.
    pub fn follow(&self, context: &NodeContext, map: &MemberMap) {
        let mut followed = self.0.lock();
        if map.epoch <= followed.epoch {
            return;
        }
        followed.epoch = map.epoch;
        let changes = plan_replicas(map, context.identity, &context.shards.known());
        for change in changes {
            match change {
                ReplicaChange::Close(shard) => context.shards.close(shard),
                ReplicaChange::Open(replica) => open(context, map, replica),
            }
        }
        set_targets(context, map);
        let alive = alive(map);
        let gone = gone(&followed.alive, &alive);
        followed.alive = alive;
        for node in gone {
            context.shard_client.forget_node(node);
            let gone = || ShardInput::GatewayDown(node);
            context.shards.step_all(context, gone);
        }
    }
}

fn open(context: &NodeContext, map: &MemberMap, replica: NewReplica) {
    let node = context.identity.node;
    let in_region = |region| {
        let placements = map.shards.values();
        placements
            .filter(|placement| &placement.region == region)
            .count()
    };
    let shards_in_region = in_region(&replica.region);
    let mut leader = LeaderConfig::new(node, replica.shard, replica.region);
    leader.generation = replica.generation;
    leader.shards_in_region = u32::try_from(shards_in_region).unwrap_or(u32::MAX);
    let shards_of_tenant = shards_in_region.min(SHARDS_OF_TENANT);
    leader.shards_of_tenant = u32::try_from(shards_of_tenant).unwrap_or(u32::MAX);
    let timeouts = &context.settings.timeouts;
    let start = ReplicaStart {
        address: replica_address(node, context.identity.incarnation.0),
        leader,
        founders: replica.founders,
        election_timeout: timeouts.election,
        heartbeat: timeouts.heartbeat,
    };
    context.shards.open(context, start);
}

fn set_targets(context: &NodeContext, map: &MemberMap) {
    for shard in context.shards.ids() {
        if let Some(placement) = map.shards.get(&shard) {
            let target = Arc::new(ReplicaTarget::new(placement, map));
            let input = ShardInput::Target(target);
            context.shards.step(context, shard, input);
        }
    }
}

fn alive(map: &MemberMap) -> BTreeMap<NodeId, Incarnation> {
    let members = map.members.values();
    let alive = members.filter(|member| member.state != NodeState::Down);
    alive
        .map(|member| (member.node, member.incarnation))
        .collect()
}

/// Nodes of which a start that took part is over.
fn gone(
    before: &BTreeMap<NodeId, Incarnation>,
    now: &BTreeMap<NodeId, Incarnation>,
) -> BTreeSet<NodeId> {
    let over = before
        .iter()
        .filter(|(node, incarnation)| now.get(node) != Some(incarnation));
    over.map(|(node, _)| *node).collect()
}
