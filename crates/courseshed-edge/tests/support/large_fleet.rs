//! A server table with thousands of servers.

use std::net::SocketAddr;
use std::time::Duration;

use courseshed_edge::gateway::{Demand, ServerTable, VersionRequirement};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::AllowedRegions;
use courseshed_types::PromptPart;

pub const NOW: Duration = Duration::from_secs(10);
pub const LARGE_FLEET: u32 = 10_000;
/// A prompt whose first part is shared by many calls.
pub const PROMPT: [PromptPart; 2] = [
    PromptPart {
        id: 7,
        tokens: 12_600,
    },
    PromptPart {
        id: 8,
        tokens: 1_680,
    },
];

/// An engine in one of five zones.
pub fn server(number: u32) -> Server {
    let [_, _, high, low] = number.to_be_bytes();
    Server {
        id: format!("i-{number:08x}"),
        name: String::new(),
        started_ms: None,
        software_version: None,
        service: "engines".to_owned(),
        address: SocketAddr::from(([10, 0, high, low], 80)),
        zone: format!("zone-{}", number % 5),
        slots: 6,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
    }
}

/// A table of `servers` servers, and the list that it was built from.
pub fn table(servers: u32) -> (ServerTable, ServerList) {
    let list: ServerList = (0..servers).map(server).collect();
    let mut table = ServerTable::default();
    table.replace(&list, NOW);
    (table, list)
}

/// The server chosen for a call from `zone-1`.
pub fn choose(table: &ServerTable, prompt: &[PromptPart], tie: u64) -> Option<String> {
    let demand = Demand {
        service: "engines",
        zone: "zone-1",
        parts: prompt,
        max_in_flight: u32::MAX,
        allowed_regions: &AllowedRegions::ANY,
        version: &VersionRequirement::Any,
    };
    table.choose(&demand, &[], NOW, tie).map(|chosen| chosen.id)
}
