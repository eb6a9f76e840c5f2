//! Size of updates for followers that lack everything.

use std::net::SocketAddr;
use std::sync::Arc;

use courseshed_consensus::{LogIndex, StateMachine};
use courseshed_registry::{
    Command, FleetState, FollowerRevisions, Registration, Server, ServerState,
};
use courseshed_routing::{CallKind, RecentTables, Route, RoutingTable, Target, VersionedTable};

/// Bytes that each of 91 followers receives over a shared link of 86 Mbit/s within the reply
/// timeout of 0.85 s.
const MAX_UPDATE_BYTES: usize = 86_000_000 / 8 / 91 * 85 / 100;

fn registration(number: u32) -> Registration {
    let [_, _, high, low] = number.to_be_bytes();
    Registration {
        server: Server {
            id: format!("i-{number:08x}/1764730000123"),
            name: format!("i-{number:08x}"),
            started_ms: Some(1_764_730_000_123),
            software_version: None,
            service: "engines-of-a-service".to_owned(),
            address: SocketAddr::from(([10, 100, high, low], 8525)),
            zone: "zone-of-a-region-b".to_owned(),
            slots: 16,
            state: ServerState::Ready,
            warmup_remaining_ms: 0,
        },
        sequence: 1,
    }
}

fn route(number: u32) -> Route {
    Route {
        name: format!("route-{number:06}"),
        host: "host-of-some-caller.example".to_owned(),
        path_prefix: format!("/prefix-{number:06}/"),
        kind: CallKind::Stream,
        timeout_ms: 30_000,
        latency_target_ms: 200,
        priority: 1,
        targets: vec![Target {
            service: "engines-of-a-service".to_owned(),
            weight: 1.0,
        }],
        max_attempts: 2,
        stores_turns: true,
        retention_ms: 60_000,
        affinity: true,
        resumable: true,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

#[test]
fn initial_update_fits_into_reply_timeout() {
    let mut state = FleetState::default();
    let table = VersionedTable {
        version: 1,
        table: RoutingTable {
            routes: (0..10_000).map(route).map(Arc::new).collect(),
            ..RoutingTable::default()
        },
    };
    let servers = (0..10_000).map(registration).map(Command::Announce);
    for (index, command) in servers.enumerate() {
        let data = rmp_serde::to_vec_named(&command).expect("a command");
        state.apply(LogIndex(index as u64 + 1), &data);
    }
    let mut tables = RecentTables::default();
    tables.push(&table);
    let known = FollowerRevisions {
        takes_parts: true,
        ..FollowerRevisions::default()
    };
    let mut update = state.update_for(known);
    update.table_part = tables.part_for(None, None);
    let bytes = rmp_serde::to_vec_named(&update).expect("an update").len();
    assert!(
        bytes <= MAX_UPDATE_BYTES,
        "{bytes} bytes of {MAX_UPDATE_BYTES}"
    );
}
