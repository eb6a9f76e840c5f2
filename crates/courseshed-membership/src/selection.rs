//! Who decides for a pool, and who relays control traffic for a zone.
//!
//! Both are chosen by rendezvous hash over the live members, so nodes that have the same member map agree without
//! asking. While maps differ, two nodes may act at once: dispatchers hold soft state only and shards commit every
//! dispatch, and relays hand out no more than what is left of their own settings lease, so that is harmless.

use std::collections::BTreeSet;

use courseshed_types::{
    NodeId, ZoneName,
    control::{MemberMap, NodeRole, NodeState},
    dispatch::PoolId,
};

use crate::rendezvous;

/// The dispatcher of a pool, among the live nodes, or the leaving ones if there are no others; none if the region has
/// no dispatcher that is not down.
pub fn dispatcher_for(pool: &PoolId, map: &MemberMap) -> Option<NodeId> {
    dispatcher_for_reachable(pool, map, &BTreeSet::new())
}

/// The dispatcher of a pool, passing over nodes that the caller itself can't reach.
///
/// Meant for a region cut off from the controllers, where the member map can't be corrected.
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
    // Calls that wait must be decided about to the end, also where no node stays.
    preferred(NodeState::Live).or_else(|| preferred(NodeState::Leaving))
}

/// The live nodes of a zone from the most to the least preferred as relay. Controllers are none: they answer for
/// themselves.
pub fn relays_for(zone: &ZoneName, map: &MemberMap) -> Vec<NodeId> {
    let candidates = map
        .members
        .values()
        .filter(|member| &member.zone == zone && member.state == NodeState::Live)
        .filter(|member| !member.roles.contains(&NodeRole::Controller))
        .map(|member| member.node);
    rendezvous::ranked(zone.as_str(), candidates)
}

/// The relay of a zone; none if no node of it is live.
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
    fn pools_stay_in_their_region() {
        let map = fleet(2, 3, 4);
        for model in 0..20 {
            let node = dispatcher_for(&pool(model), &map).expect("live dispatchers");
            assert_eq!(map.members[&node].region, RegionName::from("r0"));
        }
    }

    #[test]
    fn the_last_dispatcher_of_a_region_decides_while_it_leaves() {
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
    fn a_pool_moves_only_when_its_dispatcher_goes() {
        let map = fleet(1, 3, 4);
        let before: Vec<_> = (0..40)
            .map(|model| dispatcher_for(&pool(model), &map))
            .collect();
        let gone = before[0].expect("live dispatchers");
        let mut smaller = map.clone();
        smaller.members.get_mut(&gone).expect("member").state = NodeState::Leaving;
        for (model, old) in before.iter().enumerate() {
            let new = dispatcher_for(&pool(model as u32), &smaller);
            assert_ne!(new, Some(gone));
            assert!(*old == Some(gone) || *old == new);
        }
        let unreachable = BTreeSet::from([gone]);
        assert_eq!(
            dispatcher_for_reachable(&pool(0), &map, &unreachable),
            dispatcher_for(&pool(0), &smaller)
        );
    }

    #[test]
    fn a_zone_without_live_nodes_has_no_relay() {
        let mut map = fleet(1, 2, 2);
        let zone = ZoneName::from("r0-z0");
        assert!(relay_for(&zone, &map).is_some());
        for member in map.members.values_mut() {
            member.state = NodeState::Down;
        }
        assert_eq!(relay_for(&zone, &map), None);
    }
}
