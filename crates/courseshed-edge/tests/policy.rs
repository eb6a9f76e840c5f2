//! Mechanisms that are switched off have no part in the choice of a server.

use std::time::Duration;

use courseshed_edge::gateway::{CallReport, Demand, Mechanism, Policy, ServerTable};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::HomeRegions;
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(10);
const PROMPT: [PromptPart; 1] = [PromptPart {
    id: 1,
    tokens: 50_000,
}];

fn server(id: &str, zone: &str) -> Server {
    Server {
        id: id.to_owned(),
        name: String::new(),
        born_ms: None,
        cold_ms: 0,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 4,
        state: ServerState::Ready,
    }
}

/// How many of many calls go to server `a`, with mechanisms switched off and after something was seen.
fn share_of_a(without: &[Mechanism], zone_of_a: &str, see: impl Fn(&mut ServerTable)) -> usize {
    let mut table = ServerTable::new(Policy::without(without.iter().copied()));
    table.replace(
        &ServerList::from_iter([server("a", zone_of_a), server("b", "near")]),
        NOW,
    );
    see(&mut table);
    let demand = Demand {
        service: "s",
        zone: "near",
        parts: &PROMPT,
        max_in_flight: u32::MAX,
        homes: &HomeRegions::ANY,
    };
    (0..100)
        .filter_map(|tie| table.choose(&demand, &[], NOW, tie))
        .filter(|chosen| chosen.id == "a")
        .count()
}

fn has_read(table: &mut ServerTable) {
    let cached = CachedPrompt::after_answer(ServerKey::of("b"), &PROMPT, 0);
    table.record_cached(&cached, NOW);
}

fn is_slow(table: &mut ServerTable) {
    for _ in 0..20 {
        table.report("a", CallReport::Latency(Duration::from_millis(500)), NOW);
        table.report("b", CallReport::Latency(Duration::from_millis(50)), NOW);
    }
}

fn has_failed(table: &mut ServerTable) {
    table.report("a", CallReport::Failed, NOW);
}

/// Errors by turns with answers, so that it doesn't rest.
fn has_erred_often(table: &mut ServerTable) {
    for _ in 0..12 {
        for report in [CallReport::ServerError, CallReport::Answered] {
            table.report("a", report, NOW);
        }
    }
    table.reevaluate_avoidance(NOW);
}

fn nothing(_: &mut ServerTable) {}

#[parameterized(
    prompt_memory = { Mechanism::PromptMemory, "near", has_read },
    server_pace = { Mechanism::ServerPace, "near", is_slow },
    rests = { Mechanism::Rests, "near", has_failed },
    shared_outcomes = { Mechanism::SharedOutcomes, "near", has_erred_often },
    own_zone = { Mechanism::OwnZone, "far", nothing },
)]
fn a_mechanism_decides_only_while_it_is_used(
    mechanism: Mechanism,
    zone_of_a: &str,
    see: fn(&mut ServerTable),
) {
    // Ties are broken for each call anew, so that nothing but the mechanism keeps calls from `a`.
    let used = share_of_a(&[Mechanism::SharedPreference], zone_of_a, see);
    let unused = share_of_a(&[Mechanism::SharedPreference, mechanism], zone_of_a, see);
    assert_eq!(used, 0);
    assert!((20..80).contains(&unused), "{unused}");
}

#[test]
fn gateways_prefer_the_same_server_for_the_same_prompt() {
    let shared = share_of_a(&[], "near", nothing);
    assert!(shared == 0 || shared == 100, "{shared}");
}

#[test]
fn mechanisms_are_known_by_their_names() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.as_str().parse(), Ok(mechanism));
    }
    let unknown = "luck".parse::<Mechanism>().expect_err("unknown");
    assert!(unknown.to_string().contains("prompt-memory"), "{unknown}");
}
