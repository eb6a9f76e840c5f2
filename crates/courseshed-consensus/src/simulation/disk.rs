//! A simulated disk: what was written survives a crash, unless the disk lies on purpose.
//!
//! Invariant: like the real one, a write that returned without error is durable; one that failed,
//! or during which the process was killed, may be there in part.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use snafu::IntoError;

use crate::storage::IoSnafu;
use crate::{Entry, HardState, LogIndex, LogStorage, Restored, Snapshot, StorageError};

/// How the next write ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WriteFate {
    #[default]
    Succeeds,
    /// Nothing is written, until the fate is changed.
    Full,
    /// The first half is written, then the disk fails, until the fate is changed.
    Fails,
    /// The first half is written, then the process is killed.
    Kills,
}

#[derive(Debug, Default)]
struct Content {
    durable: Restored,
    /// Only on a disk that lies: what was written since the last true flush.
    before_flush: Option<Restored>,
    fate: WriteFate,
    was_killed: bool,
}

/// One replica's disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub(super) struct SimulatedDisk {
    content: Arc<Mutex<Content>>,
    /// Acknowledges before it flushes.
    lies: bool,
    /// Nothing outlives the process: the disk of a machine without one.
    forgets: bool,
    /// How far the log is known to be committed, for the next write.
    committed: LogIndex,
}

impl SimulatedDisk {
    pub(super) fn new(lies: bool, forgets: bool) -> Self {
        Self {
            content: Arc::default(),
            lies,
            forgets,
            committed: LogIndex(0),
        }
    }

    pub(super) fn forgets(&self) -> bool {
        self.forgets
    }

    pub(super) fn set_fate(&self, fate: WriteFate) {
        self.lock().fate = fate;
    }

    pub(super) fn fate(&self) -> WriteFate {
        self.lock().fate
    }

    /// Whether the process was killed by its last write.
    pub(super) fn take_killed(&self) -> bool {
        std::mem::take(&mut self.lock().was_killed)
    }

    /// What a crash leaves.
    pub(super) fn crash(&self) {
        let mut content = self.lock();
        content.was_killed = false;
        if let Some(before) = content.before_flush.take() {
            content.durable = before;
        }
    }

    /// Loses everything.
    pub(super) fn wipe(&self) {
        *self.lock() = Content::default();
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes as the fate of the write says.
    fn write(&self, whole: impl Fn(&mut Restored), half: impl Fn(&mut Restored)) -> Written {
        let mut content = self.lock();
        if self.lies && content.before_flush.is_none() {
            content.before_flush = Some(content.durable.clone());
        }
        match content.fate {
            WriteFate::Succeeds => {
                whole(&mut content.durable);
                return Ok(());
            }
            WriteFate::Full => {}
            WriteFate::Fails => half(&mut content.durable),
            WriteFate::Kills => {
                half(&mut content.durable);
                content.fate = WriteFate::Succeeds;
                content.was_killed = true;
            }
        }
        Err(failure())
    }

    /// A lying disk flushes now and then.
    pub(super) fn flush(&self) {
        self.lock().before_flush = None;
    }
}

type Written = Result<(), StorageError>;

fn failure() -> StorageError {
    let context = IoSnafu {
        operation: "write",
        path: "simulated disk",
    };
    context.into_error(std::io::ErrorKind::Other.into())
}

fn append_to(
    content: &mut Restored,
    committed: LogIndex,
    hard_state: Option<&HardState>,
    entries: &[Entry],
) {
    content.committed = committed;
    if let Some(hard_state) = hard_state {
        content.hard_state = *hard_state;
    }
    if let Some(first) = entries.first() {
        content.entries.retain(|entry| entry.index < first.index);
        content.entries.extend_from_slice(entries);
    }
}

impl LogStorage for SimulatedDisk {
    fn load(&mut self) -> Result<Restored, StorageError> {
        Ok(self.lock().durable.clone())
    }

    fn note_committed(&mut self, index: LogIndex) {
        self.committed = index;
    }

    fn append(&mut self, hard_state: Option<&HardState>, entries: &[Entry]) -> Written {
        let half = &entries[..entries.len() / 2];
        let committed = self.committed;
        self.write(
            |content| append_to(content, committed, hard_state, entries),
            |content| append_to(content, committed, hard_state, half),
        )
    }

    fn install(&mut self, snapshot: &Snapshot) -> Written {
        let half = |content: &mut Restored| content.snapshot = Some(snapshot.clone());
        let whole = |content: &mut Restored| {
            half(content);
            content.entries.clear();
        };
        self.write(whole, half)
    }

    fn compact(&mut self, snapshot: &Snapshot, first_kept: LogIndex) -> Written {
        let half = |content: &mut Restored| content.snapshot = Some(snapshot.clone());
        let whole = |content: &mut Restored| {
            half(content);
            content.entries.retain(|entry| entry.index >= first_kept);
        };
        self.write(whole, half)
    }
}
