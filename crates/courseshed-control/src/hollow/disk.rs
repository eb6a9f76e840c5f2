//! A disk in memory, so that controllers find their log again after a restart.

use courseshed_consensus::{
    Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError,
};

/// What a controller has written; every write counts as synced.
#[derive(Debug, Clone, Default)]
pub(super) struct MemoryDisk {
    kept: Restored,
}

impl MemoryDisk {
    fn cut_from(&mut self, index: LogIndex) {
        self.kept.entries.retain(|entry| entry.index < index);
    }
}

impl LogStorage for MemoryDisk {
    fn load(&mut self) -> Result<Restored, StorageError> {
        Ok(self.kept.clone())
    }

    fn note_committed(&mut self, index: LogIndex) {
        self.kept.committed = index;
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if let Some(hard_state) = hard_state {
            self.kept.hard_state = *hard_state;
        }
        if let Some(first) = entries.first() {
            self.cut_from(first.index);
            self.kept.entries.extend_from_slice(entries);
        }
        Ok(())
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.kept.snapshot = Some(snapshot.clone());
        self.kept.entries.clear();
        Ok(())
    }

    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError> {
        self.kept.snapshot = Some(snapshot.clone());
        self.kept.entries.retain(|entry| entry.index >= first_kept);
        Ok(())
    }
}
