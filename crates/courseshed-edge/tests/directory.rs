//! Which servers of a large fleet a gateway weighs for a call.

#[path = "support/large_fleet.rs"]
mod large_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::gateway::ServerTable;
use courseshed_registry::ServerChanges;
use large_fleet::{MANY, NOW, PROMPT, choose, server, table};

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
    table.record_first_chunk(&far, &PROMPT, 14_000, Duration::from_millis(70), NOW);
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
