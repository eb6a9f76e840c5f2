//! The leader's soft knowledge of who was heard lately. Pure: times are passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use courseshed_types::NodeId;

use crate::{FleetState, ServerChanges, ServersKnown};

/// How long silence is borne.
#[derive(Clone, Copy, Debug)]
pub struct LivenessSettings {
    /// A server that says nothing for so long is dropped until it is heard again.
    pub server_silence: Duration,
    /// A machine that says nothing for so long may be replaced by another one.
    pub node_silence: Duration,
}

/// Who was heard when. A new leader counts from its election.
///
/// Servers are ordered by when they were heard, so that finding the silent ones takes as long as there are any:
/// the leader looks several times a second.
#[derive(Clone, Debug)]
pub struct Liveness {
    settings: LivenessSettings,
    since: Duration,
    servers: BTreeMap<Arc<str>, Duration>,
    servers_by_time: BTreeSet<(Duration, Arc<str>)>,
    /// What was observed of the list of servers.
    observed: ServersKnown,
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
            servers_by_time: BTreeSet::new(),
            observed: ServersKnown::default(),
            nodes: BTreeMap::new(),
        }
    }

    /// Takes in who is there. Whoever is seen for the first time counts as heard: a server or machine
    /// that has just announced itself may have done so to another controller.
    pub fn observe(&mut self, now: Duration, state: &FleetState) {
        while let Some(changes) = state.server_changes_since(self.observed) {
            self.observed = changes.known;
            self.take_in(now, changes);
        }
        for node in state.stores().keys() {
            self.nodes.entry(*node).or_insert(now);
        }
    }

    fn take_in(&mut self, now: Duration, changes: ServerChanges) {
        if changes.is_whole {
            let listed: BTreeSet<&str> = changes.changed.iter().map(|server| &*server.id).collect();
            self.servers.retain(|id, _| listed.contains(&**id));
            self.servers_by_time
                .retain(|(_, id)| listed.contains(&**id));
        }
        for id in changes.removed {
            if let Some((id, heard)) = self.servers.remove_entry(&*id) {
                self.servers_by_time.remove(&(heard, id));
            }
        }
        for server in changes.changed {
            if !self.servers.contains_key(&*server.id) {
                let id: Arc<str> = server.id.as_str().into();
                self.servers.insert(id.clone(), now);
                self.servers_by_time.insert((now, id));
            }
        }
    }

    /// Notes that servers were heard; those that aren't listed are passed over.
    pub fn heard_servers(&mut self, now: Duration, ids: impl IntoIterator<Item = String>) {
        for id in ids {
            if let Some((id, heard)) = self.servers.remove_entry(&*id) {
                self.servers_by_time.remove(&(heard, id.clone()));
                self.servers_by_time.insert((now, id.clone()));
                self.servers.insert(id, now);
            }
        }
    }

    /// Notes that a machine was heard.
    pub fn heard_node(&mut self, now: Duration, node: NodeId) {
        self.nodes.insert(node, now);
    }

    /// Servers that were silent for too long, of those observed.
    #[must_use]
    pub fn silent_servers(&self, now: Duration) -> Vec<String> {
        let silence = self.settings.server_silence;
        let oldest_first = self.servers_by_time.iter();
        let silent = oldest_first.take_while(|(heard, _)| now.saturating_sub(*heard) > silence);
        silent.map(|(_, id)| id.to_string()).collect()
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
