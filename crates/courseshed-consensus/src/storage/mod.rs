//! Where a replica keeps what must outlive its process.
//!
//! Invariant: when a write returns, it is durable. When a write fails, nothing more is written until
//! the storage is opened anew, since a failed flush leaves the file's content unknown.

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

/// Keeps term, vote, entries and snapshot of one replica.
pub trait LogStorage {
    /// Reads all that was kept. Called once, before any write.
    ///
    /// # Errors
    /// [`StorageError`] when the content can't be read or is damaged.
    fn load(&mut self) -> Result<Restored, StorageError>;

    /// Makes a hard state and entries durable. The entries replace all from the first one's index.
    ///
    /// # Errors
    /// [`StorageError`]; any part of the write may be durable.
    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Notes how far the log is known to be committed, to be kept with the next write. It need not
    /// be durable: a replica that forgets it learns it again from the leader.
    fn note_committed(&mut self, index: LogIndex);

    /// Makes a leader's snapshot durable, which replaces all entries.
    ///
    /// # Errors
    /// [`StorageError`]; the earlier content or the new one stays whole.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Makes a snapshot of this replica durable. Entries before `first_kept` are needed no more.
    ///
    /// # Errors
    /// [`StorageError`]; the earlier content or the new one stays whole.
    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Result<(), StorageError>;
}

/// Why a storage can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The operating system refused an operation: the disk is full, failing, or not ours.
    #[snafu(display("can't {operation} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The content is not what was written, other than an unfinished last write.
    #[snafu(display("{} is damaged at byte {offset}: {reason}; restore the replica from the others", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where, in bytes from its start.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A write failed earlier; the storage must be opened anew.
    #[snafu(display("an earlier write failed; the storage must be reopened"))]
    Failed,
}
