//! The versions of streams that a store holds in memory.

use std::time::Duration;

use courseshed_records::StreamVersions;

const KEEP: Duration = Duration::from_secs(5);
const START: Duration = Duration::from_secs(100);

fn record(versions: &mut StreamVersions, now: Duration, version: &str) -> Option<String> {
    let held = versions.record(now, "stream".to_owned(), version.to_owned(), KEEP);
    held.map(str::to_owned)
}

#[test]
fn version_is_known_until_it_expires() {
    let mut versions = StreamVersions::default();
    assert_eq!(record(&mut versions, START, "v1").as_deref(), Some("v1"));
    let last = START + KEEP - Duration::from_millis(1);
    assert_eq!(versions.version_of(last, "stream"), Some("v1"));
    assert_eq!(versions.version_of(START + KEEP, "stream"), None);
    assert_eq!(versions.version_of(START, "other"), None);
    versions.expire(START + KEEP);
    assert!(versions.is_empty());
}

/// Guards against an answer that is right for one of two versions only.
#[test]
fn stream_with_two_versions_is_unknown() {
    let mut versions = StreamVersions::default();
    record(&mut versions, START, "v1");
    assert_eq!(record(&mut versions, START, "v2"), None);
    assert_eq!(record(&mut versions, START, "v1"), None);
    assert_eq!(versions.version_of(START, "stream"), None);
}

#[test]
fn repeated_record_extends_the_lifetime() {
    let mut versions = StreamVersions::default();
    record(&mut versions, START, "v1");
    let later = START + KEEP / 2;
    record(&mut versions, later, "v1");
    assert_eq!(versions.version_of(START + KEEP, "stream"), Some("v1"));
}

#[test]
fn expired_version_is_no_conflict() {
    let mut versions = StreamVersions::default();
    record(&mut versions, START, "v1");
    let later = START + KEEP;
    assert_eq!(record(&mut versions, later, "v2").as_deref(), Some("v2"));
}

/// Guards against memory that grows with the number of streams.
#[test]
fn number_of_streams_is_bounded() {
    const MORE_THAN_FIT: usize = 120_000;
    let mut versions = StreamVersions::default();
    for number in 0..MORE_THAN_FIT {
        versions.record(START, format!("stream-{number}"), "v1".to_owned(), KEEP);
    }
    assert_eq!(versions.len(), 100_000);
    assert_eq!(versions.version_of(START, "stream-0"), Some("v1"));
    let refused = format!("stream-{}", MORE_THAN_FIT - 1);
    assert_eq!(versions.version_of(START, &refused), None);
}
