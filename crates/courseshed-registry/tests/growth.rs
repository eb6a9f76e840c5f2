//! What controllers and followers do for one server doesn't grow with the number of servers. Work is measured by
//! the bytes that are allocated for it, which are the same on every run: so this file has one test, beside which
//! nothing else runs.

use std::alloc::System;
use std::net::SocketAddr;

use courseshed_consensus::{LogIndex, StateMachine};
use courseshed_registry::{
    Command, FleetState, Known, Registration, Server, ServerList, ServerState, ServersKnown,
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
            id: Server::life_id(&name, Some(sequence)),
            name,
            born_ms: Some(sequence),
            service: "engines".to_owned(),
            address: SocketAddr::from(([10, 0, high, low], 80)),
            zone: format!("zone-{}", number % 5),
            slots: 6,
            state: ServerState::Ready,
            cold_ms: 0,
        },
        sequence,
    }
}

fn announce(state: &mut FleetState, number: u32, sequence: u64) {
    let command = Command::Announce(announcement(number, sequence));
    let data = rmp_serde::to_vec_named(&command).expect("encoded");
    state.apply(LogIndex(1), &data);
}

/// Bytes allocated while one server of so many starts anew and all that hear of it are told.
fn bytes_for_one(servers: u32) -> usize {
    let mut state = FleetState::default();
    for number in 0..servers {
        announce(&mut state, number, 1);
    }
    let mut follower = ServerList::default();
    let mut told = ServersKnown::default();
    while let Some(changes) = state.server_changes_since(told) {
        told = changes.known;
        follower.apply(changes);
    }
    let shown = state.clone();
    let region = Region::new(ALLOCATOR);
    announce(&mut state, servers / 2, 2);
    let copy = state.clone();
    let update = copy.update_for(Known {
        servers: told.changes,
        removals: told.removals,
        ..Known::default()
    });
    let changes = update.servers.expect("changes");
    assert_eq!(changes.changed.len() + changes.removed.len(), 2);
    let before = follower.clone();
    follower.apply(changes);
    assert_eq!(follower.changes_from(&before).len(), 2);
    let bytes = region.change().bytes_allocated;
    drop(shown);
    bytes
}

/// At 10,000 servers a copy of the state and a changed list took 10 times what they take at 1,000: 6 MB where it
/// is some 60 KB now.
#[test]
fn a_server_that_starts_costs_the_same_among_ten_times_as_many() {
    let few = bytes_for_one(FEW);
    let many = bytes_for_one(MANY);
    assert!(
        many < 2 * few,
        "{few} bytes of {FEW}, {many} bytes of {MANY}"
    );
}
