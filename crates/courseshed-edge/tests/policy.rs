//! Mechanisms that are switched off have no part in the choice of a server.

use std::time::Duration;

use courseshed_edge::gateway::{Demand, Mechanism, Policy, Report, ServerTable};
use courseshed_registry::{Server, ServerList, ServerState};
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
    table.replace(&ServerList::from_iter([
        server("a", zone_of_a),
        server("b", "near"),
    ]));
    see(&mut table);
    let demand = Demand {
        service: "s",
        zone: "near",
        parts: &PROMPT,
        most_in_flight: u32::MAX,
    };
    (0..100)
        .filter_map(|tie| table.choose(&demand, &[], NOW, tie))
        .filter(|chosen| chosen.id == "a")
        .count()
}

fn has_read(table: &mut ServerTable) {
    let cached = CachedPrompt::after_answer(ServerKey::of("b"), &PROMPT, 0);
    table.note_cached(&cached, NOW);
}

fn is_slow(table: &mut ServerTable) {
    for _ in 0..20 {
        table.report("a", Report::Paced(Duration::from_millis(500)), NOW);
        table.report("b", Report::Paced(Duration::from_millis(50)), NOW);
    }
}

fn has_failed(table: &mut ServerTable) {
    table.report("a", Report::Failed, NOW);
}

fn nothing(_: &mut ServerTable) {}

#[parameterized(
    prompt_memory = { Mechanism::PromptMemory, "near", has_read },
    server_pace = { Mechanism::ServerPace, "near", is_slow },
    rests = { Mechanism::Rests, "near", has_failed },
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

/// How many of many prompts that nobody has read go to a server that is a little slower.
fn prompts_at_the_slower(without: &[Mechanism]) -> usize {
    let mut table = ServerTable::new(Policy::without(without.iter().copied()));
    let servers = ["a", "b"].map(|id| server(id, "near"));
    table.replace(&servers.into_iter().collect());
    for _ in 0..20 {
        table.report("a", Report::Paced(Duration::from_millis(52)), NOW);
        table.report("b", Report::Paced(Duration::from_millis(50)), NOW);
    }
    let goes_to_a = |id: &u64| {
        let parts = [PromptPart {
            id: *id,
            tokens: 50_000,
        }];
        let demand = Demand {
            service: "s",
            zone: "near",
            parts: &parts,
            most_in_flight: u32::MAX,
        };
        let chosen = table.choose(&demand, &[], NOW, 1);
        chosen.is_some_and(|chosen| chosen.id == "a")
    };
    (0..100).filter(goes_to_a).count()
}

/// A small difference, which each gateway sees in another way, doesn't lead a prompt to another server.
#[test]
fn unread_prompts_keep_to_the_shared_order() {
    let used = prompts_at_the_slower(&[]);
    assert!((30..60).contains(&used), "{used}");
    assert_eq!(prompts_at_the_slower(&[Mechanism::ReadPreference]), 0);
}

#[parameterized(
    used = { &[], 1 },
    unused = { &[Mechanism::ReadWhenSent], 0 },
)]
fn reads_are_told_when_calls_are_sent(without: &[Mechanism], told: usize) {
    let mut table = ServerTable::new(Policy::without(without.iter().copied()));
    table.replace(&ServerList::from_iter([server("a", "near")]));
    let prompt = [PROMPT[0], PromptPart { id: 2, tokens: 10 }];
    table.note_sent("a", Some(7), &prompt, NOW);
    table.note_sent("a", Some(8), &prompt, NOW);
    assert_eq!(table.take_reads(10).len(), told);
}

#[test]
fn mechanisms_are_known_by_their_names() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.as_str().parse(), Ok(mechanism));
    }
    let unknown = "luck".parse::<Mechanism>().expect_err("unknown");
    assert!(unknown.to_string().contains("prompt-memory"), "{unknown}");
}
