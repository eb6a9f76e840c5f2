//! What a shard's leader does to make its replicas those that the member map wants, free of I/O.
//!
//! One step at a time: a newcomer learns, then votes, and only then does a replica that is not wanted any more go.
//! Restarted replicas are readmitted by the log itself.

use std::collections::BTreeSet;

use courseshed_consensus::{
    Configuration, LogStorage, MemberRole, MembershipChange, ReplicaId, ReplicatedGroup,
    StateMachine,
};
use courseshed_membership::{ReplicaSet, ReplicaStep, plan_replica_changes};
use courseshed_types::{Incarnation, NodeId, control::ShardVoter};

use crate::shards::plan::ReplicaTarget;

/// Entries a replica may lack of the log and still be handed leadership; proposals wait for the rest.
const HANDOVER_LAG: u64 = 64;

/// What the leader should do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderStep {
    /// Propose a change of the members.
    Change(MembershipChange),
    /// Hand leadership over.
    HandOver(ReplicaId),
}

/// The next step from the members in force to those wanted; none if nothing is to be done or can be done now.
pub fn next_member_step(
    members: &Configuration,
    own: ReplicaId,
    target: &ReplicaTarget,
) -> Option<LeaderStep> {
    let voters: BTreeSet<ReplicaId> = members.voters().collect();
    let learners = members
        .members()
        .filter(|(_, member)| member.role != MemberRole::Voter);
    let learners: BTreeSet<ReplicaId> = learners.map(|(id, _)| id).collect();
    let current = ReplicaSet {
        voters,
        // The log itself refuses to promote a learner that lags.
        caught_up: learners.clone(),
        learners,
        leader: Some(own),
    };
    match plan_replica_changes(&current, &target.ids())? {
        ReplicaStep::AddLearner(id) => {
            let wanted = target.wanted(id).filter(|wanted| wanted.is_live)?;
            let change = MembershipChange::AddLearner(wanted.address);
            Some(LeaderStep::Change(change))
        }
        ReplicaStep::Promote(id) => Some(LeaderStep::Change(MembershipChange::PromoteLearner(id))),
        ReplicaStep::Remove(id) => Some(LeaderStep::Change(MembershipChange::Remove(id))),
        ReplicaStep::TransferLeadership(id) => Some(LeaderStep::HandOver(id)),
        ReplicaStep::AwaitCatchUp(_) => None,
    }
}

/// The replica that should lead in place of this one; none if this one should, or no better one is ready.
pub fn preferred_leader<S: LogStorage, M: StateMachine>(
    group: &ReplicatedGroup<S, M>,
    target: &ReplicaTarget,
) -> Option<ReplicaId> {
    let own = group.peer().address().replica;
    let ready = ready_to_lead(group, target);
    let first = target.ids().into_iter().find(|id| ready.contains(id))?;
    (first != own).then_some(first)
}

/// The replica to hand leadership to when this node wants to lead no more.
pub fn successor<S: LogStorage, M: StateMachine>(
    group: &ReplicatedGroup<S, M>,
    target: &ReplicaTarget,
) -> Option<ReplicaId> {
    let own = group.peer().address().replica;
    let ready = ready_to_lead(group, target);
    let mut others = target.ids().into_iter().filter(|id| *id != own);
    others.find(|id| ready.contains(id))
}

/// Live voters, in their present start, that have nearly the whole log; this replica among them if it is live.
fn ready_to_lead<S: LogStorage, M: StateMachine>(
    group: &ReplicatedGroup<S, M>,
    target: &ReplicaTarget,
) -> BTreeSet<ReplicaId> {
    let status = group.status();
    let own = status.address.replica;
    let lag = |id: ReplicaId| {
        let follower = status.followers.iter().find(|other| other.replica == id);
        let matched = follower.map_or(0, |follower| follower.matched.0);
        status.last_index.0.saturating_sub(matched)
    };
    let live = target.replicas.iter().filter(|wanted| wanted.is_live);
    let voting = live.filter(|wanted| status.configuration.is_voter(wanted.address));
    let ids = voting.map(|wanted| wanted.address.replica);
    ids.filter(|id| *id == own || lag(*id) <= HANDOVER_LAG)
        .collect()
}

/// The voters of a configuration as the controllers know them, by node.
pub fn voters_of(members: &Configuration) -> Vec<ShardVoter> {
    let voters = members
        .members()
        .filter(|(_, member)| member.role == MemberRole::Voter);
    voters
        .map(|(id, member)| ShardVoter {
            node: node_of(id),
            incarnation: Incarnation(member.incarnation),
        })
        .collect()
}

/// The node that keeps a replica.
pub fn node_of(replica: ReplicaId) -> NodeId {
    NodeId(u32::try_from(replica.0).unwrap_or(u32::MAX))
}
