//! Effects of commands on the fleet state, and updates for followers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{LogIndex, StateMachine};
use courseshed_records::{PartitionId, RecordMember, RecordView, StoreMachine, ViewChange};
use courseshed_registry::{
    Command, FleetState, FollowerRevisions, Liveness, LivenessSettings, Outcome, Registration,
    Retirement, Server, ServerList, ServerState,
};
use courseshed_routing::{RoutingTable, Service, VersionedTable};
use courseshed_types::NodeId;
use yare::parameterized;

fn apply(state: &mut FleetState, command: Command) -> Option<Outcome> {
    let data = rmp_serde::to_vec_named(&command).expect("encoded");
    state.apply(LogIndex(1), &data)
}

fn replace(version: u64, document: &'static str) -> Command {
    Command::ReplaceRouting {
        table: VersionedTable {
            version,
            table: RoutingTable::default(),
        },
        document: Bytes::from_static(document.as_bytes()),
    }
}

fn announce(state: ServerState, sequence: u64) -> Command {
    Command::Announce(registration(state, sequence))
}

fn registration(state: ServerState, sequence: u64) -> Registration {
    Registration {
        server: Server {
            id: "one".to_owned(),
            name: String::new(),
            started_ms: None,
            software_version: None,
            warmup_remaining_ms: 0,
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "a".to_owned(),
            slots: 4,
            state,
        },
        sequence,
    }
}

fn store(incarnation: u64) -> StoreMachine {
    StoreMachine {
        name: "store-1".to_owned(),
        zone: "a".to_owned(),
        incarnation,
    }
}

#[test]
fn highest_table_version_stays_active_with_its_document() {
    let mut state = FleetState::default();
    for (version, document) in [(5, "five"), (3, "three"), (5, "other five")] {
        assert_eq!(
            apply(&mut state, replace(version, document)),
            Some(Outcome::Done)
        );
    }
    let routing = state.routing().expect("a table");
    assert_eq!(routing.table.version, 5);
    assert_eq!(routing.document, "five");
}

#[test]
fn late_registration_neither_restores_nor_reopens_a_server() {
    let mut state = FleetState::default();
    apply(&mut state, announce(ServerState::Ready, 1));
    apply(&mut state, announce(ServerState::Draining, 3));
    apply(&mut state, announce(ServerState::Ready, 2));
    apply(&mut state, announce(ServerState::Ready, 4));
    let states: Vec<_> = state.servers().map(|server| server.state).collect();
    assert_eq!(states, [ServerState::Draining]);
    let server = "one".to_owned();
    apply(&mut state, Command::Leave { server });
    apply(&mut state, announce(ServerState::Ready, 5));
    assert_eq!(state.servers().count(), 0);
    assert!(state.is_redundant(&registration(ServerState::Ready, 6)));
}

#[test]
fn expired_server_may_register_again() {
    let mut state = FleetState::default();
    apply(&mut state, announce(ServerState::Ready, 1));
    let servers = vec!["one".to_owned()];
    apply(&mut state, Command::Expire { servers });
    assert_eq!(state.servers().count(), 0);
    apply(&mut state, announce(ServerState::Ready, 2));
    assert_eq!(state.servers().count(), 1);
}

fn announce_id(id: &str, sequence: u64) -> Command {
    let mut registration = registration(ServerState::Ready, sequence);
    registration.server.id = id.to_owned();
    Command::Announce(registration)
}

fn listed(state: &FleetState) -> Vec<&str> {
    state.servers().map(|server| server.id.as_str()).collect()
}

/// A registration of an earlier incarnation may be delayed until the next one has registered at the
/// same address.
#[parameterized(
    still_listed = { false },
    expired_before = { true },
)]
fn late_registration_of_earlier_incarnation_is_ignored(expires: bool) {
    let mut state = FleetState::default();
    apply(&mut state, announce_id("first", 4));
    if expires {
        let servers = vec!["first".to_owned()];
        apply(&mut state, Command::Expire { servers });
    }
    apply(&mut state, announce_id("second", 1));
    assert_eq!(listed(&state), ["second"]);
    apply(&mut state, announce_id("first", 5));
    assert_eq!(listed(&state), ["second"]);
    let late = registration(ServerState::Ready, 6);
    let late = Registration {
        server: Server {
            id: "first".to_owned(),
            ..late.server
        },
        ..late
    };
    assert!(state.is_redundant(&late), "it must not be committed again");
}

/// The delayed registration may also be the first one of the ended incarnation.
#[test]
fn server_displaced_by_ended_incarnation_registers_again() {
    let mut state = FleetState::default();
    apply(&mut state, announce_id("second", 1));
    apply(&mut state, announce_id("first", 1));
    let servers = vec!["first".to_owned()];
    apply(&mut state, Command::Expire { servers });
    apply(&mut state, announce_id("second", 2));
    assert_eq!(listed(&state), ["second"]);
}

#[test]
fn expired_server_returns_if_its_address_is_free() {
    let mut state = FleetState::default();
    apply(&mut state, announce_id("first", 4));
    let servers = vec!["first".to_owned()];
    apply(&mut state, Command::Expire { servers });
    apply(&mut state, announce_id("first", 5));
    assert_eq!(listed(&state), ["first"]);
}

/// A registration of an incarnation of server `one`.
fn incarnation_registration(started_ms: u64, sequence: u64, state: ServerState) -> Registration {
    let mut registration = registration(state, sequence);
    let server = &mut registration.server;
    server.id = Server::incarnation_id("one", Some(started_ms));
    server.name = "one".to_owned();
    server.started_ms = Some(started_ms);
    registration
}

fn start_incarnation(state: &mut FleetState, started_ms: u64, sequence: u64) {
    apply(
        state,
        Command::Announce(incarnation_registration(
            started_ms,
            sequence,
            ServerState::Ready,
        )),
    );
}

/// Guards against ignoring the first registrations of a restarted server, whose sequence numbers
/// start over.
#[parameterized(
    at_its_address = { false },
    at_another_address = { true },
)]
fn restarted_server_is_a_new_incarnation(changes_address: bool) {
    let mut state = FleetState::default();
    start_incarnation(&mut state, 1_000, 50);
    let mut next = incarnation_registration(2_000, 1, ServerState::Ready);
    if changes_address {
        next.server.address.set_port(81);
    }
    assert!(!state.is_redundant(&next));
    apply(&mut state, Command::Announce(next.clone()));
    assert_eq!(listed(&state), ["one/2000"]);
    let late = incarnation_registration(1_000, 51, ServerState::Draining);
    assert!(
        state.is_redundant(&late),
        "late registration of the previous incarnation"
    );
    apply(&mut state, Command::Announce(late));
    let server = Server::incarnation_id("one", Some(1_000));
    apply(&mut state, Command::Leave { server });
    assert_eq!(listed(&state), ["one/2000"]);
    assert!(state.is_redundant(&next));
}

#[test]
fn new_incarnation_is_ready_after_drained_one() {
    let mut state = FleetState::default();
    apply(
        &mut state,
        Command::Announce(incarnation_registration(1_000, 50, ServerState::Draining)),
    );
    start_incarnation(&mut state, 2_000, 1);
    let states: Vec<_> = state.servers().map(|server| server.state).collect();
    assert_eq!(states, [ServerState::Ready]);
}

/// The later incarnation is remembered although it is no longer listed.
#[parameterized(
    left = { Command::Leave { server: "one".to_owned() } },
    fell_silent = { Command::Expire { servers: vec!["one/2000".to_owned()] } },
)]
fn ended_incarnation_never_replaces_later_one(end: Command) {
    let mut state = FleetState::default();
    start_incarnation(&mut state, 2_000, 1);
    apply(&mut state, end);
    assert_eq!(listed(&state), [""; 0]);
    start_incarnation(&mut state, 1_000, 9);
    assert_eq!(listed(&state), [""; 0]);
    start_incarnation(&mut state, 3_000, 1);
    assert_eq!(listed(&state), ["one/3000"]);
}

/// The indexes for earlier incarnations are not persisted and must be rebuilt.
#[test]
fn restored_state_finds_earlier_incarnations() {
    let mut before = FleetState::default();
    start_incarnation(&mut before, 1_000, 5);
    let mut state = FleetState::default();
    state.restore(&before.snapshot()).expect("restored");
    assert_eq!(state, before);
    let mut next = incarnation_registration(2_000, 1, ServerState::Ready);
    next.server.address.set_port(81);
    apply(&mut state, Command::Announce(next));
    assert_eq!(listed(&state), ["one/2000"]);
    apply(&mut state, announce_id("other", 1));
    apply(&mut state, announce_id("another", 1));
    assert_eq!(listed(&state), ["another", "one/2000"]);
}

/// A routing table with service `s` and a call rate limit for its cold servers.
fn route_to_s(cold_per_s: Option<f64>) -> Command {
    let table = RoutingTable {
        services: vec![Service {
            name: "s".to_owned(),
            connection_limit: 10,
            engine: None,
            warm_up_rate_per_s: cold_per_s,
        }],
        ..RoutingTable::default()
    };
    Command::ReplaceRouting {
        table: VersionedTable { version: 1, table },
        document: Bytes::new(),
    }
}

#[test]
fn registration_for_unknown_service_removes_no_server() {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(None));
    start_incarnation(&mut state, 1_000, 1);
    let mut stray = registration(ServerState::Ready, 1);
    stray.server.id = "stray".to_owned();
    stray.server.service = "unheard of".to_owned();
    apply(&mut state, Command::Announce(stray.clone()));
    assert_eq!(listed(&state), ["one/1000"]);
    // At its own address it is listed until a routing table includes its service.
    stray.server.address.set_port(81);
    apply(&mut state, Command::Announce(stray));
    assert_eq!(listed(&state), ["one/1000", "stray"]);
}

#[parameterized(
    gets_cold = { Some(24.0), 0, 3_000, true },
    gets_warm = { Some(24.0), 900, 0, true },
    is_less_cold = { Some(24.0), 3_000, 1_800, false },
    is_cold_for_longer = { Some(24.0), 900, 3_000, true },
    bears_all = { None, 0, 3_000, false },
)]
fn warmup_change_matters_if_service_limits_cold_servers(
    cold_per_s: Option<f64>,
    before_ms: u32,
    after_ms: u32,
    is_relevant: bool,
) {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(cold_per_s));
    let mut first = registration(ServerState::Ready, 1);
    first.server.warmup_remaining_ms = before_ms;
    apply(&mut state, Command::Announce(first));
    let mut next = registration(ServerState::Ready, 2);
    next.server.warmup_remaining_ms = after_ms;
    assert_eq!(!state.is_redundant(&next), is_relevant);
}

fn evacuate(zone: &str, is_evacuated: bool) -> Command {
    Command::Evacuate {
        zone: zone.to_owned(),
        is_evacuated,
        marks_unverified: true,
    }
}

/// The first heartbeat after the end of an evacuation tells how long the warm-up lasts. If it counted
/// as no change, because its time is shorter than that of the mark, calls would be unlimited too early.
#[test]
fn first_heartbeat_after_an_evacuation_replaces_the_mark() {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(Some(24.0)));
    apply(&mut state, announce(ServerState::Ready, 1));
    let zone = registration(ServerState::Ready, 1).server.zone;
    apply(&mut state, evacuate(&zone, true));
    apply(&mut state, evacuate(&zone, false));
    let cold = |sequence, remaining_ms| {
        let mut registration = registration(ServerState::Ready, sequence);
        registration.server.warmup_remaining_ms = remaining_ms;
        registration
    };
    assert!(!state.is_redundant(&cold(2, 2_900)));
    apply(&mut state, Command::Announce(cold(2, 2_900)));
    assert!(state.is_redundant(&cold(3, 1_700)));
}

/// The replay of a command of an earlier build must lead to the state that it led to there.
#[test]
fn evacuation_of_an_earlier_build_marks_no_servers() {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(Some(24.0)));
    apply(&mut state, announce(ServerState::Ready, 1));
    let zone = registration(ServerState::Ready, 1).server.zone;
    apply(&mut state, evacuate(&zone, true));
    let known = state.update_for(FollowerRevisions::default()).known;
    let end = Command::Evacuate {
        zone,
        is_evacuated: false,
        marks_unverified: false,
    };
    apply(&mut state, end);
    assert!(state.update_for(known).servers.is_none());
}

/// A server may have become cold during an evacuation before a heartbeat says so, so it counts as
/// warming up from the end of the evacuation until its next heartbeat.
#[parameterized(
    limited = { Some(24.0), true },
    unlimited = { None, false },
)]
fn servers_of_a_reopened_zone_are_unverified_until_they_report(
    cold_per_s: Option<f64>,
    is_marked: bool,
) {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(cold_per_s));
    apply(
        &mut state,
        Command::Announce(registration(ServerState::Ready, 1)),
    );
    let is_warming = |state: &FleetState| {
        let mut servers = state.servers();
        servers.any(|server| server.warmup_remaining_ms > 0)
    };
    let zone = registration(ServerState::Ready, 1).server.zone;
    apply(&mut state, evacuate("elsewhere", true));
    apply(&mut state, evacuate("elsewhere", false));
    apply(&mut state, evacuate(&zone, true));
    assert!(!is_warming(&state));
    let known = state.update_for(FollowerRevisions::default()).known;
    apply(&mut state, evacuate(&zone, false));
    assert_eq!(is_warming(&state), is_marked);
    assert_eq!(state.update_for(known).servers.is_some(), is_marked);
    let late = registration(ServerState::Ready, 1);
    assert!(
        state.is_redundant(&late),
        "sent before the evacuation ended"
    );
    let next = registration(ServerState::Ready, 2);
    assert_eq!(!state.is_redundant(&next), is_marked);
    apply(&mut state, Command::Announce(next));
    assert!(!is_warming(&state));
}

#[test]
fn evacuated_zones_are_persisted_and_sent_once() {
    let mut state = FleetState::default();
    let before = state.update_for(FollowerRevisions::default()).known;
    for _ in 0..2 {
        apply(&mut state, evacuate("a", true));
    }
    apply(&mut state, evacuate("b", true));
    apply(&mut state, evacuate("b", false));
    let update = state.update_for(before);
    let sent = update.evacuated.as_ref().expect("evacuated zones");
    assert_eq!(sent.zones.iter().collect::<Vec<_>>(), ["a"]);
    assert!(state.update_for(update.known).is_empty());
    apply(&mut state, evacuate("a", true));
    assert!(state.update_for(update.known).is_empty(), "no changes");
    let mut restored = FleetState::default();
    restored.restore(&state.snapshot()).expect("restored");
    assert_eq!(restored.evacuated(), state.evacuated());
    apply(&mut state, evacuate("a", false));
    let taken_back = state
        .update_for(update.known)
        .evacuated
        .expect("evacuated zones");
    assert!(taken_back.zones.is_empty());
}

#[test]
fn followers_receive_only_newer_state() {
    let mut state = FleetState::default();
    apply(&mut state, replace(5, "five"));
    apply(&mut state, announce(ServerState::Ready, 1));
    let first = state.update_for(FollowerRevisions::default());
    assert_eq!(first.routing.as_ref().map(|table| table.version), Some(5));
    let servers = first.servers.as_ref().expect("servers");
    assert!(servers.is_full);
    assert_eq!(servers.changed.len(), 1);
    assert!(state.update_for(first.known).is_empty());
    // A lagging controller has no changes for a follower that is ahead of it.
    let lagging = FleetState::default();
    assert!(lagging.update_for(first.known).is_empty());
}

/// Server changes may be batched; changes requested by operators may not.
#[parameterized(
    a_server = { announce(ServerState::Ready, 1), true },
    a_routing_table = { replace(5, "five"), false },
    an_emptied_zone = { evacuate("a", true), false },
    replicas = { view_with(1, &[1]), false },
)]
fn only_server_changes_can_wait(command: Command, can_wait: bool) {
    let mut state = FleetState::default();
    apply(&mut state, command);
    let update = state.update_for(FollowerRevisions::default());
    assert!(!update.is_empty());
    assert_eq!(update.is_batchable(), can_wait);
    apply(&mut state, announce(ServerState::Ready, 1));
    let together = state.update_for(FollowerRevisions::default());
    assert_eq!(together.is_batchable(), can_wait);
}

/// Registers another server at its own address.
fn announce_other(id: &str, sequence: u64) -> Command {
    let mut registration = registration(ServerState::Ready, sequence);
    registration.server.id = id.to_owned();
    let port = id.bytes().fold(0_u16, |port, byte| {
        port.wrapping_mul(31).wrapping_add(u16::from(byte))
    });
    registration.server.address.set_port(port);
    Command::Announce(registration)
}

fn expire(id: &str) -> Command {
    let servers = vec![id.to_owned()];
    Command::Expire { servers }
}

/// A follower that applies incremental updates only has the same servers as the state.
#[test]
fn followers_receive_only_changed_servers() {
    let mut state = FleetState::default();
    for number in 0..50 {
        apply(&mut state, announce_other(&format!("s{number:02}"), 1));
    }
    let mut known = FollowerRevisions::default();
    let mut follower = ServerList::default();
    let mut follow = |state: &FleetState| {
        let update = state.update_for(known);
        known = update.known;
        let changes = update.servers;
        let sent = changes
            .as_ref()
            .map_or(0, |it| it.changed.len() + it.removed.len());
        if let Some(changes) = changes {
            follower.apply(changes);
        }
        let expected: Vec<&Server> = state.servers().collect();
        let actual: Vec<&Server> = follower.iter().map(|server| &**server).collect();
        assert_eq!(actual, expected);
        sent
    };
    assert_eq!(follow(&state), 50);
    assert_eq!(follow(&state), 0);
    apply(&mut state, expire("s07"));
    apply(&mut state, announce_other("new", 1));
    assert_eq!(follow(&state), 2);
    apply(&mut state, expire("new"));
    apply(&mut state, announce_other("new", 2));
    assert_eq!(follow(&state), 2, "removed and added again");
    let server = "s08".to_owned();
    apply(&mut state, Command::Leave { server });
    apply(&mut state, announce_other("s08", 9));
    assert_eq!(follow(&state), 1, "a server that left stays away");
    apply(&mut state, expire("unknown"));
    assert_eq!(follow(&state), 0);
}

/// Guards against large replies to followers that start together: the list is sent in batches,
/// while servers register and expire.
#[parameterized(
    a_quiet_list = { 0 },
    a_busy_list = { 7 },
    more_removals_than_are_remembered = { 3_000 },
)]
fn batches_of_a_long_list_add_up_to_the_full_list(changes_between: u64) {
    let mut state = FleetState::default();
    for number in 0..3_500 {
        apply(&mut state, announce_numbered(number, 1));
    }
    let mut known = FollowerRevisions::default();
    let mut follower = ServerList::default();
    let mut next = 0;
    for batch in 0..40 {
        let update = state.update_for(known);
        known = update.known;
        let has_more = update.has_more();
        let Some(changes) = update.servers else {
            break;
        };
        assert!(changes.changed.len() <= 1_000, "{}", changes.changed.len());
        follower.apply(changes);
        // Without further changes the batches come to an end.
        if has_more && batch < 10 {
            for _ in 0..changes_between {
                let number = (next * 7) % 3_500;
                apply(&mut state, expire(&format!("n{number:05}")));
                apply(&mut state, announce_numbered(number as u16, 2 + next));
                apply(&mut state, expire(&format!("n{:05}", (next * 11) % 3_500)));
                next += 1;
            }
        }
    }
    let expected: Vec<&Server> = state.servers().collect();
    let actual: Vec<&Server> = follower.iter().map(|server| &**server).collect();
    assert_eq!(actual.len(), expected.len());
    assert_eq!(actual, expected);
    assert!(state.update_for(known).is_empty());
}

/// Registers one of many servers at its own address.
fn announce_numbered(number: u16, sequence: u64) -> Command {
    let mut registration = registration(ServerState::Ready, sequence);
    registration.server.id = format!("n{number:05}");
    registration.server.address.set_port(number);
    Command::Announce(registration)
}

#[test]
fn follower_that_lacks_pruned_removals_receives_full_list() {
    let mut state = FleetState::default();
    apply(&mut state, announce_other("stays", 1));
    let early = state.update_for(FollowerRevisions::default()).known;
    for number in 0..4_200_u64 {
        apply(&mut state, announce_other("comes and goes", number));
        apply(&mut state, expire("comes and goes"));
    }
    let changes = state.update_for(early).servers.expect("changes");
    assert!(changes.is_full);
    assert_eq!(changes.changed.len(), 1);
    assert!(changes.removed.is_empty());
}

#[test]
fn snapshot_restores_equal_state() {
    let mut state = FleetState::default();
    apply(&mut state, replace(5, "five"));
    apply(&mut state, announce(ServerState::Ready, 1));
    let node = NodeId(1);
    apply(
        &mut state,
        Command::RegisterStore {
            node,
            store: store(1),
        },
    );
    let mut copy = FleetState::default();
    copy.restore(&state.snapshot()).expect("restored");
    assert_eq!(copy, state);
    assert!(Arc::ptr_eq(
        &state.routing().expect("a table").table,
        &state.clone().routing().expect("a table").table
    ));
}

#[test]
fn retirement_is_rejected_if_too_few_stores_would_remain() {
    let mut state = FleetState::default();
    let retire = |needed| Command::Retire {
        name: "store-1".to_owned(),
        needed,
    };
    assert_eq!(apply(&mut state, retire(0)), Some(Outcome::UnknownMachine));
    let node = NodeId(1);
    apply(
        &mut state,
        Command::RegisterStore {
            node,
            store: store(1),
        },
    );
    assert_eq!(apply(&mut state, retire(1)), Some(Outcome::TooFewStores));
    assert_eq!(apply(&mut state, retire(0)), Some(Outcome::Done));
    assert_eq!(state.retirement("store-1"), Some(Retirement::Running));
    // A restart on the same disk changes nothing, whereas a wiped disk is a new incarnation.
    apply(
        &mut state,
        Command::RegisterStore {
            node,
            store: store(1),
        },
    );
    assert_eq!(state.retirement("store-1"), Some(Retirement::Running));
    apply(
        &mut state,
        Command::RegisterStore {
            node,
            store: store(2),
        },
    );
    assert_eq!(state.retirement("store-1"), None);
}

#[test]
fn undecodable_entry_changes_nothing() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(LogIndex(1), b"nonsense"), None);
    assert_eq!(state, FleetState::default());
}

/// Guards against removing a server, and so rejecting calls, right after its registration.
#[test]
fn newly_registered_server_is_not_silent() {
    let second = Duration::from_secs(1);
    let settings = LivenessSettings {
        server_silence: 6 * second,
        node_silence: 3 * second,
    };
    let mut liveness = Liveness::new(settings, Duration::ZERO);
    let mut state = FleetState::default();
    apply(&mut state, announce(ServerState::Ready, 1));
    let node = NodeId(1);
    apply(
        &mut state,
        Command::RegisterStore {
            node,
            store: store(1),
        },
    );
    liveness.observe(100 * second, &state);
    assert!(liveness.silent_servers(100 * second).is_empty());
    assert!(liveness.silent_stores(100 * second, &state).is_empty());
    liveness.observe(107 * second, &state);
    assert_eq!(liveness.silent_servers(107 * second), ["one"]);
    assert_eq!(liveness.silent_stores(107 * second, &state).len(), 1);
    liveness.record_server_heartbeats(107 * second, ["one".to_owned()]);
    liveness.observe(108 * second, &state);
    assert!(liveness.silent_servers(108 * second).is_empty());
}

fn view_with(epoch: u64, nodes: &[u32]) -> Command {
    let member = |node: &u32| RecordMember {
        node: NodeId(*node),
        incarnation: u64::from(*node),
        zone: "a".to_owned(),
        active: true,
    };
    Command::ChangeRecordViews(vec![ViewChange {
        partition: PartitionId(0),
        view: RecordView {
            epoch,
            members: nodes.iter().map(member).collect(),
            former: Vec::new(),
            home_region: None,
        },
    }])
}

/// Stores 1 to 3, of which store 1 is being retired.
fn state_with_retirement() -> FleetState {
    let mut state = FleetState::default();
    for node in 1..=3 {
        let store = StoreMachine {
            name: format!("store-{node}"),
            zone: "a".to_owned(),
            incarnation: u64::from(node),
        };
        let node = NodeId(node);
        apply(&mut state, Command::RegisterStore { node, store });
    }
    let name = "store-1".to_owned();
    apply(&mut state, Command::Retire { name, needed: 2 });
    state
}

/// A view change that adds the store may be committed just before its retirement completes.
#[test]
fn store_needed_by_a_partition_is_not_retired() {
    let mut state = state_with_retirement();
    apply(&mut state, view_with(1, &[1, 2, 3]));
    let complete = || Command::CompleteRetirement { node: NodeId(1) };
    apply(&mut state, complete());
    assert_eq!(state.retirement("store-1"), Some(Retirement::Running));
    apply(&mut state, view_with(2, &[2, 3]));
    apply(&mut state, complete());
    assert_eq!(state.retirement("store-1"), Some(Retirement::Completed));
}

/// The reverse order: the retirement completes before the view change is committed.
#[test]
fn retired_store_is_not_added_to_a_partition() {
    let mut state = state_with_retirement();
    apply(&mut state, Command::CompleteRetirement { node: NodeId(1) });
    apply(&mut state, view_with(1, &[1, 2, 3]));
    assert!(!state.records().has_member(NodeId(1)));
    apply(&mut state, view_with(1, &[2, 3]));
    assert!(state.records().has_member(NodeId(2)));
}

fn announce_version(sequence: u64, version: Option<&str>) -> Command {
    let registration = registration(ServerState::Ready, sequence);
    Command::Announce(Registration {
        server: Server {
            software_version: version.map(str::to_owned),
            ..registration.server
        },
        sequence,
    })
}

fn version_of(state: &FleetState) -> Option<String> {
    state
        .server_named("one")
        .and_then(|server| server.software_version.clone())
}

/// Guards against controllers of an earlier release, which pass registrations on without the version.
#[test]
fn registration_without_a_version_does_not_erase_the_known_one() {
    let mut state = FleetState::default();
    apply(&mut state, announce_version(1, Some("v1")));
    let unversioned = registration(ServerState::Ready, 2);
    assert!(state.is_redundant(&unversioned));
    apply(&mut state, announce(ServerState::Draining, 3));
    assert_eq!(version_of(&state).as_deref(), Some("v1"));
}

#[test]
fn registration_that_states_a_version_replaces_an_unknown_one() {
    let mut state = FleetState::default();
    apply(&mut state, announce(ServerState::Ready, 1));
    let Command::Announce(versioned) = announce_version(2, Some("v1")) else {
        panic!("an announcement");
    };
    assert!(!state.is_redundant(&versioned));
    apply(&mut state, Command::Announce(versioned));
    assert_eq!(version_of(&state).as_deref(), Some("v1"));
}

/// Guards against a rolling upgrade that takes servers of an unknown version for equal ones.
#[test]
fn version_of_a_server_stored_by_an_earlier_release_is_unknown() {
    let server = registration(ServerState::Ready, 1).server;
    let mut stored = serde_json::to_value(&server).expect("encodable");
    let fields = stored.as_object_mut().expect("an object");
    assert!(fields.shift_remove("software_version").is_some());
    let read: Server = serde_json::from_value(stored).expect("readable");
    assert_eq!(read, server);
    assert_eq!(read.software_version, None);
}
