//! Assembly of a table version from its parts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{Keyed, TableChange, TableGlobals, TablePart, TransferProgress};
use crate::{RoutingTable, VersionedTable};

/// Assembles a table version from its parts.
#[derive(Debug, Default)]
pub struct TableAssembler {
    partial: Option<PartialVersion>,
}

#[derive(Debug)]
struct PartialVersion {
    base: Option<u64>,
    version: u64,
    items: Vec<TableChange>,
}

impl TableAssembler {
    /// Progress of the version that is being received.
    #[must_use]
    pub fn progress(&self) -> Option<TransferProgress> {
        self.partial.as_ref().map(|partial| TransferProgress {
            base: partial.base,
            version: partial.version,
            items: partial.items.len() as u32,
        })
    }

    /// Adds a part, and returns the version once it is complete. A part that does not continue the
    /// previous one, or does not apply to the held version, is dropped together with all previous
    /// parts; the next request then starts over.
    pub fn add_part(
        &mut self,
        held: Option<&VersionedTable>,
        part: TablePart,
    ) -> Option<VersionedTable> {
        let held_version = held.map(|held| held.version);
        let applies_to_held = part.base.is_none() || part.base == held_version;
        if !applies_to_held || held_version >= Some(part.version) {
            self.partial = None;
            return None;
        }
        let mut partial = self.resume(&part)?;
        partial.items.extend(part.items);
        let Some(globals) = part.globals else {
            self.partial = Some(partial);
            return None;
        };
        let base = held.filter(|_| partial.base.is_some());
        Some(assemble(base, partial, globals))
    }

    fn resume(&mut self, part: &TablePart) -> Option<PartialVersion> {
        let partial = self.partial.take();
        if part.offset == 0 {
            return Some(PartialVersion {
                base: part.base,
                version: part.version,
                items: Vec::new(),
            });
        }
        partial.filter(|partial| {
            partial.base == part.base
                && partial.version == part.version
                && partial.items.len() == part.offset as usize
        })
    }
}

fn assemble(
    base: Option<&VersionedTable>,
    partial: PartialVersion,
    globals: TableGlobals,
) -> VersionedTable {
    let table = base.map(|base| base.table.clone()).unwrap_or_default();
    let mut routes = KeyedList::new(table.routes);
    let mut tenants = KeyedList::new(table.tenants.unwrap_or_default());
    for item in partial.items {
        match item {
            TableChange::PutRoute(route) => routes.put(route),
            TableChange::RemoveRoute(key) => routes.remove(key),
            TableChange::PutTenant(tenant) => tenants.put(tenant),
            TableChange::RemoveTenant(name) => tenants.remove(name),
        }
    }
    VersionedTable {
        version: partial.version,
        table: RoutingTable {
            routes: routes.finish(),
            services: globals.services,
            limits: globals.limits,
            tenants: globals.has_tenants.then(|| tenants.finish()),
        },
    }
}

/// A list of table elements that changes are applied to.
struct KeyedList<T: Keyed> {
    items: Vec<Arc<T>>,
    positions: HashMap<T::Key, usize>,
    removed: HashSet<T::Key>,
}

impl<T: Keyed> KeyedList<T> {
    fn new(items: Vec<Arc<T>>) -> Self {
        let keys = items.iter().map(|item| item.key());
        Self {
            positions: keys.zip(0..).collect(),
            removed: HashSet::new(),
            items,
        }
    }

    fn put(&mut self, item: Arc<T>) {
        match self.positions.get(&item.key()) {
            Some(position) => self.items[*position] = item,
            None => self.items.push(item),
        }
    }

    fn remove(&mut self, key: T::Key) {
        self.removed.insert(key);
    }

    fn finish(mut self) -> Vec<Arc<T>> {
        self.items
            .retain(|item| !self.removed.contains(&item.key()));
        self.items
    }
}
