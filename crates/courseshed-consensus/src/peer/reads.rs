//! Reads that are certain to see every committed entry: by lease, or by asking a quorum.
//!
//! Invariant of the lease: a follower that answered an append sent at `t` elects nobody before `t`
//! plus the election timeout by its own clock. The lease ends earlier, by the greatest drift allowed
//! between clocks. A hand-over breaks that promise, so from then on the term has no lease.

use std::time::Duration;

use crate::{LogIndex, ProposeError, ReadId, ReadReady};

use super::Peer;
use super::leader::LeaderState;

/// A read barrier that a quorum has not confirmed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    read: ReadReady,
    round: u64,
}

impl LeaderState {
    /// Lets a read wait for a round that starts after it was asked for.
    fn await_round(&mut self, read: ReadReady) {
        if !self.probe_requested {
            self.round += 1;
            self.probe_requested = true;
        }
        let round = self.round;
        self.pending_reads.push_back(PendingRead { read, round });
    }
}

impl Peer {
    /// Whether this replica certainly is the leader at `now` and knows all that is committed, so
    /// that its state machine may be read once it has applied the commit index.
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
        if leader.lease_surrendered {
            return None;
        }
        let acknowledged = self.quorum_of_followers(Some(self.now), |progress| {
            progress.acknowledged.map(|probe| probe.sent_at)
        });
        acknowledged
            .flatten()
            .map(|sent_at| sent_at + self.config.lease_duration())
    }

    /// Asks for a read barrier. It is reported in a later `ready`, with the index that must be
    /// applied before the read; if leadership is lost first, it is never reported.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`].
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
            state.await_round(read);
        }
        self.last_read = id.0;
        match has_lease {
            true => self.reads_ready.push(read),
            false => self.confirm_reads(),
        }
        Ok(id)
    }

    /// Reports the reads whose round a quorum has answered.
    pub(super) fn confirm_reads(&mut self) {
        let answered = self.quorum_of_followers(u64::MAX, |progress| {
            progress.acknowledged.map_or(0, |probe| probe.round)
        });
        let Some(answered) = answered else { return };
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let mut confirmed = Vec::new();
        while leader
            .pending_reads
            .front()
            .is_some_and(|pending| pending.round <= answered)
        {
            confirmed.extend(leader.pending_reads.pop_front().map(|pending| pending.read));
        }
        self.reads_ready.extend(confirmed);
    }
}
