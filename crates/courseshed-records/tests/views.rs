//! Planning of views and quorum decisions.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_records::{
    RecordMember, RecordView, ReservationDecision, ReservationTally, Reserved, StoreMachine,
    ViewPlan, WriteTally, plan_view,
};
use courseshed_types::NodeId;
use yare::parameterized;

fn member(node: u32, active: bool) -> RecordMember {
    RecordMember {
        node: NodeId(node),
        incarnation: u64::from(node),
        zone: format!("z{node}"),
        active,
    }
}

fn view(members: Vec<RecordMember>) -> RecordView {
    RecordView {
        epoch: 7,
        members,
        former: Vec::new(),
        home_region: None,
    }
}

fn machines(nodes: &[u32]) -> BTreeMap<NodeId, StoreMachine> {
    let machine = |node: &u32| StoreMachine {
        name: format!("store-{node}"),
        zone: format!("z{node}"),
        incarnation: u64::from(*node),
    };
    nodes
        .iter()
        .map(|node| (NodeId(*node), machine(node)))
        .collect()
}

fn set(nodes: &[u32]) -> BTreeSet<NodeId> {
    nodes.iter().map(|node| NodeId(*node)).collect()
}

fn next(view: &RecordView, stores: &[u32], silent: &[u32], retiring: &[u32]) -> Option<RecordView> {
    plan_view(&ViewPlan {
        view,
        stores: &machines(stores),
        silent: &set(silent),
        retiring: &set(retiring),
        replication_factor: 3,
        replicas: &BTreeMap::new(),
        home: None,
    })
}

fn nodes(view: &RecordView) -> Vec<u32> {
    view.members.iter().map(|member| member.node.0).collect()
}

#[test]
fn first_member_is_active_and_later_ones_must_catch_up() {
    let first = next(&RecordView::default(), &[1], &[], &[]).expect("next view");
    assert!(first.members[0].active);
    let second = next(&first, &[1, 2], &[], &[]).expect("next view");
    assert_eq!(nodes(&second), [1, 2]);
    assert!(!second.members[1].active);
    assert_eq!(
        next(&second, &[1, 2, 3], &[], &[]),
        None,
        "one joins at a time"
    );
    let grown = second.activate(NodeId(2), 2).expect("joining member");
    assert_eq!(
        second.activate(NodeId(2), 9),
        None,
        "another incarnation of the disk"
    );
    assert_eq!(
        nodes(&next(&grown, &[1, 2, 3], &[], &[]).expect("next view")),
        [1, 2, 3]
    );
}

#[test]
fn silent_member_is_replaced_and_remains_a_source() {
    let full = view(vec![member(1, true), member(2, true), member(3, true)]);
    assert_eq!(
        next(&full, &[1, 2, 3], &[3], &[]),
        None,
        "no replacement is available"
    );
    let replaced = next(&full, &[1, 2, 3, 4], &[3], &[]).expect("next view");
    assert_eq!(nodes(&replaced), [1, 2, 4]);
    assert!(replaced.sources().any(|source| source.node == NodeId(3)));
    let activated = replaced.activate(NodeId(4), 4).expect("joining member");
    assert!(activated.former.is_empty());
}

#[test]
fn member_is_not_replaced_if_too_few_others_respond() {
    let full = view(vec![member(1, true), member(2, true), member(3, true)]);
    assert_eq!(next(&full, &[1, 2, 3, 4], &[2, 3], &[]), None);
}

#[test]
fn retiring_member_leaves_only_after_its_replacement_joined() {
    let full = view(vec![member(1, true), member(2, true), member(3, true)]);
    assert_eq!(next(&full, &[1, 2, 3], &[], &[3]), None);
    let grown = next(&full, &[1, 2, 3, 4], &[], &[3]).expect("next view");
    assert_eq!(nodes(&grown), [1, 2, 3, 4]);
    assert_eq!(
        next(&grown, &[1, 2, 3, 4], &[], &[3]),
        None,
        "the replacement is still catching up"
    );
    let joined = grown.activate(NodeId(4), 4).expect("joining member");
    let left = next(&joined, &[1, 2, 3, 4], &[], &[3]).expect("next view");
    assert_eq!(nodes(&left), [1, 2, 4]);
}

#[parameterized(
    one = { 1, 1, 1 },
    two = { 2, 2, 1 },
    three = { 3, 2, 2 },
    four = { 4, 3, 2 },
    five = { 5, 3, 3 },
)]
fn quorums_and_sources_intersect(members: u32, quorum: usize, sources: usize) {
    let view = view((1..=members).map(|node| member(node, true)).collect());
    assert_eq!(view.quorum(), quorum);
    assert_eq!(view.sources_needed(), sources);
    assert!(quorum + sources > members as usize);
}

#[test]
fn joining_members_and_duplicate_replies_are_not_counted() {
    let view = view(vec![member(1, true), member(2, true), member(3, false)]);
    let mut tally = WriteTally::new(&view);
    assert!(!tally.on_stored(NodeId(3)));
    assert!(!tally.on_stored(NodeId(1)));
    assert!(!tally.on_stored(NodeId(1)));
    assert!(tally.on_stored(NodeId(2)));
}

#[parameterized(
    fits = { 40, ReservationDecision::Granted { is_first: false } },
    settled_elsewhere = { 31, ReservationDecision::Granted { is_first: false } },
    too_much = { 30, ReservationDecision::Exceeded { used_by_others: 11 } },
)]
fn reservation_accounts_for_entries_of_any_replica(budget: u64, expected: ReservationDecision) {
    let view = view(vec![member(1, true), member(2, true), member(3, true)]);
    let mut tally = ReservationTally::new(&view, 9, 20, budget);
    let entry = |reservation, tokens| Reserved {
        reservation,
        tokens,
    };
    // The first replica has not received the settlement of reservation 1 to 5 tokens.
    assert_eq!(
        tally.on_reserved(NodeId(1), &[entry(1, 20), entry(9, 20)]),
        None
    );
    let decision = tally.on_reserved(NodeId(2), &[entry(1, 5), entry(2, 6), entry(9, 20)]);
    assert_eq!(decision, Some(expected));
}

/// Guards against reservations that are on a quorum only together with a replica that is away and drops them.
#[test]
fn replicas_of_the_quorum_that_lack_reservations_are_named() {
    let view = view(vec![member(1, true), member(2, true), member(3, false)]);
    let mut tally = ReservationTally::new(&view, 9, 20, 100);
    let entry = |reservation, tokens| Reserved {
        reservation,
        tokens,
    };
    tally.on_reserved(NodeId(1), &[entry(1, 5), entry(2, 6), entry(9, 20)]);
    assert_eq!(tally.missing_reservations(), []);
    tally.on_reserved(NodeId(3), &[entry(9, 20)]);
    tally.on_reserved(NodeId(2), &[entry(2, 6), entry(9, 20)]);
    let missing = vec![(NodeId(2), vec![entry(1, 5)])];
    assert_eq!(tally.missing_reservations(), missing);
}
