//! Decides when a machine that joined as a learner becomes a voter: beside the voters, or in place of one that is
//! silent.
//!
//! Whether a machine is added to a group or is the successor of another one can't be told when it joins, since the
//! other may have been lost a moment before. So it joins as a learner, and the leader waits for evidence. Invariants:
//! a silent voter is removed only together with the choice of a learner that has caught up and answers, so the number
//! of voters doesn't shrink; a learner is added to the voters only once each of them has answered a probe that was
//! sent after the learner joined, so that it can be nobody's successor.

use std::time::Duration;

use crate::{MemberRole, MembershipChange, ReplicaId};

use super::{Defect, Peer};

/// How many times as long a voter must be silent while more voters are silent than learners wait: some of them may
/// only be cut off. If one of those were removed just as another voter is lost, the change might never be committed.
/// Longer than cuts between machines usually last.
const UNCLEAR_SILENCE_FACTOR: u32 = 6;

/// What a leader knows of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemberEvidence {
    pub(super) replica: ReplicaId,
    pub(super) role: MemberRole,
    /// When this leader began to replicate to it: at its admission, or at the election.
    pub(super) since: Duration,
    /// When it last answered; `since` if it has not.
    pub(super) last_contact: Duration,
    /// When the latest probe was sent that it has answered.
    pub(super) answered_probe: Option<Duration>,
    /// Whether it lacks so few entries that it may vote.
    pub(super) is_caught_up: bool,
}

impl MemberEvidence {
    fn is_silent(&self, now: Duration, silence: Duration) -> bool {
        now.saturating_sub(self.last_contact) > silence
    }

    /// Whether it certainly ran at a time.
    fn ran_after(&self, time: Duration) -> bool {
        self.answered_probe.is_some_and(|sent| sent > time)
    }
}

/// The change that the evidence on the other members allows, if any.
pub(super) fn next_replacement(
    now: Duration,
    silence: Duration,
    others: &[MemberEvidence],
) -> Option<MembershipChange> {
    let of_role = |role| others.iter().filter(move |member| member.role == role);
    let ready = || {
        of_role(MemberRole::Learner)
            .filter(|learner| learner.is_caught_up && !learner.is_silent(now, silence))
    };
    let first = ready().min_by_key(|learner| (learner.since, learner.replica));
    let Some(first) = first else {
        // Asks to join again if it runs.
        let mut without_vote = others
            .iter()
            .filter(|member| member.role != MemberRole::Voter);
        let silent = without_vote.find(|member| member.is_silent(now, silence));
        return silent.map(|member| MembershipChange::Remove(member.replica));
    };
    let silent_voters = || of_role(MemberRole::Voter).filter(|voter| voter.is_silent(now, silence));
    if let Some(voter) = silent_voters().min_by_key(|voter| (voter.last_contact, voter.replica)) {
        let is_clear = silent_voters().count() <= ready().count();
        let may_replace = is_clear || voter.is_silent(now, silence * UNCLEAR_SILENCE_FACTOR);
        return may_replace.then_some(MembershipChange::Replace {
            voter: voter.replica,
            successor: first.replica,
        });
    }
    let all_ran = of_role(MemberRole::Voter).all(|voter| voter.ran_after(first.since));
    all_ran.then_some(MembershipChange::PromoteLearner(first.replica))
}

impl Peer {
    pub(super) fn next_replacement(&self) -> Option<MembershipChange> {
        let silence = self.config.voter_silence?;
        // Nothing changes while all members vote, which is nearly always; this is asked at each commit.
        let removes_at_any_time = self.defect == Defect::RemovesWithoutSuccessor;
        if !removes_at_any_time && self.all_members_vote() {
            return None;
        }
        let others = self.member_evidence();
        match self.defect {
            Defect::AddsBesideSilentVoters => {
                let learner = |member: &&MemberEvidence| {
                    member.role == MemberRole::Learner && member.is_caught_up
                };
                let learner = others.iter().find(learner)?;
                Some(MembershipChange::PromoteLearner(learner.replica))
            }
            Defect::RemovesWithoutSuccessor => {
                let silent = |member: &&MemberEvidence| {
                    member.role == MemberRole::Voter && member.is_silent(self.now, silence)
                };
                let silent = others.iter().find(silent);
                silent
                    .map(|voter| MembershipChange::Remove(voter.replica))
                    .or_else(|| next_replacement(self.now, silence, &others))
            }
            _ => next_replacement(self.now, silence, &others),
        }
    }

    fn all_members_vote(&self) -> bool {
        let mut members = self.configuration().members();
        members.all(|(_, member)| member.role == MemberRole::Voter)
    }

    fn member_evidence(&self) -> Vec<MemberEvidence> {
        let Some(leader) = self.leader_state() else {
            return Vec::new();
        };
        let members = self.configuration().members();
        members
            .filter_map(|(replica, member)| {
                let progress = leader.followers.get(&replica)?;
                Some(MemberEvidence {
                    replica,
                    role: member.role,
                    since: progress.since,
                    last_contact: progress.last_contact,
                    answered_probe: progress.acknowledged.map(|probe| probe.sent_at),
                    is_caught_up: self.check_caught_up(replica).is_ok(),
                })
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
