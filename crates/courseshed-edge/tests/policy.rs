//! Disabled mechanisms do not influence server selection.

use std::time::Duration;

use courseshed_edge::gateway::{
    CallReport, Demand, Mechanism, Policy, ServerTable, VersionRequirement,
};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::AllowedRegions;
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
        started_ms: None,
        software_version: None,
        warmup_remaining_ms: 0,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 4,
        state: ServerState::Ready,
    }
}

/// How many of 100 calls go to server `a` with some mechanisms disabled, after `prepare` has recorded observations.
fn calls_to_a(
    disabled: &[Mechanism],
    zone_of_a: &str,
    prepare: impl Fn(&mut ServerTable),
) -> usize {
    let mut table = ServerTable::new(Policy::without(disabled.iter().copied()));
    table.replace(
        &ServerList::from_iter([server("a", zone_of_a), server("b", "near")]),
        NOW,
    );
    prepare(&mut table);
    let demand = Demand {
        service: "s",
        zone: "near",
        parts: &PROMPT,
        max_in_flight: u32::MAX,
        allowed_regions: &AllowedRegions::ANY,
        version: &VersionRequirement::Any,
    };
    (0..100)
        .filter_map(|tie| table.choose(&demand, &[], NOW, tie))
        .filter(|chosen| chosen.id == "a")
        .count()
}

fn record_cached_prompt(table: &mut ServerTable) {
    let cached = CachedPrompt::after_answer(ServerKey::of("b"), &PROMPT, 0);
    table.record_cached(&cached, NOW);
}

fn record_slow_calls(table: &mut ServerTable) {
    for _ in 0..20 {
        table.report("a", CallReport::Latency(Duration::from_millis(500)), NOW);
        table.report("b", CallReport::Latency(Duration::from_millis(50)), NOW);
    }
}

fn record_failure(table: &mut ServerTable) {
    table.report("a", CallReport::Failed, NOW);
}

/// Alternates errors with successes, so that the server does not back off.
fn record_errors(table: &mut ServerTable) {
    for _ in 0..12 {
        for report in [CallReport::ServerError, CallReport::Answered] {
            table.report("a", report, NOW);
        }
    }
    table.reevaluate_avoidance(NOW);
}

fn record_nothing(_: &mut ServerTable) {}

#[parameterized(
    prompt_memory = { Mechanism::PromptCache, "near", record_cached_prompt },
    server_pace = { Mechanism::ServerLatency, "near", record_slow_calls },
    rests = { Mechanism::ServerBackoff, "near", record_failure },
    shared_outcomes = { Mechanism::SharedOutcomes, "near", record_errors },
    own_zone = { Mechanism::OwnZone, "far", record_nothing },
)]
fn mechanism_affects_selection_only_while_enabled(
    mechanism: Mechanism,
    zone_of_a: &str,
    prepare: fn(&mut ServerTable),
) {
    // Without the shared preference, ties are broken per call, so only the mechanism under test keeps calls from `a`.
    let enabled = calls_to_a(&[Mechanism::SharedPreference], zone_of_a, prepare);
    let disabled = calls_to_a(
        &[Mechanism::SharedPreference, mechanism],
        zone_of_a,
        prepare,
    );
    assert_eq!(enabled, 0);
    assert!((20..80).contains(&disabled), "{disabled}");
}

#[test]
fn gateways_prefer_the_same_server_for_the_same_prompt() {
    let shared = calls_to_a(&[], "near", record_nothing);
    assert!(shared == 0 || shared == 100, "{shared}");
}

/// Guards against admission control refusing programs where nobody asked for it.
#[test]
fn admission_control_is_disabled_by_default() {
    assert!(!Policy::default().uses(Mechanism::Admission));
    assert!(!Policy::without([Mechanism::PoolScheduler]).uses(Mechanism::Admission));
    assert!(
        Policy::default()
            .with([Mechanism::Admission])
            .uses(Mechanism::Admission)
    );
    let others = Mechanism::ALL
        .into_iter()
        .filter(|other| *other != Mechanism::Admission);
    assert!(
        others
            .into_iter()
            .all(|other| Policy::default().uses(other))
    );
}

#[test]
fn mechanisms_are_parsed_from_their_names() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.as_str().parse(), Ok(mechanism));
    }
    let unknown = "luck".parse::<Mechanism>().expect_err("unknown");
    assert!(unknown.to_string().contains("prompt-memory"), "{unknown}");
}
