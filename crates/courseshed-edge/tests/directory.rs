//! Candidate servers for a call in a large fleet.

#[path = "support/large_fleet.rs"]
mod large_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::gateway::ServerTable;
use courseshed_registry::ServerChanges;
use large_fleet::{LARGE_FLEET, NOW, PROMPT, choose, server, table};

/// All gateways rank the same few servers first for a prompt, and use more of them as these fill.
#[test]
fn calls_with_a_shared_prompt_use_few_servers_and_spill_before_these_are_full() {
    let (mut table, _) = table(LARGE_FLEET);
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..3_000 {
        let chosen = choose(&table, &PROMPT, call).expect("a server");
        table.begin(&chosen);
        *calls.entry(chosen).or_default() += 1;
        if call == 100 {
            assert!(calls.len() <= 128, "{}", calls.len());
        }
    }
    let max = calls.values().max().expect("calls");
    assert!(*max <= 5, "{max} calls at one server of six slots");
    let (other, _) = self::table(LARGE_FLEET);
    let first = choose(&other, &PROMPT, 99).expect("a server");
    assert!(
        calls.contains_key(&first),
        "another gateway prefers the same servers"
    );
}

/// A conversation returns to the server that caches its own prompt part, even if that is not a preferred server.
#[test]
fn server_with_the_cached_own_part_is_always_a_candidate() {
    let (mut table, _) = table(LARGE_FLEET);
    let cached = server(9_999).id;
    table.record_first_chunk(&cached, &PROMPT, 14_000, Duration::from_millis(70), NOW);
    assert_eq!(choose(&table, &PROMPT, 5), Some(cached));
}

/// After changes of the server list, a table has the same preferences as one built from the new list.
#[test]
fn preferences_follow_server_list_changes() {
    let (mut table, mut list) = table(2_000);
    for round in 0..40 {
        let preferred = choose(&table, &PROMPT, round).expect("a server");
        list.apply(ServerChanges {
            is_full: false,
            changed: vec![server(5_000 + round as u32).into()],
            removed: vec![preferred.clone()],
            ..ServerChanges::default()
        });
        table.replace(&list, NOW);
        let mut rebuilt = ServerTable::default();
        rebuilt.replace(&list, NOW);
        let next = choose(&table, &PROMPT, round);
        assert_ne!(next, Some(preferred));
        assert_eq!(next, choose(&rebuilt, &PROMPT, round));
    }
}
