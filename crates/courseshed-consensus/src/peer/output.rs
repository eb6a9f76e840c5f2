//! The interface to the driver: `ready`, `advance` and `compact`.

use bytes::Bytes;

use crate::replica_log::RetentionLimits;
use crate::{LogIndex, Message, MessageBody, Persisted, Ready, Snapshot};

use super::Peer;

impl Peer {
    /// Whether [`Peer::ready`] would return any work.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        if self.halted {
            return self.reported_role != Some(self.role_change());
        }
        !self.outbox.is_empty()
            || self.pending_snapshot.is_some()
            || self.hard_state != self.persisted_hard_state
            || self.log.has_pending_work()
            || !self.reads_ready.is_empty()
            || self.reported_role != Some(self.role_change())
            || self
                .leader_state()
                .is_some_and(|leader| leader.heartbeat_requested || leader.replication_requested)
    }

    /// Returns the pending work. The driver must process all of it in the order documented by
    /// [`Ready`], and call [`Peer::advance`] before it calls this again.
    #[must_use]
    pub fn ready(&mut self) -> Ready {
        self.replicate();
        let hard_state = (self.hard_state != self.persisted_hard_state).then_some(self.hard_state);
        let outbox = std::mem::take(&mut self.outbox);
        let can_send_now =
            |message: &Message| hard_state.is_none() && can_precede_persist(&message.body);
        let (messages, messages_after_persist) = outbox.into_iter().partition(can_send_now);
        let role_change = self.role_change();
        let role_changed = self.reported_role.replace(role_change) != Some(role_change);
        Ready {
            messages,
            install: self.pending_snapshot.take(),
            hard_state,
            entries: self.log.unstable(),
            messages_after_persist,
            committed: self.log.to_apply(),
            reads: std::mem::take(&mut self.reads_ready),
            role_change: role_changed.then_some(role_change),
        }
    }

    /// Index of the last committed entry that is durable here. A commit index that is persisted with
    /// the entries it covers would, if only part of that write survives, declare the entries
    /// committed that the write was to replace.
    #[must_use]
    pub fn durable_commit_index(&self) -> LogIndex {
        self.log.committed().min(self.log.stable())
    }

    /// Records that the work of a [`Ready`] is done.
    pub fn advance(&mut self, persisted: Persisted) {
        if let Some(hard_state) = persisted.hard_state {
            self.persisted_hard_state = hard_state;
        }
        if let Some((index, term)) = persisted.entry {
            self.log.mark_stable(index, term);
        }
        if let Some(index) = persisted.applied {
            self.log.mark_applied(index);
        }
        self.advance_commit();
    }

    /// Compacts the log with a snapshot of the state machine as of `through`, which must be applied.
    /// Retains some of the covered entries for followers that lag slightly.
    ///
    /// Returns the snapshot to persist, or `None` if the log wasn't compacted.
    #[must_use]
    pub fn compact(&mut self, through: LogIndex, data: impl Into<Bytes>) -> Option<Snapshot> {
        let retained = RetentionLimits {
            entries: self.config.retained_entries,
            bytes: self.config.retained_bytes,
        };
        self.log.compact(through, data.into(), retained)
    }

    /// Accounted size of the entries in memory, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.memory_bytes()
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&crate::Entry> {
        self.log.entry(index)
    }
}

/// Whether a message may be sent before pending log writes are durable: it acknowledges nothing.
fn can_precede_persist(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } | MessageBody::TimeoutNow
    )
}
