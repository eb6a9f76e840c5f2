//! The registered servers, and incremental updates of them for followers.
//!
//! Invariant: a follower that applies the changes since its revision has the same servers as the
//! source list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use serde::{Deserialize, Serialize};

use crate::{Registration, Server};

/// Number of removals to retain for incremental updates. A follower that lacks older ones receives
/// the full list.
const MAX_RETAINED_REMOVALS: usize = 4096;

/// Maximum number of changed servers per update. Bounds the memory and the link usage of a
/// controller while many followers synchronize at once.
const MAX_CHANGES_PER_UPDATE: usize = 200;

/// A server with its newest registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnnouncedServer {
    pub server: Arc<Server>,
    /// Sequence number of the registration.
    pub sequence: u64,
    /// Revision of the list at which the server last changed.
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Removal {
    revision: u64,
    server: String,
}

/// The replicated server list. Each change increments the revision.
///
/// The maps are persistent and indexed by every lookup key: a copy takes constant time, and a
/// registration or an update costs in proportion to what changed rather than to the list size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredServers", into = "StoredServers")]
pub(crate) struct AnnouncedServers {
    revision: u64,
    by_id: OrdMap<String, AnnouncedServer>,
    /// Ids of removed servers by the revision of their removal.
    removals: OrdMap<u64, String>,
    /// Removals up to this revision may have been pruned.
    forgotten: u64,
    /// Ids by listen address.
    by_address: OrdMap<SocketAddr, String>,
    /// Ids of the newest incarnations by server name.
    by_name: OrdMap<String, String>,
    /// Ids by the revision of the last change.
    by_revision: OrdMap<u64, String>,
}

/// Persisted part of [`AnnouncedServers`]. The other fields are derived.
#[derive(Serialize, Deserialize)]
struct StoredServers {
    revision: u64,
    by_id: BTreeMap<String, AnnouncedServer>,
    removals: VecDeque<Removal>,
    forgotten: u64,
}

impl From<StoredServers> for AnnouncedServers {
    fn from(stored: StoredServers) -> Self {
        let removals = stored.removals.into_iter();
        let mut servers = Self {
            revision: stored.revision,
            removals: removals
                .map(|removal| (removal.revision, removal.server))
                .collect(),
            forgotten: stored.forgotten,
            ..Self::default()
        };
        for (id, announced) in stored.by_id {
            servers.add_to_indexes(id, announced);
        }
        servers
    }
}

impl From<AnnouncedServers> for StoredServers {
    fn from(servers: AnnouncedServers) -> Self {
        let removals = servers.removals.into_iter();
        Self {
            revision: servers.revision,
            by_id: servers.by_id.into_iter().collect(),
            removals: removals
                .map(|(revision, server)| Removal { revision, server })
                .collect(),
            forgotten: servers.forgotten,
        }
    }
}

impl AnnouncedServers {
    pub(crate) fn get(&self, id: &str) -> Option<&AnnouncedServer> {
        self.by_id.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.values().map(|announced| &*announced.server)
    }

    pub(crate) fn insert(&mut self, registration: Registration) {
        self.revision += 1;
        let id = registration.server.id.clone();
        let known = self.remove_from_indexes(&id);
        let server = match known {
            Some(known) => registration.server.with_version_of(&known.server),
            None => registration.server,
        };
        let announced = AnnouncedServer {
            server: Arc::new(server),
            sequence: registration.sequence,
            revision: self.revision,
        };
        self.add_to_indexes(id, announced);
    }

    /// Changes the remaining warm-up time of a registered server until its next registration.
    pub(crate) fn set_warmup_remaining(&mut self, id: &str, warmup_remaining_ms: u32) {
        let Some(announced) = self.by_id.get(id) else {
            return;
        };
        let server = Server {
            warmup_remaining_ms,
            ..(*announced.server).clone()
        };
        let sequence = announced.sequence;
        self.insert(Registration { server, sequence });
    }

    fn add_to_indexes(&mut self, id: String, announced: AnnouncedServer) {
        let server = &announced.server;
        self.by_address.insert(server.address, id.clone());
        self.by_name.insert(server.name().to_owned(), id.clone());
        self.by_revision.insert(announced.revision, id.clone());
        self.by_id.insert(id, announced);
    }

    /// Removes a server from all indexes.
    fn remove_from_indexes(&mut self, id: &str) -> Option<AnnouncedServer> {
        let announced = self.by_id.remove(id)?;
        self.by_revision.remove(&announced.revision);
        let server = &announced.server;
        if self
            .by_address
            .get(&server.address)
            .is_some_and(|held| held == id)
        {
            self.by_address.remove(&server.address);
        }
        if self
            .by_name
            .get(server.name())
            .is_some_and(|held| held == id)
        {
            self.by_name.remove(server.name());
        }
        Some(announced)
    }

    /// The server with an address.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<&Server> {
        let id = self.by_address.get(&address)?;
        self.by_id.get(id).map(|announced| &*announced.server)
    }

    /// The newest incarnation of a server.
    pub(crate) fn newest_incarnation(&self, name: &str) -> Option<&Server> {
        let id = self.by_name.get(name)?;
        self.by_id.get(id).map(|announced| &*announced.server)
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if self.remove_from_indexes(id).is_none() {
            return;
        }
        self.revision += 1;
        self.removals.insert(self.revision, id.to_owned());
        if self.removals.len() > MAX_RETAINED_REMOVALS
            && let Some((oldest, _)) = self.removals.get_min().cloned()
        {
            self.removals.remove(&oldest);
            self.forgotten = oldest;
        }
    }

    /// Changes that a follower lacks, at most [`MAX_CHANGES_PER_UPDATE`] servers; `None` if up to
    /// date.
    pub(crate) fn changes_since(&self, known: ServerListRevision) -> Option<ServerChanges> {
        if self.revision <= known.changes && self.revision <= known.removals {
            return None;
        }
        let is_full = known.changes == 0 || known.removals < self.forgotten;
        let known = if is_full {
            ServerListRevision {
                changes: 0,
                removals: self.revision,
            }
        } else {
            known
        };
        let mut newer = self.by_revision.range(known.changes.saturating_add(1)..);
        let sent: Vec<(&u64, &String)> = newer.by_ref().take(MAX_CHANGES_PER_UPDATE).collect();
        let last = sent
            .last()
            .map_or(self.revision, |(revision, _)| **revision);
        let has_more = newer.next().is_some();
        let ids = sent.into_iter().map(|(_, id)| id);
        let changed = ids.filter_map(|id| self.by_id.get(id));
        let removed = self.removals.range(known.removals.saturating_add(1)..);
        Some(ServerChanges {
            is_full,
            changed: changed.map(|announced| announced.server.clone()).collect(),
            removed: removed.map(|(_, id)| id.clone()).collect(),
            known: ServerListRevision {
                changes: if has_more { last } else { self.revision },
                removals: self.revision,
            },
            has_more,
        })
    }

    /// Revision of an up-to-date follower.
    pub(crate) fn known(&self) -> ServerListRevision {
        ServerListRevision {
            changes: self.revision,
            removals: self.revision,
        }
    }
}

/// Revision of the server list that a follower has.
///
/// Changes are sent in order of their revisions in batches of limited size, removals all at once. A
/// server that is removed after it was sent is included in the later removals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListRevision {
    /// Revision up to which changes were sent; 0 initially.
    pub changes: u64,
    /// Revision up to which removals were sent.
    pub removals: u64,
}

/// Changes of the server list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Whether the follower must discard all servers that are not included.
    #[serde(rename = "is_whole")]
    pub is_full: bool,
    /// Added or changed servers.
    pub changed: Vec<Arc<Server>>,
    /// Ids of removed servers. A server that was added again is in this or a later `changed`.
    pub removed: Vec<String>,
    /// Revision of the follower after applying the changes.
    #[serde(default)]
    pub known: ServerListRevision,
    /// Whether more changes follow.
    #[serde(default)]
    pub has_more: bool,
}

/// A follower's copy of the server list. Clones share unchanged entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerList {
    by_id: OrdMap<String, Arc<Server>>,
}

/// A difference between two server lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// The server was added.
    Added(Arc<Server>),
    /// The registration of the server changed.
    Changed {
        /// The previous registration.
        before: Arc<Server>,
        /// The current registration.
        now: Arc<Server>,
    },
    /// The server was removed.
    Removed(Arc<Server>),
}

impl ServerList {
    /// Applies changes.
    pub fn apply(&mut self, changes: ServerChanges) {
        if changes.is_full {
            self.by_id.clear();
        }
        for id in &changes.removed {
            self.by_id.remove(id);
        }
        for server in changes.changed {
            self.by_id.insert(server.id.clone(), server);
        }
    }

    /// Differences from an earlier list to this one. Takes time in proportion to the differences if
    /// this list was derived from a clone of the earlier one.
    #[must_use]
    pub fn changes_from(&self, before: &Self) -> Vec<ListChange> {
        let differences = before.by_id.diff(&self.by_id);
        differences
            .map(|item| match item {
                DiffItem::Add(_, server) => ListChange::Added(server.clone()),
                DiffItem::Update { old, new } => ListChange::Changed {
                    before: old.1.clone(),
                    now: new.1.clone(),
                },
                DiffItem::Remove(_, server) => ListChange::Removed(server.clone()),
            })
            .collect()
    }

    /// The server with an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.by_id.get(id)
    }

    /// The servers in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_id.values()
    }

    /// Number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl FromIterator<Server> for ServerList {
    fn from_iter<I: IntoIterator<Item = Server>>(servers: I) -> Self {
        let servers = servers.into_iter();
        Self {
            by_id: servers
                .map(|server| (server.id.clone(), Arc::new(server)))
                .collect(),
        }
    }
}
