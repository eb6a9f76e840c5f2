//! A service with thousands of servers.

use std::net::SocketAddr;
use std::time::Duration;

use courseshed_edge::gateway::{Demand, ServerTable};
use courseshed_registry::{Server, ServerList, ServerState};
use courseshed_routing::HomeRegions;
use courseshed_types::PromptPart;

/// When everything happens that takes no time.
pub const NOW: Duration = Duration::from_secs(10);
/// Servers of a large fleet.
pub const MANY: u32 = 10_000;
/// A prompt with a part that many share.
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

/// One of many engines, in one of five zones.
pub fn server(number: u32) -> Server {
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

/// A table of so many servers, and their list.
pub fn table(servers: u32) -> (ServerTable, ServerList) {
    let list: ServerList = (0..servers).map(server).collect();
    let mut table = ServerTable::default();
    table.replace(&list, NOW);
    (table, list)
}

/// The server that a call from a zone goes to.
pub fn choose(table: &ServerTable, prompt: &[PromptPart], tie: u64) -> Option<String> {
    let demand = Demand {
        service: "engines",
        zone: "zone-1",
        parts: prompt,
        max_in_flight: u32::MAX,
        homes: &HomeRegions::ANY,
    };
    table.choose(&demand, &[], NOW, tie).map(|chosen| chosen.id)
}
