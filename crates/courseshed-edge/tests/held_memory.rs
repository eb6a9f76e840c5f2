//! The account of what a gateway holds for slow readers, by itself.

use std::time::Duration;

use courseshed_edge::gateway::{BufferKind, DisconnectReason, HeldTerms, MemoryBudget};

const TERMS: HeldTerms = HeldTerms {
    total_bytes: 1000,
    connection_bytes: 0,
    admission_bytes: 750,
    read_stall: Duration::from_secs(10),
    pressed_stall: Duration::from_secs(3),
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_body_is_refused_while_answers_under_way_still_have_room() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin();
    memory.set(id, BufferKind::Request, 500);
    assert!(memory.admits(250));
    assert!(!memory.admits(251));
    assert!(!memory.admits(usize::MAX));
    memory.set(id, BufferKind::Response, 400);
    assert!(!memory.admits(0));
    assert!(memory.has_room());
    memory.set(id, BufferKind::Response, 500);
    assert!(!memory.has_room());
}

#[test]
fn what_is_set_replaces_what_was_and_ends_with_the_connection() {
    let mut memory = MemoryBudget::new(TERMS);
    let (one, two) = (memory.begin(), memory.begin());
    memory.set(one, BufferKind::Request, 300);
    memory.set(one, BufferKind::Request, 100);
    memory.set_unsent(one, 40, None);
    memory.set(two, BufferKind::Response, 7);
    assert_eq!(memory.total(), 147);
    memory.end(one);
    memory.end(one);
    memory.set(one, BufferKind::Response, 9);
    assert_eq!(memory.total(), 7);
}

#[test]
fn a_connection_counts_for_as_long_as_it_is_there() {
    let terms = HeldTerms {
        connection_bytes: 60,
        ..TERMS
    };
    let mut memory = MemoryBudget::new(terms);
    let (one, two) = (memory.begin(), memory.begin());
    memory.set_unsent(one, 900, Some(seconds(1)));
    assert_eq!(memory.total(), 1020);
    let cut = memory.select_disconnects(seconds(2));
    assert_eq!(
        cut.iter().map(|cut| cut.held_bytes).collect::<Vec<_>>(),
        [960]
    );
    memory.end(one);
    assert_eq!(memory.total(), 60);
    memory.end(two);
    assert_eq!(memory.total(), 0);
}

#[test]
fn a_caller_that_takes_nothing_is_cut_off_at_the_stall_limit_and_once() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin();
    memory.set_unsent(id, 100, Some(seconds(5)));
    assert_eq!(memory.select_disconnects(Duration::from_millis(14_999)), []);
    let cut = memory.select_disconnects(seconds(15));
    assert_eq!(cut.len(), 1);
    assert_eq!(cut[0].id, id);
    assert_eq!(cut[0].reason, DisconnectReason::Stall);
    assert_eq!(cut[0].held_bytes, 100);
    assert_eq!(cut[0].stalled_for, seconds(10));
    assert_eq!(memory.select_disconnects(seconds(16)), []);
    assert_eq!(memory.total(), 100);
}

#[test]
fn a_caller_that_takes_a_little_now_and_then_is_not_cut_off() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin();
    for now in 1..100 {
        memory.set_unsent(id, 600, Some(seconds(now)));
        assert_eq!(memory.select_disconnects(seconds(now + 9)), []);
    }
}

#[test]
fn the_one_that_holds_most_for_longest_is_cut_off_first_and_no_more_than_needed() {
    let mut memory = MemoryBudget::new(TERMS);
    let long = memory.begin();
    let large = memory.begin();
    let worst = memory.begin();
    memory.set_unsent(long, 100, Some(seconds(1)));
    memory.set_unsent(large, 500, Some(seconds(7)));
    memory.set_unsent(worst, 401, Some(seconds(2)));
    let cut = memory.select_disconnects(seconds(8));
    let named: Vec<_> = cut.iter().map(|cut| (cut.id, cut.reason)).collect();
    assert_eq!(named, [(worst, DisconnectReason::Memory)]);
    // It counts until its connection has ended, and no other goes for it.
    assert_eq!(memory.total(), 1001);
    assert_eq!(memory.select_disconnects(seconds(8)), []);
}

/// Slow readers that hold just less than the total would keep new callers out until the stall limit.
#[test]
fn while_memory_is_short_a_shorter_stall_suffices() {
    let mut memory = MemoryBudget::new(TERMS);
    let (one, two) = (memory.begin(), memory.begin());
    memory.set_unsent(one, 400, Some(seconds(1)));
    memory.set_unsent(two, 400, Some(seconds(2)));
    assert!(!memory.admits(1));
    assert_eq!(memory.select_disconnects(Duration::from_millis(3_999)), []);
    let cut = memory.select_disconnects(seconds(5));
    let named: Vec<_> = cut.iter().map(|cut| (cut.id, cut.reason)).collect();
    assert_eq!(named, [(one, DisconnectReason::Memory)]);
    memory.end(one);
    assert!(memory.admits(1));
    assert_eq!(memory.select_disconnects(seconds(6)), []);
}

#[test]
fn a_caller_that_reads_is_not_cut_off_for_memory() {
    let mut memory = MemoryBudget::new(TERMS);
    let reading = memory.begin();
    let slow = memory.begin();
    memory.set(reading, BufferKind::Response, 5000);
    memory.set_unsent(slow, 1, Some(seconds(1)));
    let cut = memory.select_disconnects(seconds(2));
    assert_eq!(cut.iter().map(|cut| cut.id).collect::<Vec<_>>(), [slow]);
    assert_eq!(memory.select_disconnects(seconds(3)), []);
}

#[test]
fn a_small_machine_has_room_for_a_few_large_bodies() {
    let small = HeldTerms::of_machine(0);
    assert_eq!(small.total_bytes, 16 * 1024 * 1024);
    let usual = HeldTerms::of_machine(88_000_000);
    assert_eq!(usual.total_bytes, 56_000_000);
    assert_eq!(usual.admission_bytes, 49_000_000);
}
