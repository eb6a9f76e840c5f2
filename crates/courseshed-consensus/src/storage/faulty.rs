//! Log storage with fault injection, for testing disk failures.

use std::sync::{Arc, Mutex, PoisonError};

use super::IoSnafu;
use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};
use snafu::IntoError;

/// The fault to inject into writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// Writes succeed.
    #[default]
    None,
    /// Writes fail and nothing is written, as on a full disk.
    Full,
    /// Writes fail after the first half of the entries was written, as on a failing disk.
    Torn,
}

/// A shared handle that selects the fault of a [`FaultyLog`].
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch(Arc<Mutex<DiskFault>>);

impl FaultSwitch {
    /// Sets the fault for all later writes.
    pub fn set(&self, fault: DiskFault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn get(&self) -> DiskFault {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A wrapper around a storage that injects the fault selected by its switch.
#[derive(Debug)]
pub struct FaultyLog<S> {
    inner: S,
    switch: FaultSwitch,
}

impl<S: LogStorage> FaultyLog<S> {
    /// Wraps a storage, with the fault set by `switch`.
    pub fn new(inner: S, switch: FaultSwitch) -> Self {
        Self { inner, switch }
    }

    fn check(&self) -> Result<(), StorageError> {
        injected_result(self.switch.get())
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

fn injected_result(fault: DiskFault) -> Result<(), StorageError> {
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
