//! How new a replica's state is, by what it was told and what it has applied.

use std::time::Duration;

use courseshed_consensus::LogIndex;
use courseshed_registry::CommitFreshness;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_replica_that_has_applied_all_is_current_as_of_each_word_of_the_leader() {
    let mut freshness = CommitFreshness::default();
    assert_eq!(freshness.current_as_of(), None);
    freshness.note_applied(LogIndex(7));
    for at in [100, 200, 300] {
        freshness.note_committed(ms(at), LogIndex(7));
        assert_eq!(freshness.current_as_of(), Some(ms(at)));
        assert_eq!(freshness.lacked(), None);
    }
}

#[test]
fn heartbeats_do_not_make_a_replica_current_that_lacks_what_is_committed() {
    let mut freshness = CommitFreshness::default();
    freshness.note_applied(LogIndex(7));
    freshness.note_committed(ms(100), LogIndex(7));
    for at in [200, 300, 400] {
        freshness.note_committed(ms(at), LogIndex(9));
    }
    freshness.note_applied(LogIndex(8));
    assert_eq!(freshness.current_as_of(), Some(ms(100)));
    assert_eq!(freshness.lacked(), Some(LogIndex(9)));
    freshness.note_applied(LogIndex(9));
    assert_eq!(freshness.current_as_of(), Some(ms(400)));
    assert_eq!(freshness.lacked(), None);
}

#[test]
fn a_replica_that_catches_up_slowly_is_as_old_as_what_it_has_applied() {
    let mut freshness = CommitFreshness::default();
    for step in 1..=5 {
        freshness.note_committed(ms(100 * step), LogIndex(step));
    }
    freshness.note_applied(LogIndex(3));
    assert_eq!(freshness.current_as_of(), Some(ms(300)));
    assert_eq!(freshness.lacked(), Some(LogIndex(5)));
}

#[test]
fn a_long_wait_remembers_a_bounded_number_of_words_and_never_looks_newer() {
    let mut freshness = CommitFreshness::default();
    for step in 1..=100_000 {
        freshness.note_committed(ms(step), LogIndex(1_000_000));
    }
    assert_eq!(freshness.current_as_of(), None);
    assert!(freshness.remembered() <= 1_000);
    freshness.note_applied(LogIndex(1_000_000));
    let current = freshness.current_as_of().expect("a moment");
    assert!(current <= ms(100_000));
    freshness.note_committed(ms(100_001), LogIndex(1_000_000));
    assert_eq!(freshness.current_as_of(), Some(ms(100_001)));
}

/// A new leader knows less of what is committed for a moment than the one before it had told.
#[test]
fn a_new_leader_that_tells_less_makes_no_replica_current_that_lacks_what_was_told_before() {
    let mut freshness = CommitFreshness::default();
    freshness.note_applied(LogIndex(7));
    freshness.note_committed(ms(100), LogIndex(7));
    freshness.note_committed(ms(200), LogIndex(9));
    freshness.note_committed(ms(300), LogIndex(7));
    assert_eq!(freshness.current_as_of(), Some(ms(100)));
    assert_eq!(freshness.lacked(), Some(LogIndex(9)));
    freshness.note_applied(LogIndex(9));
    assert_eq!(freshness.current_as_of(), Some(ms(300)));
}
