//! The servers that announced themselves, and what of them changed since a follower was told.
//!
//! Invariant: a follower that takes in the changes since its revision has the same servers as the
//! list that gave them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use serde::{Deserialize, Serialize};

use crate::{Registration, Server};

/// Removals that are remembered for followers. Who lacks more than these is told the whole list:
/// 4,096 are more than an hour of a fleet whose 3,000 servers are all replaced once.
const REMEMBERED_REMOVALS: usize = 4096;

/// Changes that are told at a time: some 32 KB. Followers of a controller that start together take one such message
/// each of its memory and of its link, on which an answer must arrive while it is waited for: with whole lists
/// of 10,000 servers it was 1.6 MB for each of 87.
const MOST_CHANGES: usize = 200;

/// A server with its newest announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announced {
    pub server: Arc<Server>,
    /// Sequence of the announcement.
    pub sequence: u64,
    /// Revision of the list at which the server changed last.
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Removal {
    revision: u64,
    server: String,
}

/// The servers, as the controllers agree on them. Each change makes a higher revision.
///
/// All maps share what didn't change with their copies, and are indexed by what is looked for. So a copy for
/// those who read costs the same at any number of servers, and an announcement or an update of a follower costs
/// what changed: with 10,000 servers that start together, walks over all of them were 100 million comparisons
/// for the announcements, and as many for each 10,000 updates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredServers", into = "StoredServers")]
pub(crate) struct AnnouncedServers {
    revision: u64,
    by_id: OrdMap<String, Announced>,
    /// Ids of removed servers by the revision of the removal.
    removals: OrdMap<u64, String>,
    /// Removals up to this revision may have been forgotten.
    forgotten: u64,
    /// Ids by where servers listen.
    by_address: OrdMap<SocketAddr, String>,
    /// Ids of the newest lives by the names of servers.
    by_name: OrdMap<String, String>,
    /// Ids by the revision at which the server changed last.
    by_revision: OrdMap<u64, String>,
}

/// What is stored of [`AnnouncedServers`]; the rest follows from it.
#[derive(Serialize, Deserialize)]
struct StoredServers {
    revision: u64,
    by_id: BTreeMap<String, Announced>,
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
            servers.put(id, announced);
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
    pub(crate) fn get(&self, id: &str) -> Option<&Announced> {
        self.by_id.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.values().map(|announced| &*announced.server)
    }

    pub(crate) fn insert(&mut self, registration: Registration) {
        self.revision += 1;
        let id = registration.server.id.clone();
        self.take_out(&id);
        let announced = Announced {
            server: Arc::new(registration.server),
            sequence: registration.sequence,
            revision: self.revision,
        };
        self.put(id, announced);
    }

    fn put(&mut self, id: String, announced: Announced) {
        let server = &announced.server;
        self.by_address.insert(server.address, id.clone());
        self.by_name.insert(server.name().to_owned(), id.clone());
        self.by_revision.insert(announced.revision, id.clone());
        self.by_id.insert(id, announced);
    }

    /// Takes a server out of all indexes.
    fn take_out(&mut self, id: &str) -> Option<Announced> {
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

    /// The server that listens at an address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<&Server> {
        let id = self.by_address.get(&address)?;
        self.by_id.get(id).map(|announced| &*announced.server)
    }

    /// The newest life of the server of a name.
    pub(crate) fn newest_life(&self, name: &str) -> Option<&Server> {
        let id = self.by_name.get(name)?;
        self.by_id.get(id).map(|announced| &*announced.server)
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if self.take_out(id).is_none() {
            return;
        }
        self.revision += 1;
        self.removals.insert(self.revision, id.to_owned());
        if self.removals.len() > REMEMBERED_REMOVALS
            && let Some((oldest, _)) = self.removals.get_min().cloned()
        {
            self.removals.remove(&oldest);
            self.forgotten = oldest;
        }
    }

    /// What a follower lacks that knows so much, at most [`MOST_CHANGES`] servers of it; none if it lacks nothing.
    pub(crate) fn changes_since(&self, known: ServersKnown) -> Option<ServerChanges> {
        if self.revision <= known.changes && self.revision <= known.removals {
            return None;
        }
        let is_whole = known.changes == 0 || known.removals < self.forgotten;
        let known = if is_whole {
            ServersKnown {
                changes: 0,
                removals: self.revision,
            }
        } else {
            known
        };
        let mut newer = self.by_revision.range(known.changes.saturating_add(1)..);
        let told: Vec<(&u64, &String)> = newer.by_ref().take(MOST_CHANGES).collect();
        let last = told
            .last()
            .map_or(self.revision, |(revision, _)| **revision);
        let has_more = newer.next().is_some();
        let ids = told.into_iter().map(|(_, id)| id);
        let changed = ids.filter_map(|id| self.by_id.get(id));
        let removed = self.removals.range(known.removals.saturating_add(1)..);
        Some(ServerChanges {
            is_whole,
            changed: changed.map(|announced| announced.server.clone()).collect(),
            removed: removed.map(|(_, id)| id.clone()).collect(),
            known: ServersKnown {
                changes: if has_more { last } else { self.revision },
                removals: self.revision,
            },
            has_more,
        })
    }

    /// What a follower knows that was told all.
    pub(crate) fn known(&self) -> ServersKnown {
        ServersKnown {
            changes: self.revision,
            removals: self.revision,
        }
    }
}

/// How much of the servers a follower knows.
///
/// Changes are told in the order of their revisions, a bounded number at a time; removals all at once. A server
/// that was told and is removed before the rest is told is among the removals since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersKnown {
    /// Revision up to which changes were told; 0 before the first.
    pub changes: u64,
    /// Revision up to which removals were told.
    pub removals: u64,
}

/// What changed of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Whether a server that isn't named is gone.
    pub is_whole: bool,
    /// Servers that are new or changed.
    pub changed: Vec<Arc<Server>>,
    /// Ids of servers that are gone; one that came back since is among the changed, now or later.
    pub removed: Vec<String>,
    /// What the follower knows once it has taken them in.
    #[serde(default)]
    pub known: ServersKnown,
    /// Whether there are more.
    #[serde(default)]
    pub has_more: bool,
}

/// The servers, as a follower knows them. A copy shares what didn't change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerList {
    by_id: OrdMap<String, Arc<Server>>,
}

/// What became of one server between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// It is new.
    Listed(Arc<Server>),
    /// It says something new.
    Changed {
        /// What was listed.
        before: Arc<Server>,
        /// What is listed now.
        now: Arc<Server>,
    },
    /// It is gone.
    Gone(Arc<Server>),
}

impl ServerList {
    /// Takes changes in.
    pub fn apply(&mut self, changes: ServerChanges) {
        if changes.is_whole {
            self.by_id.clear();
        }
        for id in &changes.removed {
            self.by_id.remove(id);
        }
        for server in changes.changed {
            self.by_id.insert(server.id.clone(), server);
        }
    }

    /// What changed from an earlier list to this one. Takes as long as what changed is large, if this list was
    /// made from a copy of the earlier one.
    #[must_use]
    pub fn changes_from(&self, before: &Self) -> Vec<ListChange> {
        let differences = before.by_id.diff(&self.by_id);
        differences
            .map(|difference| match difference {
                DiffItem::Add(_, server) => ListChange::Listed(server.clone()),
                DiffItem::Update { old, new } => ListChange::Changed {
                    before: old.1.clone(),
                    now: new.1.clone(),
                },
                DiffItem::Remove(_, server) => ListChange::Gone(server.clone()),
            })
            .collect()
    }

    /// The server of an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.by_id.get(id)
    }

    /// The servers by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_id.values()
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are none.
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
