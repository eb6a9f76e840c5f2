//! A log storage that stores nothing, for replicas on machines without disks.
//!
//! Votes and acknowledged entries are lost on restart, so the replica must be given a higher
//! incarnation at each start. The log is kept in the peer's memory.

use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};

/// Stores nothing. The replica must be given a higher incarnation at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VolatileLog;

impl LogStorage for VolatileLog {
    fn load(&mut self) -> Result<Restored, StorageError> {
        Ok(Restored::default())
    }

    fn note_committed(&mut self, _: LogIndex) {}

    fn append(&mut self, _: Option<&HardState>, _: &[Entry]) -> Result<(), StorageError> {
        Ok(())
    }

    fn install(&mut self, _: &Snapshot) -> Result<(), StorageError> {
        Ok(())
    }

    fn compact(&mut self, _: &Snapshot, _: LogIndex) -> Result<(), StorageError> {
        Ok(())
    }
}
