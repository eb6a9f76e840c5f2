//! Tests for leases, versions, upstream selection and relaying of a node's view.

use std::collections::BTreeMap;

use courseshed_types::{MapEpoch, SettingsVersion, control::NodeRole, policy::BranchPolicy};

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(10);
const CONTROLLER: NodeId = NodeId(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn member(node: u32, roles: Vec<NodeRole>) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
        region: "south".into(),
        zone: "south-a".into(),
        peer_address: format!("10.0.0.{node}:1"),
        http_address: format!("10.0.0.{node}:2"),
        roles,
        state: NodeState::Live,
    }
}

fn gateway(node: u32) -> Member {
    member(node, vec![NodeRole::Gateway])
}

fn view(node: u32, saved: Option<&[u8]>) -> NodeControlView {
    let seeds = [1, 2].map(|node| ControllerSeed {
        node: NodeId(node),
        peer_address: format!("10.0.0.{node}:1"),
    });
    NodeControlView::new(gateway(node), seeds.to_vec(), ViewOptions::default(), saved)
}

/// A full update at a version, with a map of one controller and the given gateways.
fn update(version: u64, nodes: &[u32]) -> ControlUpdate {
    let branch = |when_cut_off| BranchPolicy {
        when_cut_off,
        ..BranchPolicy::default()
    };
    let branches = [
        (BranchPath::root(), branch(CutOffPolicy::Refuse)),
        (path("alerts"), branch(CutOffPolicy::Continue)),
    ];
    let policy = PolicySnapshot {
        version: SettingsVersion(version),
        branches: branches.into(),
        ..PolicySnapshot::default()
    };
    let mut members: BTreeMap<NodeId, Member> = nodes
        .iter()
        .map(|node| (NodeId(*node), gateway(*node)))
        .collect();
    members.insert(CONTROLLER, member(1, vec![NodeRole::Controller]));
    let map = MemberMap {
        epoch: MapEpoch(version),
        members,
        ..MemberMap::default()
    };
    ControlUpdate {
        position: position(version),
        policy: Some(Arc::new(policy)),
        policy_delta: None,
        map: Some(Arc::new(map)),
        map_delta: None,
        settings_lease: Duration::ZERO,
    }
}

fn path(text: &str) -> BranchPath {
    text.parse().expect("a path")
}

fn position(version: u64) -> ControlPosition {
    ControlPosition {
        settings: SettingsVersion(version),
        map: MapEpoch(version),
    }
}

fn heard(version: u64, settings_lease: Duration) -> ControlReply {
    ControlReply::Heard {
        position: position(version),
        settings_lease,
    }
}

/// Returns the single request in `outputs`.
fn sent(outputs: &[ViewOutput]) -> (u64, NodeId, &ControlRequest) {
    match outputs {
        [
            ViewOutput::Send {
                number,
                target,
                request,
            },
        ] => (*number, target.node, request),
        other => panic!("expected one request, got {other:?}"),
    }
}

/// Obtains a lease at `millis` with an immediate reply.
fn lease_at(view: &mut NodeControlView, millis: u64, version: u64) {
    let outputs = view.tick(at(millis));
    let (number, _, _) = sent(&outputs);
    view.on_reply(at(millis), number, heard(version, LEASE));
}

fn ready_view(node: u32, nodes: &[u32]) -> NodeControlView {
    let mut view = view(node, None);
    view.on_update(&update(1, nodes));
    lease_at(&mut view, 0, 1);
    view
}

#[test]
fn no_work_starts_before_the_first_lease_despite_saved_state() {
    let saved = ready_view(11, &[11]).to_save();
    let mut view = view(11, Some(&saved));
    assert_eq!(view.position(), position(1));
    assert_eq!(view.lease(at(0)), LeaseState::Never);
    assert!(view.may_start(&BranchPath::root(), at(0)).is_err());
    assert!(view.may_start(&path("alerts"), at(0)).is_err());
    lease_at(&mut view, 0, 1);
    assert!(view.may_start(&BranchPath::root(), at(0)).is_ok());
}

#[test]
fn corrupt_saved_state_is_ignored() {
    assert_eq!(
        view(11, Some(&[0xc1, 7])).position(),
        ControlPosition::default()
    );
}

#[test]
fn lease_starts_at_request_time_and_expiry_blocks_most_branches() {
    let mut view = view(11, None);
    view.on_update(&update(1, &[11]));
    let outputs = view.tick(at(0));
    let (number, _, _) = sent(&outputs);
    view.on_reply(at(900), number, heard(1, LEASE));
    assert!(view.lease_valid(at(9_999)));
    assert_eq!(view.lease(at(10_000)), LeaseState::Expired);
    let refused = view.may_start(&BranchPath::root(), at(10_000));
    assert_eq!(
        refused.expect_err("no lease").code,
        ErrorCode::SettingsLeaseExpired
    );
    assert!(view.may_start(&path("alerts"), at(10_000)).is_ok());
}

#[test]
fn outdated_node_pulls_and_gets_no_lease() {
    let mut view = view(11, None);
    view.on_update(&update(1, &[11]));
    let outputs = view.tick(at(0));
    let (number, _, _) = sent(&outputs);
    let outputs = view.on_reply(at(10), number, heard(2, LEASE));
    let (_, _, request) = sent(&outputs);
    assert_eq!(*request, ControlRequest::Pull(position(1)));
    assert_eq!(view.lease(at(10)), LeaseState::Never);
}

#[test]
fn versions_and_epochs_never_decrease() {
    let mut view = view(11, None);
    assert_eq!(view.on_update(&update(3, &[11])).len(), 2);
    assert!(view.on_update(&update(2, &[])).is_empty());
    assert!(view.on_update(&update(3, &[])).is_empty());
    assert_eq!(view.position(), position(3));
    assert!(view.map().members.contains_key(&NodeId(11)));
}

#[test]
fn late_reply_does_not_extend_the_lease() {
    let mut view = view(11, None);
    view.on_update(&update(1, &[11]));
    let outputs = view.tick(at(0));
    let (number, _, _) = sent(&outputs);
    view.tick(at(1_000));
    view.on_reply(at(1_001), number, heard(1, LEASE));
    assert_eq!(view.lease(at(1_001)), LeaseState::Never);
    assert_eq!(view.counters().failures, 1);
}

/// Nodes 11 and 12 in order of preference as relay.
fn relay_and_other() -> [u32; 2] {
    let map = update(1, &[11, 12]).map.expect("a map");
    let ranked = courseshed_membership::relays_for(&"south-a".into(), &map);
    [ranked[0].0, ranked[1].0]
}

#[test]
fn node_uses_its_relay_and_the_relay_uses_a_controller() {
    let [relay, other] = relay_and_other();
    let mut relay_view = ready_view(relay, &[11, 12]);
    let mut other_view = ready_view(other, &[11, 12]);
    let outputs = relay_view.tick(at(1_000));
    assert!(sent(&outputs).1.0 <= 2);
    let outputs = other_view.tick(at(1_000));
    assert_eq!(sent(&outputs).1, NodeId(relay));
}

#[test]
fn failed_relay_is_skipped_and_retried_later() {
    let [relay, other] = relay_and_other();
    let mut view = ready_view(other, &[11, 12]);
    let mut now = 1_000;
    for _ in 0..2 {
        let outputs = view.tick(at(now));
        let (number, target, _) = sent(&outputs);
        assert_eq!(target, NodeId(relay));
        view.on_failure(at(now), number);
        now += 500;
    }
    assert_eq!(view.counters().switches, 1);
    let outputs = view.tick(at(now));
    let (number, target, _) = sent(&outputs);
    assert!(
        target.0 <= 2,
        "falls back to a controller without another relay"
    );
    view.on_reply(at(now), number, heard(1, 40 * SECOND));
    let outputs = view.tick(at(now + 31_000));
    assert_eq!(sent(&outputs).1, NodeId(relay));
}

#[test]
fn node_without_lease_contacts_the_leading_controller() {
    let mut view = view(11, None);
    let outputs = view.tick(at(0));
    let (number, first, _) = sent(&outputs);
    let other = NodeId(3 - first.0);
    view.on_reply(
        at(1),
        number,
        ControlReply::NotLeader {
            leader: Some(other),
        },
    );
    let outputs = view.tick(at(300));
    assert_eq!(sent(&outputs).1, other);
    assert_eq!(view.controller().map(|target| target.node), Some(other));
}

#[test]
fn relay_grants_its_remaining_lease_to_registered_incarnations() {
    let mut relay = ready_view(11, &[11, 12]);
    let send_heartbeat = |relay: &mut NodeControlView, incarnation, millis| {
        let mut member = gateway(12);
        member.incarnation = Incarnation(incarnation);
        let heartbeat = NodeHeartbeat {
            member,
            position: position(1),
        };
        relay.on_request(at(millis), &ControlRequest::Heartbeat(heartbeat))
    };
    assert_eq!(
        send_heartbeat(&mut relay, 1, 4_000),
        Some(heard(1, 6 * SECOND))
    );
    assert_eq!(
        send_heartbeat(&mut relay, 1, 11_000),
        Some(heard(1, Duration::ZERO))
    );
    assert_eq!(
        send_heartbeat(&mut relay, 2, 4_000),
        Some(heard(1, Duration::ZERO))
    );
    assert_eq!(relay.counters().relayed, 3);
}

#[test]
fn relay_forwards_known_members_in_short_form_and_unknown_in_full() {
    let mut relay = ready_view(11, &[11, 12]);
    for node in [12, 13] {
        let heartbeat = NodeHeartbeat {
            member: gateway(node),
            position: position(1),
        };
        relay.on_request(at(900), &ControlRequest::Heartbeat(heartbeat));
    }
    let outputs = relay.tick(at(1_000));
    let (number, _, request) = sent(&outputs);
    let ControlRequest::ZoneReport(report) = request else {
        panic!("expected a report, got {request:?}");
    };
    let short: Vec<NodeId> = report.heard.iter().map(|heard| heard.node).collect();
    let full: Vec<NodeId> = report
        .changed
        .iter()
        .map(|heard| heard.member.node)
        .collect();
    assert_eq!(short, [NodeId(11), NodeId(12)]);
    assert_eq!(full, [NodeId(13)]);
    relay.on_reply(at(1_001), number, heard(1, LEASE));
    let outputs = relay.tick(at(2_000));
    let (_, _, request) = sent(&outputs);
    let ControlRequest::ZoneReport(report) = request else {
        panic!("expected a report, got {request:?}");
    };
    assert_eq!(
        report.heard.len(),
        1,
        "forwarded heartbeats are not sent again"
    );
}

#[test]
fn relay_does_not_answer_leader_requests() {
    let mut relay = ready_view(11, &[11]);
    let request = ControlRequest::GetSettings(None);
    assert_eq!(relay.on_request(at(0), &request), None);
}

#[test]
fn leaving_node_reports_its_state() {
    let mut view = ready_view(11, &[11]);
    view.set_leaving(true);
    let outputs = view.tick(at(1_000));
    let (_, _, request) = sent(&outputs);
    let ControlRequest::ZoneReport(report) = request else {
        panic!("expected a report, got {request:?}");
    };
    assert_eq!(report.changed[0].member.state, NodeState::Leaving);
}
