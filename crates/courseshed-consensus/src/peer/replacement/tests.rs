use std::time::Duration;

use yare::parameterized;

use super::{MemberEvidence, UNCLEAR_SILENCE_FACTOR, next_replacement};
use crate::{MemberRole, MembershipChange, ReplicaId};

const SILENCE: Duration = Duration::from_millis(800);
const NOW: Duration = Duration::from_secs(100);
/// When all members that aren't stated to be new were known to the leader.
const ELECTED: Duration = Duration::from_secs(50);
const JOINED: Duration = Duration::from_secs(99);

/// A voter that last answered so long ago.
fn voter(id: u64, silent_for: Duration) -> MemberEvidence {
    let last_contact = NOW - silent_for;
    MemberEvidence {
        replica: ReplicaId(id),
        role: MemberRole::Voter,
        since: ELECTED,
        last_contact,
        answered_probe: (last_contact > ELECTED).then_some(last_contact),
        is_caught_up: true,
    }
}

/// A learner that joined a second ago and has caught up.
fn learner(id: u64) -> MemberEvidence {
    MemberEvidence {
        role: MemberRole::Learner,
        since: JOINED,
        ..voter(id, Duration::ZERO)
    }
}

fn replace(voter: u64, successor: u64) -> Option<MembershipChange> {
    Some(MembershipChange::Replace {
        voter: ReplicaId(voter),
        successor: ReplicaId(successor),
    })
}

fn promote(id: u64) -> Option<MembershipChange> {
    Some(MembershipChange::PromoteLearner(ReplicaId(id)))
}

const HEARD: Duration = Duration::from_millis(100);
const LOST: Duration = Duration::from_millis(900);
const LONG_LOST: Duration = Duration::from_secs(2);
/// Before the learner joined, but not yet long enough to count as silent.
const UNCERTAIN: Duration = Duration::from_millis(790);

/// Guards against each wrong decision on a learner: one that is added beside a voter whose successor it is, one that
/// takes the place of a voter that runs, and one that never becomes a voter.
#[parameterized(
    nobody_waits = { vec![voter(2, HEARD), voter(3, LONG_LOST)], None },
    all_run = { vec![voter(2, HEARD), voter(3, HEARD), learner(6)], promote(6) },
    one_is_lost = { vec![voter(2, HEARD), voter(3, LOST), learner(6)], replace(3, 6) },
    two_lost_two_wait = { vec![voter(2, LOST), voter(3, LONG_LOST), learner(6), learner(7)], replace(3, 6) },
    two_lost_one_waits = { vec![voter(2, LOST), voter(3, LONG_LOST), learner(6)], None },
    elected_just_now = { vec![voter(2, Duration::from_secs(50)), voter(3, HEARD), learner(6)], replace(2, 6) },
)]
fn learners_become_voters(others: Vec<MemberEvidence>, expected: Option<MembershipChange>) {
    assert_eq!(next_replacement(NOW, SILENCE, &others), expected);
}

/// Guards against a successor that joins before its predecessor counts as silent and is added beside it.
#[test]
fn learner_waits_for_a_voter_that_has_not_answered_since_it_joined() {
    let soon = MemberEvidence {
        since: NOW - Duration::from_millis(700),
        ..learner(6)
    };
    let others = [voter(2, HEARD), voter(3, UNCERTAIN), soon];
    assert_eq!(next_replacement(NOW, SILENCE, &others), None);
}

/// Guards against a learner that waits for ever since another voter is silent that nobody replaces.
#[test]
fn longest_silent_voter_gives_way_in_the_end_though_more_are_silent_than_wait() {
    let long = SILENCE * UNCLEAR_SILENCE_FACTOR + HEARD;
    let others = [voter(2, LOST), voter(3, long), learner(6)];
    assert_eq!(next_replacement(NOW, SILENCE, &others), replace(3, 6));
}

/// Guards against a voter that gives way to a learner which is lost itself or can't vote yet.
#[test]
fn voter_gives_way_only_to_a_learner_that_answers_and_has_caught_up() {
    let behind = MemberEvidence {
        is_caught_up: false,
        ..learner(6)
    };
    let others = [voter(2, HEARD), voter(3, LOST), behind];
    assert_eq!(next_replacement(NOW, SILENCE, &others), None);
    let lost = MemberEvidence {
        last_contact: NOW - LOST,
        ..learner(6)
    };
    let removed = next_replacement(NOW, SILENCE, &[voter(2, HEARD), voter(3, LOST), lost]);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(6))));
}
