//! Differences between two versions of the table.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{Keyed, MAX_PART_ITEMS, TableChange, TableGlobals, TablePart, is_equal};
use crate::{RoutingTable, VersionedTable};

/// The difference between two versions.
#[derive(Debug)]
pub(super) struct TableDelta {
    pub(super) base: Option<u64>,
    pub(super) version: u64,
    items: Vec<TableChange>,
    globals: TableGlobals,
}

impl TableDelta {
    /// Computes the difference between a version, or an empty table, and a later version.
    pub(super) fn between(base: Option<&VersionedTable>, next: &VersionedTable) -> Self {
        let empty = RoutingTable::default();
        let before = base.map_or(&empty, |base| &base.table);
        let after = &next.table;
        let mut items = Vec::new();
        push_changes(&mut items, &before.routes, &after.routes);
        push_changes(
            &mut items,
            before.tenants_or_empty(),
            after.tenants_or_empty(),
        );
        Self {
            base: base.map(|base| base.version),
            version: next.version,
            items,
            globals: TableGlobals {
                services: after.services.clone(),
                limits: after.limits,
                has_tenants: after.tenants.is_some(),
            },
        }
    }

    /// Returns the part that starts at item `offset`.
    pub(super) fn part(&self, offset: usize) -> TablePart {
        let offset = offset.min(self.items.len());
        let end = (offset + MAX_PART_ITEMS).min(self.items.len());
        let is_last = end == self.items.len();
        TablePart {
            base: self.base,
            version: self.version,
            offset: offset as u32,
            items: self.items[offset..end].to_vec(),
            globals: is_last.then(|| self.globals.clone()),
        }
    }
}

impl RoutingTable {
    fn tenants_or_empty(&self) -> &[Arc<crate::Tenant>] {
        self.tenants.as_deref().unwrap_or(&[])
    }
}

/// Appends removals, then additions and replacements.
fn push_changes<T: Keyed>(items: &mut Vec<TableChange>, before: &[Arc<T>], after: &[Arc<T>]) {
    let previous: HashMap<T::Key, &Arc<T>> = before.iter().map(|item| (item.key(), item)).collect();
    let remaining_keys: HashSet<T::Key> = after.iter().map(|item| item.key()).collect();
    let previous_keys = before.iter().map(|item| item.key());
    items.extend(
        previous_keys
            .filter(|key| !remaining_keys.contains(key))
            .map(T::removal),
    );
    let changed = after.iter().filter(|item| {
        let old = previous.get(&item.key());
        old.is_none_or(|old| !is_equal(old, item))
    });
    items.extend(changed.cloned().map(T::replacement));
}
