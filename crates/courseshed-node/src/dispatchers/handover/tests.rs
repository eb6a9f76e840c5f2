//! Whose pools move when the map changes.

use courseshed_types::{
    MapEpoch, ZoneName,
    control::{Member, NodeRole, NodeState},
};

use super::*;

const REGION: &str = "south";

fn member(node: u32, state: NodeState) -> (NodeId, Member) {
    let node = NodeId(node);
    let member = Member {
        node,
        incarnation: Incarnation(1),
        region: RegionName::from(REGION),
        zone: ZoneName::from("south-a"),
        peer_address: String::new(),
        http_address: String::new(),
        roles: vec![NodeRole::Dispatcher],
        state,
    };
    (node, member)
}

fn map(states: [NodeState; 3]) -> MemberMap {
    let numbered = (1..).zip(states);
    MemberMap {
        epoch: MapEpoch(1),
        members: numbered.map(|(node, state)| member(node, state)).collect(),
        ..MemberMap::default()
    }
}

fn pools() -> BTreeSet<PoolId> {
    let policy = PolicySnapshot {
        models: (0..30)
            .map(|model| ModelName::from(format!("model-{model}").as_str()))
            .collect(),
        ..PolicySnapshot::default()
    };
    pools_of_region(&RegionName::from(REGION), &MemberMap::default(), &policy)
}

#[test]
fn a_node_that_leaves_passes_on_its_own_pools_only() {
    use NodeState::{Leaving, Live};
    let (before, after) = (map([Live, Live, Live]), map([Live, Leaving, Live]));
    let pools = pools();
    let was_owned = |pool: &&PoolId| dispatcher_for(pool, &before) == Some(NodeId(2));
    let expected: Vec<&PoolId> = pools.iter().filter(was_owned).collect();
    let moved = new_owners(&pools, &before, &after);
    assert!(!expected.is_empty());
    assert_eq!(
        moved.iter().map(|owner| &owner.pool).collect::<Vec<_>>(),
        expected
    );
    assert!(moved.iter().all(|owner| owner.node != NodeId(2)));
    assert!(new_owners(&pools, &after, &after).is_empty());
}

#[test]
fn without_a_dispatcher_nobody_is_told() {
    let down = map([NodeState::Down; 3]);
    let live = map([NodeState::Live; 3]);
    assert!(new_owners(&pools(), &live, &down).is_empty());
    assert_eq!(new_owners(&pools(), &down, &live).len(), 30);
}
