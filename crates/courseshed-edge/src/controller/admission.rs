//! Membership of controllers in the replicated log.
//!
//! Invariants: a controller that lost its disk cannot vote against its earlier promises, since it rejoins under a new
//! incarnation; a new one joins without a vote, and the leader decides from what it hears of the voters whether it
//! takes the place of one of them.

use courseshed_consensus::ReplicaAddress;

use super::worker::Worker;
use crate::protocol::PeerReply;

impl Worker {
    /// Admits a controller that is new, lost its disk, or replaces another one.
    pub(super) fn join(&mut self, address: ReplicaAddress) -> PeerReply {
        if !self.group.is_leader() {
            return self.not_leader();
        }
        let admitted = self.group.admit(self.now(), address);
        match admitted {
            Ok(None) => {}
            Ok(Some(change)) => {
                log::info!(event = "membership_change", change:? = change; "a controller asked to join the group");
            }
            Err(error) => {
                log::info!(event = "membership_change_refused", controller:% = address; "a controller can't join the group yet: {error}");
            }
        }
        PeerReply::Joining
    }
}
