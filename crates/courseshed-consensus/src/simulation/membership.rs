//! What operators ask of the group while it runs.

use rand::RngExt;

use super::cluster::Cluster;
use super::report::Fault;
use crate::{Configuration, Member, MemberRole, MembershipChange, ReplicaAddress, ReplicaId};

/// Operators leave at least so many voters.
const FEWEST_VOTERS: usize = 2;

impl Cluster {
    /// Asks the target to hand its leadership to any other replica.
    pub(super) fn hand_over(&mut self, target: ReplicaId) {
        let to = self.any_replica();
        let now = self.now;
        let process = self.process(target);
        let local_now = process.clock.at(now);
        let Some(running) = process.awake() else {
            return;
        };
        if running.group.transfer_leadership(local_now, to).is_ok() {
            self.count(Fault::HandOver);
            self.schedule_flush(target);
        }
    }

    /// Asks the target for a change of the members.
    pub(super) fn change_members(&mut self, target: ReplicaId) {
        let subject = self.any_replica();
        let address = self.processes[&subject].address;
        let prefers_learner = self.random.random_range(0..3) == 0;
        let now = self.now;
        let process = self.process(target);
        let local_now = process.clock.at(now);
        let Some(running) = process.awake() else {
            return;
        };
        let configuration = running.group.peer().configuration();
        let voters = configuration.voters().count();
        let member = configuration.member(subject);
        let Some(change) = sensible_change(address, member, voters, prefers_learner) else {
            return;
        };
        if running.group.propose_membership(local_now, change).is_ok() {
            let members = running.group.peer().configuration().clone();
            self.report.beyond_repair |= !self.keeps_quorum(&members);
            self.count(Fault::MembershipChange);
            self.schedule_flush(target);
        }
    }

    /// Whether a quorum of the voters still has its memory. Where one lost it less than an election
    /// timeout before a change, the leader can't know, and the change may stop the group for good.
    fn keeps_quorum(&self, members: &Configuration) -> bool {
        self.voters_with_memory(members).count() >= members.quorum()
    }
}

/// What an operator may want to do with a replica.
fn sensible_change(
    address: ReplicaAddress,
    member: Option<Member>,
    voters: usize,
    prefers_learner: bool,
) -> Option<MembershipChange> {
    let replica = address.replica;
    match member.map(|member| member.role) {
        None if prefers_learner => Some(MembershipChange::AddLearner(address)),
        None => Some(MembershipChange::AddVoter(address)),
        Some(MemberRole::Learner) => Some(MembershipChange::PromoteLearner(replica)),
        Some(MemberRole::Joining) => Some(MembershipChange::Remove(replica)),
        Some(MemberRole::Voter) if voters > FEWEST_VOTERS => {
            Some(MembershipChange::Remove(replica))
        }
        Some(MemberRole::Voter) => None,
    }
}
