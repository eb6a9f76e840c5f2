//! The newest versions of the table, and the parts that followers lack of them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::delta::TableDelta;
use super::{Listed, PartsTaken, TablePart, is_same};
use crate::VersionedTable;

/// Versions that are remembered to tell changes from. Who holds an older one is told all of the newest: a follower
/// that missed 64 changes was away for 20 s of the quickest series that operators send.
const REMEMBERED_TABLES: usize = 64;

/// Pairs of versions whose difference is kept, since many followers ask for the same one.
const REMEMBERED_DELTAS: usize = 16;

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
    let held: HashMap<_, _> = routes.map(|route| (route.key(), route)).collect();
    for route in &mut shared.table.routes {
        if let Some(known) = held.get(&route.key())
            && is_same(known, route)
        {
            *route = (*known).clone();
        }
    }
    shared
}
