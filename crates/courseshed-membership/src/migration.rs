//! Plans the single-step membership changes that move a shard's replicas to their target placement.
//!
//! A step is one membership change of the shard's log. The order preserves the quorum: new replicas join as learners,
//! then become voters, and surplus replicas are removed only once every target replica votes. The leader is removed
//! last, after transferring leadership.

use std::collections::BTreeSet;

/// Current replicas of a shard's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaSet<R: Ord> {
    /// Voting replicas.
    pub voters: BTreeSet<R>,
    /// Non-voting replicas that receive the log.
    pub learners: BTreeSet<R>,
    /// Learners that have replicated nearly all of the log.
    pub caught_up: BTreeSet<R>,
    /// The leader, which executes the steps.
    pub leader: Option<R>,
}

/// The next membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStep<R> {
    /// Add a replica as a learner.
    AddLearner(R),
    /// Make a learner a voter.
    Promote(R),
    /// Transfer leadership, because the leader itself will be removed.
    TransferLeadership(R),
    /// Remove a replica.
    Remove(R),
    /// Wait until the learner has caught up.
    AwaitCatchUp(R),
}

/// Returns the next step from `current` to `target`, or `None` if they match or `target` is empty.
pub fn plan_replica_changes<R: Ord + Copy>(
    current: &ReplicaSet<R>,
    target: &[R],
) -> Option<ReplicaStep<R>> {
    if target.is_empty() {
        return None;
    }
    let surplus_learner = current.learners.iter().find(|id| !target.contains(id));
    if let Some(learner) = surplus_learner {
        return Some(ReplicaStep::Remove(*learner));
    }
    if let Some(learner) = current.learners.iter().next() {
        let is_caught_up = current.caught_up.contains(learner);
        return Some(if is_caught_up {
            ReplicaStep::Promote(*learner)
        } else {
            ReplicaStep::AwaitCatchUp(*learner)
        });
    }
    let missing = target.iter().find(|id| !current.voters.contains(id));
    if let Some(new_replica) = missing {
        return Some(ReplicaStep::AddLearner(*new_replica));
    }
    remove_surplus(current, target)
}

fn remove_surplus<R: Ord + Copy>(current: &ReplicaSet<R>, target: &[R]) -> Option<ReplicaStep<R>> {
    let surplus = || current.voters.iter().filter(|id| !target.contains(id));
    let follower = surplus().find(|id| Some(**id) != current.leader);
    match (follower, surplus().next()) {
        (Some(follower), _) => Some(ReplicaStep::Remove(*follower)),
        (None, Some(_)) => Some(ReplicaStep::TransferLeadership(target[0])),
        (None, None) => None,
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn execute(set: &mut ReplicaSet<u32>, step: ReplicaStep<u32>) {
        match step {
            ReplicaStep::AddLearner(id) => {
                set.learners.insert(id);
            }
            ReplicaStep::AwaitCatchUp(id) => {
                set.caught_up.insert(id);
            }
            ReplicaStep::Promote(id) => {
                assert!(set.learners.remove(&id) && set.caught_up.remove(&id));
                set.voters.insert(id);
            }
            ReplicaStep::TransferLeadership(id) => {
                assert!(set.voters.contains(&id), "only a voter may lead");
                set.leader = Some(id);
            }
            ReplicaStep::Remove(id) => {
                assert_ne!(set.leader, Some(id), "the leader can't remove itself");
                assert!(set.voters.remove(&id) || set.learners.remove(&id));
            }
        }
    }

    proptest! {
        #[test]
        fn every_plan_reaches_the_target_and_preserves_the_quorum(
            voters in proptest::collection::btree_set(0u32..8, 1..4),
            target in proptest::collection::btree_set(0u32..8, 1..4),
            learners in proptest::collection::btree_set(8u32..10, 0..2),
        ) {
            let target: Vec<u32> = target.into_iter().collect();
            let min_voters = voters.len().min(target.len());
            let leader = voters.iter().next().copied();
            let mut set = ReplicaSet { voters, learners, leader, ..ReplicaSet::default() };
            for _ in 0..40 {
                let Some(step) = plan_replica_changes(&set, &target) else { break };
                execute(&mut set, step);
                prop_assert!(set.voters.len() >= min_voters);
                prop_assert!(set.learners.len() <= 2);
            }
            prop_assert_eq!(set.voters, target.into_iter().collect::<BTreeSet<u32>>());
            prop_assert!(set.learners.is_empty());
        }
    }
}
