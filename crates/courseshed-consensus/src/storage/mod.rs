//! Persistent storage of a replica's log, hard state and snapshot.
//!
//! Invariant: a write is durable when it returns. After a failed write all later writes fail until
//! the storage is reopened, since a failed flush leaves the file's content unknown.

mod disk;
mod faulty;
mod volatile;

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::{Entry, HardState, LogIndex, Restored, Snapshot};

pub use disk::{DiskLog, frame};
pub use faulty::{DiskFault, FaultSwitch, FaultyLog};
pub use volatile::VolatileLog;

/// Stores the term, vote, entries and snapshot of one replica.
pub trait LogStorage {
    /// Reads the stored state. Called once, before any write.
    ///
    /// # Errors
    /// [`StorageError`] if the content can't be read or is corrupted.
    fn load(&mut self) -> Result<Restored, StorageError>;

    /// Persists a hard state and entries. Existing entries from the first new index on are replaced.
    ///
    /// # Errors
    /// [`StorageError`]; the write may be partially durable.
    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Sets the commit index to be stored with the next write. It may be lost in a crash: the replica
    /// learns it again from the leader.
    fn note_committed(&mut self, index: LogIndex);

    /// Persists a leader's snapshot and removes all entries.
    ///
    /// # Errors
    /// [`StorageError`]; the storage then has either the old or the new content.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Persists a snapshot of this replica. Entries before `first_kept` may be removed.
    ///
    /// # Errors
    /// [`StorageError`]; the storage then has either the old or the new content.
    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError>;
}

/// Errors of a log storage.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An I/O operation failed.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The lock file is held by another process.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The content is corrupted, other than by an incomplete last write.
    #[snafu(display("{} is corrupted at byte {offset}: {reason}; rebuild this replica from the other replicas", path.display()))]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// The offset in the file, in bytes.
        offset: u64,
        /// A description of the corruption.
        reason: String,
    },
    /// An earlier write failed; the storage must be reopened.
    #[snafu(display("an earlier write failed; the storage must be reopened"))]
    Failed,
}
