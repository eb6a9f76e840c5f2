//! Expected cost of a call at a server, and server selection by cost.

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{
    CostInputs, Demand, LatencyEstimate, ServerTable, ServiceLatency, VersionRequirement,
    expected_cost_ms,
};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::AllowedRegions;
use courseshed_types::PromptPart;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(10);
const LATENCY: ServiceLatency = ServiceLatency {
    call_ms: 300.0,
    prefill_ms_per_token: 0.005,
};
const IDLE: CostInputs = CostInputs {
    calls: 0,
    slots: 12,
    slowness: 1.0,
    uncached_tokens: 0,
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
    more_unread_tokens = { CostInputs { uncached_tokens: 500, ..IDLE } },
    another_zone = { CostInputs { network_ms: 8.0, ..IDLE } },
)]
fn each_disadvantage_increases_the_cost(worse: CostInputs) {
    assert!(expected_cost_ms(&worse, &LATENCY) > expected_cost_ms(&IDLE, &LATENCY));
}

#[test]
fn prefill_costs_more_on_a_busy_server() {
    let prefill_cost = |calls| {
        let cached = CostInputs { calls, ..IDLE };
        let unread = CostInputs {
            uncached_tokens: 12_000,
            ..cached
        };
        expected_cost_ms(&unread, &LATENCY) - expected_cost_ms(&cached, &LATENCY)
    };
    assert!(prefill_cost(8) > 2.0 * prefill_cost(0));
}

/// Guards against measuring load only as a share of the slots, by which nine more calls on a server of 64 slots
/// would cost less than a call to another zone.
#[test]
fn many_calls_cost_more_than_another_zone_on_servers_with_many_slots() {
    let busy = CostInputs {
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
    assert!(expected_cost_ms(&busy, &LATENCY) > 1.2 * expected_cost_ms(&far, &LATENCY));
}

#[test]
fn full_server_costs_more_than_a_free_one_in_another_zone() {
    let full = CostInputs { calls: 12, ..IDLE };
    let far = CostInputs {
        calls: 6,
        network_ms: 8.0,
        ..IDLE
    };
    assert!(expected_cost_ms(&full, &LATENCY) > expected_cost_ms(&far, &LATENCY));
}

#[test]
fn slow_prefills_weigh_less_than_fast_ones() {
    let mut estimate = LatencyEstimate::default();
    let before = estimate.latency().prefill_ms_per_token;
    estimate.record_prefill(10_000, 10.0 * before * 10_000.0);
    let after_slow = estimate.latency().prefill_ms_per_token;
    estimate.record_prefill(10_000, 0.1 * before * 10_000.0);
    let after_fast = estimate.latency().prefill_ms_per_token;
    assert!(after_slow < 1.5 * before);
    assert!(after_fast < 0.9 * after_slow);
    estimate.record_prefill(100, 1_000.0);
    assert_eq!(estimate.latency().prefill_ms_per_token, after_fast);
}

/// Prefill timing of a simulated engine service.
struct EngineTiming {
    ms_per_token: f64,
    first_part_ms: f64,
}

#[parameterized(
    slow_prefill = { EngineTiming { ms_per_token: 0.03, first_part_ms: 25.0 } },
    fast_prefill = { EngineTiming { ms_per_token: 0.003, first_part_ms: 8.0 } },
    very_slow_prefill = { EngineTiming { ms_per_token: 0.2, first_part_ms: 150.0 } },
)]
fn prefill_speed_is_estimated_despite_queueing(engine: EngineTiming) {
    let mut estimate = LatencyEstimate::default();
    for round in 0..400_u32 {
        let queued_ms = f64::from(round % 4) * engine.first_part_ms;
        let tokens = [100, 1_000, 2_600, 6_000, 9_000][round as usize % 5];
        // Every tenth prompt was mostly cached already.
        let prefilled = if round % 10 == 0 { tokens / 10 } else { tokens };
        let took_ms = engine.first_part_ms + queued_ms + engine.ms_per_token * f64::from(prefilled);
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
        started_ms: None,
        software_version: None,
        warmup_remaining_ms: 0,
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
        allowed_regions: &AllowedRegions::ANY,
        version: &VersionRequirement::Any,
    };
    table.choose(&demand, &[], NOW, 7).map(|chosen| chosen.id)
}

#[test]
fn turn_returns_to_the_server_with_its_cached_prompt() {
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

/// Links between regions are shared, so calls cross them only to avoid a wait longer than the network latency.
#[test]
fn calls_stay_in_their_region_until_its_servers_are_busy() {
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
    // Slow connections indicate a congested link and keep calls in their region.
    for _ in 0..40 {
        table.record_connection("far", "near", Duration::from_secs(1));
    }
    assert_eq!(choose(&table, &[SHARED], 99), Some("next".to_owned()));
}

#[test]
fn gateway_uses_its_share_of_the_connection_limit() {
    let mut table = ServerTable::default();
    table.replace(&ServerList::from_iter([server("near", "near")]), NOW);
    table.begin("near");
    assert_eq!(choose(&table, &[], 2), Some("near".to_owned()));
    assert_eq!(choose(&table, &[], 1), None);
    assert_eq!(table.share_of_limit(160), 160);
    let others = courseshed_registry::LoadReport {
        gateways: 7,
        lifetime_ms: 1_000,
        servers: Vec::new(),
        failures: Vec::new(),
    };
    table.apply_load_report(&others, NOW);
    assert_eq!(table.share_of_limit(160), 20);
    assert_eq!(table.share_of_limit(3), 1);
}
