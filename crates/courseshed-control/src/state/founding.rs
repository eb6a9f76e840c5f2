//! Which starts of which nodes found a shard, and when a shard has to be founded again.
//!
//! Replicas of shards live in memory: a node that restarts has forgotten them. A shard whose voters all restarted is
//! lost, and a new generation of it is founded, empty, by the replicas as they are now. As long as one of the voters
//! last reported has not restarted, nothing is founded: that one may still lead, or be down and come back.

use std::collections::BTreeMap;

use courseshed_types::{
    NodeId,
    control::{Member, MemberMap, ShardPlacement, ShardVoter},
};

/// Founds shards that have no generation yet or have lost it.
pub(super) fn found_shards(map: &mut MemberMap) {
    let members = &map.members;
    let is_same_start = |voter: &ShardVoter| {
        let member = members.get(&voter.node);
        member.is_some_and(|member| member.incarnation == voter.incarnation)
    };
    for placement in map.shards.values_mut() {
        let is_lost = !placement.voters.iter().any(is_same_start);
        if is_lost && !placement.replicas.is_empty() {
            found(placement, members);
        }
    }
}

fn found(placement: &mut ShardPlacement, members: &BTreeMap<NodeId, Member>) {
    let founders = placement.replicas.iter();
    let founders = founders.filter_map(|node| members.get(node));
    placement.voters = founders
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

    fn founded() -> MemberMap {
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
        found_shards(&mut map);
        map
    }

    fn restart(map: &mut MemberMap, node: u32) {
        map.members.insert(NodeId(node), member(node, 2));
        found_shards(map);
    }

    #[test]
    fn a_shard_is_founded_by_its_first_replicas() {
        let placement = &founded().shards[&ShardId(0)];
        assert_eq!(placement.generation, 1);
        assert_eq!(placement.voters.len(), 3);
    }

    #[test]
    fn a_shard_is_founded_again_only_when_every_voter_restarted() {
        let mut map = founded();
        restart(&mut map, 1);
        restart(&mut map, 2);
        assert_eq!(map.shards[&ShardId(0)].generation, 1);
        restart(&mut map, 3);
        let placement = &map.shards[&ShardId(0)];
        assert_eq!(placement.generation, 2);
        let starts = placement.voters.iter().map(|voter| voter.incarnation);
        assert!(starts.eq([Incarnation(2); 3]));
    }

    #[test]
    fn voters_that_were_readmitted_keep_the_shard() {
        let mut map = founded();
        restart(&mut map, 1);
        let placement = map.shards.get_mut(&ShardId(0)).expect("placed");
        placement.voters[0].incarnation = Incarnation(2);
        restart(&mut map, 2);
        restart(&mut map, 3);
        assert_eq!(map.shards[&ShardId(0)].generation, 1);
    }
}
