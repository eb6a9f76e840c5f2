//! Which calls wait for a record partition without a quorum, and which are refused immediately.

use std::time::Duration;

use courseshed_edge::records::{OutageDecision, Outages};
use courseshed_records::PartitionId;
use tokio::time::Instant;
use yare::parameterized;

const PARTITION: PartitionId = PartitionId(4);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[parameterized(
    recent = { 100, 4_000, OutageDecision::Wait },
    as_long_as_time_left = { 1_000, 1_000, OutageDecision::Wait },
    longer_than_time_left = { 1_050, 1_000, OutageDecision::Probe },
    long = { 60_000, 4_000, OutageDecision::Probe },
)]
fn call_waits_if_its_time_left_covers_the_outage_so_far(
    age_ms: u64,
    left_ms: u64,
    expected: OutageDecision,
) {
    let began = Instant::now();
    let now = began + milliseconds(age_ms);
    let mut outages = Outages::default();
    assert!(outages.record_failure(PARTITION, began));
    let outlook = outages.decide(PARTITION, now, now + milliseconds(left_ms));
    assert_eq!(outlook, expected);
}

#[test]
fn partition_is_probed_periodically_and_other_calls_are_refused() {
    let began = Instant::now();
    let now = began + milliseconds(10_000);
    let deadline = now + milliseconds(500);
    let mut outages = Outages::default();
    outages.record_failure(PARTITION, began);
    let mut outlook_after = |after| outages.decide(PARTITION, now + milliseconds(after), deadline);
    assert_eq!(outlook_after(0), OutageDecision::Probe);
    assert_eq!(outlook_after(1), OutageDecision::Refuse);
    assert_eq!(outlook_after(99), OutageDecision::Refuse);
    assert_eq!(outlook_after(100), OutageDecision::Probe);
}

#[test]
fn outage_ends_with_the_first_answer_and_affects_only_its_partition() {
    let began = Instant::now();
    let now = began + milliseconds(10_000);
    let mut outages = Outages::default();
    outages.record_failure(PARTITION, began);
    assert!(
        !outages.record_failure(PARTITION, now),
        "the outage is already known"
    );
    let other = PartitionId(5);
    assert_eq!(outages.decide(other, now, now), OutageDecision::Wait);
    assert!(outages.record_answer(PARTITION));
    assert_eq!(outages.decide(PARTITION, now, now), OutageDecision::Wait);
    assert!(outages.record_failure(PARTITION, now));
}

/// Guards against a log line for each answer, and against none after an outage.
#[test]
fn first_answer_and_the_one_after_an_outage_are_told_apart_from_the_others() {
    let now = Instant::now();
    let mut outages = Outages::default();
    assert!(outages.record_answer(PARTITION));
    assert!(!outages.record_answer(PARTITION));
    assert!(outages.record_answer(PartitionId(5)));
    outages.record_failure(PARTITION, now);
    assert!(outages.record_answer(PARTITION));
    assert!(!outages.record_answer(PARTITION));
}
