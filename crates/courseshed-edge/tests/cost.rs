//! What a call is expected to cost at a server, and which one is chosen for it.

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{
    CostInputs, Demand, LatencyEstimate, ServerTable, ServiceLatency, expected_cost_ms,
};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::HomeRegions;
use courseshed_types::PromptPart;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(10);
const PACE: ServiceLatency = ServiceLatency {
    call_ms: 300.0,
    prefill_ms_per_token: 0.005,
};
const IDLE: CostInputs = CostInputs {
    calls: 0,
    slots: 12,
    slowness: 1.0,
    unread_tokens: 0,
    network_ms: 0.0,
};
const SHARED: PromptPart = PromptPart {
    id: 1,
    tokens: 12_000,
};

fn own(tokens: u32) -> PromptPart {
    PromptPart { id: 2, tokens }
}

#[parameterized(
    more_calls = { CostInputs { calls: 6, ..IDLE } },
    slower = { CostInputs { slowness: 1.3, ..IDLE } },
    more_to_read = { CostInputs { unread_tokens: 500, ..IDLE } },
    another_zone = { CostInputs { network_ms: 8.0, ..IDLE } },
)]
fn whatever_is_worse_costs_more(worse: CostInputs) {
    assert!(expected_cost_ms(&worse, &PACE) > expected_cost_ms(&IDLE, &PACE));
}

#[test]
fn a_long_read_costs_more_where_others_run() {
    let cost_of_read = |calls| {
        let cached = CostInputs { calls, ..IDLE };
        let unread = CostInputs {
            unread_tokens: 12_000,
            ..cached
        };
        expected_cost_ms(&unread, &PACE) - expected_cost_ms(&cached, &PACE)
    };
    assert!(cost_of_read(8) > 2.0 * cost_of_read(0));
}

/// Found on engines of 64 slots: with crowding counted by the share of slots, twelve calls more weighed
/// less than another zone.
#[test]
fn many_calls_outweigh_another_zone_where_slots_are_many() {
    let crowded = CostInputs {
        calls: 12,
        slots: 64,
        ..IDLE
    };
    let far = CostInputs {
        calls: 3,
        slots: 64,
        network_ms: 8.0,
        ..IDLE
    };
    assert!(expected_cost_ms(&crowded, &PACE) > 1.2 * expected_cost_ms(&far, &PACE));
}

#[test]
fn a_full_server_costs_more_than_a_free_one_in_another_zone() {
    let full = CostInputs { calls: 12, ..IDLE };
    let far = CostInputs {
        calls: 6,
        network_ms: 8.0,
        ..IDLE
    };
    assert!(expected_cost_ms(&full, &PACE) > expected_cost_ms(&far, &PACE));
}

#[test]
fn reads_that_waited_say_less_than_fast_ones() {
    let mut estimate = LatencyEstimate::default();
    let before = estimate.latency().prefill_ms_per_token;
    estimate.record_prefill(10_000, 10.0 * before * 10_000.0);
    let after_waiting = estimate.latency().prefill_ms_per_token;
    estimate.record_prefill(10_000, 0.1 * before * 10_000.0);
    let after_fast = estimate.latency().prefill_ms_per_token;
    assert!(after_waiting < 1.5 * before);
    assert!(after_fast < 0.9 * after_waiting);
    estimate.record_prefill(100, 1_000.0);
    assert_eq!(estimate.latency().prefill_ms_per_token, after_fast);
}

/// What a service of model engines shows of itself, from the first call on.
struct EngineTimes {
    ms_per_token: f64,
    first_part_ms: f64,
}

#[parameterized(
    slow_reader = { EngineTimes { ms_per_token: 0.03, first_part_ms: 25.0 } },
    fast_reader = { EngineTimes { ms_per_token: 0.003, first_part_ms: 8.0 } },
    very_slow_reader = { EngineTimes { ms_per_token: 0.2, first_part_ms: 150.0 } },
)]
fn the_speed_of_reading_is_learned_although_some_calls_wait(engine: EngineTimes) {
    let mut estimate = LatencyEstimate::default();
    for round in 0..400_u32 {
        let waited_ms = f64::from(round % 4) * engine.first_part_ms;
        let tokens = [100, 1_000, 2_600, 6_000, 9_000][round as usize % 5];
        // Every tenth server held most of what was thought to be unread.
        let read = if round % 10 == 0 { tokens / 10 } else { tokens };
        let took_ms = engine.first_part_ms + waited_ms + engine.ms_per_token * f64::from(read);
        estimate.record_prefill(tokens, took_ms);
    }
    let learned = estimate.latency().prefill_ms_per_token;
    let ratio = learned / engine.ms_per_token;
    assert!((0.6..1.6).contains(&ratio), "{ratio}");
}

fn server(id: &str, zone: &str) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        born_ms: None,
        cold_ms: 0,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 12,
        state: ServerState::Ready,
    }
}

fn choose(table: &ServerTable, parts: &[PromptPart], max_in_flight: u32) -> Option<String> {
    let demand = Demand {
        service: "s",
        zone: "near",
        parts,
        max_in_flight,
        homes: &HomeRegions::ANY,
    };
    table.choose(&demand, &[], NOW, 7).map(|chosen| chosen.id)
}

#[test]
fn a_turn_goes_back_to_the_server_that_has_read_its_prompt() {
    let mut table = ServerTable::default();
    table.replace(
        &ServerList::from_iter([server("near", "near"), server("far", "far")]),
        NOW,
    );
    let prompt = [SHARED, own(1_000)];
    assert_eq!(choose(&table, &prompt, 9), Some("near".to_owned()));
    table.record_first_chunk("far", &prompt, 13_000, Duration::from_millis(60), NOW);
    assert_eq!(choose(&table, &prompt, 9), Some("far".to_owned()));
}

/// The link between two regions is shared by all their traffic, so calls cross it only to spare a wait that
/// is longer than the way.
#[test]
fn calls_stay_in_their_region_until_its_servers_are_crowded() {
    let zones = [("near", "own"), ("next", "own"), ("far", "other")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let mut table = ServerTable::default().with_zones(Arc::new(zones.into_iter().collect()));
    let servers = [server("next", "next"), server("far", "far")];
    table.replace(&ServerList::from_iter(servers), NOW);
    table.record_first_chunk("far", &[SHARED], 12_000, Duration::from_millis(60), NOW);
    for _ in 0..6 {
        assert_eq!(choose(&table, &[SHARED], 99), Some("next".to_owned()));
        table.begin("next");
        table.record_first_chunk("next", &[SHARED], 12_000, Duration::from_millis(60), NOW);
    }
    for _ in 6..40 {
        table.begin("next");
    }
    assert_eq!(choose(&table, &[SHARED], 99), Some("far".to_owned()));
    // A link that is full shows in the time that it takes to connect, and keeps calls away.
    for _ in 0..40 {
        table.record_connection("far", "near", Duration::from_secs(1));
    }
    assert_eq!(choose(&table, &[SHARED], 99), Some("next".to_owned()));
}

#[test]
fn a_gateway_keeps_to_its_part_of_a_limit() {
    let mut table = ServerTable::default();
    table.replace(&ServerList::from_iter([server("near", "near")]), NOW);
    table.begin("near");
    assert_eq!(choose(&table, &[], 2), Some("near".to_owned()));
    assert_eq!(choose(&table, &[], 1), None);
    assert_eq!(table.share_of_limit(160), 160);
    let others = courseshed_registry::LoadReport {
        gateways: 7,
        counts_for_ms: 1_000,
        servers: Vec::new(),
        failures: Vec::new(),
    };
    table.apply_load_report(&others, NOW);
    assert_eq!(table.share_of_limit(160), 20);
    assert_eq!(table.share_of_limit(3), 1);
}
