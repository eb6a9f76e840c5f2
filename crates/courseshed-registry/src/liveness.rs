//! The leader's volatile record of heartbeats. The caller passes times in.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use courseshed_types::NodeId;

use crate::{FleetState, ServerChanges, ServerListRevision};

/// Heartbeat timeouts.
#[derive(Clone, Copy, Debug)]
pub struct LivenessSettings {
    /// Timeout after which a server is removed until its next heartbeat.
    pub server_silence: Duration,
    /// Timeout after which a store may be replaced.
    pub node_silence: Duration,
}

/// Times of the last heartbeats, counted from the election of the leader.
///
/// Servers are indexed by time, so that finding the expired ones does not scan all servers.
#[derive(Clone, Debug)]
pub struct Liveness {
    settings: LivenessSettings,
    elected_at: Duration,
    servers: BTreeMap<Arc<str>, Duration>,
    servers_by_last_heard: BTreeSet<(Duration, Arc<str>)>,
    /// Revision of the server list up to which changes were applied.
    seen_revision: ServerListRevision,
    nodes: BTreeMap<NodeId, Duration>,
}

impl Liveness {
    /// Starts at the election of the leader.
    #[must_use]
    pub fn new(settings: LivenessSettings, now: Duration) -> Self {
        Self {
            settings,
            elected_at: now,
            servers: BTreeMap::new(),
            servers_by_last_heard: BTreeSet::new(),
            seen_revision: ServerListRevision::default(),
            nodes: BTreeMap::new(),
        }
    }

    /// Synchronizes the tracked servers and stores with the replicated state. New ones count as
    /// heard now, since they may have registered with another controller.
    pub fn observe(&mut self, now: Duration, state: &FleetState) {
        while let Some(changes) = state.server_changes_since(self.seen_revision) {
            self.seen_revision = changes.known;
            self.apply_changes(now, changes);
        }
        for node in state.stores().keys() {
            self.nodes.entry(*node).or_insert(now);
        }
    }

    fn apply_changes(&mut self, now: Duration, changes: ServerChanges) {
        if changes.is_full {
            let listed: BTreeSet<&str> = changes.changed.iter().map(|server| &*server.id).collect();
            self.servers.retain(|id, _| listed.contains(&**id));
            self.servers_by_last_heard
                .retain(|(_, id)| listed.contains(&**id));
        }
        for id in changes.removed {
            if let Some((id, heard)) = self.servers.remove_entry(&*id) {
                self.servers_by_last_heard.remove(&(heard, id));
            }
        }
        for server in changes.changed {
            if !self.servers.contains_key(&*server.id) {
                let id: Arc<str> = server.id.as_str().into();
                self.servers.insert(id.clone(), now);
                self.servers_by_last_heard.insert((now, id));
            }
        }
    }

    /// Registers heartbeats of servers. Unknown servers are ignored.
    pub fn record_server_heartbeats(
        &mut self,
        now: Duration,
        ids: impl IntoIterator<Item = String>,
    ) {
        for id in ids {
            if let Some((id, heard)) = self.servers.remove_entry(&*id) {
                self.servers_by_last_heard.remove(&(heard, id.clone()));
                self.servers_by_last_heard.insert((now, id.clone()));
                self.servers.insert(id, now);
            }
        }
    }

    /// Registers a heartbeat of a node.
    pub fn record_node_heartbeat(&mut self, now: Duration, node: NodeId) {
        self.nodes.insert(node, now);
    }

    /// Known servers whose heartbeats timed out.
    #[must_use]
    pub fn silent_servers(&self, now: Duration) -> Vec<String> {
        let timeout = self.settings.server_silence;
        let oldest_first = self.servers_by_last_heard.iter();
        let silent = oldest_first.take_while(|(heard, _)| now.saturating_sub(*heard) > timeout);
        silent.map(|(_, id)| id.to_string()).collect()
    }

    /// Whether the heartbeats of a node timed out, so that it may be replaced.
    #[must_use]
    pub fn is_silent(&self, now: Duration, node: NodeId) -> bool {
        let heard = self.nodes.get(&node).copied().unwrap_or(self.elected_at);
        now.saturating_sub(heard) > self.settings.node_silence
    }

    /// Stores whose heartbeats timed out.
    #[must_use]
    pub fn silent_stores(&self, now: Duration, state: &FleetState) -> BTreeSet<NodeId> {
        let stores = state.stores().keys().copied();
        stores.filter(|node| self.is_silent(now, *node)).collect()
    }
}
