//! Following the member map: who founds, who waits, who closes.

use std::collections::BTreeMap;

use courseshed_consensus::{Configuration, MembershipChange, ReplicaId};
use courseshed_transport::PeerIdentity;
use courseshed_types::{
    Incarnation, NodeId, ShardId,
    control::{Member, MemberMap, NodeRole, NodeState, ShardPlacement, ShardVoter},
};
use yare::parameterized;

use super::{
    members::{LeaderStep, next_member_step, voters_of},
    plan::{KnownReplica, ReplicaChange, ReplicaTarget, plan_replicas, replica_address},
};

const SHARD: ShardId = ShardId(4);

fn voter(node: u32, incarnation: u64) -> ShardVoter {
    ShardVoter {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
    }
}

fn map(generation: u32, replicas: &[u32], voters: &[ShardVoter]) -> MemberMap {
    let placement = ShardPlacement {
        shard: SHARD,
        region: "south".into(),
        replicas: replicas.iter().copied().map(NodeId).collect(),
        generation,
        voters: voters.to_vec(),
    };
    let member = |node| Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
        region: "south".into(),
        zone: "south-a".into(),
        peer_address: String::new(),
        http_address: String::new(),
        roles: vec![NodeRole::Shard],
        state: NodeState::Live,
    };
    MemberMap {
        members: (1..=5).map(|node| (NodeId(node), member(node))).collect(),
        shards: BTreeMap::from([(SHARD, placement)]),
        ..MemberMap::default()
    }
}

fn own(incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        node: NodeId(1),
        incarnation: Incarnation(incarnation),
    }
}

fn known(generation: u32, is_open: bool, is_member: bool) -> BTreeMap<ShardId, KnownReplica> {
    let known = KnownReplica {
        generation,
        is_open,
        is_member,
    };
    BTreeMap::from([(SHARD, known)])
}

fn changes(
    map: &MemberMap,
    own: PeerIdentity,
    known: &BTreeMap<ShardId, KnownReplica>,
) -> Vec<String> {
    let changes = plan_replicas(map, own, known);
    let names = changes.iter().map(|change| match change {
        ReplicaChange::Close(_) => "close".to_owned(),
        ReplicaChange::Open(replica) if replica.founders.is_empty() => "join".to_owned(),
        ReplicaChange::Open(replica) => format!("found with {}", replica.founders.len()),
    });
    names.collect()
}

#[parameterized(
    a_founder_founds_once = { 1, &[1, 2, 3], 1, None, &["found with 3"] },
    a_founder_that_opened_does_nothing = { 1, &[1, 2, 3], 1, Some((1, true, true)), &[] },
    a_restarted_founder_joins = { 1, &[1, 2, 3], 2, None, &["join"] },
    a_replica_that_was_closed_never_founds_again = { 1, &[1, 2, 3], 1, Some((1, false, false)), &["join"] },
    a_later_generation_is_founded_anew = { 2, &[1, 2, 3], 1, Some((1, true, true)), &["close", "found with 3"] },
    a_shard_never_founded_is_left_alone = { 0, &[1, 2, 3], 1, None, &[] },
    an_older_map_changes_nothing = { 1, &[1, 2, 3], 1, Some((2, true, true)), &[] },
    a_voter_placed_elsewhere_stays = { 1, &[2, 3, 4], 1, Some((1, true, true)), &[] },
    a_learner_placed_elsewhere_closes = { 1, &[2, 3, 4], 2, Some((1, true, false)), &["close"] },
)]
fn the_map_is_followed(
    generation: u32,
    replicas: &[u32],
    incarnation: u64,
    opened: Option<(u32, bool, bool)>,
    expected: &[&str],
) {
    let voters = [voter(1, 1), voter(2, 1), voter(3, 1)];
    let map = map(generation, replicas, &voters);
    let known = opened.map_or_else(BTreeMap::new, |(generation, is_open, is_member)| {
        known(generation, is_open, is_member)
    });
    assert_eq!(changes(&map, own(incarnation), &known), expected);
}

#[test]
fn a_replica_closes_once_the_move_is_reported_complete() {
    let moved = [voter(2, 1), voter(3, 1), voter(4, 1)];
    let map = map(1, &[2, 3, 4], &moved);
    assert_eq!(changes(&map, own(1), &known(1, true, true)), ["close"]);
}

/// Steps until nothing is left to do, with learners that catch up at once.
fn settle(mut members: Configuration, target: &ReplicaTarget) -> (Configuration, Vec<LeaderStep>) {
    let own = ReplicaId(1);
    let mut steps = Vec::new();
    while let Some(step) = next_member_step(&members, own, target) {
        steps.push(step);
        let LeaderStep::Change(change) = step else {
            break;
        };
        members = members.with(change).expect("a change that makes sense");
    }
    (members, steps)
}

fn three() -> Configuration {
    Configuration::of_voters((1..=3).map(|node| replica_address(NodeId(node), 1)))
}

#[test]
fn a_replica_is_replaced_by_admission_then_removal() {
    let map = map(1, &[1, 2, 4], &[]);
    let target = ReplicaTarget::new(&map.shards[&SHARD], &map);
    let (members, steps) = settle(three(), &target);
    let newcomer = replica_address(NodeId(4), 1);
    let expected = [
        MembershipChange::AddLearner(newcomer),
        MembershipChange::PromoteLearner(newcomer.replica),
        MembershipChange::Remove(ReplicaId(3)),
    ];
    assert_eq!(steps, expected.map(LeaderStep::Change));
    assert_eq!(voters_of(&members), [voter(1, 1), voter(2, 1), voter(4, 1)]);
}

#[test]
fn a_leader_that_is_to_go_hands_over_last() {
    let map = map(1, &[2, 3, 4], &[]);
    let target = ReplicaTarget::new(&map.shards[&SHARD], &map);
    let (_, steps) = settle(three(), &target);
    assert_eq!(steps.last(), Some(&LeaderStep::HandOver(ReplicaId(2))));
}

#[test]
fn a_node_that_is_down_is_not_admitted() {
    let mut map = map(1, &[1, 2, 4], &[]);
    let member = map.members.get_mut(&NodeId(4)).expect("a member");
    member.state = NodeState::Down;
    let target = ReplicaTarget::new(&map.shards[&SHARD], &map);
    assert_eq!(settle(three(), &target).1, []);
}
