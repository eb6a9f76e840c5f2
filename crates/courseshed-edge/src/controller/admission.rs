//! Membership of controllers in the replicated log.
//!
//! Invariants: a controller that lost its disk cannot vote against its earlier promises, since it
//! rejoins under a new incarnation; a silent voter is removed only to admit another controller, and only
//! while enough voters remain.

use courseshed_consensus::{Configuration, MembershipChange, ReplicaAddress, ReplicaId};

use super::worker::Worker;
use crate::protocol::{PeerReply, node_of};

/// Minimum number of voters after the removal of a silent one.
const MIN_VOTERS: usize = 3;

impl Worker {
    /// Admits a controller that is new, lost its disk, or replaces a silent voter.
    pub(super) fn join(&mut self, address: ReplicaAddress) -> PeerReply {
        if !self.group.is_leader() {
            return self.not_leader();
        }
        let configuration = self.group.peer().configuration().clone();
        let change = match configuration.member(address.replica) {
            Some(member) if member.incarnation >= address.incarnation => None,
            Some(_) => Some(MembershipChange::Readmit(address)),
            None => Some(self.silent_voter(&configuration).map_or(
                MembershipChange::AddVoter(address),
                MembershipChange::Remove,
            )),
        };
        if let Some(change) = change {
            let result = self.group.propose_membership(self.now(), change);
            log::info!(event = "membership_change", change:? = change, accepted = result.is_ok(); "a controller asked to join the group");
        }
        PeerReply::Joining
    }

    fn silent_voter(&self, configuration: &Configuration) -> Option<ReplicaId> {
        let now = self.now();
        let housekeeper = self.housekeeper.as_ref()?;
        if configuration.voters().count() <= MIN_VOTERS {
            return None;
        }
        configuration
            .voters()
            .filter(|voter| *voter != self.address.replica)
            .find(|voter| housekeeper.liveness.is_silent(now, node_of(*voter)))
    }
}
