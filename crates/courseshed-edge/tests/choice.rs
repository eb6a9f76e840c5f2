//! Which server a gateway chooses, and how streams are split into events.

mod support;

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{
    CallReport, Demand, EventSplitter, ServerTable, ServingConstraints,
};
use courseshed_registry::{
    EvacuatedZones, LoadReport, Server, ServerList, ServerLoad, ServerState,
};
use courseshed_routing::{HomeRegions, Route};
use courseshed_types::{PromptPart, ServerKey, ZoneMap};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(10);

fn server(id: &str, state: ServerState) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        born_ms: None,
        cold_ms: 0,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        slots: 4,
        state,
    }
}

fn table(ids: &[&str]) -> ServerTable {
    let mut table = ServerTable::default();
    let servers: Vec<Server> = ids
        .iter()
        .map(|id| server(id, ServerState::Ready))
        .collect();
    table.replace(&servers.into_iter().collect(), NOW);
    table
}

fn demand(parts: &[PromptPart]) -> Demand<'_> {
    Demand {
        service: "s",
        zone: "a",
        parts,
        max_in_flight: u32::MAX,
        homes: &HomeRegions::ANY,
    }
}

fn choose(table: &ServerTable, key: Option<&str>, excluded: &[&str]) -> Option<String> {
    let excluded: Vec<String> = excluded.iter().map(|id| (*id).to_owned()).collect();
    let part = key.map(|key| PromptPart {
        id: key.len() as u64,
        tokens: 2_000,
    });
    let parts: Vec<PromptPart> = part.into_iter().collect();
    let chosen = table.choose(&demand(&parts), &excluded, NOW, 7)?;
    Some(chosen.id)
}

#[test]
fn a_draining_server_gets_nothing_and_an_excluded_one_neither() {
    let mut table = table(&["a", "b"]);
    let servers = [
        server("a", ServerState::Draining),
        server("b", ServerState::Ready),
    ];
    table.replace(&servers.into_iter().collect(), NOW);
    assert_eq!(choose(&table, None, &[]), Some("b".to_owned()));
    assert_eq!(choose(&table, Some("k"), &[]), Some("b".to_owned()));
    assert_eq!(choose(&table, None, &["b"]), None);
    assert_eq!(table.available("a"), None);
}

#[test]
fn the_least_loaded_server_is_chosen() {
    let mut table = table(&["a", "b", "c"]);
    for id in ["a", "a", "b"] {
        table.begin(id);
    }
    assert_eq!(choose(&table, None, &[]), Some("c".to_owned()));
    table.end("a");
    table.end("a");
    table.begin("c");
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

#[test]
fn the_same_key_goes_to_the_same_server_until_that_is_loaded_beyond_the_bound() {
    let mut table = table(&["a", "b", "c"]);
    let favourite = choose(&table, Some("session"), &[]).expect("a server");
    assert_eq!(
        choose(&table, Some("session"), &[]),
        Some(favourite.clone())
    );
    for _ in 0..3 {
        table.begin(&favourite);
    }
    assert_ne!(choose(&table, Some("session"), &[]), Some(favourite));
}

#[test]
fn calls_of_other_gateways_count_until_they_are_old() {
    let mut table = table(&["a", "b"]);
    let others = LoadReport {
        gateways: 1,
        counts_for_ms: 1_000,
        servers: vec![ServerLoad {
            server: ServerKey::of("a"),
            in_flight: 3,
            answered_eighths: 0,
        }],
        failures: Vec::new(),
    };
    table.apply_load_report(&others, NOW);
    table.begin("b");
    assert_eq!(choose(&table, None, &[]), Some("b".to_owned()));
    table.expire_load_report(NOW + Duration::from_millis(500));
    assert_eq!(choose(&table, None, &[]), Some("b".to_owned()));
    table.expire_load_report(NOW + Duration::from_millis(1500));
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

#[parameterized(
    failed = { CallReport::Failed },
    full = { CallReport::Rejected },
)]
fn a_server_rests_after_trouble_unless_it_is_the_only_one(report: CallReport) {
    let mut both = table(&["a", "b"]);
    both.report("a", report, NOW);
    for _ in 0..3 {
        both.begin("b");
    }
    assert_eq!(choose(&both, None, &[]), Some("b".to_owned()));
    let mut only = table(&["a"]);
    only.report("a", report, NOW);
    assert_eq!(choose(&only, None, &[]), Some("a".to_owned()));
}

#[test]
fn a_slow_server_is_no_favourite() {
    let mut table = table(&["a", "b", "c"]);
    let favourite = choose(&table, Some("session"), &[]).expect("a server");
    for id in ["a", "b", "c"] {
        let took = if id == favourite { 900 } else { 100 };
        let report = CallReport::Latency(Duration::from_millis(took));
        table.report(id, report, NOW);
    }
    assert_ne!(choose(&table, Some("session"), &[]), Some(favourite));
}

#[test]
fn what_was_seen_of_a_server_outlives_a_new_list() {
    let mut table = table(&["a", "b"]);
    table.begin("a");
    table.replace(
        &ServerList::from_iter([
            server("a", ServerState::Ready),
            server("b", ServerState::Ready),
        ]),
        NOW,
    );
    assert_eq!(choose(&table, None, &[]), Some("b".to_owned()));
}

#[test]
fn servers_of_an_evacuated_zone_get_nothing_even_alone() {
    let mut table = table(&["a"]);
    let evacuated = EvacuatedZones {
        revision: 1,
        zones: ["a".to_owned()].into(),
    };
    table.set_serving(ServingConstraints {
        evacuated: Arc::new(evacuated),
        ..ServingConstraints::default()
    });
    assert_eq!(choose(&table, None, &[]), None);
    assert_eq!(
        table.available("a"),
        None,
        "nor the rest of a call that was there"
    );
    table.set_serving(ServingConstraints::default());
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

const COLD: Duration = Duration::from_secs(3);

fn cold(id: &str) -> Server {
    Server {
        cold_ms: COLD.as_millis() as u32,
        ..server(id, ServerState::Ready)
    }
}

fn cold_is_bounded() -> ServingConstraints {
    ServingConstraints {
        cold_limited: ["s".to_owned()].into(),
        ..ServingConstraints::default()
    }
}

/// What a cold server bears in a second is a sum over all gateways, which none of them knows.
#[test]
fn a_cold_server_that_bears_little_gets_nothing_until_it_is_warm() {
    let mut table = ServerTable::default();
    table.set_serving(cold_is_bounded());
    let servers = [cold("a"), server("b", ServerState::Ready)];
    table.replace(&servers.into_iter().collect(), NOW);
    for _ in 0..20 {
        assert_eq!(choose(&table, None, &[]), Some("b".to_owned()));
        table.begin("b");
    }
    assert_eq!(choose(&table, None, &["b"]), None);
    assert_eq!(table.available("a"), None);
    let servers = [
        server("a", ServerState::Ready),
        server("b", ServerState::Ready),
    ];
    table.replace(&servers.into_iter().collect(), NOW);
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

/// Controllers that can't be heard tell of no warm server; the time that it told them is over all the same.
#[test]
fn a_server_that_should_be_warm_serves_where_no_other_is() {
    let mut table = ServerTable::default();
    table.set_serving(cold_is_bounded());
    table.replace(&[cold("a")].into_iter().collect(), NOW);
    let demand = demand(&[]);
    let at = |time| table.choose(&demand, &[], time, 7).map(|chosen| chosen.id);
    assert_eq!(at(NOW + COLD - Duration::from_millis(1)), None);
    assert_eq!(at(NOW + COLD), Some("a".to_owned()));
}

#[test]
fn a_cold_server_of_a_service_that_bears_all_is_chosen() {
    let mut table = ServerTable::default();
    table.replace(&[cold("a")].into_iter().collect(), NOW);
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

#[test]
fn events_come_out_whole_however_the_bytes_are_cut() {
    let text = "id: 1\ndata: a\n\n: note\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)]);
        assert_eq!(events[1].data.as_deref(), Some(b"b\nc".as_slice()));
        assert!(splitter.has_partial());
        let bytes: usize = events.iter().map(|event| event.bytes.len()).sum();
        assert_eq!(bytes, text.len() - "id: 3\nda".len());
    }
}

/// Calls that may be served in one region only, whose servers are crowded while those of another are free.
#[test]
fn a_call_that_is_restricted_to_regions_goes_to_no_server_elsewhere() {
    let regions = [("a", "north"), ("b", "south")];
    let zones: ZoneMap = regions
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into_iter()
        .collect();
    let mut table = ServerTable::default().with_zones(Arc::new(zones));
    let in_zone = |id: &str, zone: &str| Server {
        zone: zone.to_owned(),
        ..server(id, ServerState::Ready)
    };
    let servers = [
        in_zone("home", "a"),
        in_zone("abroad", "b"),
        in_zone("nowhere", "unknown"),
    ];
    table.replace(&servers.into_iter().collect(), NOW);
    for _ in 0..200 {
        table.begin("home");
    }
    let restricted = |regions: &[&str]| Route {
        home_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
        ..support::plain_route()
    };
    let chosen = |regions: &[&str], excluded: &[String]| {
        let homes = HomeRegions::of(&restricted(regions), None);
        let demand = Demand {
            homes: &homes,
            ..demand(&[])
        };
        let chosen = table.choose(&demand, excluded, NOW, 7);
        chosen.map(|chosen| chosen.id)
    };
    let home = Some("home".to_owned());
    assert_ne!(chosen(&[], &[]), home, "unrestricted calls leave it");
    assert_eq!(chosen(&["north"], &[]), home);
    assert_eq!(chosen(&["north", "east"], &[]), home);
    assert_eq!(chosen(&["south"], &[]), Some("abroad".to_owned()));
    assert_eq!(chosen(&["north"], &["home".to_owned()]), None);
    assert_eq!(chosen(&["east"], &[]), None);
}
