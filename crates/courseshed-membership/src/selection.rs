//! Selection of the dispatcher of a pool and of the control relay of a zone.
//!
//! Both are chosen by rendezvous hashing over the live members, so nodes with the same member map agree without
//! coordination. While maps differ, two nodes may act at the same time. This is safe: dispatchers hold only soft state
//! and shards commit every dispatch, and relays grant no more than the remainder of their own settings lease.

use std::collections::BTreeSet;

use courseshed_types::{
    NodeId, ZoneName,
    control::{MemberMap, NodeRole, NodeState},
    dispatch::PoolId,
};

use crate::rendezvous;

/// Returns the dispatcher of a pool. Live nodes take precedence over leaving ones; `None` if all dispatchers of the
/// region are down.
pub fn dispatcher_for(pool: &PoolId, map: &MemberMap) -> Option<NodeId> {
    dispatcher_for_reachable(pool, map, &BTreeSet::new())
}

/// Returns the dispatcher of a pool, excluding nodes that the caller can't reach.
///
/// For regions partitioned from the controllers, where the member map is not updated.
pub fn dispatcher_for_reachable(
    pool: &PoolId,
    map: &MemberMap,
    unreachable: &BTreeSet<NodeId>,
) -> Option<NodeId> {
    let in_state = |state: NodeState| {
        map.members
            .values()
            .filter(move |member| member.region == pool.region && member.state == state)
            .filter(|member| member.roles.contains(&NodeRole::Dispatcher))
            .map(|member| member.node)
            .filter(|node| !unreachable.contains(node))
    };
    let preferred = |state| rendezvous::preferred(&pool_key(pool), in_state(state));
    // Queued calls still need a dispatcher while all nodes of a region are leaving.
    preferred(NodeState::Live).or_else(|| preferred(NodeState::Leaving))
}

/// Returns the live nodes of a zone in order of preference as relay. Controllers are excluded, since they answer
/// requests as controllers.
pub fn relays_for(zone: &ZoneName, map: &MemberMap) -> Vec<NodeId> {
    let candidates = map
        .members
        .values()
        .filter(|member| &member.zone == zone && member.state == NodeState::Live)
        .filter(|member| !member.roles.contains(&NodeRole::Controller))
        .map(|member| member.node);
    rendezvous::ranked(zone.as_str(), candidates)
}

/// Returns the relay of a zone, or `None` if the zone has no live node that can relay.
pub fn relay_for(zone: &ZoneName, map: &MemberMap) -> Option<NodeId> {
    relays_for(zone, map).first().copied()
}

fn pool_key(pool: &PoolId) -> String {
    format!("{}/{}", pool.region, pool.model)
}

#[cfg(test)]
mod tests {
    use courseshed_types::{ModelName, RegionName};

    use super::*;
    use crate::placement::tests::fleet;

    fn pool(model: u32) -> PoolId {
        PoolId {
            region: RegionName::from("r0"),
            model: ModelName::from(format!("model-{model}")),
        }
    }

    #[test]
    fn dispatcher_is_in_the_region_of_the_pool() {
        let map = fleet(2, 3, 4);
        for model in 0..20 {
            let node = dispatcher_for(&pool(model), &map).expect("live dispatchers");
            assert_eq!(map.members[&node].region, RegionName::from("r0"));
        }
    }

    #[test]
    fn leaving_dispatcher_is_used_only_without_live_ones() {
        let mut map = fleet(1, 1, 2);
        for member in map.members.values_mut() {
            member.state = NodeState::Leaving;
        }
        let leaving = dispatcher_for(&pool(0), &map).expect("a leaving dispatcher");
        for member in map.members.values_mut() {
            member.state = if member.node == leaving {
                NodeState::Leaving
            } else {
                NodeState::Live
            };
        }
        assert_ne!(dispatcher_for(&pool(0), &map), Some(leaving));
    }

    #[test]
    fn pool_moves_only_when_its_dispatcher_is_unavailable() {
        let map = fleet(1, 3, 4);
        let before: Vec<_> = (0..40)
            .map(|model| dispatcher_for(&pool(model), &map))
            .collect();
        let unavailable = before[0].expect("live dispatchers");
        let mut smaller = map.clone();
        smaller.members.get_mut(&unavailable).expect("member").state = NodeState::Leaving;
        for (model, old) in before.iter().enumerate() {
            let new = dispatcher_for(&pool(model as u32), &smaller);
            assert_ne!(new, Some(unavailable));
            assert!(*old == Some(unavailable) || *old == new);
        }
        let unreachable = BTreeSet::from([unavailable]);
        assert_eq!(
            dispatcher_for_reachable(&pool(0), &map, &unreachable),
            dispatcher_for(&pool(0), &smaller)
        );
    }

    #[test]
    fn zone_without_live_nodes_has_no_relay() {
        let mut map = fleet(1, 2, 2);
        let zone = ZoneName::from("r0-z0");
        assert!(relay_for(&zone, &map).is_some());
        for member in map.members.values_mut() {
            member.state = NodeState::Down;
        }
        assert_eq!(relay_for(&zone, &map), None);
    }
}
