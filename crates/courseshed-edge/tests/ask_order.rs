//! Which replicas of a partition are asked first.

use courseshed_edge::records::{QueryOrder, order_of_sources};
use courseshed_records::{RecordMember, RecordView};
use courseshed_types::{NodeId, ZoneMap};
use yare::parameterized;

fn zones() -> ZoneMap {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    zones.into_iter().collect()
}

/// Five replicas in zones; one is still joining if it is named.
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
    }
}

fn nodes(members: &[&RecordMember]) -> Vec<u32> {
    members.iter().map(|member| member.node.0).collect()
}

#[parameterized(
    a_quorum_is_near = { ["a1", "a2", "a1", "a2", "b1"], None, &[1, 2, 3, 4], &[5] },
    it_is_near_in_spite_of_one_that_joins = { ["a1", "a2", "a1", "a2", "b1"], Some(2), &[1, 2, 3, 4], &[5] },
    too_few_are_near = { ["a1", "a2", "b1", "b2", "b1"], None, &[1, 2, 3, 4, 5], &[] },
    too_few_near_ones_count = { ["a1", "a2", "a1", "b2", "b1"], Some(1), &[1, 2, 3, 4, 5], &[] },
    all_are_near = { ["a1", "a2", "a1", "a2", "a1"], None, &[1, 2, 3, 4, 5], &[] },
    an_unknown_zone_is_near = { ["a1", "a2", "new", "b2", "b1"], None, &[1, 2, 3], &[4, 5] },
)]
fn far_replicas_are_asked_later_where_near_ones_can_decide(
    places: [&str; 5],
    joining: Option<u32>,
    first: &[u32],
    later: &[u32],
) {
    let view = view(places, joining);
    let order = QueryOrder::new(&view, &zones(), "a1");
    assert_eq!(nodes(&order.first), first);
    assert_eq!(nodes(&order.later), later);
}

#[test]
fn a_view_is_local_where_its_quorum_is() {
    let zones = zones();
    let view = view(["a1", "a2", "a1", "a2", "b1"], None);
    assert!(QueryOrder::new(&view, &zones, "a2").is_local(&zones, "a2"));
    assert!(!QueryOrder::new(&view, &zones, "b1").is_local(&zones, "b1"));
    assert!(!QueryOrder::new(&RecordView::default(), &zones, "a1").is_local(&zones, "a1"));
}

/// Found by days on which stores lost their disks: the replica that had lost its place stood in the zone of the one
/// that joined, was read from first, and never answered.
#[test]
fn a_joining_replica_reads_last_from_those_that_lost_their_place() {
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
