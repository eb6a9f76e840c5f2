//! The peer's side of the driver's loop: `ready`, `advance`, `compact`.

use bytes::Bytes;

use crate::replica_log::Retained;
use crate::{LogIndex, Message, MessageBody, Persisted, Ready, Snapshot};

use super::Peer;

impl Peer {
    /// Whether [`Peer::ready`] would hold any work.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        if self.halted {
            return self.reported != Some(self.role_change());
        }
        !self.outbox.is_empty()
            || self.to_install.is_some()
            || self.hard_state != self.persisted_hard_state
            || self.log.has_work()
            || !self.reads_ready.is_empty()
            || self.reported != Some(self.role_change())
            || self
                .leader_state()
                .is_some_and(|leader| leader.probe_requested || leader.replication_due)
    }

    /// What there is to do now. The driver does all of it, in the order that [`Ready`] gives, and
    /// calls [`Peer::advance`] before it calls this again.
    #[must_use]
    pub fn ready(&mut self) -> Ready {
        self.replicate();
        let hard_state = (self.hard_state != self.persisted_hard_state).then_some(self.hard_state);
        let outbox = std::mem::take(&mut self.outbox);
        let may_go_now =
            |message: &Message| hard_state.is_none() && promises_nothing(&message.body);
        let (messages, messages_after_persist) = outbox.into_iter().partition(may_go_now);
        let role_change = self.role_change();
        let is_news = self.reported.replace(role_change) != Some(role_change);
        Ready {
            messages,
            install: self.to_install.take(),
            hard_state,
            entries: self.log.unstable(),
            messages_after_persist,
            committed: self.log.to_apply(),
            reads: std::mem::take(&mut self.reads_ready),
            role_change: is_news.then_some(role_change),
        }
    }

    /// Takes in that the work of a [`Ready`] is done.
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

    /// Takes in a snapshot of the state machine as of `through`, which must be applied, and forgets
    /// the entries it replaces, except some for followers that are a little late.
    ///
    /// Returns the snapshot to make durable; none if there is no need for it.
    #[must_use]
    pub fn compact(&mut self, through: LogIndex, data: impl Into<Bytes>) -> Option<Snapshot> {
        let retained = Retained {
            entries: self.config.retained_entries,
            bytes: self.config.retained_bytes,
        };
        self.log.compact(through, data.into(), retained)
    }

    /// What the entries held in memory count for, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.held_bytes()
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&crate::Entry> {
        self.log.entry(index)
    }
}

/// Whether a message says nothing of what this replica has made durable.
fn promises_nothing(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } | MessageBody::TimeoutNow
    )
}
