//! The difference between two versions of the table.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{Listed, MOST_ITEMS, TableFrame, TableItem, TablePart, is_same};
use crate::{RoutingTable, VersionedTable};

/// The difference between two versions.
#[derive(Debug)]
pub(super) struct TableDelta {
    pub(super) base: Option<u64>,
    pub(super) version: u64,
    items: Vec<TableItem>,
    frame: TableFrame,
}

impl TableDelta {
    /// From a version, or from an empty table, to the next.
    pub(super) fn between(base: Option<&VersionedTable>, next: &VersionedTable) -> Self {
        let empty = RoutingTable::default();
        let before = base.map_or(&empty, |base| &base.table);
        let after = &next.table;
        let mut items = Vec::new();
        push_changes(&mut items, &before.routes, &after.routes);
        push_changes(
            &mut items,
            before.tenants_or_none(),
            after.tenants_or_none(),
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

    /// The part that begins behind so many items.
    pub(super) fn part(&self, first: usize) -> TablePart {
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

impl RoutingTable {
    fn tenants_or_none(&self) -> &[Arc<crate::Tenant>] {
        self.tenants.as_deref().unwrap_or(&[])
    }
}

/// Adds what is gone, then what is new or changed.
fn push_changes<T: Listed>(items: &mut Vec<TableItem>, before: &[Arc<T>], after: &[Arc<T>]) {
    let held: HashMap<T::Key, &Arc<T>> = before.iter().map(|item| (item.key(), item)).collect();
    let kept: HashSet<T::Key> = after.iter().map(|item| item.key()).collect();
    let gone = before.iter().map(|item| item.key());
    items.extend(gone.filter(|key| !kept.contains(key)).map(T::unlisted));
    let changed = after.iter().filter(|item| {
        let known = held.get(&item.key());
        known.is_none_or(|known| !is_same(known, item))
    });
    items.extend(changed.cloned().map(T::listed));
}
