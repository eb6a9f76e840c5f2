//! The servers to which a request was sent: which of them count, and which may be tried again.

use courseshed_edge::gateway::{SendEnd, SendLedger};
use yare::parameterized;

fn ledger(sends: &[(&str, SendEnd)]) -> SendLedger {
    let mut ledger = SendLedger::default();
    for (server, end) in sends {
        match end {
            SendEnd::Unreachable => ledger.record_unreachable(server),
            SendEnd::Open => ledger.begin(server),
            end => {
                ledger.begin(server);
                ledger.end(*end);
            }
        }
    }
    ledger
}

/// Guards against a log that names only the last server.
#[test]
fn ledger_lists_every_server_and_how_its_send_ended() {
    let mut ledger = SendLedger::default();
    ledger.begin("a");
    ledger.end(SendEnd::Broken);
    ledger.record_unreachable("a");
    ledger.begin("b");
    ledger.end(SendEnd::Refused(503));
    ledger.begin("c");
    assert_eq!(
        ledger.to_string(),
        "a:broken a:unreachable b:refused-503 c:open"
    );
    ledger.end(SendEnd::Answered);
    ledger.end(SendEnd::Broken);
    assert!(ledger.to_string().ends_with("c:answered"));
}

/// Guards against a server that ran the request and is forgotten, whatever happened there later.
#[parameterized(
    open = { &[("a", SendEnd::Open)], &["a"] },
    broken = { &[("a", SendEnd::Broken)], &["a"] },
    silent = { &[("a", SendEnd::Silent)], &["a"] },
    timed_out = { &[("a", SendEnd::TimedOut)], &["a"] },
    answered = { &[("a", SendEnd::Answered)], &["a"] },
    refused = { &[("a", SendEnd::Refused(503))], &[] },
    unreachable = { &[("a", SendEnd::Unreachable)], &[] },
    broken_then_refused = { &[("a", SendEnd::Broken), ("a", SendEnd::Refused(503))], &["a"] },
    broken_then_unreachable = { &[("a", SendEnd::Broken), ("a", SendEnd::Unreachable)], &["a"] },
    silent_then_refused = { &[("a", SendEnd::Silent), ("a", SendEnd::Refused(421))], &["a"] },
    refused_then_broken = { &[("a", SendEnd::Refused(503)), ("a", SendEnd::Broken)], &["a"] },
    twice_at_one_server = { &[("a", SendEnd::Broken), ("a", SendEnd::Broken)], &["a"] },
    at_two_servers = { &[("a", SendEnd::Broken), ("b", SendEnd::Refused(503)), ("c", SendEnd::Silent)], &["a", "c"] },
)]
fn servers_that_may_have_run_a_request_count(sends: &[(&str, SendEnd)], expected: &[&str]) {
    let ledger = ledger(sends);
    let receivers: Vec<&str> = ledger.receivers().collect();
    assert_eq!(receivers, expected);
}

/// Guards against a promise that a request was not run although a server had it and failed.
#[parameterized(
    broken = { &[("a", SendEnd::Broken), ("a", SendEnd::Unreachable)], true },
    silent = { &[("a", SendEnd::Silent), ("b", SendEnd::Refused(503))], true },
    timed_out = { &[("a", SendEnd::TimedOut)], true },
    refused = { &[("a", SendEnd::Refused(503)), ("b", SendEnd::Unreachable)], false },
    nothing = { &[], false },
)]
fn failure_at_a_receiver_may_mean_that_it_ran(sends: &[(&str, SendEnd)], expected: bool) {
    assert_eq!(ledger(sends).may_have_run(), expected);
}

/// Guards against asking a server again that has just refused or is gone.
#[parameterized(
    broken = { &[("a", SendEnd::Broken)], Some("a") },
    second = { &[("a", SendEnd::Broken), ("b", SendEnd::Broken)], Some("b") },
    refused_since = { &[("a", SendEnd::Broken), ("a", SendEnd::Refused(503))], None },
    gone_since = { &[("a", SendEnd::Broken), ("a", SendEnd::Unreachable)], None },
    never_received = { &[("a", SendEnd::Refused(503))], None },
)]
fn only_a_server_that_did_not_refuse_since_is_retried(
    sends: &[(&str, SendEnd)],
    expected: Option<&str>,
) {
    assert_eq!(ledger(sends).retryable_server(), expected);
}
