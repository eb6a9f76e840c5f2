//! The leader's soft knowledge of who was heard lately. Pure: times are passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use courseshed_types::NodeId;

use crate::FleetState;

/// How long silence is borne.
#[derive(Clone, Copy, Debug)]
pub struct LivenessSettings {
    /// A server that says nothing for so long is dropped until it is heard again.
    pub server_silence: Duration,
    /// A machine that says nothing for so long may be replaced by another one.
    pub node_silence: Duration,
}

/// Who was heard when. A new leader counts from its election.
#[derive(Clone, Debug)]
pub struct Liveness {
    settings: LivenessSettings,
    since: Duration,
    servers: BTreeMap<String, Duration>,
    nodes: BTreeMap<NodeId, Duration>,
}

impl Liveness {
    /// Starts at an election.
    #[must_use]
    pub fn new(settings: LivenessSettings, now: Duration) -> Self {
        Self {
            settings,
            since: now,
            servers: BTreeMap::new(),
            nodes: BTreeMap::new(),
        }
    }

    /// Takes in who is there. Whoever is seen for the first time counts as heard: a server or machine
    /// that has just announced itself may have done so to another controller.
    pub fn observe(&mut self, now: Duration, state: &FleetState) {
        let mut servers = BTreeMap::new();
        for server in state.servers() {
            let heard = self.servers.get(&server.id).copied().unwrap_or(now);
            servers.insert(server.id.clone(), heard);
        }
        self.servers = servers;
        for node in state.stores().keys() {
            self.nodes.entry(*node).or_insert(now);
        }
    }

    /// Notes that servers were heard.
    pub fn heard_servers(&mut self, now: Duration, ids: impl IntoIterator<Item = String>) {
        for id in ids {
            self.servers.insert(id, now);
        }
    }

    /// Notes that a machine was heard.
    pub fn heard_node(&mut self, now: Duration, node: NodeId) {
        self.nodes.insert(node, now);
    }

    /// Servers that were silent for too long.
    #[must_use]
    pub fn silent_servers(&self, now: Duration, state: &FleetState) -> Vec<String> {
        let is_silent = |id: &String| {
            let heard = self.servers.get(id).copied().unwrap_or(self.since);
            now.saturating_sub(heard) > self.settings.server_silence
        };
        state
            .servers()
            .map(|server| server.id.clone())
            .filter(is_silent)
            .collect()
    }

    /// Whether a machine was silent for so long that another may take its place.
    #[must_use]
    pub fn is_silent(&self, now: Duration, node: NodeId) -> bool {
        let heard = self.nodes.get(&node).copied().unwrap_or(self.since);
        now.saturating_sub(heard) > self.settings.node_silence
    }

    /// The machines with records that were silent for so long.
    #[must_use]
    pub fn silent_stores(&self, now: Duration, state: &FleetState) -> BTreeSet<NodeId> {
        let stores = state.stores().keys().copied();
        stores.filter(|node| self.is_silent(now, *node)).collect()
    }
}
