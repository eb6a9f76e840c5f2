//! Index of the listed servers, and selection of the candidates for a call. No I/O.
//!
//! In a large fleet, costing every server for every call is too expensive. The candidates are the
//! servers of the own zone that come first in the rendezvous hashing order of the prompt, which all
//! gateways share, plus some of each other zone; the set grows while they are crowded. Up to
//! [`OWN_ZONE_CANDIDATES`] servers in the own zone and [`OTHER_ZONE_CANDIDATES`] in each other
//! zone, all servers are candidates.
//!
//! The cost of a call depends on these limits, and the cost of a list change on the size of the
//! change; neither depends on the size of the fleet.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use courseshed_registry::{ListChange, Server, ServerList};
use courseshed_types::ServerKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Initial number of candidates in the own zone. With 4 to 16 slots each, they cover several times
/// the calls that share one prompt in a zone at 20,000 calls a second, 19 zones and 13 models.
const OWN_ZONE_CANDIDATES: usize = 128;
/// Initial number of candidates in each other zone.
const OTHER_ZONE_CANDIDATES: usize = 32;
/// Maximum number of prompts whose preference order is cached for a zone: those of 13 models with a
/// few applications each.
const MAX_CACHED_PROMPTS: usize = 64;
/// Factor by which a cached preference order exceeds the requested size, so that removals rarely
/// force a new scan of the zone.
const CACHE_OVERSIZE_FACTOR: usize = 2;

/// How candidates are picked among equivalent servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// The rendezvous hashing order for this salt, which all gateways share.
    Shared(u64),
    /// An arbitrary range of servers that starts at this index.
    Any(u64),
}

/// The listed servers, by service and zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Directory {
    listed: ServerList,
    services: BTreeMap<String, BTreeMap<String, ZoneServers>>,
    by_key: HashMap<ServerKey, Arc<Server>>,
}

/// The servers of a service in a zone.
#[derive(Clone, Debug, Default)]
struct ZoneServers {
    servers: Vec<Arc<Server>>,
    /// Index in `servers`, by server ID.
    positions: HashMap<String, usize>,
    preferred: RefCell<HashMap<u64, PreferredServers>>,
}

/// The first servers of a zone in the rendezvous hashing order for one salt.
#[derive(Clone, Debug)]
struct PreferredServers {
    order: Vec<(u64, Arc<Server>)>,
    /// All servers with a rank below this are in `order`.
    complete_below: u64,
}

/// Rendezvous hashing rank of a server for a salt; the lowest is preferred.
pub(super) fn rendezvous_rank(server: ServerKey, salt: u64) -> u64 {
    xxh3_64_with_seed(&server.0.to_le_bytes(), salt)
}

impl Directory {
    /// Applies a newer server list and returns the changes.
    pub(super) fn follow(&mut self, list: &ServerList) -> Vec<ListChange> {
        let changes = list.changes_from(&self.listed);
        self.listed = list.clone();
        for change in &changes {
            match change {
                ListChange::Added(server) => self.insert(server),
                ListChange::Changed { before, now } => {
                    self.remove(before);
                    self.insert(now);
                }
                ListChange::Removed(server) => self.remove(server),
            }
        }
        changes
    }

    fn insert(&mut self, server: &Arc<Server>) {
        self.by_key
            .insert(ServerKey::of(&server.id), server.clone());
        let zones = self.services.entry(server.service.clone()).or_default();
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.insert(server);
    }

    fn remove(&mut self, server: &Server) {
        self.by_key.remove(&ServerKey::of(&server.id));
        let Some(zones) = self.services.get_mut(&server.service) else {
            return;
        };
        if let Some(zone) = zones.get_mut(&server.zone) {
            zone.remove(&server.id);
        }
        zones.retain(|_, zone| !zone.servers.is_empty());
        if zones.is_empty() {
            self.services.remove(&server.service);
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.listed.get(id)
    }

    pub(super) fn by_key(&self, key: ServerKey) -> Option<&Arc<Server>> {
        self.by_key.get(&key)
    }

    /// Names of services with at least one server.
    pub(super) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Number of servers of a service.
    pub(super) fn count(&self, service: &str) -> usize {
        let zones = self.services.get(service).into_iter().flatten();
        zones.map(|(_, zone)| zone.servers.len()).sum()
    }

    /// The servers of a service.
    pub(super) fn servers(&self, service: &str) -> impl Iterator<Item = &Arc<Server>> {
        let zones = self.services.get(service).into_iter().flatten();
        zones.flat_map(|(_, zone)| &zone.servers)
    }

    /// The candidates for a call from a zone; `width` multiplies the initial number.
    pub(super) fn candidates(
        &self,
        service: &str,
        own_zone: &str,
        preference: Preference,
        width: usize,
    ) -> Vec<Arc<Server>> {
        let zones = self.services.get(service).into_iter().flatten();
        let mut candidates = Vec::new();
        for (name, zone) in zones {
            let most = if name == own_zone {
                OWN_ZONE_CANDIDATES
            } else {
                OTHER_ZONE_CANDIDATES
            };
            zone.pick(preference, most * width, &mut candidates);
        }
        candidates
    }
}

impl ZoneServers {
    fn insert(&mut self, server: &Arc<Server>) {
        self.positions.insert(server.id.clone(), self.servers.len());
        self.servers.push(server.clone());
        for (salt, preferred) in self.preferred.get_mut() {
            preferred.insert(*salt, server);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(position) = self.positions.remove(id) else {
            return;
        };
        self.servers.swap_remove(position);
        if let Some(moved) = self.servers.get(position) {
            self.positions.insert(moved.id.clone(), position);
        }
        for preferred in self.preferred.get_mut().values_mut() {
            preferred.order.retain(|(_, server)| server.id != id);
        }
    }

    /// Appends at most `most` servers to `picked`.
    fn pick(&self, preference: Preference, most: usize, picked: &mut Vec<Arc<Server>>) {
        if self.servers.len() <= most {
            picked.extend(self.servers.iter().cloned());
            return;
        }
        match preference {
            Preference::Any(number) => {
                let first = (number % self.servers.len() as u64) as usize;
                let from_first = self.servers.iter().cycle().skip(first);
                picked.extend(from_first.take(most).cloned());
            }
            Preference::Shared(salt) => self.pick_preferred(salt, most, picked),
        }
    }

    fn pick_preferred(&self, salt: u64, most: usize, picked: &mut Vec<Arc<Server>>) {
        let mut cached = self.preferred.borrow_mut();
        if cached.len() >= MAX_CACHED_PROMPTS && !cached.contains_key(&salt) {
            cached.clear();
        }
        let known = cached.get(&salt);
        if known.is_none_or(|preferred| preferred.order.len() < most) {
            let preferred = PreferredServers::of(&self.servers, salt, most * CACHE_OVERSIZE_FACTOR);
            cached.insert(salt, preferred);
        }
        let order = cached.get(&salt).into_iter();
        let order = order.flat_map(|preferred| &preferred.order);
        picked.extend(order.take(most).map(|(_, server)| server.clone()));
    }
}

impl PreferredServers {
    fn of(servers: &[Arc<Server>], salt: u64, count: usize) -> Self {
        let rank = |server: &Arc<Server>| rendezvous_rank(ServerKey::of(&server.id), salt);
        let mut order: Vec<(u64, Arc<Server>)> = servers
            .iter()
            .map(|server| (rank(server), server.clone()))
            .collect();
        order.sort_unstable_by_key(|(rank, _)| *rank);
        let complete_below = order.get(count).map_or(u64::MAX, |(rank, _)| *rank);
        order.truncate(count);
        Self {
            order,
            complete_below,
        }
    }

    fn insert(&mut self, salt: u64, server: &Arc<Server>) {
        let rank = rendezvous_rank(ServerKey::of(&server.id), salt);
        if rank < self.complete_below {
            let position = self.order.partition_point(|(other, _)| *other < rank);
            self.order.insert(position, (rank, server.clone()));
        }
    }
}
