//! What commands do to the fleet's state, and what followers are told.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{LogIndex, StateMachine};
use courseshed_records::{PartitionId, RecordMember, RecordView, StoreMachine, ViewChange};
use courseshed_registry::{
    Command, FleetState, Known, Liveness, LivenessSettings, Outcome, Registration, Retirement,
    Server, ServerList, ServerState,
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
            born_ms: None,
            cold_ms: 0,
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
fn the_highest_version_stays_in_force_with_its_own_document() {
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
fn a_late_announcement_neither_revives_nor_reopens_a_server() {
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
    assert!(state.is_ordinary(&registration(ServerState::Ready, 6)));
}

#[test]
fn a_silent_server_may_come_back() {
    let mut state = FleetState::default();
    apply(&mut state, announce(ServerState::Ready, 1));
    let servers = vec!["one".to_owned()];
    apply(&mut state, Command::Expire { servers });
    assert_eq!(state.servers().count(), 0);
    apply(&mut state, announce(ServerState::Ready, 2));
    assert_eq!(state.servers().count(), 1);
}

fn announce_life(id: &str, sequence: u64) -> Command {
    let mut registration = registration(ServerState::Ready, sequence);
    registration.server.id = id.to_owned();
    Command::Announce(registration)
}

fn listed(state: &FleetState) -> Vec<&str> {
    state.servers().map(|server| server.id.as_str()).collect()
}

/// The announcement of an earlier life of a server may be held up until the next life has announced
/// itself at the same address.
#[parameterized(
    still_listed = { false },
    expired_before = { true },
)]
fn a_late_announcement_of_an_earlier_life_does_not_come_back(expires: bool) {
    let mut state = FleetState::default();
    apply(&mut state, announce_life("first", 4));
    if expires {
        let servers = vec!["first".to_owned()];
        apply(&mut state, Command::Expire { servers });
    }
    apply(&mut state, announce_life("second", 1));
    assert_eq!(listed(&state), ["second"]);
    apply(&mut state, announce_life("first", 5));
    assert_eq!(listed(&state), ["second"]);
    let late = registration(ServerState::Ready, 6);
    let late = Registration {
        server: Server {
            id: "first".to_owned(),
            ..late.server
        },
        ..late
    };
    assert!(state.is_ordinary(&late), "it needs no commit");
}

/// The first announcement of a life that has ended may be the one that is held up.
#[test]
fn a_server_whose_address_an_ended_life_took_comes_back() {
    let mut state = FleetState::default();
    apply(&mut state, announce_life("second", 1));
    apply(&mut state, announce_life("first", 1));
    let servers = vec!["first".to_owned()];
    apply(&mut state, Command::Expire { servers });
    apply(&mut state, announce_life("second", 2));
    assert_eq!(listed(&state), ["second"]);
}

#[test]
fn an_expired_server_comes_back_where_no_other_took_its_address() {
    let mut state = FleetState::default();
    apply(&mut state, announce_life("first", 4));
    let servers = vec!["first".to_owned()];
    apply(&mut state, Command::Expire { servers });
    apply(&mut state, announce_life("first", 5));
    assert_eq!(listed(&state), ["first"]);
}

/// An announcement of the server `one` in a life that began at a time.
fn life(born_ms: u64, sequence: u64, state: ServerState) -> Registration {
    let mut registration = registration(state, sequence);
    let server = &mut registration.server;
    server.id = Server::life_id("one", Some(born_ms));
    server.name = "one".to_owned();
    server.born_ms = Some(born_ms);
    registration
}

fn begin(state: &mut FleetState, born_ms: u64, sequence: u64) {
    apply(
        state,
        Command::Announce(life(born_ms, sequence, ServerState::Ready)),
    );
}

/// A server may start again under the id that it had; its count of announcements starts anew. Its first
/// ones were taken for late ones of the life before.
#[parameterized(
    at_its_address = { false },
    at_another_address = { true },
)]
fn a_server_that_starts_again_under_its_name_is_another_one(moves: bool) {
    let mut state = FleetState::default();
    begin(&mut state, 1_000, 50);
    let mut next = life(2_000, 1, ServerState::Ready);
    if moves {
        next.server.address.set_port(81);
    }
    assert!(!state.is_ordinary(&next));
    apply(&mut state, Command::Announce(next.clone()));
    assert_eq!(listed(&state), ["one/2000"]);
    let late = life(1_000, 51, ServerState::Draining);
    assert!(state.is_ordinary(&late), "a late one of the life before");
    apply(&mut state, Command::Announce(late));
    let server = Server::life_id("one", Some(1_000));
    apply(&mut state, Command::Leave { server });
    assert_eq!(listed(&state), ["one/2000"]);
    assert!(state.is_ordinary(&next));
}

#[test]
fn a_new_life_takes_work_where_the_one_before_was_emptied() {
    let mut state = FleetState::default();
    apply(
        &mut state,
        Command::Announce(life(1_000, 50, ServerState::Draining)),
    );
    begin(&mut state, 2_000, 1);
    let states: Vec<_> = state.servers().map(|server| server.state).collect();
    assert_eq!(states, [ServerState::Ready]);
}

/// The later life is known although it isn't listed any more.
#[parameterized(
    left = { Command::Leave { server: "one".to_owned() } },
    fell_silent = { Command::Expire { servers: vec!["one/2000".to_owned()] } },
)]
fn an_ended_life_does_not_come_back_after_a_later_one(end: Command) {
    let mut state = FleetState::default();
    begin(&mut state, 2_000, 1);
    apply(&mut state, end);
    assert_eq!(listed(&state), [""; 0]);
    begin(&mut state, 1_000, 9);
    assert_eq!(listed(&state), [""; 0]);
    begin(&mut state, 3_000, 1);
    assert_eq!(listed(&state), ["one/3000"]);
}

/// What looks for earlier lives isn't stored, and must be there again after a start.
#[test]
fn a_restored_state_finds_earlier_lives() {
    let mut before = FleetState::default();
    begin(&mut before, 1_000, 5);
    let mut state = FleetState::default();
    state.restore(&before.snapshot()).expect("restored");
    assert_eq!(state, before);
    let mut next = life(2_000, 1, ServerState::Ready);
    next.server.address.set_port(81);
    apply(&mut state, Command::Announce(next));
    assert_eq!(listed(&state), ["one/2000"]);
    apply(&mut state, announce_life("other", 1));
    apply(&mut state, announce_life("another", 1));
    assert_eq!(listed(&state), ["another", "one/2000"]);
}

/// A routing table with the service `s`, whose cold servers bear so many calls a second.
fn route_to_s(cold_per_s: Option<f64>) -> Command {
    let table = RoutingTable {
        services: vec![Service {
            name: "s".to_owned(),
            connection_limit: 10,
            engine: None,
            cold_per_s,
        }],
        ..RoutingTable::default()
    };
    Command::ReplaceRouting {
        table: VersionedTable { version: 1, table },
        document: Bytes::new(),
    }
}

#[test]
fn an_entry_of_an_unknown_service_ends_no_life_of_a_server() {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(None));
    begin(&mut state, 1_000, 1);
    let mut stray = registration(ServerState::Ready, 1);
    stray.server.id = "stray".to_owned();
    stray.server.service = "unheard of".to_owned();
    apply(&mut state, Command::Announce(stray.clone()));
    assert_eq!(listed(&state), ["one/1000"]);
    // At an address of its own it waits for a routing table that names its service.
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
fn how_long_a_server_is_cold_is_news_where_it_bounds_what_it_bears(
    cold_per_s: Option<f64>,
    before_ms: u32,
    after_ms: u32,
    is_news: bool,
) {
    let mut state = FleetState::default();
    apply(&mut state, route_to_s(cold_per_s));
    let mut first = registration(ServerState::Ready, 1);
    first.server.cold_ms = before_ms;
    apply(&mut state, Command::Announce(first));
    let mut next = registration(ServerState::Ready, 2);
    next.server.cold_ms = after_ms;
    assert_eq!(!state.is_ordinary(&next), is_news);
}

fn evacuate(zone: &str, is_evacuated: bool) -> Command {
    Command::Evacuate {
        zone: zone.to_owned(),
        is_evacuated,
    }
}

#[test]
fn evacuated_zones_outlive_a_start_and_are_told_once() {
    let mut state = FleetState::default();
    let before = state.update_for(Known::default()).known;
    for _ in 0..2 {
        apply(&mut state, evacuate("a", true));
    }
    apply(&mut state, evacuate("b", true));
    apply(&mut state, evacuate("b", false));
    let update = state.update_for(before);
    let told = update.evacuated.as_ref().expect("news");
    assert_eq!(told.zones.iter().collect::<Vec<_>>(), ["a"]);
    assert!(state.update_for(update.known).is_empty());
    apply(&mut state, evacuate("a", true));
    assert!(state.update_for(update.known).is_empty(), "nothing new");
    let mut restored = FleetState::default();
    restored.restore(&state.snapshot()).expect("restored");
    assert_eq!(restored.evacuated(), state.evacuated());
    apply(&mut state, evacuate("a", false));
    let taken_back = state.update_for(update.known).evacuated.expect("news");
    assert!(taken_back.zones.is_empty());
}

#[test]
fn followers_are_told_only_what_is_newer() {
    let mut state = FleetState::default();
    apply(&mut state, replace(5, "five"));
    apply(&mut state, announce(ServerState::Ready, 1));
    let first = state.update_for(Known::default());
    assert_eq!(first.routing.as_ref().map(|table| table.version), Some(5));
    let servers = first.servers.as_ref().expect("servers");
    assert!(servers.is_whole);
    assert_eq!(servers.changed.len(), 1);
    assert!(state.update_for(first.known).is_empty());
    // A controller that lags has nothing to tell to whom knows more.
    let lagging = FleetState::default();
    assert!(lagging.update_for(first.known).is_empty());
}

/// News of servers may be gathered; what operators ask for may not.
#[parameterized(
    a_server = { announce(ServerState::Ready, 1), true },
    a_routing_table = { replace(5, "five"), false },
    an_emptied_zone = { evacuate("a", true), false },
    replicas = { view_with(1, &[1]), false },
)]
fn news_of_servers_alone_can_wait(command: Command, can_wait: bool) {
    let mut state = FleetState::default();
    apply(&mut state, command);
    let update = state.update_for(Known::default());
    assert!(!update.is_empty());
    assert_eq!(update.can_wait(), can_wait);
    apply(&mut state, announce(ServerState::Ready, 1));
    let together = state.update_for(Known::default());
    assert_eq!(together.can_wait(), can_wait);
}

/// A server of its own, at an address of its own.
fn other(id: &str, sequence: u64) -> Command {
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

/// A follower that is told of changes alone, whenever it asks, has the servers of the state.
#[test]
fn followers_are_told_what_changed_of_the_servers_and_no_more() {
    let mut state = FleetState::default();
    for number in 0..50 {
        apply(&mut state, other(&format!("s{number:02}"), 1));
    }
    let mut known = Known::default();
    let mut follower = ServerList::default();
    let mut follow = |state: &FleetState| {
        let update = state.update_for(known);
        known = update.known;
        let changes = update.servers;
        let told = changes
            .as_ref()
            .map_or(0, |it| it.changed.len() + it.removed.len());
        if let Some(changes) = changes {
            follower.apply(changes);
        }
        let whole: Vec<&Server> = state.servers().collect();
        let has: Vec<&Server> = follower.iter().map(|server| &**server).collect();
        assert_eq!(has, whole);
        told
    };
    assert_eq!(follow(&state), 50);
    assert_eq!(follow(&state), 0);
    apply(&mut state, expire("s07"));
    apply(&mut state, other("new", 1));
    assert_eq!(follow(&state), 2);
    apply(&mut state, expire("new"));
    apply(&mut state, other("new", 2));
    assert_eq!(follow(&state), 2, "gone and back");
    let server = "s08".to_owned();
    apply(&mut state, Command::Leave { server });
    apply(&mut state, other("s08", 9));
    assert_eq!(follow(&state), 1, "a server that left stays away");
    apply(&mut state, expire("unknown"));
    assert_eq!(follow(&state), 0);
}

/// A long list is told in parts, while servers come, change and go; so a controller holds little of it for each of
/// the followers that start together.
#[parameterized(
    a_quiet_list = { 0 },
    a_busy_list = { 7 },
    more_removals_than_are_remembered = { 3_000 },
)]
fn a_long_list_is_told_in_parts_that_come_to_the_whole(changes_between: u64) {
    let mut state = FleetState::default();
    for number in 0..3_500 {
        apply(&mut state, numbered(number, 1));
    }
    let mut known = Known::default();
    let mut follower = ServerList::default();
    let mut next = 0;
    for part in 0..40 {
        let update = state.update_for(known);
        known = update.known;
        let has_more = update.has_more();
        let Some(changes) = update.servers else {
            break;
        };
        assert!(changes.changed.len() <= 1_000, "{}", changes.changed.len());
        follower.apply(changes);
        // Parts end once the list rests for a while.
        if has_more && part < 10 {
            for _ in 0..changes_between {
                let number = (next * 7) % 3_500;
                apply(&mut state, expire(&format!("n{number:05}")));
                apply(&mut state, numbered(number as u16, 2 + next));
                apply(&mut state, expire(&format!("n{:05}", (next * 11) % 3_500)));
                next += 1;
            }
        }
    }
    let whole: Vec<&Server> = state.servers().collect();
    let has: Vec<&Server> = follower.iter().map(|server| &**server).collect();
    assert_eq!(has.len(), whole.len());
    assert_eq!(has, whole);
    assert!(state.update_for(known).is_empty());
}

/// One of many servers, at an address of its own.
fn numbered(number: u16, sequence: u64) -> Command {
    let mut registration = registration(ServerState::Ready, sequence);
    registration.server.id = format!("n{number:05}");
    registration.server.address.set_port(number);
    Command::Announce(registration)
}

#[test]
fn a_follower_that_lacks_forgotten_removals_is_told_the_whole() {
    let mut state = FleetState::default();
    apply(&mut state, other("stays", 1));
    let early = state.update_for(Known::default()).known;
    for number in 0..4_200_u64 {
        apply(&mut state, other("comes and goes", number));
        apply(&mut state, expire("comes and goes"));
    }
    let changes = state.update_for(early).servers.expect("changes");
    assert!(changes.is_whole);
    assert_eq!(changes.changed.len(), 1);
    assert!(changes.removed.is_empty());
}

#[test]
fn a_snapshot_makes_an_equal_state() {
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
fn emptying_a_machine_is_refused_where_too_few_would_remain() {
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
    assert_eq!(apply(&mut state, retire(1)), Some(Outcome::TooFew));
    assert_eq!(apply(&mut state, retire(0)), Some(Outcome::Done));
    assert_eq!(state.retirement("store-1"), Some(Retirement::Running));
    // A restart on the same disk changes nothing; an empty disk is another machine.
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
fn an_entry_that_cannot_be_read_changes_nothing() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(LogIndex(1), b"nonsense"), None);
    assert_eq!(state, FleetState::default());
}

/// Callers were refused while a server stood idle: it was dropped in the moment it announced itself.
#[test]
fn whoever_has_just_announced_itself_is_not_silent() {
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
    liveness.heard_servers(107 * second, ["one".to_owned()]);
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
        },
    }])
}

/// Stores 1 to 3, of which store 1 is to be emptied.
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

/// Found by reading: the plan that takes the store was under way when the retirement was completed.
#[test]
fn a_machine_that_a_partition_needs_is_not_retired() {
    let mut state = state_with_retirement();
    apply(&mut state, view_with(1, &[1, 2, 3]));
    let complete = || Command::CompleteRetirement { node: NodeId(1) };
    apply(&mut state, complete());
    assert_eq!(state.retirement("store-1"), Some(Retirement::Running));
    apply(&mut state, view_with(2, &[2, 3]));
    apply(&mut state, complete());
    assert_eq!(state.retirement("store-1"), Some(Retirement::Completed));
}

/// The other order of the same two commands.
#[test]
fn a_machine_that_was_retired_gets_no_place_in_a_partition() {
    let mut state = state_with_retirement();
    apply(&mut state, Command::CompleteRetirement { node: NodeId(1) });
    apply(&mut state, view_with(1, &[1, 2, 3]));
    assert!(!state.records().has_member(NodeId(1)));
    apply(&mut state, view_with(1, &[2, 3]));
    assert!(state.records().has_member(NodeId(2)));
}
