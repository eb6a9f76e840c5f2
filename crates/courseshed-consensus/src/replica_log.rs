//! The in-memory log of a replica, and how far it is durable, committed and applied.
//!
//! Invariants: `offset <= applied <= committed <= last`, `stable <= last`; entries are contiguous;
//! committed entries are never truncated; the latest configuration in the log is in effect.

use std::collections::VecDeque;

use crate::{
    Configuration, Entry, EntryPayload, LogEnd, LogIndex, Restored, Snapshot, SnapshotMetadata,
    Term,
};

/// A configuration and the index of its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IndexedConfiguration {
    index: LogIndex,
    configuration: Configuration,
}

/// Why a leader's entries can't be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeError {
    /// The entry before them is missing or has a different term.
    LogMismatch {
        /// The last index at which the logs may match.
        hint: LogIndex,
    },
    /// They conflict with committed entries, which violates the protocol.
    CommittedConflict,
}

/// The log of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReplicaLog {
    /// The last compacted entry.
    offset: LogEnd,
    entries: VecDeque<Entry>,
    stable: LogIndex,
    committed: LogIndex,
    applied: LogIndex,
    snapshot: Snapshot,
    configurations: Vec<IndexedConfiguration>,
}

impl ReplicaLog {
    pub(crate) fn new(restored: Restored, initial_members: &Configuration) -> Self {
        let snapshot = restored
            .snapshot
            .unwrap_or_else(|| bootstrap_snapshot(initial_members));
        let mut log = Self::from_snapshot(snapshot);
        for entry in restored.entries {
            if entry.index > log.last_index() {
                log.append(entry);
            }
        }
        log.stable = log.last_index();
        log.committed = restored.committed.clamp(log.committed, log.last_index());
        log
    }

    fn from_snapshot(snapshot: Snapshot) -> Self {
        let SnapshotMetadata {
            index,
            term,
            configuration,
        } = snapshot.metadata.clone();
        Self {
            offset: LogEnd { term, index },
            entries: VecDeque::new(),
            stable: index,
            committed: index,
            applied: index,
            snapshot,
            configurations: vec![IndexedConfiguration {
                index,
                configuration,
            }],
        }
    }

    pub(crate) fn first_index(&self) -> LogIndex {
        self.offset.index.next()
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.offset.index.0 + self.entries.len() as u64)
    }

    pub(crate) fn end(&self) -> LogEnd {
        match self.entries.back() {
            Some(entry) => LogEnd {
                term: entry.term,
                index: entry.index,
            },
            None => self.offset,
        }
    }

    pub(crate) fn stable(&self) -> LogIndex {
        self.stable
    }

    pub(crate) fn committed(&self) -> LogIndex {
        self.committed
    }

    pub(crate) fn applied(&self) -> LogIndex {
        self.applied
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The latest configuration in the log, committed or not.
    pub(crate) fn configuration(&self) -> &Configuration {
        let latest = self
            .configurations
            .last()
            .expect("a log has a base configuration");
        &latest.configuration
    }

    /// Index of the entry with the latest configuration.
    pub(crate) fn configuration_index(&self) -> LogIndex {
        self.configurations
            .last()
            .map_or(LogIndex(0), |at| at.index)
    }

    /// The configuration as of the commit index.
    pub(crate) fn committed_configuration(&self) -> &Configuration {
        self.configuration_at(self.committed)
    }

    fn configuration_at(&self, index: LogIndex) -> &Configuration {
        let at = self
            .configurations
            .iter()
            .rev()
            .find(|at| at.index <= index);
        at.map_or_else(|| self.configuration(), |at| &at.configuration)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// The term of an entry, if it is in the log or is the last compacted one.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.offset.index {
            return Some(self.offset.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entries in `from..=through`, limited to `max_bytes` but always at least one if available.
    pub(crate) fn batch(&self, from: LogIndex, through: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut index = from;
        while index <= through {
            let Some(entry) = self.entry(index) else {
                break;
            };
            size += entry.size_bytes();
            if !batch.is_empty() && size > max_bytes {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryPayload::Configuration(configuration) = &entry.payload {
            let configuration = configuration.clone();
            self.configurations.push(IndexedConfiguration {
                index: entry.index,
                configuration,
            });
        }
        self.entries.push_back(entry);
    }

    /// Merges a leader's entries that follow `previous`, truncating conflicting uncommitted ones.
    ///
    /// Returns the last index known to match the leader's log.
    pub(crate) fn merge(
        &mut self,
        previous: LogEnd,
        entries: Vec<Entry>,
    ) -> Result<LogIndex, MergeError> {
        let matched = LogIndex(previous.index.0 + entries.len() as u64);
        if previous.index >= self.offset.index
            && self.term_at(previous.index) != Some(previous.term)
        {
            return Err(self.conflict(previous.index));
        }
        for entry in entries {
            if entry.index <= self.offset.index {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) if entry.index <= self.committed => {
                    return Err(MergeError::CommittedConflict);
                }
                Some(_) => {
                    self.truncate(entry.index);
                    self.append(entry);
                }
                None => self.append(entry),
            }
        }
        Ok(matched.max(self.offset.index))
    }

    fn conflict(&self, previous: LogIndex) -> MergeError {
        if previous <= self.committed {
            return MergeError::CommittedConflict;
        }
        MergeError::LogMismatch {
            hint: self.conflict_hint(previous),
        }
    }

    /// The last index before `previous` whose term differs from the conflicting one.
    fn conflict_hint(&self, previous: LogIndex) -> LogIndex {
        if previous > self.last_index() {
            return self.last_index();
        }
        let term = self.term_at(previous);
        let mut hint = previous.previous();
        while hint > self.committed && self.term_at(hint) == term {
            hint = hint.previous();
        }
        hint
    }

    fn truncate(&mut self, from: LogIndex) {
        self.entries
            .truncate((from.0 - self.first_index().0) as usize);
        self.stable = self.stable.min(from.previous());
        self.configurations.retain(|at| at.index < from);
    }

    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        self.committed = self.committed.max(index.min(self.last_index()));
    }

    pub(crate) fn mark_stable(&mut self, index: LogIndex, term: Term) {
        if self.term_at(index) == Some(term) {
            self.stable = self.stable.max(index);
        }
    }

    pub(crate) fn mark_applied(&mut self, index: LogIndex) {
        self.applied = self.applied.max(index);
    }

    /// Entries that are not durable yet.
    pub(crate) fn unstable(&self) -> Vec<Entry> {
        self.batch(self.stable.next(), self.last_index(), usize::MAX)
    }

    /// Entries that are committed and locally durable but not applied.
    pub(crate) fn to_apply(&self) -> Vec<Entry> {
        let through = self.committed.min(self.stable);
        self.batch(self.applied.next(), through, usize::MAX)
    }

    pub(crate) fn has_pending_work(&self) -> bool {
        self.stable < self.last_index() || self.applied < self.committed.min(self.stable)
    }

    /// Replaces the log with a leader's snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        *self = Self::from_snapshot(snapshot);
    }

    /// Creates a snapshot of the applied state and drops entries beyond the retention limits. Returns
    /// `None` if the index isn't applied or is covered by the current snapshot.
    pub(crate) fn compact(
        &mut self,
        through: LogIndex,
        data: bytes::Bytes,
        retained: RetentionLimits,
    ) -> Option<Snapshot> {
        if through > self.applied || through <= self.snapshot.metadata.index {
            return None;
        }
        let metadata = SnapshotMetadata {
            index: through,
            term: self.term_at(through)?,
            configuration: self.configuration_at(through).clone(),
        };
        self.snapshot = Snapshot { metadata, data };
        self.drop_through(self.retention_boundary(through, retained));
        Some(self.snapshot.clone())
    }

    /// Index of the newest entry up to `through` that is not retained.
    fn retention_boundary(&self, through: LogIndex, retained: RetentionLimits) -> LogIndex {
        let mut left = retained.bytes;
        let mut index = through;
        while through.0 - index.0 < retained.entries
            && let Some(entry) = self.entry(index)
            && entry.size_bytes() <= left
        {
            left -= entry.size_bytes();
            index = index.previous();
        }
        index
    }

    /// Accounted size of the entries in memory, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.entries.iter().map(Entry::size_bytes).sum()
    }

    fn drop_through(&mut self, through: LogIndex) {
        let Some(term) = self.term_at(through) else {
            return;
        };
        let count = through.0 - self.offset.index.0;
        self.entries.drain(..count as usize);
        self.offset = LogEnd {
            term,
            index: through,
        };
        let base = self
            .configurations
            .iter()
            .rposition(|at| at.index <= through);
        self.configurations.drain(..base.unwrap_or(0));
    }
}

/// Limits on the entries retained behind a snapshot for followers that lag slightly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetentionLimits {
    pub entries: u64,
    pub bytes: usize,
}

fn bootstrap_snapshot(initial_members: &Configuration) -> Snapshot {
    let metadata = SnapshotMetadata {
        configuration: initial_members.clone(),
        ..SnapshotMetadata::default()
    };
    Snapshot {
        metadata,
        data: bytes::Bytes::new(),
    }
}
