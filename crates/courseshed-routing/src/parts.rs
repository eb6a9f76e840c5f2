//! Telling a routing table in parts, as what changed since a version that the follower has. Pure.
//!
//! A table is replaced whole, but mostly differs in a route or two from the one before. Told whole to each of some
//! hundred followers, two versions a second of a table of 500 routes fill a link of 86 Mbit/s.
//!
//! Invariants: a version is put together only from all of its parts, and then equals the one that was told but for
//! the order of routes and tenants; a part holds at most [`MOST_ITEMS`] things, so that it arrives while its answer
//! is still waited for; controllers with the same two versions tell the same parts, so a follower may take
//! the next one from another controller.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CallLimits, Route, RoutingTable, Service, Tenant, VersionedTable};

/// Routes and tenants that one part holds: some 30 KB.
pub const MOST_ITEMS: usize = 128;

/// Versions that are remembered to tell changes from. Who holds an older one is told all of the newest: a follower
/// that missed 64 changes was away for 20 s of the quickest series that operators send.
const REMEMBERED_TABLES: usize = 64;

/// Pairs of versions whose difference is kept, since many followers ask for the same one.
const REMEMBERED_DELTAS: usize = 16;

/// Where a route is found: no two of a table share it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoutePlace {
    /// The host.
    pub host: String,
    /// The prefix of the path.
    pub path_prefix: String,
}

impl RoutePlace {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

/// One thing that differs between two tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableItem {
    /// The route at its place is this one.
    Route(Arc<Route>),
    /// There is no route at a place.
    NoRoute(RoutePlace),
    /// The tenant of its name is this one.
    Tenant(Arc<Tenant>),
    /// There is no tenant of a name.
    NoTenant(String),
}

/// What of a table isn't told item by item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableFrame {
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: CallLimits,
    /// Whether calls need keys.
    pub has_tenants: bool,
}

/// A part of the difference between two versions of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TablePart {
    /// The version that it changes; none for an empty table.
    pub base: Option<u64>,
    /// The version that comes of it.
    pub version: u64,
    /// How many items came before.
    pub first: u32,
    /// The next ones, in the order in which all controllers tell them.
    pub items: Vec<TableItem>,
    /// In the last part, what isn't told item by item.
    pub frame: Option<TableFrame>,
}

/// The parts of a version that a follower has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsTaken {
    /// The version that they change; none for an empty table.
    pub base: Option<u64>,
    /// The version that will come of them.
    pub version: u64,
    /// How many items they hold.
    pub items: u32,
}

/// The difference between two versions.
#[derive(Debug)]
struct TableDelta {
    base: Option<u64>,
    version: u64,
    items: Vec<TableItem>,
    frame: TableFrame,
}

impl TableDelta {
    fn between(base: Option<&VersionedTable>, next: &VersionedTable) -> Self {
        let empty = RoutingTable::default();
        let before = base.map_or(&empty, |base| &base.table);
        let after = &next.table;
        let mut items = Vec::new();
        push_routes(&mut items, &before.routes, &after.routes);
        let no_tenants = Vec::new();
        push_tenants(
            &mut items,
            before.tenants.as_ref().unwrap_or(&no_tenants),
            after.tenants.as_ref().unwrap_or(&no_tenants),
        );
        Self {
            base: base.map(|base| base.version),
            version: next.version,
            items,
            frame: TableFrame {
                services: after.services.clone(),
                limits: after.limits,
                has_tenants: after.tenants.is_some(),
            },
        }
    }

    fn part(&self, first: usize) -> TablePart {
        let first = first.min(self.items.len());
        let end = (first + MOST_ITEMS).min(self.items.len());
        let is_last = end == self.items.len();
        TablePart {
            base: self.base,
            version: self.version,
            first: first as u32,
            items: self.items[first..end].to_vec(),
            frame: is_last.then(|| self.frame.clone()),
        }
    }
}

fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

fn is_same<T: PartialEq>(left: &Arc<T>, right: &Arc<T>) -> bool {
    Arc::ptr_eq(left, right) || left == right
}

fn push_routes(items: &mut Vec<TableItem>, before: &[Arc<Route>], after: &[Arc<Route>]) {
    let held: HashMap<_, _> = before.iter().map(|route| (place(route), route)).collect();
    let kept: HashSet<_> = after.iter().map(|route| place(route)).collect();
    let gone = before.iter().filter(|route| !kept.contains(&place(route)));
    items.extend(gone.map(|route| TableItem::NoRoute(RoutePlace::of(route))));
    let changed = after.iter().filter(|route| {
        let held = held.get(&place(route));
        held.is_none_or(|held| !is_same(held, route))
    });
    items.extend(changed.cloned().map(TableItem::Route));
}

fn push_tenants(items: &mut Vec<TableItem>, before: &[Arc<Tenant>], after: &[Arc<Tenant>]) {
    let held: HashMap<_, _> = before
        .iter()
        .map(|tenant| (tenant.name.as_str(), tenant))
        .collect();
    let kept: HashSet<_> = after.iter().map(|tenant| tenant.name.as_str()).collect();
    let gone = before
        .iter()
        .filter(|tenant| !kept.contains(tenant.name.as_str()));
    items.extend(gone.map(|tenant| TableItem::NoTenant(tenant.name.clone())));
    let changed = after.iter().filter(|tenant| {
        let held = held.get(tenant.name.as_str());
        held.is_none_or(|held| !is_same(held, tenant))
    });
    items.extend(changed.cloned().map(TableItem::Tenant));
}

/// The newest versions of the table, from which followers are told what they lack.
#[derive(Debug, Default)]
pub struct RecentTables {
    tables: VecDeque<Arc<VersionedTable>>,
    deltas: VecDeque<Arc<TableDelta>>,
}

impl RecentTables {
    /// Takes in a version; an older one than the newest changes nothing.
    pub fn push(&mut self, table: &VersionedTable) {
        let newest = self.tables.back();
        if newest.is_some_and(|newest| newest.version >= table.version) {
            return;
        }
        let shared = share_routes(table, newest.map(|newest| &**newest));
        self.tables.push_back(Arc::new(shared));
        if self.tables.len() > REMEMBERED_TABLES {
            self.tables.pop_front();
        }
    }

    /// What a follower is told next that holds a version and has taken some parts of a later one; none if
    /// nothing is newer.
    pub fn part_for(&mut self, held: Option<u64>, taken: Option<PartsTaken>) -> Option<TablePart> {
        if let Some(taken) = taken
            && let Some(delta) = self.delta(taken.base, taken.version)
        {
            return Some(delta.part(taken.items as usize));
        }
        let newest = self.tables.back()?.version;
        if held.is_some_and(|held| held >= newest) {
            return None;
        }
        let base = held.filter(|version| self.table(*version).is_some());
        self.delta(base, newest).map(|delta| delta.part(0))
    }

    fn table(&self, version: u64) -> Option<&Arc<VersionedTable>> {
        let place = self
            .tables
            .binary_search_by_key(&version, |table| table.version);
        place.ok().map(|place| &self.tables[place])
    }

    /// The difference between two versions; none if one of them isn't remembered.
    fn delta(&mut self, base: Option<u64>, version: u64) -> Option<Arc<TableDelta>> {
        let is_wanted = |delta: &&Arc<TableDelta>| delta.base == base && delta.version == version;
        if let Some(known) = self.deltas.iter().find(is_wanted) {
            return Some(known.clone());
        }
        let base = match base {
            Some(base) => Some(self.table(base)?),
            None => None,
        };
        let next = self.table(version)?;
        let delta = Arc::new(TableDelta::between(base.map(|base| &**base), next));
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > REMEMBERED_DELTAS {
            self.deltas.pop_front();
        }
        Some(delta)
    }
}

/// The same table, in which routes that didn't change are those of the version before: what is remembered then
/// needs the room of what changed.
fn share_routes(table: &VersionedTable, before: Option<&VersionedTable>) -> VersionedTable {
    let mut shared = table.clone();
    let Some(before) = before else {
        return shared;
    };
    let routes = before.table.routes.iter();
    let held: HashMap<_, _> = routes.map(|route| (place(route), route)).collect();
    for (route, told) in shared.table.routes.iter_mut().zip(&table.table.routes) {
        if let Some(known) = held.get(&place(told))
            && is_same(known, told)
        {
            *route = (*known).clone();
        }
    }
    shared
}

/// Puts a version together from its parts.
#[derive(Debug, Default)]
pub struct TableAssembler {
    taken: Option<Staged>,
}

#[derive(Debug)]
struct Staged {
    base: Option<u64>,
    version: u64,
    items: Vec<TableItem>,
}

impl TableAssembler {
    /// The parts that were taken of a version that isn't whole yet.
    #[must_use]
    pub fn taken(&self) -> Option<PartsTaken> {
        self.taken.as_ref().map(|staged| PartsTaken {
            base: staged.base,
            version: staged.version,
            items: staged.items.len() as u32,
        })
    }

    /// Takes a part, and returns the version once it is whole. A part that doesn't go on from what was taken, or
    /// changes another version than the one held, is dropped with all before it: the next question then
    /// asks anew.
    pub fn take(
        &mut self,
        held: Option<&VersionedTable>,
        part: TablePart,
    ) -> Option<VersionedTable> {
        let held_version = held.map(|held| held.version);
        let changes_held = part.base.is_none() || part.base == held_version;
        if !changes_held || held_version >= Some(part.version) {
            self.taken = None;
            return None;
        }
        let mut staged = self.go_on(&part)?;
        staged.items.extend(part.items);
        let Some(frame) = part.frame else {
            self.taken = Some(staged);
            return None;
        };
        let base = held.filter(|_| staged.base.is_some());
        Some(put_together(base, staged, frame))
    }

    fn go_on(&mut self, part: &TablePart) -> Option<Staged> {
        let taken = self.taken.take();
        if part.first == 0 {
            return Some(Staged {
                base: part.base,
                version: part.version,
                items: Vec::new(),
            });
        }
        taken.filter(|staged| {
            staged.base == part.base
                && staged.version == part.version
                && staged.items.len() == part.first as usize
        })
    }
}

fn put_together(
    base: Option<&VersionedTable>,
    staged: Staged,
    frame: TableFrame,
) -> VersionedTable {
    let empty = RoutingTable::default();
    let before = base.map_or(&empty, |base| &base.table);
    let mut routes = before.routes.clone();
    let mut tenants = before.tenants.clone().unwrap_or_default();
    let mut route_at: HashMap<RoutePlace, usize> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        route_at.insert(RoutePlace::of(route), index);
    }
    let mut tenant_at: HashMap<String, usize> = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        tenant_at.insert(tenant.name.clone(), index);
    }
    let mut gone_routes = HashSet::new();
    let mut gone_tenants = HashSet::new();
    for item in staged.items {
        match item {
            TableItem::NoRoute(place) => {
                gone_routes.insert(place);
            }
            TableItem::Route(route) => match route_at.get(&RoutePlace::of(&route)) {
                Some(index) => routes[*index] = route,
                None => routes.push(route),
            },
            TableItem::NoTenant(name) => {
                gone_tenants.insert(name);
            }
            TableItem::Tenant(tenant) => match tenant_at.get(&tenant.name) {
                Some(index) => tenants[*index] = tenant,
                None => tenants.push(tenant),
            },
        }
    }
    routes.retain(|route| !gone_routes.contains(&RoutePlace::of(route)));
    tenants.retain(|tenant| !gone_tenants.contains(&tenant.name));
    VersionedTable {
        version: staged.version,
        table: RoutingTable {
            routes,
            services: frame.services,
            limits: frame.limits,
            tenants: frame.has_tenants.then_some(tenants),
        },
    }
}
