//! Unit tests of the memory budget for data buffered for slow callers and servers.

use std::time::Duration;

use courseshed_edge::gateway::{BufferKind, DisconnectReason, MemoryBudget, MemoryLimits};

const TERMS: MemoryLimits = MemoryLimits {
    total_bytes: 1000,
    connection_bytes: 0,
    admission_bytes: 750,
    stall_limit: Duration::from_secs(10),
    pressure_stall_limit: Duration::from_secs(3),
    max_connections: usize::MAX,
};
/// Longer than any head in these tests takes.
const HEAD_LIMIT: Duration = Duration::from_secs(1000);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn bodies_are_refused_before_responses_run_out_of_room() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin(Duration::ZERO);
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
fn set_replaces_the_previous_value_until_the_connection_ends() {
    let mut memory = MemoryBudget::new(TERMS);
    let (one, two) = (memory.begin(Duration::ZERO), memory.begin(Duration::ZERO));
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
fn connection_overhead_counts_while_it_is_open() {
    let terms = MemoryLimits {
        connection_bytes: 60,
        ..TERMS
    };
    let mut memory = MemoryBudget::new(terms);
    let (one, two) = (memory.begin(Duration::ZERO), memory.begin(Duration::ZERO));
    memory.set_unsent(one, 900, Some(seconds(1)));
    assert_eq!(memory.total(), 1020);
    let disconnects = memory.select_disconnects(seconds(2), HEAD_LIMIT);
    assert_eq!(
        disconnects
            .iter()
            .map(|disconnect| disconnect.held_bytes)
            .collect::<Vec<_>>(),
        [960]
    );
    memory.end(one);
    assert_eq!(memory.total(), 60);
    memory.end(two);
    assert_eq!(memory.total(), 0);
}

#[test]
fn stalled_caller_is_disconnected_once_at_the_stall_limit() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin(Duration::ZERO);
    memory.set_unsent(id, 100, Some(seconds(5)));
    assert_eq!(
        memory.select_disconnects(Duration::from_millis(14_999), HEAD_LIMIT),
        []
    );
    let disconnects = memory.select_disconnects(seconds(15), HEAD_LIMIT);
    assert_eq!(disconnects.len(), 1);
    assert_eq!(disconnects[0].id, id);
    assert_eq!(disconnects[0].reason, DisconnectReason::Stall);
    assert_eq!(disconnects[0].held_bytes, 100);
    assert_eq!(disconnects[0].stalled_for, seconds(10));
    assert_eq!(memory.select_disconnects(seconds(16), HEAD_LIMIT), []);
    assert_eq!(memory.total(), 100);
}

#[test]
fn slowly_reading_caller_is_not_disconnected() {
    let mut memory = MemoryBudget::new(TERMS);
    let id = memory.begin(Duration::ZERO);
    for now in 1..100 {
        memory.set_unsent(id, 600, Some(seconds(now)));
        assert_eq!(memory.select_disconnects(seconds(now + 9), HEAD_LIMIT), []);
    }
}

#[test]
fn fewest_callers_are_disconnected_largest_bytes_times_stall_first() {
    let mut memory = MemoryBudget::new(TERMS);
    let long = memory.begin(Duration::ZERO);
    let large = memory.begin(Duration::ZERO);
    let worst = memory.begin(Duration::ZERO);
    memory.set_unsent(long, 100, Some(seconds(1)));
    memory.set_unsent(large, 500, Some(seconds(7)));
    memory.set_unsent(worst, 401, Some(seconds(2)));
    let disconnects = memory.select_disconnects(seconds(8), HEAD_LIMIT);
    let selected: Vec<_> = disconnects
        .iter()
        .map(|disconnect| (disconnect.id, disconnect.reason))
        .collect();
    assert_eq!(selected, [(worst, DisconnectReason::Memory)]);
    // It counts until its connection has ended, and no other caller is disconnected in its place.
    assert_eq!(memory.total(), 1001);
    assert_eq!(memory.select_disconnects(seconds(8), HEAD_LIMIT), []);
}

/// Slow callers that hold slightly less than the total must not block admission until the stall limit.
#[test]
fn shorter_stall_limit_applies_under_memory_pressure() {
    let mut memory = MemoryBudget::new(TERMS);
    let (one, two) = (memory.begin(Duration::ZERO), memory.begin(Duration::ZERO));
    memory.set_unsent(one, 400, Some(seconds(1)));
    memory.set_unsent(two, 400, Some(seconds(2)));
    assert!(!memory.admits(1));
    assert_eq!(
        memory.select_disconnects(Duration::from_millis(3_999), HEAD_LIMIT),
        []
    );
    let disconnects = memory.select_disconnects(seconds(5), HEAD_LIMIT);
    let selected: Vec<_> = disconnects
        .iter()
        .map(|disconnect| (disconnect.id, disconnect.reason))
        .collect();
    assert_eq!(selected, [(one, DisconnectReason::Memory)]);
    memory.end(one);
    assert!(memory.admits(1));
    assert_eq!(memory.select_disconnects(seconds(6), HEAD_LIMIT), []);
}

#[test]
fn reading_caller_is_not_disconnected_for_memory() {
    let mut memory = MemoryBudget::new(TERMS);
    let reading = memory.begin(Duration::ZERO);
    let slow = memory.begin(Duration::ZERO);
    memory.set(reading, BufferKind::Response, 5000);
    memory.set_unsent(slow, 1, Some(seconds(1)));
    let disconnects = memory.select_disconnects(seconds(2), HEAD_LIMIT);
    assert_eq!(
        disconnects
            .iter()
            .map(|disconnect| disconnect.id)
            .collect::<Vec<_>>(),
        [slow]
    );
    assert_eq!(memory.select_disconnects(seconds(3), HEAD_LIMIT), []);
}

#[test]
fn budget_depends_on_machine_memory_with_a_minimum() {
    let small = MemoryLimits::for_machine(0);
    assert_eq!(small.total_bytes, 16 * 1024 * 1024);
    let typical = MemoryLimits::for_machine(88_000_000);
    assert_eq!(typical.total_bytes, 56_000_000);
    assert_eq!(typical.admission_bytes, 49_000_000);
}
