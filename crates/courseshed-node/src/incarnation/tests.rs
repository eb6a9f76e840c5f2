//! Starts of a node whose clock is set back.

use courseshed_types::{Incarnation, Timestamp};

use super::next;

#[test]
fn a_later_start_has_a_greater_number_whatever_the_clock_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let start = |now| next(Some(folder.path()), Timestamp(now));
    assert_eq!(start(1_000), Incarnation(1_000));
    assert_eq!(start(10), Incarnation(1_001));
    assert_eq!(start(2_000), Incarnation(2_000));
    assert_eq!(next(None, Timestamp(10)), Incarnation(10));
}
