//! Handling of a leader's appends and snapshot chunks by a follower.

use bytes::Bytes;

use crate::replica_log::MergeError;
use crate::{
    AppendOutcome, Entry, LogEnd, LogIndex, MessageBody, Probe, ReplicaId, Snapshot,
    SnapshotMetadata,
};

use super::Peer;

/// A snapshot whose chunks are still being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PartialSnapshot {
    metadata: SnapshotMetadata,
    data: Vec<u8>,
}

impl Peer {
    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        previous: LogEnd,
        entries: Vec<Entry>,
        commit: LogIndex,
        probe: Probe,
    ) {
        if !self.accept_leader(from) {
            return;
        }
        let outcome = match self.log.merge(previous, entries) {
            Ok(matched) => {
                self.log.commit_to(commit.min(matched));
                AppendOutcome::Accepted { matched }
            }
            Err(MergeError::LogMismatch { hint }) => AppendOutcome::Rejected {
                previous: previous.index,
                hint,
            },
            Err(MergeError::CommittedConflict) => return self.halt(),
        };
        self.send(from, MessageBody::AppendResponse { outcome, probe });
    }

    /// Becomes a follower of the sender. Returns false if this replica is the leader of the term.
    fn accept_leader(&mut self, from: ReplicaId) -> bool {
        if self.is_leader() {
            return false;
        }
        self.leader_contact = Some(self.now);
        self.restart_election = None;
        self.become_follower(self.hard_state.term, Some(from));
        true
    }

    fn halt(&mut self) {
        self.become_follower(self.hard_state.term, None);
        self.halted = true;
        self.outbox.clear();
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        metadata: SnapshotMetadata,
        offset: u64,
        total: u64,
        data: &Bytes,
    ) {
        if !self.accept_leader(from) {
            return;
        }
        let index = metadata.index;
        let next_offset = if self.covers_snapshot(&metadata) {
            total
        } else {
            self.receive_chunk(metadata, offset, total, data)
        };
        self.send(from, MessageBody::SnapshotResponse { index, next_offset });
    }

    /// Whether the log already contains the snapshot's last entry or has committed beyond it.
    fn covers_snapshot(&mut self, metadata: &SnapshotMetadata) -> bool {
        let is_in_log = self.log.term_at(metadata.index) == Some(metadata.term);
        if is_in_log {
            self.log.commit_to(metadata.index);
        }
        is_in_log || metadata.index <= self.log.committed()
    }

    /// Appends the chunk if it is the next one expected. Returns the offset of the next chunk.
    fn receive_chunk(
        &mut self,
        metadata: SnapshotMetadata,
        offset: u64,
        total: u64,
        data: &Bytes,
    ) -> u64 {
        let mut partial = match self.partial_snapshot.take() {
            Some(partial) if partial.metadata == metadata => partial,
            _ => PartialSnapshot {
                metadata,
                data: Vec::new(),
            },
        };
        if partial.data.len() as u64 == offset {
            partial.data.extend_from_slice(data);
        }
        let next_offset = partial.data.len() as u64;
        if next_offset >= total {
            self.install(partial);
        } else {
            self.partial_snapshot = Some(partial);
        }
        next_offset
    }

    fn install(&mut self, partial: PartialSnapshot) {
        let snapshot = Snapshot {
            metadata: partial.metadata,
            data: Bytes::from(partial.data),
        };
        self.log.install(snapshot.clone());
        self.pending_snapshot = Some(snapshot);
    }
}
