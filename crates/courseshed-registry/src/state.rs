//! The replicated state and how commands change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use courseshed_consensus::{LogIndex, RestoreError, StateMachine};
use courseshed_quota::{Ceiling, OwnerBounds};
use courseshed_records::{PartitionMap, StoreMachine, ViewChange};
use courseshed_routing::{PartsTaken, Service, TablePart, VersionedTable};
use courseshed_types::NodeId;
use imbl::Vector;
use serde::{Deserialize, Serialize};

use crate::server::is_later_life;
use crate::server_list::AnnouncedServers;
use crate::{Command, Outcome, Registration, Server, ServerChanges, ServerState, ServersKnown};

/// Servers that left are remembered, so that a late announcement doesn't bring them back.
const REMEMBERED_DEPARTURES: usize = 4096;

/// Ceilings beyond which those of tenants that are gone are forgotten: several times the tenants that
/// one fleet is meant for.
const REMEMBERED_CEILINGS: usize = 4096;

/// The routing table in force, and what the operator sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingInForce {
    /// The table.
    pub table: Arc<VersionedTable>,
    /// What the operator sent.
    pub document: Bytes,
}

/// How far the emptying of a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    /// It still counts, or another is still catching up.
    Running,
    /// It may be taken away.
    Completed,
}

/// What all controllers agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    routing: Option<RoutingInForce>,
    servers: AnnouncedServers,
    departed: Vector<String>,
    /// Servers that fell silent: they may come back, unless another took their address meanwhile.
    #[serde(default)]
    expired: Vector<String>,
    stores: BTreeMap<NodeId, StoreMachine>,
    records: PartitionMap,
    retirements: BTreeMap<NodeId, Retirement>,
    #[serde(default)]
    evacuated: EvacuatedZones,
    /// The most permits of each tenant that may be out.
    #[serde(default)]
    quota_ceilings: BTreeMap<String, u32>,
    /// Gateways that may hold permits.
    #[serde(default)]
    quota_holders: BTreeSet<NodeId>,
}

/// What a follower of the state has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Version of the routing table; none before the first.
    pub routing: Option<u64>,
    /// Whether it takes a routing table in parts; earlier builds want it whole.
    #[serde(default)]
    pub takes_parts: bool,
    /// The parts of a later version that it has taken.
    #[serde(default)]
    pub parts: Option<PartsTaken>,
    /// Revision up to which changes of the servers were told, see [`ServersKnown`].
    pub servers: u64,
    /// Revision up to which removals of servers were told.
    #[serde(default)]
    pub removals: u64,
    /// Revision of the partitions of the records.
    pub records: u64,
    /// Revision of the evacuated zones.
    #[serde(default)]
    pub evacuated: u64,
}

impl Known {
    /// What lacks nothing: whoever asks with it is told only how much there is.
    pub const EVERYTHING: Self = Self {
        routing: Some(u64::MAX),
        takes_parts: true,
        parts: None,
        servers: u64::MAX,
        removals: u64::MAX,
        records: u64::MAX,
        evacuated: u64::MAX,
    };

    /// What is known of the servers.
    #[must_use]
    pub fn server_list(&self) -> ServersKnown {
        ServersKnown {
            changes: self.servers,
            removals: self.removals,
        }
    }

    /// Whether there is anything to be known.
    #[must_use]
    pub fn is_any(&self) -> bool {
        self.routing.is_some() || self.servers > 0
    }
}

/// What a follower of the state lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// What the follower has after taking the update in.
    pub known: Known,
    /// A newer routing table, whole, for who takes no parts.
    pub routing: Option<Arc<VersionedTable>>,
    /// A part of a newer routing table.
    #[serde(default)]
    pub table_part: Option<TablePart>,
    /// What changed of the servers, if anything did.
    pub servers: Option<ServerChanges>,
    /// The views of partitions of the records that changed.
    pub record_views: Vec<ViewChange>,
    /// The zones whose servers get nothing, if they changed.
    #[serde(default)]
    pub evacuated: Option<EvacuatedZones>,
}

/// Zones whose servers get nothing more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Grows with each change.
    pub revision: u64,
    /// The zones.
    pub zones: BTreeSet<String>,
}

impl FleetUpdate {
    /// Whether it tells of servers alone, so that more such news may be gathered for a moment before it is told:
    /// a routing table, an emptied zone and the replicas of records are told at once.
    #[must_use]
    pub fn can_wait(&self) -> bool {
        self.servers.is_some()
            && !self.has_more()
            && self.routing.is_none()
            && self.table_part.is_none()
            && self.record_views.is_empty()
            && self.evacuated.is_none()
    }

    /// Whether more is to be told at once.
    #[must_use]
    pub fn has_more(&self) -> bool {
        let servers = self.servers.as_ref();
        servers.is_some_and(|servers| servers.has_more)
    }

    /// Whether there is nothing new.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routing.is_none()
            && self.table_part.is_none()
            && self.servers.is_none()
            && self.record_views.is_empty()
            && self.evacuated.is_none()
    }
}

impl FleetState {
    /// The routing table in force.
    #[must_use]
    pub fn routing(&self) -> Option<&RoutingInForce> {
        self.routing.as_ref()
    }

    /// What a follower of the servers lacks that knows so much, or a part of it; none if it lacks nothing.
    #[must_use]
    pub fn server_changes_since(&self, known: ServersKnown) -> Option<ServerChanges> {
        self.servers.changes_since(known)
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// The views of the records in force.
    #[must_use]
    pub fn records(&self) -> &PartitionMap {
        &self.records
    }

    /// What the owner of tenants' permits is bound by.
    #[must_use]
    pub fn quota_bounds(&self) -> OwnerBounds {
        let ceilings = self.quota_ceilings.iter();
        OwnerBounds {
            ceilings: ceilings
                .map(|(tenant, permits)| Ceiling {
                    tenant: tenant.clone(),
                    permits: *permits,
                })
                .collect(),
            holders: self.quota_holders.iter().copied().collect(),
            former_holders: Vec::new(),
        }
    }

    /// Machines with disks for records.
    #[must_use]
    pub fn stores(&self) -> &BTreeMap<NodeId, StoreMachine> {
        &self.stores
    }

    /// Machines that are being emptied or were.
    pub fn retirements(&self) -> impl Iterator<Item = (NodeId, Retirement)> + '_ {
        self.retirements.iter().map(|(node, state)| (*node, *state))
    }

    /// Machines that are to be emptied or were.
    #[must_use]
    pub fn retiring(&self) -> BTreeSet<NodeId> {
        self.retirements.keys().copied().collect()
    }

    /// How far the emptying of the machine of a name is.
    #[must_use]
    pub fn retirement(&self, name: &str) -> Option<Retirement> {
        let node = self.store_named(name)?;
        self.retirements.get(&node).copied()
    }

    /// Whether an announcement says nothing that is not in the state already.
    #[must_use]
    pub fn is_ordinary(&self, registration: &Registration) -> bool {
        let id = &registration.server.id;
        match self.servers.get(id) {
            Some(known) => {
                let later = &registration.server;
                let is_cold_news = self.bounds_cold_servers(&later.service);
                registration.sequence <= known.sequence
                    || known.server.is_repeated_by(later, is_cold_news)
            }
            None => {
                self.departed.contains(id)
                    || self.was_followed(&registration.server)
                    || self.has_later_life(&registration.server)
                    || self.is_unused_at_taken_address(&registration.server)
            }
        }
    }

    /// Whether the servers of a service bear little while they are cold.
    fn bounds_cold_servers(&self, service: &str) -> bool {
        let table = self.routing.as_ref().map(|routing| &routing.table.table);
        let service = table.and_then(|table| table.service(service));
        service.is_some_and(Service::bounds_cold_servers)
    }

    /// Whether a later life of the server is or was known: this one has ended.
    fn has_later_life(&self, server: &Server) -> bool {
        let Some(born) = server.born_ms else {
            return false;
        };
        let listed = self.servers.newest_life(server.name());
        let is_later = |id: &String| is_later_life(id, server.name(), born);
        listed.is_some_and(|life| life.born_ms > Some(born))
            || self.departed.iter().any(is_later)
            || self.expired.iter().any(is_later)
    }

    /// Whether a server of a service that no route uses says that it is where another one is. Whoever writes
    /// such entries must not end the life of a server that is used.
    fn is_unused_at_taken_address(&self, server: &Server) -> bool {
        let Some(routing) = &self.routing else {
            return false;
        };
        let is_known = routing.table.table.service(&server.service).is_some();
        !is_known && self.holder_of(server.address).is_some()
    }

    /// Whether a server that fell silent has lost its address to another one since: its next life.
    fn was_followed(&self, server: &Server) -> bool {
        self.expired.contains(&server.id) && self.holder_of(server.address).is_some()
    }

    fn holder_of(&self, address: SocketAddr) -> Option<&Server> {
        self.servers.at(address)
    }

    /// The zones whose servers get nothing.
    #[must_use]
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// What a follower lacks; a routing table is told whole, unless the follower takes parts of it, which
    /// [`courseshed_routing::RecentTables`] tells.
    #[must_use]
    pub fn update_for(&self, known: Known) -> FleetUpdate {
        let routing = self.routing.as_ref().map(|routing| &routing.table);
        let lacks = |table: &&Arc<VersionedTable>| known.routing < Some(table.version);
        let whole = routing.filter(lacks).filter(|_| !known.takes_parts);
        let servers = self.servers.changes_since(known.server_list());
        let told = servers.as_ref().map(|changes| changes.known);
        let told = told.unwrap_or_else(|| self.servers.known());
        FleetUpdate {
            known: Known {
                routing: routing.map(|table| table.version),
                takes_parts: known.takes_parts,
                parts: known.parts,
                servers: told.changes,
                removals: told.removals,
                records: self.records.revision(),
                evacuated: self.evacuated.revision,
            },
            routing: whole.cloned(),
            table_part: None,
            servers,
            record_views: self.records.changes_since(known.records),
            evacuated: (known.evacuated < self.evacuated.revision).then(|| self.evacuated.clone()),
        }
    }

    fn execute(&mut self, command: Command) -> Outcome {
        match command {
            Command::ReplaceRouting { table, document } => self.replace_routing(table, document),
            Command::Announce(registration) => self.announce(registration),
            Command::Leave { server } => self.depart(&server),
            Command::Expire { servers } => {
                for server in servers {
                    self.expire(server);
                }
            }
            Command::RegisterStore { node, store } => {
                let known = self.stores.get(&node);
                if known.is_none_or(|known| known.incarnation != store.incarnation) {
                    self.retirements.remove(&node);
                }
                self.stores.insert(node, store);
            }
            Command::ChangeRecordViews(changes) => self.change_views(changes),
            Command::Retire { name, needed } => return self.retire(&name, needed),
            Command::CompleteRetirement { node } => self.complete_retirement(node),
            Command::Evacuate { zone, is_evacuated } => self.evacuate(zone, is_evacuated),
            Command::BoundQuotas(bounds) => {
                self.bound_quotas(&bounds);
                return Outcome::QuotasBound(bounds);
            }
        }
        Outcome::Done
    }

    fn replace_routing(&mut self, table: VersionedTable, document: Bytes) {
        let held = self.routing.as_ref().map(|routing| routing.table.version);
        if held.is_none_or(|held| held < table.version) {
            self.routing = Some(RoutingInForce {
                table: Arc::new(table),
                document,
            });
        }
    }

    /// Ceilings of tenants that are gone are kept for a while: their permits may still be out.
    fn bound_quotas(&mut self, bounds: &OwnerBounds) {
        self.quota_holders.extend(&bounds.holders);
        for node in &bounds.former_holders {
            self.quota_holders.remove(node);
        }
        for ceiling in &bounds.ceilings {
            self.quota_ceilings
                .insert(ceiling.tenant.clone(), ceiling.permits);
        }
        if self.quota_ceilings.len() > REMEMBERED_CEILINGS {
            let table = self.routing.as_ref().map(|routing| routing.table.clone());
            let is_known = |name: &str| {
                let table = table.as_ref();
                table.is_some_and(|table| table.table.tenant(name).is_some())
            };
            self.quota_ceilings.retain(|name, _| is_known(name));
        }
    }

    fn announce(&mut self, mut registration: Registration) {
        if self.is_ordinary(&registration) {
            return;
        }
        if let Some(known) = self.servers.get(&registration.server.id)
            && known.server.state == ServerState::Draining
        {
            registration.server.state = ServerState::Draining;
        }
        let id = &registration.server.id;
        if self.servers.get(id).is_none() {
            self.expired.retain(|expired| expired != id);
            // Whoever is listed at the address is an earlier life of the server, which has ended. Should
            // it be the later one, it comes back once this one has expired.
            let at_address = self.holder_of(registration.server.address);
            let of_name = self.servers.newest_life(registration.server.name());
            let earlier = at_address.into_iter().chain(of_name);
            let earlier: Vec<String> = earlier.map(|earlier| earlier.id.clone()).collect();
            for life in earlier {
                self.expire(life);
            }
        }
        self.servers.insert(registration);
    }

    fn depart(&mut self, server: &str) {
        let newest = self.servers.newest_life(server).map(|life| life.id.clone());
        let life = newest.as_deref().unwrap_or(server);
        self.servers.remove(life);
        remember(&mut self.departed, life);
    }

    fn evacuate(&mut self, zone: String, is_evacuated: bool) {
        let zones = &mut self.evacuated.zones;
        let is_new = if is_evacuated {
            zones.insert(zone)
        } else {
            zones.remove(&zone)
        };
        self.evacuated.revision += u64::from(is_new);
    }

    fn expire(&mut self, server: String) {
        if self.servers.get(&server).is_some() {
            self.servers.remove(&server);
            remember(&mut self.expired, &server);
        }
    }

    /// A machine whose last place another took is forgotten until it announces itself again. A change
    /// that was planned before one of its machines was retired is passed over, and planned anew.
    fn change_views(&mut self, changes: Vec<ViewChange>) {
        let before = self.records.replica_counts_by_node();
        for change in changes {
            let mut nodes = change.view.members.iter().map(|member| member.node);
            let is_retired = |node| self.retirements.get(&node) == Some(&Retirement::Completed);
            if !nodes.any(is_retired) {
                self.records.advance(change);
            }
        }
        for node in before.into_keys() {
            if !self.records.has_member(node) && !self.retirements.contains_key(&node) {
                self.stores.remove(&node);
            }
        }
    }

    fn retire(&mut self, name: &str, needed: usize) -> Outcome {
        let Some(node) = self.store_named(name) else {
            return Outcome::UnknownMachine;
        };
        if self.retirements.contains_key(&node) {
            return Outcome::Done;
        }
        let remaining = self.stores.len() - self.retirements.len();
        if remaining <= needed {
            return Outcome::TooFew;
        }
        self.retirements.insert(node, Retirement::Running);
        Outcome::Done
    }

    /// A machine that a change took in after the leader had looked is still needed.
    fn complete_retirement(&mut self, node: NodeId) {
        let is_needed = self.records.views().any(|(_, view)| view.needs(node));
        if !is_needed {
            self.retirements.insert(node, Retirement::Completed);
        }
    }

    fn store_named(&self, name: &str) -> Option<NodeId> {
        let mut stores = self.stores.iter();
        stores
            .find(|(_, store)| store.name == name)
            .map(|(node, _)| *node)
    }
}

/// Adds an id to those remembered, and forgets the oldest when there are too many.
fn remember(ids: &mut Vector<String>, id: &str) {
    if !ids.iter().any(|known| known == id) {
        ids.push_back(id.to_owned());
    }
    if ids.len() > REMEMBERED_DEPARTURES {
        ids.pop_front();
    }
}

impl StateMachine for FleetState {
    type Output = Option<Outcome>;

    /// None for an entry that can't be read; it changes nothing.
    fn apply(&mut self, _index: LogIndex, data: &[u8]) -> Self::Output {
        let command = rmp_serde::from_slice(data).ok()?;
        Some(self.execute(command))
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("the state can always be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        *self = rmp_serde::from_slice(snapshot)
            .map_err(|error| RestoreError::new(error.to_string()))?;
        Ok(())
    }
}
