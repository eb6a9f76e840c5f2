//! Freshness of a replica from announced and applied commits.

use std::time::Duration;

use courseshed_consensus::LogIndex;
use courseshed_registry::CommitFreshness;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn fully_applied_replica_is_current_as_of_each_announcement() {
    let mut freshness = CommitFreshness::default();
    assert_eq!(freshness.current_as_of(), None);
    freshness.record_applied(LogIndex(7));
    for at in [100, 200, 300] {
        freshness.record_committed(ms(at), LogIndex(7));
        assert_eq!(freshness.current_as_of(), Some(ms(at)));
        assert_eq!(freshness.newest_unapplied(), None);
    }
}

#[test]
fn heartbeats_do_not_make_a_lagging_replica_current() {
    let mut freshness = CommitFreshness::default();
    freshness.record_applied(LogIndex(7));
    freshness.record_committed(ms(100), LogIndex(7));
    for at in [200, 300, 400] {
        freshness.record_committed(ms(at), LogIndex(9));
    }
    freshness.record_applied(LogIndex(8));
    assert_eq!(freshness.current_as_of(), Some(ms(100)));
    assert_eq!(freshness.newest_unapplied(), Some(LogIndex(9)));
    freshness.record_applied(LogIndex(9));
    assert_eq!(freshness.current_as_of(), Some(ms(400)));
    assert_eq!(freshness.newest_unapplied(), None);
}

#[test]
fn lagging_replica_is_as_old_as_its_applied_index() {
    let mut freshness = CommitFreshness::default();
    for step in 1..=5 {
        freshness.record_committed(ms(100 * step), LogIndex(step));
    }
    freshness.record_applied(LogIndex(3));
    assert_eq!(freshness.current_as_of(), Some(ms(300)));
    assert_eq!(freshness.newest_unapplied(), Some(LogIndex(5)));
}

#[test]
fn pending_commits_are_bounded_and_freshness_is_not_overstated() {
    let mut freshness = CommitFreshness::default();
    for step in 1..=100_000 {
        freshness.record_committed(ms(step), LogIndex(1_000_000));
    }
    assert_eq!(freshness.current_as_of(), None);
    assert!(freshness.remembered() <= 1_000);
    freshness.record_applied(LogIndex(1_000_000));
    let current = freshness.current_as_of().expect("a moment");
    assert!(current <= ms(100_000));
    freshness.record_committed(ms(100_001), LogIndex(1_000_000));
    assert_eq!(freshness.current_as_of(), Some(ms(100_001)));
}

/// A new leader may announce a lower commit index than its predecessor until it has caught up.
#[test]
fn lower_commit_of_new_leader_does_not_make_a_lagging_replica_current() {
    let mut freshness = CommitFreshness::default();
    freshness.record_applied(LogIndex(7));
    freshness.record_committed(ms(100), LogIndex(7));
    freshness.record_committed(ms(200), LogIndex(9));
    freshness.record_committed(ms(300), LogIndex(7));
    assert_eq!(freshness.current_as_of(), Some(ms(100)));
    assert_eq!(freshness.newest_unapplied(), Some(LogIndex(9)));
    freshness.record_applied(LogIndex(9));
    assert_eq!(freshness.current_as_of(), Some(ms(300)));
}
