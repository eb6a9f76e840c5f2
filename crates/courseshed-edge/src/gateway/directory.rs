//! All servers that are listed, and which of them are weighed for a call. Pure.
//!
//! A gateway of a large fleet makes few calls and can't weigh all servers for each, nor does it need to: those
//! of its own zone that all gateways prefer for the same prompt (rendezvous hashing) are as many as the
//! prompt's calls need, and others come in only when these are crowded. Up to [`OWN_ZONE`] servers in the own
//! zone and [`OTHER_ZONE`] in each other one, all are weighed.
//!
//! Work for a call depends on these numbers, and work for a change of the list on what changed, whatever the
//! size of the fleet: weighing 10,000 servers took 1 ms of processor time for each call, which is 8 ms on an
//! eighth of a core, and as much for each change that a gateway heard of.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use courseshed_registry::{ListChange, Server, ServerList};
use courseshed_types::ServerKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Servers of the own zone that are weighed first. With slots for 4 to 16 calls each they run several times
/// what one shared prompt brings to a zone at 20,000 calls a second over 19 zones and 13 models.
const OWN_ZONE: usize = 128;
/// Servers of each other zone that are weighed first.
const OTHER_ZONE: usize = 32;
/// Prompts whose preferred servers are remembered for a zone: those of 13 models with a few applications each.
const REMEMBERED_PROMPTS: usize = 64;
/// How many more servers are remembered for a prompt than are asked for, so that removals seldom make the
/// whole zone be looked through.
const SPARE: usize = 2;

/// How servers that are alike are taken in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// All gateways prefer the same for the same number.
    Shared(u64),
    /// Any will do; the number picks some.
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
    /// Places of the servers among them, by id.
    places: HashMap<String, usize>,
    preferred: RefCell<HashMap<u64, PreferredServers>>,
}

/// The servers of a zone that are preferred for one number, most preferred first.
#[derive(Clone, Debug)]
struct PreferredServers {
    order: Vec<(u64, Arc<Server>)>,
    /// All servers whose place in the order is before this one are among them.
    complete_before: u64,
}

/// Where a server stands for a number: the lowest is preferred.
pub(super) fn preference(server: ServerKey, salt: u64) -> u64 {
    xxh3_64_with_seed(&server.0.to_le_bytes(), salt)
}

impl Directory {
    /// Takes in a newer list; returns what changed.
    pub(super) fn follow(&mut self, list: &ServerList) -> Vec<ListChange> {
        let changes = list.changes_from(&self.listed);
        self.listed = list.clone();
        for change in &changes {
            match change {
                ListChange::Listed(server) => self.put(server),
                ListChange::Changed { before, now } => {
                    self.take_out(before);
                    self.put(now);
                }
                ListChange::Gone(server) => self.take_out(server),
            }
        }
        changes
    }

    fn put(&mut self, server: &Arc<Server>) {
        self.by_key
            .insert(ServerKey::of(&server.id), server.clone());
        let zones = self.services.entry(server.service.clone()).or_default();
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.put(server);
    }

    fn take_out(&mut self, server: &Server) {
        self.by_key.remove(&ServerKey::of(&server.id));
        let Some(zones) = self.services.get_mut(&server.service) else {
            return;
        };
        if let Some(zone) = zones.get_mut(&server.zone) {
            zone.take_out(&server.id);
        }
        zones.retain(|_, zone| !zone.servers.is_empty());
        if zones.is_empty() {
            self.services.remove(&server.service);
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.listed.get(id)
    }

    /// The server that a key names.
    pub(super) fn by_key(&self, key: ServerKey) -> Option<&Arc<Server>> {
        self.by_key.get(&key)
    }

    /// The services that have servers.
    pub(super) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// How many servers a service has.
    pub(super) fn count(&self, service: &str) -> usize {
        let zones = self.services.get(service).into_iter().flatten();
        zones.map(|(_, zone)| zone.servers.len()).sum()
    }

    /// The servers that are weighed for a call of a service from a zone; `width` times as many as first.
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
                OWN_ZONE
            } else {
                OTHER_ZONE
            };
            zone.pick(preference, most * width, &mut candidates);
        }
        candidates
    }
}

impl ZoneServers {
    fn put(&mut self, server: &Arc<Server>) {
        self.places.insert(server.id.clone(), self.servers.len());
        self.servers.push(server.clone());
        for (salt, preferred) in self.preferred.get_mut() {
            preferred.put(*salt, server);
        }
    }

    fn take_out(&mut self, id: &str) {
        let Some(place) = self.places.remove(id) else {
            return;
        };
        self.servers.swap_remove(place);
        if let Some(moved) = self.servers.get(place) {
            self.places.insert(moved.id.clone(), place);
        }
        for preferred in self.preferred.get_mut().values_mut() {
            preferred.order.retain(|(_, server)| server.id != id);
        }
    }

    /// Adds at most so many servers to those picked.
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
        let mut remembered = self.preferred.borrow_mut();
        if remembered.len() >= REMEMBERED_PROMPTS && !remembered.contains_key(&salt) {
            remembered.clear();
        }
        let known = remembered.get(&salt);
        if known.is_none_or(|preferred| preferred.order.len() < most) {
            let preferred = PreferredServers::of(&self.servers, salt, most * SPARE);
            remembered.insert(salt, preferred);
        }
        let order = remembered.get(&salt).into_iter();
        let order = order.flat_map(|preferred| &preferred.order);
        picked.extend(order.take(most).map(|(_, server)| server.clone()));
    }
}

impl PreferredServers {
    fn of(servers: &[Arc<Server>], salt: u64, count: usize) -> Self {
        let rank = |server: &Arc<Server>| preference(ServerKey::of(&server.id), salt);
        let mut order: Vec<(u64, Arc<Server>)> = servers
            .iter()
            .map(|server| (rank(server), server.clone()))
            .collect();
        order.sort_unstable_by_key(|(rank, _)| *rank);
        let complete_before = order.get(count).map_or(u64::MAX, |(rank, _)| *rank);
        order.truncate(count);
        Self {
            order,
            complete_before,
        }
    }

    fn put(&mut self, salt: u64, server: &Arc<Server>) {
        let rank = preference(ServerKey::of(&server.id), salt);
        if rank < self.complete_before {
            let place = self.order.partition_point(|(other, _)| *other < rank);
            self.order.insert(place, (rank, server.clone()));
        }
    }
}
