//! Putting a version of the table together from its parts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{Listed, PartsTaken, TableFrame, TableItem, TablePart};
use crate::{RoutingTable, VersionedTable};

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
    let table = base.map(|base| base.table.clone()).unwrap_or_default();
    let mut routes = ListInWork::new(table.routes);
    let mut tenants = ListInWork::new(table.tenants.unwrap_or_default());
    for item in staged.items {
        match item {
            TableItem::Route(route) => routes.put(route),
            TableItem::NoRoute(place) => routes.take_out(place),
            TableItem::Tenant(tenant) => tenants.put(tenant),
            TableItem::NoTenant(name) => tenants.take_out(name),
        }
    }
    VersionedTable {
        version: staged.version,
        table: RoutingTable {
            routes: routes.finish(),
            services: frame.services,
            limits: frame.limits,
            tenants: frame.has_tenants.then(|| tenants.finish()),
        },
    }
}

/// A list of a table while changes are put into it.
struct ListInWork<T: Listed> {
    items: Vec<Arc<T>>,
    places: HashMap<T::Key, usize>,
    gone: HashSet<T::Key>,
}

impl<T: Listed> ListInWork<T> {
    fn new(items: Vec<Arc<T>>) -> Self {
        let keys = items.iter().map(|item| item.key());
        Self {
            places: keys.zip(0..).collect(),
            gone: HashSet::new(),
            items,
        }
    }

    fn put(&mut self, item: Arc<T>) {
        match self.places.get(&item.key()) {
            Some(place) => self.items[*place] = item,
            None => self.items.push(item),
        }
    }

    fn take_out(&mut self, key: T::Key) {
        self.gone.insert(key);
    }

    fn finish(mut self) -> Vec<Arc<T>> {
        self.items.retain(|item| !self.gone.contains(&item.key()));
        self.items
    }
}
