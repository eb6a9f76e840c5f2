//! A storage that fails when it is told to, for tests of what a failing disk does to a group.

use std::sync::{Arc, Mutex, PoisonError};

use super::IoSnafu;
use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};
use snafu::IntoError;

/// How the next writes end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// They succeed.
    #[default]
    None,
    /// They fail with nothing written, as on a full disk.
    Full,
    /// They fail with the first half of the entries written, as on a failing disk.
    Torn,
}

/// Sets the fault of a [`FaultyLog`] from outside.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch(Arc<Mutex<DiskFault>>);

impl FaultSwitch {
    /// Lets all later writes end like this.
    pub fn set(&self, fault: DiskFault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn get(&self) -> DiskFault {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wraps a storage whose writes fail when its switch says so.
#[derive(Debug)]
pub struct FaultyLog<S> {
    inner: S,
    switch: FaultSwitch,
}

impl<S: LogStorage> FaultyLog<S> {
    /// Wraps a storage.
    pub fn new(inner: S, switch: FaultSwitch) -> Self {
        Self { inner, switch }
    }

    fn check(&self) -> Result<(), StorageError> {
        ensure_working(self.switch.get())
    }
}

impl<S: LogStorage> LogStorage for FaultyLog<S> {
    fn load(&mut self) -> Result<Restored, StorageError> {
        self.inner.load()
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if self.switch.get() == DiskFault::Torn {
            self.inner
                .append(hard_state, &entries[..entries.len() / 2])?;
        }
        self.check()?;
        self.inner.append(hard_state, entries)
    }

    fn note_committed(&mut self, index: LogIndex) {
        self.inner.note_committed(index);
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.check()?;
        self.inner.install(snapshot)
    }

    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError> {
        self.check()?;
        self.inner.compact(snapshot, first_kept)
    }
}

fn ensure_working(fault: DiskFault) -> Result<(), StorageError> {
    let kind = match fault {
        DiskFault::None => return Ok(()),
        DiskFault::Full => std::io::ErrorKind::StorageFull,
        DiskFault::Torn => std::io::ErrorKind::Other,
    };
    let context = IoSnafu {
        operation: "write",
        path: "simulated disk",
    };
    Err(context.into_error(kind.into()))
}
