//! The fleet as a whole, small: settings arrive everywhere, through the failures that the promises are made for.

use std::time::Duration;

use courseshed_types::{
    ErrorCode, NodeId, SettingsVersion,
    control::{ControlReply, ControlRequest, NodeState, SettingsChange},
};

use super::*;
use crate::node::LeaseState;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const TENANTS: u32 = 5;
/// The time within which an accepted change must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(12);

fn options() -> HollowOptions {
    let mut options = HollowOptions {
        nodes: 15,
        regions: 3,
        zones: 3,
        controllers: 3,
        engines: 6,
        tenants: TENANTS,
        grants_per_minute: 0,
        ..HollowOptions::default()
    };
    options.leader.fleet.placement.shards_per_region = 4;
    options
}

/// A fleet in which every node has its lease.
fn fleet() -> HollowFleet {
    fleet_of(options())
}

fn fleet_of(options: HollowOptions) -> HollowFleet {
    let mut fleet = HollowFleet::new(options, Box::new(|| Duration::ZERO));
    let ready = fleet.run_until(MINUTE, |fleet| {
        let mut nodes = fleet.node_ids().into_iter();
        nodes.all(|node| lease(fleet, node) == LeaseState::Valid)
    });
    assert!(ready, "not all nodes got a lease");
    fleet
}

fn lease(fleet: &HollowFleet, node: NodeId) -> LeaseState {
    let view = fleet.view(node);
    view.map_or(LeaseState::Never, |view| view.lease(fleet.now()))
}

fn version_at(fleet: &HollowFleet, node: NodeId) -> SettingsVersion {
    let view = fleet.view(node).expect("the node runs");
    view.position().settings
}

fn change(number: u32, expected: u64) -> SettingsChange {
    SettingsChange {
        expected_version: SettingsVersion(expected),
        change_id: format!("change-{number}").into(),
        tree: tenant_tree(TENANTS, number),
        author: "ada".to_owned(),
    }
}

/// Submits the next change and waits until it is answered.
fn apply(fleet: &mut HollowFleet, number: u32) {
    let newest = fleet.newest_version().0;
    fleet.submit(change(number, newest));
    assert!(fleet.run_until(MINUTE, |fleet| !fleet.is_changing()));
    let answer = fleet.changes().last().expect("answered");
    let accepted =
        matches!(&answer.reply, ControlReply::Settings(record) if record.version.0 == newest + 1);
    assert!(accepted, "{answer:?}");
}

fn apply_all(fleet: &mut HollowFleet, numbers: std::ops::Range<u32>) {
    for number in numbers {
        apply(fleet, number);
    }
}

/// Asks the controller that leads and waits for the answer.
fn ask(fleet: &mut HollowFleet, request: ControlRequest) -> ControlReply {
    let leader = fleet.leader().expect("a controller leads");
    let question = fleet.ask(leader, request);
    assert!(fleet.run_until(MINUTE, |fleet| fleet.answer(question).is_some()));
    fleet.answer(question).cloned().expect("answered")
}

fn lagging(fleet: &mut HollowFleet, version: u64) -> Vec<NodeId> {
    match ask(fleet, ControlRequest::Lagging(SettingsVersion(version))) {
        ControlReply::Lagging(nodes) => nodes,
        other => panic!("expected a list of nodes, got {other:?}"),
    }
}

fn check(fleet: &HollowFleet) {
    assert_eq!(fleet.violations(), []);
}

fn check_in_force_within(fleet: &HollowFleet, limit: Duration) {
    for record in fleet.spread() {
        let took = record.took();
        assert!(took.is_some_and(|took| took <= limit), "{record:?}");
    }
}

/// A node that is neither a controller nor the relay of its zone.
fn plain_node(fleet: &HollowFleet) -> NodeId {
    let relays = relays(fleet);
    let mut nodes = fleet.node_ids().into_iter();
    let is_plain = |node: &NodeId| node.0 > 3 && !relays.contains(node);
    nodes
        .find(is_plain)
        .expect("there are more nodes than relays")
}

fn relays(fleet: &HollowFleet) -> Vec<NodeId> {
    let map = fleet.view(NodeId(1)).expect("runs").map().clone();
    let zones = map.members.values().map(|member| &member.zone);
    let relays = zones.filter_map(|zone| courseshed_membership::relay_for(zone, &map));
    let relays: std::collections::BTreeSet<NodeId> = relays.collect();
    relays.into_iter().collect()
}

#[test]
fn changes_are_in_force_everywhere_within_seconds() {
    let mut fleet = fleet();
    fleet.start_counting();
    apply_all(&mut fleet, 1..11);
    fleet.run_for(IN_FORCE_LIMIT);
    assert_eq!(fleet.spread().len(), 10);
    check_in_force_within(&fleet, Duration::from_secs(4));
    check(&fleet);
    let report = fleet.report();
    assert_eq!(report.nodes, 15);
    assert_eq!(report.unfinished, 0);
    assert!(report.roles.iter().all(|role| role.bytes_per_second > 0.0));
}

#[test]
fn a_node_that_was_away_for_500_changes_catches_up_and_never_serves_an_older_version() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    fleet.run_for(5 * SECOND);
    let away = plain_node(&fleet);
    assert_eq!(version_at(&fleet, away), SettingsVersion(1));
    fleet.crash(away);
    apply_all(&mut fleet, 2..502);
    fleet.start(away);
    let newest = fleet.newest_version();
    assert_eq!(newest, SettingsVersion(501));
    let leased = fleet.run_until(MINUTE, |fleet| lease(fleet, away) == LeaseState::Valid);
    assert!(leased);
    assert_eq!(
        version_at(&fleet, away),
        newest,
        "the first lease is on the newest version"
    );
    check(&fleet);
}

#[test]
fn a_relay_that_dies_delays_its_zone_by_seconds_only() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    fleet.run_for(5 * SECOND);
    fleet.start_counting();
    for relay in relays(&fleet) {
        fleet.crash(relay);
    }
    apply(&mut fleet, 2);
    fleet.run_for(IN_FORCE_LIMIT);
    check_in_force_within(&fleet, IN_FORCE_LIMIT);
    check(&fleet);
}

#[test]
fn a_change_survives_the_death_of_the_leader_in_its_middle() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    let leader = fleet.leader().expect("a controller leads");
    fleet.submit(change(2, 1));
    // The change has reached the leader, and no other controller yet.
    fleet.run_for(Duration::from_millis(2));
    let has_change = |fleet: &HollowFleet, node| {
        fleet
            .state(node)
            .is_some_and(|state| state.position().settings.0 > 1)
    };
    assert!(fleet.is_changing() && !has_change(&fleet, leader));
    fleet.crash(leader);
    assert!(fleet.run_until(MINUTE, |fleet| !fleet.is_changing()));
    let answer = fleet.changes().last().expect("answered").reply.clone();
    assert!(
        matches!(&answer, ControlReply::Settings(record) if record.version == SettingsVersion(2)),
        "{answer:?}"
    );
    fleet.run_for(IN_FORCE_LIMIT);
    check_in_force_within(&fleet, IN_FORCE_LIMIT);
    fleet.start(leader);
    fleet.run_for(IN_FORCE_LIMIT);
    assert_eq!(version_at(&fleet, leader), SettingsVersion(2));
    check(&fleet);
}

#[test]
fn a_leader_that_was_frozen_for_minutes_is_deposed_and_its_orders_count_for_nothing() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    let fence = || ControlRequest::TakeFence("engine-1".into());
    let engines = ControlRequest::SetEngines(fleet.engines());
    assert_eq!(ask(&mut fleet, engines), ControlReply::Done);
    let ControlReply::Fence(first) = ask(&mut fleet, fence()) else {
        panic!("no fence");
    };
    let deposed = fleet.leader().expect("a controller leads");
    fleet.freeze(deposed);
    let questions = [
        fleet.ask(deposed, fence()),
        fleet.ask(deposed, ControlRequest::ApplySettings(change(9, 1))),
        fleet.ask(deposed, ControlRequest::GetSettings(None)),
    ];
    fleet.run_for(3 * MINUTE);
    apply(&mut fleet, 2);
    let ControlReply::Fence(second) = ask(&mut fleet, fence()) else {
        panic!("no fence");
    };
    assert!(second > first);
    fleet.thaw(deposed);
    fleet.run_for(30 * SECOND);
    for question in questions {
        let refused = matches!(fleet.answer(question), Some(ControlReply::NotLeader { .. }));
        assert!(refused, "{:?}", fleet.answer(question));
    }
    assert_eq!(fleet.newest_version(), SettingsVersion(2));
    assert_eq!(version_at(&fleet, deposed), SettingsVersion(2));
    check(&fleet);
}

#[test]
fn a_region_cut_off_stops_acting_and_catches_up_afterwards() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    fleet.run_for(5 * SECOND);
    let member = fleet.member(NodeId(15)).expect("exists").clone();
    let outside: Vec<NodeId> = fleet.node_ids();
    let outside = outside.into_iter().filter(|node| {
        fleet
            .member(*node)
            .is_some_and(|other| other.region != member.region)
    });
    let outside: Vec<NodeId> = outside.collect();
    fleet.cut_region(&member.region);
    fleet.run_for(MINUTE);
    assert_eq!(lease(&fleet, member.node), LeaseState::Expired);
    assert!(
        outside
            .iter()
            .all(|node| lease(&fleet, *node) == LeaseState::Valid)
    );
    apply(&mut fleet, 2);
    fleet.run_for(30 * MINUTE);
    assert_eq!(version_at(&fleet, member.node), SettingsVersion(1));
    let down = lagging(&mut fleet, 2);
    assert!(
        !down.contains(&member.node),
        "its lease ran out long ago: {down:?}"
    );
    fleet.heal_region(&member.region);
    fleet.run_for(IN_FORCE_LIMIT);
    assert_eq!(version_at(&fleet, member.node), SettingsVersion(2));
    assert_eq!(lease(&fleet, member.node), LeaseState::Valid);
    assert_eq!(fleet.catch_ups().len(), 1);
    assert!(fleet.catch_ups()[0] <= IN_FORCE_LIMIT);
    check(&fleet);
}

#[test]
fn wait_names_the_nodes_that_may_still_act_on_older_settings() {
    let mut fleet = fleet();
    apply(&mut fleet, 1);
    fleet.run_for(5 * SECOND);
    let frozen = plain_node(&fleet);
    fleet.freeze(frozen);
    apply(&mut fleet, 2);
    fleet.run_for(3 * SECOND);
    assert_eq!(lagging(&mut fleet, 2), [frozen]);
    assert_eq!(lagging(&mut fleet, 1), []);
    fleet.run_for(MINUTE);
    let map = fleet.view(NodeId(1)).expect("runs").map().clone();
    assert_eq!(map.members[&frozen].state, NodeState::Down);
    assert_eq!(
        lagging(&mut fleet, 2),
        [],
        "it is down, and its lease has run out"
    );
    fleet.thaw(frozen);
    fleet.run_for(IN_FORCE_LIMIT);
    assert_eq!(version_at(&fleet, frozen), SettingsVersion(2));
    check(&fleet);
}

#[test]
fn racing_operators_get_one_version_and_a_resent_change_its_first_answer() {
    let mut fleet = fleet();
    let leader = fleet.leader().expect("a controller leads");
    let ask_change = |fleet: &mut HollowFleet, number| {
        fleet.ask(leader, ControlRequest::ApplySettings(change(number, 0)))
    };
    let questions = [
        ask_change(&mut fleet, 1),
        ask_change(&mut fleet, 2),
        ask_change(&mut fleet, 1),
    ];
    fleet.run_for(5 * SECOND);
    let versions = questions.map(|question| match fleet.answer(question) {
        Some(ControlReply::Settings(record)) => Ok(record.version.0),
        Some(ControlReply::Error(error)) => Err(error.code),
        other => panic!("{other:?}"),
    });
    assert_eq!(versions, [Ok(1), Err(ErrorCode::VersionConflict), Ok(1)]);
    assert_eq!(fleet.newest_version(), SettingsVersion(1));
}

#[test]
fn an_older_tree_comes_back_as_a_new_version() {
    let mut fleet = fleet();
    apply_all(&mut fleet, 1..3);
    let ControlReply::Settings(first) = ask(
        &mut fleet,
        ControlRequest::GetSettings(Some(SettingsVersion(1))),
    ) else {
        panic!("the text of version 1 is kept");
    };
    let rollback = SettingsChange {
        expected_version: SettingsVersion(2),
        change_id: "rollback".into(),
        tree: first.tree.to_string(),
        author: "ada".to_owned(),
    };
    fleet.submit(rollback);
    assert!(fleet.run_until(MINUTE, |fleet| !fleet.is_changing()));
    fleet.run_for(5 * SECOND);
    let view = fleet.view(NodeId(15)).expect("runs");
    assert_eq!(view.position().settings, SettingsVersion(3));
    let ControlReply::Settings(now) = ask(&mut fleet, ControlRequest::GetSettings(None)) else {
        panic!("there are settings");
    };
    assert_eq!(now.tree, first.tree);
    check(&fleet);
}

#[test]
fn promises_hold_while_frames_are_lost_and_nodes_come_and_go() {
    let mut options = options();
    options.links.loss_permille = 50;
    options.grants_per_minute = 6;
    let mut fleet = fleet_of(options);
    for round in 1..=20 {
        let node = NodeId(1 + (round * 7) % 15);
        fleet.crash(node);
        apply(&mut fleet, round);
        fleet.run_for(10 * SECOND);
        fleet.start(node);
        fleet.run_for(10 * SECOND);
    }
    fleet.run_for(MINUTE);
    let newest = fleet.newest_version();
    for node in fleet.node_ids() {
        assert_eq!(version_at(&fleet, node), newest, "node {node}");
    }
    check(&fleet);
}
