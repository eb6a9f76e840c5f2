//! Log replication from the leader to its followers, and commitment.
//!
//! Invariant: an entry is committed once a quorum has it durably and it, or a later entry that the
//! quorum has, is of the leader's own term (Raft paper, section 5.4.2).

use crate::progress::{Progress, ReplicationState};
use crate::{AppendOutcome, LogIndex, MessageBody, Probe, ReplicaAddress, ReplicaId};

use super::{Defect, Peer};

impl Peer {
    /// Sends each follower its missing entries, up to its in-flight limit.
    pub(super) fn replicate(&mut self) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let heartbeat = std::mem::take(&mut leader.heartbeat_requested);
        let is_due = std::mem::take(&mut leader.replication_requested);
        if !heartbeat && !is_due {
            return;
        }
        let followers: Vec<ReplicaId> = leader.followers.keys().copied().collect();
        for follower in followers {
            self.replicate_to(follower, heartbeat);
        }
    }

    fn replicate_to(&mut self, to: ReplicaId, heartbeat: bool) {
        self.start_snapshot_if_needed(to);
        let mut must_send = heartbeat;
        while self.should_send_entries(to) {
            must_send = false;
            self.send_entries(to);
        }
        self.send_chunk(to);
        if must_send || self.should_send_commit(to) {
            self.send_empty_append(to);
        }
    }

    /// Switches to a snapshot transfer if the entry before the follower's next one was compacted.
    fn start_snapshot_if_needed(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let is_snapshotting = matches!(progress.state, ReplicationState::Snapshotting(_));
        let is_in_log = self.log.term_at(progress.next.previous()).is_some();
        if is_snapshotting || is_in_log {
            return;
        }
        let snapshot = self.log.snapshot().clone();
        if let Some(progress) = self.progress_mut(to) {
            progress.start_snapshot(snapshot);
        }
    }

    fn progress(&self, follower: ReplicaId) -> Option<&Progress> {
        self.leader_state()?.followers.get(&follower)
    }

    fn progress_mut(&mut self, follower: ReplicaId) -> Option<&mut Progress> {
        self.leader_state_mut()?.followers.get_mut(&follower)
    }

    fn probe(&self) -> Probe {
        Probe {
            round: self.leader_state().map_or(0, |leader| leader.round),
            sent_at: self.now,
        }
    }

    fn should_send_entries(&self, to: ReplicaId) -> bool {
        let Some(progress) = self.progress(to) else {
            return false;
        };
        let has_entries = progress.next <= self.log.last_index();
        let is_probing = matches!(progress.state, ReplicationState::Probing { .. });
        progress.can_append(self.config.max_inflight) && (has_entries || is_probing)
    }

    /// Sends the next batch of entries.
    fn send_entries(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let next = progress.next;
        let previous_term = self.log.term_at(next.previous()).unwrap_or_default();
        let entries = self
            .log
            .batch(next, self.log.last_index(), self.config.max_batch_bytes);
        let last = entries.last().map_or(next.previous(), |entry| entry.index);
        let commit = self.log.committed();
        if let Some(progress) = self.progress_mut(to) {
            progress.sent(last);
            progress.sent_commit = commit;
        }
        let probe = self.probe();
        let previous_index = next.previous();
        self.send(
            to,
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                probe,
            },
        );
    }

    /// Sends an empty append (heartbeat or commit update) at the expected end of the follower's log.
    fn send_empty_append(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let previous_index = match &progress.state {
            ReplicationState::Snapshotting(transfer) => transfer.snapshot.metadata.index,
            _ => progress.next.previous(),
        };
        let previous_term = match (&progress.state, self.log.term_at(previous_index)) {
            (ReplicationState::Snapshotting(transfer), _) => transfer.snapshot.metadata.term,
            (_, Some(term)) => term,
            (_, None) => return,
        };
        let commit = self.log.committed();
        let probe = self.probe();
        if let Some(progress) = self.progress_mut(to) {
            progress.sent_commit = commit;
        }
        let entries = Vec::new();
        self.send(
            to,
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                probe,
            },
        );
    }

    fn should_send_commit(&self, to: ReplicaId) -> bool {
        let Some(progress) = self.progress(to) else {
            return false;
        };
        let commit = progress.matched.min(self.log.committed());
        let is_replicating = matches!(progress.state, ReplicationState::Replicating { .. });
        self.config.eager_commit && is_replicating && progress.sent_commit < commit
    }

    fn send_chunk(&mut self, to: ReplicaId) {
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let Some(progress) = self.progress_mut(to) else {
            return;
        };
        let ReplicationState::Snapshotting(transfer) = &mut progress.state else {
            return;
        };
        if transfer.waiting {
            return;
        }
        transfer.waiting = true;
        transfer.overdue = false;
        let start = transfer.offset as usize;
        let end = (start + chunk_bytes).min(transfer.snapshot.data.len());
        let body = MessageBody::SnapshotChunk {
            metadata: transfer.snapshot.metadata.clone(),
            offset: transfer.offset,
            total: transfer.snapshot.data.len() as u64,
            data: transfer.snapshot.data.slice(start..end),
        };
        self.send(to, body);
    }

    pub(super) fn on_append_response(
        &mut self,
        from: ReplicaAddress,
        outcome: AppendOutcome,
        probe: Probe,
    ) {
        if !self.is_admitted(from) {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress_mut(from.replica) else {
            return;
        };
        progress.record_contact(now);
        progress.acknowledge(probe);
        match outcome {
            AppendOutcome::Accepted { matched } => progress.accepted(matched),
            AppendOutcome::Rejected { previous, hint } => progress.rejected(previous, hint),
        }
        self.on_progress();
    }

    pub(super) fn on_snapshot_response(
        &mut self,
        from: ReplicaAddress,
        index: LogIndex,
        next_offset: u64,
    ) {
        if !self.is_admitted(from) {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress_mut(from.replica) else {
            return;
        };
        progress.record_contact(now);
        let ReplicationState::Snapshotting(transfer) = &mut progress.state else {
            return;
        };
        let total = transfer.snapshot.data.len() as u64;
        if transfer.snapshot.metadata.index != index || next_offset > total {
            return;
        }
        transfer.offset = next_offset;
        transfer.waiting = false;
        if next_offset == total {
            progress.accepted(index);
        }
        self.on_progress();
    }

    fn is_admitted(&self, from: ReplicaAddress) -> bool {
        self.configuration().contains(from) || self.defect == Defect::IgnoresIncarnations
    }

    fn on_progress(&mut self) {
        self.request_replication();
        self.advance_commit();
        self.confirm_reads();
        self.advance_transfer();
    }

    /// Advances the commit index to the last entry that a quorum has durably.
    pub(super) fn advance_commit(&mut self) {
        let stable = self.log.stable();
        let replicated = match self.defect {
            Defect::CommitsAlone => Some(stable),
            _ => self.quorum_progress(stable, |progress| progress.matched),
        };
        let Some(replicated) = replicated else { return };
        let is_own_term = self.log.term_at(replicated) == Some(self.hard_state.term);
        let may_commit = is_own_term || self.defect == Defect::CommitsOldTerms;
        if replicated <= self.log.committed() || !may_commit {
            return;
        }
        self.log.commit_to(replicated);
        self.request_replication();
        self.after_commit();
    }

    fn after_commit(&mut self) {
        let is_member = self.configuration().contains(self.address());
        let is_configuration_committed = self.log.configuration_index() <= self.log.committed();
        if !is_member && is_configuration_committed {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.advance_membership();
    }
}
