//! The replicated state and the effects of commands.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use courseshed_consensus::{LogIndex, RestoreError, StateMachine};
use courseshed_quota::{Ceiling, OwnerBounds};
use courseshed_records::{PartitionMap, StoreMachine, ViewChange};
use courseshed_routing::{Service, TablePart, TransferProgress, VersionedTable};
use courseshed_types::NodeId;
use imbl::Vector;
use serde::{Deserialize, Serialize};

use crate::server::is_later_incarnation;
use crate::server_list::AnnouncedServers;
use crate::{
    Command, Outcome, Registration, Server, ServerChanges, ServerListRevision, ServerState,
    SuspectChanges,
};

/// Number of departed or expired server ids to retain, so that late registrations are ignored.
const MAX_RETAINED_IDS: usize = 4096;

/// Warm-up time of a server whose state is unknown, in milliseconds: a little more than two intervals
/// between heartbeats, the next of which reports the state.
const UNVERIFIED_WARMUP_MS: u32 = 3_000;

/// Number of quota ceilings above which those of deleted tenants are dropped.
const MAX_RETAINED_CEILINGS: usize = 4096;

/// The active routing table with its source document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveRouting {
    /// The table.
    pub table: Arc<VersionedTable>,
    /// The document submitted by the operator.
    pub document: Bytes,
}

/// Progress of a decommissioning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    /// The store still hosts needed replicas.
    Running,
    /// The store may be shut down.
    Completed,
}

/// The replicated state of the controllers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    routing: Option<ActiveRouting>,
    servers: AnnouncedServers,
    departed: Vector<String>,
    /// Servers whose heartbeats timed out. They may return unless another server has their address.
    #[serde(default)]
    expired: Vector<String>,
    stores: BTreeMap<NodeId, StoreMachine>,
    records: PartitionMap,
    retirements: BTreeMap<NodeId, Retirement>,
    #[serde(default)]
    evacuated: EvacuatedZones,
    /// Servers of reopened zones that have not reported since.
    #[serde(default)]
    unverified: BTreeSet<String>,
    /// Maximum number of permits issued per tenant.
    #[serde(default)]
    quota_ceilings: BTreeMap<String, u32>,
    /// Gateways that may hold permits.
    #[serde(default)]
    quota_holders: BTreeSet<NodeId>,
}

/// Revisions of the state that a follower has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerRevisions {
    /// Version of the routing table; `None` initially.
    pub routing: Option<u64>,
    /// Whether the follower accepts the routing table in parts. Older versions require a full one.
    #[serde(default)]
    pub takes_parts: bool,
    /// The parts received of a newer routing table.
    #[serde(default)]
    pub parts: Option<TransferProgress>,
    /// Revision up to which changes of servers were sent, see [`ServerListRevision`].
    pub servers: u64,
    /// Revision up to which removals of servers were sent.
    #[serde(default)]
    pub removals: u64,
    /// Revision of the partition map.
    pub records: u64,
    /// Revision of the evacuated zones.
    #[serde(default)]
    pub evacuated: u64,
    /// The suspect requests that the follower knows; `None` if it doesn't need them.
    #[serde(default)]
    pub suspects: Option<SuspectRevision>,
}

/// A revision of the suspect requests of one controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRevision {
    /// Identifies a life of the controller's process, since controllers count on their own.
    pub source: u64,
    /// The revision.
    pub revision: u64,
}

impl FollowerRevisions {
    /// Revisions that are newer than any state: an update for them contains revisions only.
    pub const EVERYTHING: Self = Self {
        routing: Some(u64::MAX),
        takes_parts: true,
        parts: None,
        servers: u64::MAX,
        removals: u64::MAX,
        records: u64::MAX,
        evacuated: u64::MAX,
        suspects: None,
    };

    /// Revision of the server list.
    #[must_use]
    pub fn server_list(&self) -> ServerListRevision {
        ServerListRevision {
            changes: self.servers,
            removals: self.removals,
        }
    }

    /// Whether the follower has received anything yet.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.routing.is_some() || self.servers > 0
    }
}

/// The changes that a follower lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Revisions of the follower after applying the update.
    pub known: FollowerRevisions,
    /// A newer routing table, for followers that do not accept parts.
    pub routing: Option<Arc<VersionedTable>>,
    /// A part of a newer routing table.
    #[serde(default)]
    pub table_part: Option<TablePart>,
    /// Changes of the servers, if any.
    pub servers: Option<ServerChanges>,
    /// Changed views of partitions.
    pub record_views: Vec<ViewChange>,
    /// The evacuated zones, if changed.
    #[serde(default)]
    pub evacuated: Option<EvacuatedZones>,
    /// Changes of the suspect requests, if any.
    #[serde(default)]
    pub suspects: Option<SuspectChanges>,
}

/// Zones whose servers receive no calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Incremented by each change.
    pub revision: u64,
    /// The zones.
    pub zones: BTreeSet<String>,
}

impl FleetUpdate {
    /// Whether the update may be delayed and batched, which applies to changes of servers only.
    #[must_use]
    pub fn is_batchable(&self) -> bool {
        self.servers.is_some()
            && !self.has_more()
            && self.routing.is_none()
            && self.table_part.is_none()
            && self.record_views.is_empty()
            && self.evacuated.is_none()
    }

    /// Whether more changes are available immediately.
    #[must_use]
    pub fn has_more(&self) -> bool {
        let servers = self.servers.as_ref();
        servers.is_some_and(|servers| servers.has_more)
    }

    /// Whether the update contains no changes of the replicated state.
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
    /// The active routing table.
    #[must_use]
    pub fn routing(&self) -> Option<&ActiveRouting> {
        self.routing.as_ref()
    }

    /// A batch of server changes that a follower lacks; `None` if it is up to date.
    #[must_use]
    pub fn server_changes_since(&self, known: ServerListRevision) -> Option<ServerChanges> {
        self.servers.changes_since(known)
    }

    /// The registered servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// The newest incarnation of the server with a name.
    #[must_use]
    pub fn server_named(&self, name: &str) -> Option<&Server> {
        self.servers.newest_incarnation(name)
    }

    /// The current views of all partitions.
    #[must_use]
    pub fn records(&self) -> &PartitionMap {
        &self.records
    }

    /// The quota bounds that the owner of tenants' permits must observe.
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

    /// Registered machines with disks for records.
    #[must_use]
    pub fn stores(&self) -> &BTreeMap<NodeId, StoreMachine> {
        &self.stores
    }

    /// Stores that are being or have been decommissioned, with their progress.
    pub fn retirements(&self) -> impl Iterator<Item = (NodeId, Retirement)> + '_ {
        self.retirements.iter().map(|(node, state)| (*node, *state))
    }

    /// Stores that are being or have been decommissioned.
    #[must_use]
    pub fn retiring(&self) -> BTreeSet<NodeId> {
        self.retirements.keys().copied().collect()
    }

    /// Progress of the decommissioning of a store.
    #[must_use]
    pub fn retirement(&self, name: &str) -> Option<Retirement> {
        let node = self.store_named(name)?;
        self.retirements.get(&node).copied()
    }

    /// Whether a registration would not change the state.
    #[must_use]
    pub fn is_redundant(&self, registration: &Registration) -> bool {
        let id = &registration.server.id;
        match self.servers.get(id) {
            Some(known) => {
                let later = &registration.server;
                let warmup_matters = self.limits_cold_servers(&later.service);
                // The mark of a reopened zone gives way to what the server reports, also if that is
                // a shorter warm-up.
                let is_unverified = warmup_matters && self.unverified.contains(id);
                let is_unchanged = known.server.is_unchanged_in(later, warmup_matters);
                registration.sequence <= known.sequence || (is_unchanged && !is_unverified)
            }
            None => {
                self.departed.contains(id)
                    || self.was_replaced(&registration.server)
                    || self.has_later_incarnation(&registration.server)
                    || self.is_unrouted_at_used_address(&registration.server)
            }
        }
    }

    /// Whether the service limits calls to servers that are warming up.
    fn limits_cold_servers(&self, service: &str) -> bool {
        let table = self.routing.as_ref().map(|routing| &routing.table.table);
        let service = table.and_then(|table| table.service(service));
        service.is_some_and(Service::limits_warm_up)
    }

    /// Whether a later incarnation of the server is or was known, so that this one has ended.
    fn has_later_incarnation(&self, server: &Server) -> bool {
        let Some(born) = server.started_ms else {
            return false;
        };
        let listed = self.servers.newest_incarnation(server.name());
        let is_later = |id: &String| is_later_incarnation(id, server.name(), born);
        listed.is_some_and(|incarnation| incarnation.started_ms > Some(born))
            || self.departed.iter().any(is_later)
            || self.expired.iter().any(is_later)
    }

    /// Whether a server of a service without routes claims the address of another server. Such an
    /// entry must not remove a server that is in use.
    fn is_unrouted_at_used_address(&self, server: &Server) -> bool {
        let Some(routing) = &self.routing else {
            return false;
        };
        let is_known = routing.table.table.service(&server.service).is_some();
        !is_known && self.server_at(server.address).is_some()
    }

    /// Whether an expired server has lost its address to another server, its next incarnation.
    fn was_replaced(&self, server: &Server) -> bool {
        self.expired.contains(&server.id) && self.server_at(server.address).is_some()
    }

    fn server_at(&self, address: SocketAddr) -> Option<&Server> {
        self.servers.server_at(address)
    }

    /// Zones whose servers receive no calls.
    #[must_use]
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// The changes that a follower lacks. Includes a full routing table unless the follower accepts
    /// parts, which [`courseshed_routing::RecentTables`] provides.
    #[must_use]
    pub fn update_for(&self, known: FollowerRevisions) -> FleetUpdate {
        let routing = self.routing.as_ref().map(|routing| &routing.table);
        let is_newer = |table: &&Arc<VersionedTable>| known.routing < Some(table.version);
        let full_table = routing.filter(is_newer).filter(|_| !known.takes_parts);
        let servers = self.servers.changes_since(known.server_list());
        let sent = servers.as_ref().map(|changes| changes.known);
        let sent = sent.unwrap_or_else(|| self.servers.known());
        FleetUpdate {
            known: FollowerRevisions {
                routing: routing.map(|table| table.version),
                takes_parts: known.takes_parts,
                parts: known.parts,
                servers: sent.changes,
                removals: sent.removals,
                records: self.records.revision(),
                evacuated: self.evacuated.revision,
                suspects: known.suspects,
            },
            routing: full_table.cloned(),
            table_part: None,
            servers,
            record_views: self.records.changes_since(known.records),
            evacuated: (known.evacuated < self.evacuated.revision).then(|| self.evacuated.clone()),
            suspects: None,
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
            Command::Evacuate {
                zone,
                is_evacuated,
                marks_unverified,
            } => self.evacuate(zone, is_evacuated, marks_unverified),
            Command::SetQuotaBounds(bounds) => {
                self.apply_quota_bounds(&bounds);
                return Outcome::QuotaBoundsSet(bounds);
            }
        }
        Outcome::Done
    }

    fn replace_routing(&mut self, table: VersionedTable, document: Bytes) {
        let held = self.routing.as_ref().map(|routing| routing.table.version);
        if held.is_none_or(|held| held < table.version) {
            self.routing = Some(ActiveRouting {
                table: Arc::new(table),
                document,
            });
        }
    }

    /// Retains ceilings of deleted tenants for a while, since their permits may still be in use.
    fn apply_quota_bounds(&mut self, bounds: &OwnerBounds) {
        self.quota_holders.extend(&bounds.holders);
        for node in &bounds.former_holders {
            self.quota_holders.remove(node);
        }
        for ceiling in &bounds.ceilings {
            self.quota_ceilings
                .insert(ceiling.tenant.clone(), ceiling.permits);
        }
        if self.quota_ceilings.len() > MAX_RETAINED_CEILINGS {
            let table = self.routing.as_ref().map(|routing| routing.table.clone());
            let is_known = |name: &str| {
                let table = table.as_ref();
                table.is_some_and(|table| table.table.tenant(name).is_some())
            };
            self.quota_ceilings.retain(|name, _| is_known(name));
        }
    }

    fn announce(&mut self, mut registration: Registration) {
        if self.is_redundant(&registration) {
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
            // The server listed at this address or with this name is an earlier incarnation that
            // has ended. If it is the later one, it is registered again once this one has expired.
            let at_address = self.server_at(registration.server.address);
            let of_name = self.servers.newest_incarnation(registration.server.name());
            let earlier = at_address.into_iter().chain(of_name);
            let earlier: Vec<String> = earlier.map(|earlier| earlier.id.clone()).collect();
            for incarnation in earlier {
                self.expire(incarnation);
            }
        }
        self.unverified.remove(&registration.server.id);
        self.servers.insert(registration);
    }

    fn depart(&mut self, server: &str) {
        let newest = self
            .servers
            .newest_incarnation(server)
            .map(|incarnation| incarnation.id.clone());
        let incarnation = newest.as_deref().unwrap_or(server);
        self.unverified.remove(incarnation);
        self.servers.remove(incarnation);
        push_bounded(&mut self.departed, incarnation);
    }

    fn evacuate(&mut self, zone: String, is_evacuated: bool, marks_unverified: bool) {
        let zones = &mut self.evacuated.zones;
        let is_new = if is_evacuated {
            zones.insert(zone.clone())
        } else {
            zones.remove(&zone)
        };
        self.evacuated.revision += u64::from(is_new);
        if is_new && !is_evacuated && marks_unverified {
            self.mark_unverified(&zone);
        }
    }

    /// Marks the servers of a reopened zone as warming up where that limits their calls. They had
    /// no calls during the evacuation, and may be cold before a heartbeat says so.
    fn mark_unverified(&mut self, zone: &str) {
        let servers = self.servers.iter();
        let unverified: Vec<String> = servers
            .filter(|server| server.zone == zone && self.limits_cold_servers(&server.service))
            .map(|server| server.id.clone())
            .collect();
        for id in unverified {
            self.servers.set_warmup_remaining(&id, UNVERIFIED_WARMUP_MS);
            self.unverified.insert(id);
        }
    }

    fn expire(&mut self, server: String) {
        if self.servers.get(&server).is_some() {
            self.unverified.remove(&server);
            self.servers.remove(&server);
            push_bounded(&mut self.expired, &server);
        }
    }

    /// Removes stores that lost their last replica until they register again. Skips changes that
    /// were planned before one of their members was decommissioned; the planner replaces them.
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
            return Outcome::TooFewStores;
        }
        self.retirements.insert(node, Retirement::Running);
        Outcome::Done
    }

    /// Ignored if a view change added the store after the leader had checked.
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

/// Appends an id and drops the oldest one beyond the limit.
fn push_bounded(ids: &mut Vector<String>, id: &str) {
    if !ids.iter().any(|known| known == id) {
        ids.push_back(id.to_owned());
    }
    if ids.len() > MAX_RETAINED_IDS {
        ids.pop_front();
    }
}

impl StateMachine for FleetState {
    type Output = Option<Outcome>;

    /// Returns `None` for an entry that cannot be decoded, which changes nothing.
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
