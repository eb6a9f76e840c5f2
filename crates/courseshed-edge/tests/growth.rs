//! The gateway's work per call, server list change and load report must not grow with the fleet. Work is measured as
//! allocated bytes, which are deterministic, so this file has a single test and nothing else allocates beside it.

#[path = "support/large_fleet.rs"]
mod large_fleet;

use std::alloc::System;
use std::time::Duration;

use courseshed_edge::gateway::CallReport;
use courseshed_registry::{LoadReport, ServerChanges, ServerLoad};
use courseshed_types::ServerKey;
use large_fleet::{LARGE_FLEET, NOW, PROMPT, choose, server, table};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SMALL_FLEET: u32 = 1_000;

/// A load report of other gateways for some of the servers.
fn load_report() -> LoadReport {
    let busy = (0..50).map(|number| ServerLoad {
        server: ServerKey::of(&server(number).id),
        in_flight: 2,
        answered_eighths: 9,
    });
    LoadReport {
        gateways: 800,
        lifetime_ms: 1_000,
        servers: busy.collect(),
        failures: Vec::new(),
    }
}

/// Bytes allocated for some calls, a load report and a change of the server list.
fn allocated_bytes(servers: u32) -> usize {
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
    table.apply_load_report(&load_report(), NOW);
    table.reevaluate_avoidance(NOW);
    assert!(table.load_report(NOW).entry_count() > 0);
    list.apply(ServerChanges {
        is_full: false,
        changed: vec![server(servers + 1).into()],
        removed: vec![server(3).id],
        ..ServerChanges::default()
    });
    table.replace(&list, NOW);
    region.change().bytes_allocated
}

/// Guards against evaluating every server for each call or report.
#[test]
fn work_does_not_grow_with_the_number_of_servers() {
    let small = allocated_bytes(SMALL_FLEET);
    let large = allocated_bytes(LARGE_FLEET);
    assert!(
        large < small + small / 2,
        "{small} bytes at {SMALL_FLEET}, {large} bytes at {LARGE_FLEET}"
    );
}
