//! The order in which nodes prefer controllers to follow.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::follower_order::{CandidateController, order_of_controllers};
use courseshed_types::NodeId;

const NODES: u32 = 900;
const CONTROLLERS: u32 = 10;

fn candidate(node: u32, answered_in_ms: Option<u64>) -> CandidateController {
    CandidateController {
        node: NodeId(node),
        answered_in: answered_in_ms.map(Duration::from_millis),
    }
}

fn followers_by_controller(candidates: &[CandidateController]) -> BTreeMap<NodeId, u32> {
    let mut followers = BTreeMap::new();
    for gateway in 1_000..1_000 + NODES {
        let order = order_of_controllers(NodeId(gateway), candidates.to_vec());
        assert_eq!(order.len(), candidates.len());
        *followers.entry(order[0]).or_default() += 1;
    }
    followers
}

/// Guards against nodes concentrating on the controllers that they learn of first.
#[test]
fn followers_spread_over_all_controllers() {
    let near: Vec<_> = (0..CONTROLLERS)
        .map(|node| candidate(node, Some(u64::from(node))))
        .collect();
    let followers = followers_by_controller(&near);
    assert_eq!(followers.len(), CONTROLLERS as usize);
    let mean = NODES / CONTROLLERS;
    for count in followers.values() {
        assert!((mean / 2..2 * mean).contains(count), "{followers:?}");
    }
}

#[test]
fn followers_of_a_lost_controller_spread_over_the_others() {
    let near: Vec<_> = (0..CONTROLLERS)
        .map(|node| candidate(node, Some(1)))
        .collect();
    let mut next = BTreeMap::new();
    for gateway in 1_000..1_000 + NODES {
        let order = order_of_controllers(NodeId(gateway), near.clone());
        if order[0] == NodeId(0) {
            *next.entry(order[1]).or_insert(0) += 1;
        }
    }
    assert_eq!(next.len(), CONTROLLERS as usize - 1, "{next:?}");
}

#[test]
fn unresponsive_controllers_come_last_after_those_of_other_regions() {
    let candidates = [
        candidate(1, None),
        candidate(2, Some(61)),
        candidate(3, Some(2)),
        candidate(4, Some(5)),
    ];
    for gateway in 1_000..1_100 {
        let order = order_of_controllers(NodeId(gateway), candidates.to_vec());
        assert!(order[0] == NodeId(3) || order[0] == NodeId(4), "{order:?}");
        assert_eq!(order[2..], [NodeId(2), NodeId(1)]);
    }
}
