//! The table of requests under which servers ended: whom it blames, what it permits, and its bounds.

use std::time::Duration;

use courseshed_registry::{
    EndedServer, SuspectReport, SuspectRequests, SuspectVerdict, may_send_suspect,
};
use courseshed_types::{RequestKey, ServerKey};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
const REQUEST: RequestKey = RequestKey(7);

fn report(attempt: u64, ended: &[(u32, u32)], next: Option<u32>) -> SuspectReport {
    SuspectReport {
        request: REQUEST,
        is_shared: false,
        attempt,
        ended: ended
            .iter()
            .map(|(server, known_before)| EndedServer {
                server: ServerKey(*server),
                known_before: *known_before,
            })
            .collect(),
        next: next.map(ServerKey),
        is_answered: false,
    }
}

fn answered(attempt: u64) -> SuspectReport {
    SuspectReport {
        is_answered: true,
        ..report(attempt, &[], None)
    }
}

fn ended(table: &SuspectRequests, now: Duration) -> usize {
    table
        .state(now, REQUEST)
        .map_or(0, |state| state.ended.len())
}

/// Guards against a fourth server, whichever attempts the others ended under.
#[parameterized(
    first_end = { &[(1, &[(1, 0)])], 2, true },
    second_end = { &[(1, &[(1, 0), (2, 1)])], 3, true },
    third_end = { &[(1, &[(1, 0), (2, 1), (3, 2)])], 4, false },
    three_attempts = { &[(1, &[(1, 0)]), (2, &[(2, 1)]), (3, &[(3, 2)])], 4, false },
    attempts_that_did_not_know_of_each_other = { &[(1, &[(1, 0)]), (2, &[(2, 0)]), (3, &[(3, 0)])], 4, false },
    reported_twice = { &[(1, &[(1, 0)]), (1, &[(1, 0), (2, 1)])], 3, true },
    same_server_again = { &[(1, &[(1, 0), (2, 1), (3, 2)])], 3, true },
)]
fn further_send_is_permitted_up_to_three_servers(
    reports: &[(u64, &[(u32, u32)])],
    next: u32,
    expected: bool,
) {
    let mut table = SuspectRequests::default();
    for (attempt, ended) in reports {
        table.record(NOW, &report(*attempt, ended, None));
    }
    let verdict = table.record(NOW, &report(9, &[], Some(next)));
    assert_eq!(verdict.may_send, expected);
}

/// Guards against two attempts that each take the last server that may end.
#[test]
fn server_that_runs_an_attempt_counts_before_it_ends() {
    let mut table = SuspectRequests::default();
    let first = report(1, &[(1, 0), (2, 1)], Some(3));
    assert!(table.record(NOW, &first).may_send);
    let second = report(2, &[], Some(4));
    assert!(!table.record(NOW, &second).may_send);
    let moved = report(1, &[(1, 0), (2, 1)], Some(5));
    assert!(table.record(NOW, &moved).may_send);
    table.record(NOW, &report(1, &[(1, 0), (2, 1)], None));
    assert!(table.record(NOW, &second).may_send);
}

/// Guards against a gateway that is gone and leaves its sends counted.
#[test]
fn send_of_a_silent_gateway_is_forgotten() {
    let mut table = SuspectRequests::default();
    table.record(NOW, &report(1, &[(1, 0), (2, 1)], Some(3)));
    let later = NOW + Duration::from_secs(11);
    assert!(table.record(later, &report(2, &[], Some(4))).may_send);
}

/// Guards against a popular request that is refused to everybody because servers with copies of it crashed at once.
#[test]
fn copies_of_a_shared_request_that_ran_at_the_same_time_count_once() {
    let shared = |attempt, server, known_before| SuspectReport {
        is_shared: true,
        ..report(attempt, &[(server, known_before)], None)
    };
    let mut table = SuspectRequests::default();
    for copy in 1..=5 {
        table.record(NOW, &shared(u64::from(copy), copy, 0));
    }
    assert_eq!(ended(&table, NOW), 1);
    table.record(NOW, &shared(6, 6, 1));
    table.record(NOW, &shared(7, 7, 2));
    assert_eq!(ended(&table, NOW), 3);
}

#[test]
fn answered_request_is_cleared_here_and_at_followers() {
    let mut table = SuspectRequests::default();
    let mut follower = SuspectRequests::default();
    table.record(NOW, &report(1, &[(1, 0)], Some(2)));
    let changes = table.changes_since(NOW, 0).expect("a suspect");
    let known = changes.revision;
    follower.apply(NOW, changes);
    assert_eq!(ended(&follower, NOW), 1);
    table.record(NOW, &answered(1));
    follower.apply(NOW, table.changes_since(NOW, known).expect("a clearance"));
    assert!(table.is_empty() && follower.is_empty());
    assert_eq!(table.changes_since(NOW, table.revision()), None);
}

/// Guards against messages about requests under which no server ended.
#[test]
fn request_without_an_end_is_no_suspect() {
    let mut table = SuspectRequests::default();
    assert!(table.record(NOW, &report(1, &[], Some(1))).may_send);
    table.record(NOW, &answered(1));
    assert!(table.is_empty());
    assert_eq!(table.changes_since(NOW, 0), None);
}

/// Guards against a table that grows with the failures, and one that forgets the guilty before the innocent.
#[test]
fn table_is_bounded_and_forgets_requests_with_one_end_first() {
    let mut table = SuspectRequests::default();
    let of_request = |request, ended: &[(u32, u32)]| SuspectReport {
        request: RequestKey(request),
        ..report(1, ended, None)
    };
    table.record(NOW, &of_request(0, &[(1, 0), (2, 1), (3, 2)]));
    for request in 1..10_000 {
        table.record(NOW, &of_request(request, &[(1, 0)]));
    }
    assert_eq!(table.len(), 4096);
    let guilty = table.state(NOW, RequestKey(0)).expect("the guilty one");
    assert!(guilty.is_exhausted(1));
    table.expire(NOW + Duration::from_secs(31));
    assert!(table.is_empty());
}

/// Guards against updates whose size grows with the number of suspects.
#[test]
fn follower_receives_many_suspects_in_parts() {
    let mut table = SuspectRequests::default();
    for request in 0..1_000 {
        let report = SuspectReport {
            request: RequestKey(request),
            ..report(1, &[(1, 0)], None)
        };
        table.record(NOW, &report);
    }
    let mut follower = SuspectRequests::default();
    let mut known = 0;
    let mut parts = 0;
    while let Some(changes) = table.changes_since(NOW, known) {
        assert!(changes.changed.len() <= 256);
        assert!(changes.revision > known);
        known = changes.revision;
        follower.apply(NOW, changes);
        parts += 1;
    }
    assert_eq!((follower.len(), parts), (1_000, 4));
}

/// Guards against a controller that starts again and knows nothing.
#[test]
fn reports_of_a_follower_restore_the_table() {
    let mut follower = SuspectRequests::default();
    follower.record(NOW, &report(1, &[(1, 0), (2, 1), (3, 2)], None));
    let mut restarted = SuspectRequests::default();
    for report in follower.reports(NOW, Duration::MAX) {
        restarted.record(NOW, &report);
    }
    assert_eq!(ended(&restarted, NOW), 3);
}

/// Guards against controllers that tell each other the same for ever.
#[test]
fn report_that_says_nothing_new_changes_nothing() {
    let mut table = SuspectRequests::default();
    table.record(NOW, &report(1, &[(1, 0), (2, 1)], Some(3)));
    let revision = table.revision();
    let later = NOW + Duration::from_millis(900);
    for report in table.reports(later, Duration::from_secs(1)) {
        table.record(later, &report);
    }
    assert_eq!(table.revision(), revision);
    let afterwards = NOW + Duration::from_secs(1);
    let resent = table.reports(afterwards, Duration::from_secs(1));
    assert_eq!(resent, []);
}

/// Guards against a gateway that is cut off from the controllers and uses up the servers of other attempts.
#[parameterized(
    confirmed = { 2, Some(true), true },
    denied = { 1, Some(false), false },
    unconfirmed_first = { 1, None, true },
    unconfirmed_second = { 2, None, false },
)]
fn limit_is_lower_without_the_verdict_of_a_controller(
    ended: u32,
    confirmed: Option<bool>,
    expected: bool,
) {
    let mut table = SuspectRequests::default();
    let ends: Vec<(u32, u32)> = (0..ended).map(|end| (end, end)).collect();
    let own = table.record(NOW, &report(1, &ends, Some(9)));
    let confirmed = confirmed.map(|may_send| SuspectVerdict {
        may_send,
        ..own.clone()
    });
    assert_eq!(may_send_suspect(&own, confirmed.as_ref()), expected);
}
