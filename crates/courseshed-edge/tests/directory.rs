//! Which servers of a large fleet a gateway weighs for a call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use courseshed_edge::gateway::{Demand, ServerTable};
use courseshed_registry::{Server, ServerChanges, ServerList, ServerState};
use courseshed_routing::HomeRegions;
use courseshed_types::PromptPart;

const NOW: Duration = Duration::from_secs(10);
const MANY: u32 = 10_000;
const PROMPT: [PromptPart; 2] = [
    PromptPart {
        id: 7,
        tokens: 12_600,
    },
    PromptPart {
        id: 8,
        tokens: 1_680,
    },
];

fn server(number: u32) -> Server {
    let [_, _, high, low] = number.to_be_bytes();
    Server {
        id: format!("i-{number:08x}"),
        name: String::new(),
        born_ms: None,
        service: "engines".to_owned(),
        address: SocketAddr::from(([10, 0, high, low], 80)),
        zone: format!("zone-{}", number % 5),
        slots: 6,
        state: ServerState::Ready,
        cold_ms: 0,
    }
}

fn table(servers: u32) -> (ServerTable, ServerList) {
    let list: ServerList = (0..servers).map(server).collect();
    let mut table = ServerTable::default();
    table.replace(&list, NOW);
    (table, list)
}

fn choose(table: &ServerTable, prompt: &[PromptPart], tie: u64) -> Option<String> {
    let demand = Demand {
        service: "engines",
        zone: "zone-1",
        parts: prompt,
        most_in_flight: u32::MAX,
        homes: &HomeRegions::ANY,
    };
    table.choose(&demand, &[], NOW, tie).map(|chosen| chosen.id)
}

/// All gateways find the same few servers for a prompt, and more of them as these fill.
#[test]
fn calls_of_a_prompt_share_a_few_servers_and_spill_before_these_are_full() {
    let (mut table, _) = table(MANY);
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..3_000 {
        let chosen = choose(&table, &PROMPT, call).expect("a server");
        table.begin(&chosen);
        *calls.entry(chosen).or_default() += 1;
        if call == 100 {
            assert!(calls.len() <= 128, "{}", calls.len());
        }
    }
    let most = calls.values().max().expect("calls");
    assert!(*most <= 5, "{most} calls at one server of six slots");
    let (other, _) = self::table(MANY);
    let first = choose(&other, &PROMPT, 99).expect("a server");
    assert!(
        calls.contains_key(&first),
        "another gateway begins with the same"
    );
}

/// A line of turns goes back to where its own part of the prompt is, be it no preferred server.
#[test]
fn what_holds_the_calls_own_part_is_weighed_wherever_it_is() {
    let (mut table, _) = table(MANY);
    let far = server(9_999).id;
    table.note_read(&far, &PROMPT, 14_000, Duration::from_millis(70), NOW);
    assert_eq!(choose(&table, &PROMPT, 5), Some(far));
}

/// Servers come and go; the preferred ones are those that a table made anew prefers.
#[test]
fn preferences_follow_the_list() {
    let (mut table, mut list) = table(2_000);
    for round in 0..40 {
        let preferred = choose(&table, &PROMPT, round).expect("a server");
        list.apply(ServerChanges {
            is_whole: false,
            changed: vec![server(5_000 + round as u32).into()],
            removed: vec![preferred.clone()],
            ..ServerChanges::default()
        });
        table.replace(&list, NOW);
        let mut anew = ServerTable::default();
        anew.replace(&list, NOW);
        let next = choose(&table, &PROMPT, round);
        assert_ne!(next, Some(preferred));
        assert_eq!(next, choose(&anew, &PROMPT, round));
    }
}
