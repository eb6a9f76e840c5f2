//! Which calls wait for a partition without a quorum, and which are refused at once.

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
    just_begun = { 100, 4_000, OutageDecision::Wait },
    as_long_as_is_left = { 1_000, 1_000, OutageDecision::Wait },
    longer_than_is_left = { 1_050, 1_000, OutageDecision::Probe },
    long = { 60_000, 4_000, OutageDecision::Probe },
)]
fn a_call_waits_while_it_has_as_much_time_as_the_outage_lasted(
    age_ms: u64,
    left_ms: u64,
    expected: OutageDecision,
) {
    let began = Instant::now();
    let now = began + milliseconds(age_ms);
    let mut outages = Outages::default();
    assert!(outages.record_failure(PARTITION, began));
    let decision = outages.decide(PARTITION, now, now + milliseconds(left_ms));
    assert_eq!(decision, expected);
}

#[test]
fn one_call_in_a_while_finds_out_and_the_others_are_refused() {
    let began = Instant::now();
    let now = began + milliseconds(10_000);
    let deadline = now + milliseconds(500);
    let mut outages = Outages::default();
    outages.record_failure(PARTITION, began);
    let mut ask = |after| outages.decide(PARTITION, now + milliseconds(after), deadline);
    assert_eq!(ask(0), OutageDecision::Probe);
    assert_eq!(ask(1), OutageDecision::Refuse);
    assert_eq!(ask(99), OutageDecision::Refuse);
    assert_eq!(ask(100), OutageDecision::Probe);
}

#[test]
fn an_outage_is_over_with_the_first_answer_and_concerns_its_partition_alone() {
    let began = Instant::now();
    let now = began + milliseconds(10_000);
    let mut outages = Outages::default();
    outages.record_failure(PARTITION, began);
    assert!(!outages.record_failure(PARTITION, now), "it goes on");
    let other = PartitionId(5);
    assert_eq!(outages.decide(other, now, now), OutageDecision::Wait);
    outages.record_answer(PARTITION);
    assert_eq!(outages.decide(PARTITION, now, now), OutageDecision::Wait);
    assert!(outages.record_failure(PARTITION, now));
}
