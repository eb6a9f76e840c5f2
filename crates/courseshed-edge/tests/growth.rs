//! What a gateway does for a call, a change of the list of servers or a report of loads doesn't grow with the
//! fleet. Work is measured by the bytes that are allocated for it, which are the same on every run: so this file
//! has one test, beside which nothing else runs.

#[path = "support/large_fleet.rs"]
mod large_fleet;

use std::alloc::System;
use std::time::Duration;

use courseshed_edge::gateway::CallReport;
use courseshed_registry::{LoadReport, ServerChanges, ServerLoad};
use courseshed_types::ServerKey;
use large_fleet::{MANY, NOW, PROMPT, choose, server, table};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const FEW: u32 = 1_000;
/// The loads that other gateways tell of some servers.
fn loads() -> LoadReport {
    let busy = (0..50).map(|number| ServerLoad {
        server: ServerKey::of(&server(number).id),
        in_flight: 2,
        answered_eighths: 9,
    });
    LoadReport {
        gateways: 800,
        counts_for_ms: 1_000,
        servers: busy.collect(),
        failures: Vec::new(),
    }
}

/// Bytes allocated for some calls, a report of loads and a change of the list.
fn bytes_of_work(servers: u32) -> usize {
    let (mut table, mut list) = table(servers);
    choose(&table, &PROMPT, 1);
    let region = Region::new(ALLOCATOR);
    for tie in 0..20 {
        let chosen = choose(&table, &PROMPT, tie).expect("a server");
        table.begin(&chosen);
        table.record_first_chunk(&chosen, &PROMPT, 14_000, Duration::from_millis(70), NOW);
        table.report(&chosen, CallReport::Failed, NOW);
        table.reevaluate_after(&chosen, CallReport::Failed, NOW);
        choose(&table, &[], tie).expect("a server");
    }
    table.apply_load_report(&loads(), NOW);
    table.reevaluate_avoidance(NOW);
    assert!(table.load_report(NOW).lines() > 0);
    list.apply(ServerChanges {
        is_whole: false,
        changed: vec![server(servers + 1).into()],
        removed: vec![server(3).id],
        ..ServerChanges::default()
    });
    table.replace(&list, NOW);
    region.change().bytes_allocated
}

/// With every server weighed for each call and walked over for each report, ten times the servers took ten
/// times the work.
#[test]
fn ten_times_the_servers_are_the_same_work() {
    let few = bytes_of_work(FEW);
    let many = bytes_of_work(MANY);
    assert!(
        many < few + few / 2,
        "{few} bytes at {FEW}, {many} bytes at {MANY}"
    );
}
