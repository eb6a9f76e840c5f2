//! Bootstraps shards: selects the initial voters of each generation of a shard.
//!
//! Shard replicas are kept in memory and lost on restart. If all voters of a shard have restarted, its data is lost and
//! its current replicas bootstrap a new, empty generation. No new generation is bootstrapped while any last reported
//! voter has not restarted, because it may still lead, or be down and return.

use std::collections::BTreeMap;

use courseshed_types::{
    NodeId,
    control::{Member, MemberMap, ShardPlacement, ShardVoter},
};

/// Bootstraps shards that have no generation yet or whose generation is lost.
pub(super) fn bootstrap_shards(map: &mut MemberMap) {
    let members = &map.members;
    let is_same_incarnation = |voter: &ShardVoter| {
        let member = members.get(&voter.node);
        member.is_some_and(|member| member.incarnation == voter.incarnation)
    };
    for placement in map.shards.values_mut() {
        let is_lost = !placement.voters.iter().any(is_same_incarnation);
        if is_lost && !placement.replicas.is_empty() {
            start_generation(placement, members);
        }
    }
}

fn start_generation(placement: &mut ShardPlacement, members: &BTreeMap<NodeId, Member>) {
    let initial_voters = placement.replicas.iter();
    let initial_voters = initial_voters.filter_map(|node| members.get(node));
    placement.voters = initial_voters
        .map(|member| ShardVoter {
            node: member.node,
            incarnation: member.incarnation,
        })
        .collect();
    placement.generation += 1;
}

#[cfg(test)]
mod tests {
    use courseshed_types::{
        Incarnation, ShardId,
        control::{NodeRole, NodeState},
    };

    use super::*;

    fn member(node: u32, incarnation: u64) -> Member {
        Member {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            region: "south".into(),
            zone: "south-a".into(),
            peer_address: String::new(),
            http_address: String::new(),
            roles: vec![NodeRole::Shard],
            state: NodeState::Live,
        }
    }

    fn bootstrapped_map() -> MemberMap {
        let mut map = MemberMap::default();
        for node in 1..=3 {
            map.members.insert(NodeId(node), member(node, 1));
        }
        let placement = ShardPlacement {
            shard: ShardId(0),
            region: "south".into(),
            replicas: vec![NodeId(1), NodeId(2), NodeId(3)],
            generation: 0,
            voters: Vec::new(),
        };
        map.shards.insert(ShardId(0), placement);
        bootstrap_shards(&mut map);
        map
    }

    fn restart(map: &mut MemberMap, node: u32) {
        map.members.insert(NodeId(node), member(node, 2));
        bootstrap_shards(map);
    }

    #[test]
    fn shard_is_bootstrapped_by_its_initial_replicas() {
        let placement = &bootstrapped_map().shards[&ShardId(0)];
        assert_eq!(placement.generation, 1);
        assert_eq!(placement.voters.len(), 3);
    }

    #[test]
    fn new_generation_starts_only_after_all_voters_restarted() {
        let mut map = bootstrapped_map();
        restart(&mut map, 1);
        restart(&mut map, 2);
        assert_eq!(map.shards[&ShardId(0)].generation, 1);
        restart(&mut map, 3);
        let placement = &map.shards[&ShardId(0)];
        assert_eq!(placement.generation, 2);
        let incarnations = placement.voters.iter().map(|voter| voter.incarnation);
        assert!(incarnations.eq([Incarnation(2); 3]));
    }

    #[test]
    fn readmitted_voter_preserves_the_generation() {
        let mut map = bootstrapped_map();
        restart(&mut map, 1);
        let placement = map.shards.get_mut(&ShardId(0)).expect("placed");
        placement.voters[0].incarnation = Incarnation(2);
        restart(&mut map, 2);
        restart(&mut map, 3);
        assert_eq!(map.shards[&ShardId(0)].generation, 1);
    }
}
