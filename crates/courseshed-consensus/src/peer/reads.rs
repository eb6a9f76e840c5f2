//! Linearizable reads, by lease or by confirming leadership with a quorum.
//!
//! Lease invariant: a follower that acknowledged an append sent at `t` votes for no other leader
//! before `t` plus the election timeout by its own clock. The lease is shorter by the maximum clock
//! drift. A leadership transfer bypasses that guarantee, so it revokes the lease for the rest of the
//! term.

use std::time::Duration;

use crate::{LogIndex, ProposeError, ReadId, ReadReady};

use super::Peer;
use super::leader::LeaderState;

/// A read barrier awaiting confirmation by a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    read: ReadReady,
    round: u64,
}

impl LeaderState {
    /// Queues a read until a quorum acknowledges a round that starts after the request.
    fn enqueue_read(&mut self, read: ReadReady) {
        if !self.heartbeat_requested {
            self.round += 1;
            self.heartbeat_requested = true;
        }
        let round = self.round;
        self.pending_reads.push_back(PendingRead { read, round });
    }
}

impl Peer {
    /// Whether this replica holds a valid leader lease at `now`, so that its state machine may be read
    /// without a quorum once it has applied the commit index.
    #[must_use]
    pub fn lease_valid(&self, now: Duration) -> bool {
        if !self.config.lease {
            return false;
        }
        self.is_established() && self.lease_end().is_some_and(|end| now < end)
    }

    /// Whether this replica is the leader and its first entry is committed.
    #[must_use]
    pub fn is_established(&self) -> bool {
        let committed = self.log.committed();
        self.leader_state()
            .is_some_and(|leader| leader.first_index <= committed)
    }

    fn lease_end(&self) -> Option<Duration> {
        let leader = self.leader_state()?;
        if leader.lease_revoked {
            return None;
        }
        let acknowledged = self.quorum_progress(Some(self.now), |progress| {
            progress.acknowledged.map(|probe| probe.sent_at)
        });
        acknowledged
            .flatten()
            .map(|sent_at| sent_at + self.config.lease_duration())
    }

    /// Requests a read barrier. A later `ready` returns it with the index that must be applied before
    /// the read. It is never returned if leadership is lost first.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] if this replica is not the leader.
    pub fn read_barrier(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        self.now = self.now.max(now);
        let has_lease = self.lease_valid(self.now);
        let committed = self.log.committed();
        let leader = self.leader;
        let id = ReadId(self.last_read + 1);
        let Some(state) = self.leader_state_mut() else {
            return Err(ProposeError::NotLeader { leader });
        };
        let index: LogIndex = committed.max(state.first_index);
        let read = ReadReady { id, index };
        if !has_lease {
            state.enqueue_read(read);
        }
        self.last_read = id.0;
        match has_lease {
            true => self.reads_ready.push(read),
            false => self.confirm_reads(),
        }
        Ok(id)
    }

    /// Confirms the reads whose round a quorum has acknowledged.
    pub(super) fn confirm_reads(&mut self) {
        let acknowledged = self.quorum_progress(u64::MAX, |progress| {
            progress.acknowledged.map_or(0, |probe| probe.round)
        });
        let Some(acknowledged) = acknowledged else {
            return;
        };
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let mut confirmed = Vec::new();
        while leader
            .pending_reads
            .front()
            .is_some_and(|pending| pending.round <= acknowledged)
        {
            confirmed.extend(leader.pending_reads.pop_front().map(|pending| pending.read));
        }
        self.reads_ready.extend(confirmed);
    }
}
