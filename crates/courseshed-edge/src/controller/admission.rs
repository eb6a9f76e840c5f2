//! Which controllers take part in the replicated log.
//!
//! Invariants: a disk that was lost never votes for what it promised before, since its controller
//! comes back under a life of its own; a silent voter is taken out only for another machine, and
//! only while enough others are left.

use courseshed_consensus::{Configuration, MembershipChange, ReplicaAddress, ReplicaId};

use super::worker::Worker;
use crate::protocol::{PeerReply, node_of};

/// Fewest voters that may be left when a silent one is taken out.
const FEWEST_VOTERS: usize = 3;

impl Worker {
    /// Admits a controller: a new one, one that lost its disk, or one in place of a silent one.
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
            log::info!(event = "membership_change", change:? = change, accepted = result.is_ok(); "a controller asked to take part");
        }
        PeerReply::Joining
    }

    fn silent_voter(&self, configuration: &Configuration) -> Option<ReplicaId> {
        let now = self.now();
        let housekeeper = self.housekeeper.as_ref()?;
        if configuration.voters().count() <= FEWEST_VOTERS {
            return None;
        }
        configuration
            .voters()
            .filter(|voter| *voter != self.address.replica)
            .find(|voter| housekeeper.liveness.is_silent(now, node_of(*voter)))
    }
}
