//! How many losses the group of controllers can still bear: metrics of the leader, and a log line for each change.

use courseshed_consensus::{Configuration, MemberRole, ReplicaId};

use super::replica::VOTER_SILENCE;
use super::worker::Worker;

/// The members of the group, as its leader sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GroupHealth {
    voters: Vec<u64>,
    silent: Vec<u64>,
    waiting: Vec<u64>,
    tolerable_losses: usize,
}

impl Worker {
    /// Updates the metrics of the leader, and logs what has changed.
    pub(super) fn update_group_health(&mut self) {
        let health = match self.group.is_leader() {
            true => self.group_health(),
            false => GroupHealth::default(),
        };
        if health == self.group_health {
            return;
        }
        let gauges = &self.options.metrics.group_health;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        gauges.voters.set(count(health.voters.len()));
        gauges.silent_voters.set(count(health.silent.len()));
        gauges.waiting.set(count(health.waiting.len()));
        gauges.tolerable_losses.set(count(health.tolerable_losses));
        if !health.voters.is_empty() {
            log::info!(event = "group_health", voters:? = health.voters, silent:? = health.silent, waiting:? = health.waiting, tolerable_losses = health.tolerable_losses; "the voters of the controllers' log, or those that answer, changed");
        }
        self.group_health = health;
    }

    fn group_health(&self) -> GroupHealth {
        let status = self.group.status();
        let now = self.now();
        let followers = status.followers.iter();
        let silent: Vec<u64> = followers
            .filter(|follower| now.saturating_sub(follower.last_contact) > VOTER_SILENCE)
            .filter(|follower| is_voter(&status.configuration, follower.replica))
            .map(|follower| follower.replica.0)
            .collect();
        let members = status.configuration.members();
        let waiting = members
            .filter(|(_, member)| member.role != MemberRole::Voter)
            .map(|(replica, _)| replica.0);
        let voters: Vec<u64> = status.configuration.voters().map(|id| id.0).collect();
        let answering = voters.len() - silent.len();
        GroupHealth {
            tolerable_losses: answering.saturating_sub(status.configuration.quorum()),
            waiting: waiting.collect(),
            silent,
            voters,
        }
    }
}

fn is_voter(configuration: &Configuration, replica: ReplicaId) -> bool {
    let member = configuration.member(replica);
    member.is_some_and(|member| member.role == MemberRole::Voter)
}
