//! The order in which the replicas of a record partition are asked.

use courseshed_edge::records::{QueryOrder, order_of_sources};
use courseshed_records::{RecordMember, RecordView};
use courseshed_types::{NodeId, ZoneMap};
use yare::parameterized;

fn zones() -> ZoneMap {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    zones.into_iter().collect()
}

/// A view of five replicas in the given zones, optionally with one that is still joining.
fn view(zones: [&str; 5], joining: Option<u32>) -> RecordView {
    let members = zones.into_iter().zip(1..).map(|(zone, node)| RecordMember {
        node: NodeId(node),
        incarnation: 1,
        zone: zone.to_owned(),
        active: joining != Some(node),
    });
    RecordView {
        epoch: 1,
        members: members.collect(),
        former: Vec::new(),
        home_region: None,
    }
}

fn nodes(members: &[&RecordMember]) -> Vec<u32> {
    members.iter().map(|member| member.node.0).collect()
}

#[parameterized(
    quorum_in_region = { ["a1", "a2", "a1", "a2", "b1"], None, &[1, 2, 3, 4], &[5] },
    quorum_in_region_with_joining_replica = { ["a1", "a2", "a1", "a2", "b1"], Some(2), &[1, 2, 3, 4], &[5] },
    no_quorum_in_region = { ["a1", "a2", "b1", "b2", "b1"], None, &[1, 2, 3, 4, 5], &[] },
    no_active_quorum_in_region = { ["a1", "a2", "a1", "b2", "b1"], Some(1), &[1, 2, 3, 4, 5], &[] },
    all_in_region = { ["a1", "a2", "a1", "a2", "a1"], None, &[1, 2, 3, 4, 5], &[] },
    unknown_zone_counts_as_in_region = { ["a1", "a2", "new", "b2", "b1"], None, &[1, 2, 3], &[4, 5] },
)]
fn remote_replicas_are_asked_later_if_the_region_has_a_quorum(
    member_zones: [&str; 5],
    joining: Option<u32>,
    first: &[u32],
    later: &[u32],
) {
    let view = view(member_zones, joining);
    let order = QueryOrder::new(&view, &zones(), "a1");
    assert_eq!(nodes(&order.first), first);
    assert_eq!(nodes(&order.later), later);
}

#[test]
fn view_is_local_in_the_region_of_its_quorum() {
    let zones = zones();
    let view = view(["a1", "a2", "a1", "a2", "b1"], None);
    assert!(QueryOrder::new(&view, &zones, "a2").is_local(&zones, "a2"));
    assert!(!QueryOrder::new(&view, &zones, "b1").is_local(&zones, "b1"));
    assert!(!QueryOrder::new(&RecordView::default(), &zones, "a1").is_local(&zones, "a1"));
}

/// Guards against a joining replica reading first from a former member in its own zone that never answers.
#[test]
fn joining_replica_reads_from_former_members_last() {
    let mut view = view(["b1", "a2", "a1", "a2", "b2"], Some(3));
    view.former = vec![RecordMember {
        node: NodeId(9),
        incarnation: 1,
        zone: "a1".to_owned(),
        active: true,
    }];
    let order = order_of_sources(&view, &zones(), "a1");
    assert_eq!(nodes(&order), [2, 4, 1, 5, 9]);
}
