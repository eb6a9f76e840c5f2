//! What becomes of a server that failed, by what the list says and what connecting to it showed, and which limits it
//! counts towards.

use std::io::ErrorKind;

use courseshed_edge::gateway::{Listing, ProbeResult, ServerFate};
use yare::parameterized;

const LISTINGS: [Listing; 5] = [
    Listing::Ready,
    Listing::Unconfirmed,
    Listing::Draining,
    Listing::NotListed,
    Listing::Replaced,
];
const PROBES: [ProbeResult; 6] = [
    ProbeResult::Open,
    ProbeResult::Closed,
    ProbeResult::Refused,
    ProbeResult::TimedOut,
    ProbeResult::Failed(ErrorKind::HostUnreachable),
    ProbeResult::Failed(ErrorKind::Other),
];
const RUNS: ServerFate = ServerFate::Running;
const MAY: ServerFate = ServerFate::MayHaveEnded;
const ENDED: ServerFate = ServerFate::Ended;

/// Guards against a verdict that is stronger than its evidence. One row a listing, one column a probe.
#[test]
fn fate_follows_from_listing_and_probe() {
    let expected = [
        [RUNS, RUNS, ENDED, MAY, MAY, MAY],
        [RUNS, RUNS, MAY, MAY, MAY, MAY],
        [RUNS, RUNS, MAY, MAY, MAY, MAY],
        [MAY, MAY, MAY, MAY, MAY, MAY],
        [ENDED, ENDED, ENDED, ENDED, ENDED, ENDED],
    ];
    for (listing, row) in LISTINGS.into_iter().zip(expected) {
        for (probe, fate) in PROBES.into_iter().zip(row) {
            assert_eq!(ServerFate::of(listing, probe), fate, "{listing} {probe}");
        }
    }
}

/// Guards against one answer to two limits whose safe sides are opposite.
#[parameterized(
    running = { RUNS, true, false },
    may_have_ended = { MAY, true, true },
    ended = { ENDED, false, true },
)]
fn uncertain_fate_counts_towards_both_limits(
    fate: ServerFate,
    counts_as_receiver: bool,
    counts_as_ended: bool,
) {
    assert_eq!(fate.counts_as_receiver(), counts_as_receiver);
    assert_eq!(fate.counts_as_ended(), counts_as_ended);
}
