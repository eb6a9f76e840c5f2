//! Server selection by the gateway, and splitting of streams into events.

mod support;

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{
    CallReport, Demand, EventSplitter, PermitAccess, ServerChoice, ServerTable, ServingConstraints,
    VersionRequirement,
};
use courseshed_registry::{
    EvacuatedZones, LoadReport, Server, ServerList, ServerLoad, ServerState,
};
use courseshed_routing::{AllowedRegions, Route};
use courseshed_types::{PromptPart, ServerKey, ZoneMap};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(10);

fn server(id: &str, state: ServerState) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        started_ms: None,
        software_version: None,
        warmup_remaining_ms: 0,
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
        allowed_regions: &AllowedRegions::ANY,
        version: &VersionRequirement::Any,
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
fn draining_and_excluded_servers_are_not_chosen() {
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
fn least_loaded_server_is_chosen() {
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
fn key_maps_to_the_same_server_until_that_is_overloaded() {
    let mut table = table(&["a", "b", "c"]);
    let preferred = choose(&table, Some("session"), &[]).expect("a server");
    assert_eq!(
        choose(&table, Some("session"), &[]),
        Some(preferred.clone())
    );
    for _ in 0..3 {
        table.begin(&preferred);
    }
    assert_ne!(choose(&table, Some("session"), &[]), Some(preferred));
}

#[test]
fn load_of_other_gateways_counts_until_it_expires() {
    let mut table = table(&["a", "b"]);
    let others = LoadReport {
        gateways: 1,
        lifetime_ms: 1_000,
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
    rejected = { CallReport::Rejected },
)]
fn server_backs_off_after_a_failure_unless_it_is_the_only_one(report: CallReport) {
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
fn slow_server_is_not_preferred() {
    let mut table = table(&["a", "b", "c"]);
    let preferred = choose(&table, Some("session"), &[]).expect("a server");
    for id in ["a", "b", "c"] {
        let took = if id == preferred { 900 } else { 100 };
        let report = CallReport::Latency(Duration::from_millis(took));
        table.report(id, report, NOW);
    }
    assert_ne!(choose(&table, Some("session"), &[]), Some(preferred));
}

#[test]
fn server_statistics_survive_a_list_update() {
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
fn servers_of_an_evacuated_zone_are_not_chosen_even_without_alternatives() {
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
        "not available for resuming a call either"
    );
    table.set_serving(ServingConstraints::default());
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

const COLD: Duration = Duration::from_secs(3);

fn cold(id: &str) -> Server {
    Server {
        warmup_remaining_ms: COLD.as_millis() as u32,
        ..server(id, ServerState::Ready)
    }
}

fn with_cold_limit() -> ServingConstraints {
    ServingConstraints {
        cold_limited: ["s".to_owned()].into(),
        ..ServingConstraints::default()
    }
}

/// The rate limit of a cold server applies to the sum over all gateways, which a single gateway does not know.
#[test]
fn rate_limited_cold_server_is_not_chosen_until_it_is_warm() {
    let mut table = ServerTable::default();
    table.set_serving(with_cold_limit());
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

/// Without contact to the controllers, a server counts as warm once its announced warm-up time has passed.
#[test]
fn server_past_its_warm_up_time_is_chosen_without_alternatives() {
    let mut table = ServerTable::default();
    table.set_serving(with_cold_limit());
    table.replace(&[cold("a")].into_iter().collect(), NOW);
    let demand = demand(&[]);
    let at = |time| table.choose(&demand, &[], time, 7).map(|chosen| chosen.id);
    assert_eq!(at(NOW + COLD - Duration::from_millis(1)), None);
    assert_eq!(at(NOW + COLD), Some("a".to_owned()));
}

fn choose_with_permits(
    table: &ServerTable,
    excluded: &[&str],
    access: impl Fn(&str) -> PermitAccess,
) -> ServerChoice {
    let excluded: Vec<String> = excluded.iter().map(|id| (*id).to_owned()).collect();
    table.choose_with_permits(&demand(&[]), &excluded, NOW, 7, access)
}

/// A cold service would be refused entirely if its servers got no calls, and overloaded if they got
/// calls without permits.
#[test]
fn server_that_warms_up_is_chosen_with_a_permit_if_no_other_is_available() {
    let mut table = ServerTable::default();
    table.set_serving(with_cold_limit());
    table.replace(&[cold("a"), cold("b")].into_iter().collect(), NOW);
    let held = |id: &str| match id {
        "b" => PermitAccess::Free,
        _ => PermitAccess::Requestable,
    };
    let choice = choose_with_permits(&table, &[], held);
    assert_eq!(choice.server.map(|server| server.id), Some("b".to_owned()));
    assert!(choice.needs_permit && !choice.has_warm);
    let choice = choose_with_permits(&table, &["b"], held);
    assert_eq!(choice.server.map(|server| server.id), Some("a".to_owned()));
    let refused = choose_with_permits(&table, &[], |_| PermitAccess::Denied);
    assert_eq!((refused.server, refused.warm_in), (None, Some(COLD)));
    let none = choose_with_permits(&table, &["a", "b"], held);
    assert_eq!((none.server, none.warm_in), (None, None));
}

/// Permits are scarce, and an idle warm server is as good; a crowded one is not.
#[test]
fn server_that_warms_up_is_chosen_if_the_warm_ones_are_crowded() {
    let mut table = ServerTable::default();
    table.set_serving(with_cold_limit());
    let servers = [cold("a"), server("b", ServerState::Ready)];
    table.replace(&servers.into_iter().collect(), NOW);
    let requestable = |_: &str| PermitAccess::Requestable;
    let idle = choose_with_permits(&table, &[], requestable);
    assert_eq!(idle.server.map(|server| server.id), Some("b".to_owned()));
    assert!(!idle.needs_permit && idle.has_warm);
    for _ in 0..4 {
        table.begin("b");
    }
    let crowded = choose_with_permits(&table, &[], requestable);
    assert_eq!(crowded.server.map(|server| server.id), Some("a".to_owned()));
    assert!(crowded.needs_permit && crowded.has_warm);
    let denied = choose_with_permits(&table, &[], |_| PermitAccess::Denied);
    assert_eq!(denied.server.map(|server| server.id), Some("b".to_owned()));
    table.report("a", CallReport::Failed, NOW);
    let failed = choose_with_permits(&table, &[], requestable);
    assert_eq!(failed.server.map(|server| server.id), Some("b".to_owned()));
}

/// What a server's response states is newer than its last heartbeat.
#[test]
fn warm_up_stated_by_a_response_counts_until_the_next_report() {
    let mut table = ServerTable::default();
    table.set_serving(with_cold_limit());
    let warm = || server("a", ServerState::Ready);
    table.replace(&[warm()].into_iter().collect(), NOW);
    table.record_warmup("a", COLD, NOW);
    assert!(table.needs_permit("a", NOW));
    assert_eq!(choose(&table, None, &[]), None);
    assert!(!table.needs_permit("a", NOW + COLD));
    table.record_warmup("a", Duration::ZERO, NOW);
    assert!(!table.needs_permit("a", NOW));
    table.replace(&[cold("a")].into_iter().collect(), NOW);
    assert!(table.needs_permit("a", NOW));
    table.record_warmup("a", Duration::from_millis(1), NOW);
    assert!(table.needs_permit("a", NOW + COLD / 2));
    table.record_warmup("a", Duration::ZERO, NOW);
    assert!(!table.needs_permit("a", NOW));
    // Without a limit it has no effect.
    table.set_serving(ServingConstraints::default());
    table.record_warmup("a", COLD, NOW);
    assert!(!table.needs_permit("a", NOW));
}

#[test]
fn cold_server_without_a_rate_limit_is_chosen() {
    let mut table = ServerTable::default();
    table.replace(&[cold("a")].into_iter().collect(), NOW);
    assert_eq!(choose(&table, None, &[]), Some("a".to_owned()));
}

#[test]
fn events_are_split_correctly_for_any_chunk_size() {
    let text = "id: 1\ndata: a\n\n: note\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            splitter.push(chunk);
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

/// Calls restricted to a region with busy servers, while servers of another region are idle.
#[test]
fn region_restricted_call_is_not_sent_to_other_regions() {
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
        allowed_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
        ..support::plain_route()
    };
    let chosen = |regions: &[&str], excluded: &[String]| {
        let allowed_regions = AllowedRegions::of(&restricted(regions), None);
        let demand = Demand {
            allowed_regions: &allowed_regions,
            ..demand(&[])
        };
        let chosen = table.choose(&demand, excluded, NOW, 7);
        chosen.map(|chosen| chosen.id)
    };
    let home = Some("home".to_owned());
    assert_ne!(
        chosen(&[], &[]),
        home,
        "unrestricted calls leave the busy region"
    );
    assert_eq!(chosen(&["north"], &[]), home);
    assert_eq!(chosen(&["north", "east"], &[]), home);
    assert_eq!(chosen(&["south"], &[]), Some("abroad".to_owned()));
    assert_eq!(chosen(&["north"], &["home".to_owned()]), None);
    assert_eq!(chosen(&["east"], &[]), None);
}
