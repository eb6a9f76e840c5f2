//! Puts a newer policy and member map in force: hands them to the parts of the node that act on them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use courseshed_types::{NodeId, PolicySnapshot, control::MemberMap};

use crate::context::NodeContext;

/// Puts a policy in force if it is newer. Shards and dispatchers look for it at their next tick.
pub fn put_policy(context: &NodeContext, policy: Arc<PolicySnapshot>) {
    let version = policy.version;
    if context.view.set_policy(policy) {
        log::info!(version = version.0; "settings in force");
    }
}

/// Puts a member map in force if it is newer, with the replicas of shards that it places here.
pub fn put_map(context: &NodeContext, map: Arc<MemberMap>) {
    if map.epoch <= context.view.position().map {
        return;
    }
    context.transport().set_addresses(addresses(context, &map));
    let epoch = map.epoch;
    if context.put_map_in_force(map) {
        log::debug!(epoch = epoch.0; "member map in force");
    }
}

/// The addresses of the map, and of the settings file for nodes that the map does not know yet.
fn addresses(context: &NodeContext, map: &MemberMap) -> BTreeMap<NodeId, SocketAddr> {
    let seeds = context.settings.seeds.iter();
    let mut addresses: BTreeMap<NodeId, SocketAddr> =
        seeds.map(|seed| (seed.node_id, seed.peer)).collect();
    for member in map.members.values() {
        match member.peer_address.parse() {
            Ok(address) => {
                addresses.insert(member.node, address);
            }
            Err(_) => log::warn!(
                node = member.node.0;
                "the member map holds no usable address: {}", member.peer_address
            ),
        }
    }
    addresses
}
