//! Cost per server must not grow with the number of servers. Cost is measured as allocated bytes,
//! which are deterministic as long as the process runs a single test.

use std::alloc::System;
use std::net::SocketAddr;

use courseshed_consensus::{LogIndex, StateMachine};
use courseshed_registry::{
    Command, FleetState, FollowerRevisions, Registration, Server, ServerList, ServerListRevision,
    ServerState,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const FEW: u32 = 1_000;
const MANY: u32 = 10_000;

fn announcement(number: u32, sequence: u64) -> Registration {
    let name = format!("i-{number:08x}");
    let [_, _, high, low] = number.to_be_bytes();
    Registration {
        server: Server {
            id: Server::incarnation_id(&name, Some(sequence)),
            name,
            started_ms: Some(sequence),
            software_version: None,
            service: "engines".to_owned(),
            address: SocketAddr::from(([10, 0, high, low], 80)),
            zone: format!("zone-{}", number % 5),
            slots: 6,
            state: ServerState::Ready,
            warmup_remaining_ms: 0,
        },
        sequence,
    }
}

fn announce(state: &mut FleetState, number: u32, sequence: u64) {
    let command = Command::Announce(announcement(number, sequence));
    let data = rmp_serde::to_vec_named(&command).expect("encoded");
    state.apply(LogIndex(1), &data);
}

/// Bytes allocated when one of `servers` servers restarts and a follower is updated.
fn bytes_per_restart(servers: u32) -> usize {
    let mut state = FleetState::default();
    for number in 0..servers {
        announce(&mut state, number, 1);
    }
    let mut follower = ServerList::default();
    let mut sent = ServerListRevision::default();
    while let Some(changes) = state.server_changes_since(sent) {
        sent = changes.known;
        follower.apply(changes);
    }
    let reader_copy = state.clone();
    let region = Region::new(ALLOCATOR);
    announce(&mut state, servers / 2, 2);
    let copy = state.clone();
    let update = copy.update_for(FollowerRevisions {
        servers: sent.changes,
        removals: sent.removals,
        ..FollowerRevisions::default()
    });
    let changes = update.servers.expect("changes");
    assert_eq!(changes.changed.len() + changes.removed.len(), 2);
    let before = follower.clone();
    follower.apply(changes);
    assert_eq!(follower.changes_from(&before).len(), 2);
    let bytes = region.change().bytes_allocated;
    drop(reader_copy);
    bytes
}

/// Guards against copying the whole server list for a single change.
#[test]
fn restart_cost_is_independent_of_fleet_size() {
    let few = bytes_per_restart(FEW);
    let many = bytes_per_restart(MANY);
    assert!(
        many < 2 * few,
        "{few} bytes of {FEW}, {many} bytes of {MANY}"
    );
}
