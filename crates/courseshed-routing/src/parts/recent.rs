//! Recent versions of the table, and the parts that followers lack.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::delta::TableDelta;
use super::{Keyed, TablePart, TransferProgress, is_equal};
use crate::VersionedTable;

/// Number of versions kept as bases for differences. Followers with an older version receive the
/// complete table.
const MAX_TABLES: usize = 64;

/// Number of differences cached; many followers request the same ones.
const MAX_DELTAS: usize = 16;

/// Recent versions of the table, from which followers receive the changes they lack.
#[derive(Debug, Default)]
pub struct RecentTables {
    tables: VecDeque<Arc<VersionedTable>>,
    deltas: VecDeque<Arc<TableDelta>>,
}

impl RecentTables {
    /// Adds a version; ignored unless it is newer than all others.
    pub fn push(&mut self, table: &VersionedTable) {
        let newest = self.tables.back();
        if newest.is_some_and(|newest| newest.version >= table.version) {
            return;
        }
        let shared = share_unchanged_routes(table, newest.map(|newest| &**newest));
        self.tables.push_back(Arc::new(shared));
        if self.tables.len() > MAX_TABLES {
            self.tables.pop_front();
        }
    }

    /// Next part for a follower that holds a version and may have received parts of a later one;
    /// none if nothing is newer.
    pub fn part_for(
        &mut self,
        held: Option<u64>,
        taken: Option<TransferProgress>,
    ) -> Option<TablePart> {
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
        let index = self
            .tables
            .binary_search_by_key(&version, |table| table.version);
        index.ok().map(|index| &self.tables[index])
    }

    /// Difference between two versions; none if one of them is no longer kept.
    fn delta(&mut self, base: Option<u64>, version: u64) -> Option<Arc<TableDelta>> {
        let is_requested =
            |delta: &&Arc<TableDelta>| delta.base == base && delta.version == version;
        if let Some(existing) = self.deltas.iter().find(is_requested) {
            return Some(existing.clone());
        }
        let base = match base {
            Some(base) => Some(self.table(base)?),
            None => None,
        };
        let next = self.table(version)?;
        let delta = Arc::new(TableDelta::between(base.map(|base| &**base), next));
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        Some(delta)
    }
}

/// Copies a table, sharing unchanged routes with the previous version to save memory.
fn share_unchanged_routes(
    table: &VersionedTable,
    before: Option<&VersionedTable>,
) -> VersionedTable {
    let mut shared = table.clone();
    let Some(before) = before else {
        return shared;
    };
    let routes = before.table.routes.iter();
    let held: HashMap<_, _> = routes.map(|route| (route.key(), route)).collect();
    for route in &mut shared.table.routes {
        if let Some(existing) = held.get(&route.key())
            && is_equal(existing, route)
        {
            *route = (*existing).clone();
        }
    }
    shared
}
