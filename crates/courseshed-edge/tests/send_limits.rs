//! Servers that fail, with evidence drawn at random that fits what became of them: an attempt reaches no more servers
//! that go on running than its route allows, and each server that ended counts towards those that may end.

use std::io::ErrorKind;

use courseshed_edge::gateway::{Listing, ProbeResult, SendEnd, SendLedger, ServerFate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const SEEDS: u64 = 20_000;
const SERVERS: usize = 12;

/// What became of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    Runs,
    /// It completes its calls and refuses connections.
    Drains,
    /// It was cut off from the gateway, and runs.
    CutOff,
    Ended,
    /// It ended, and its host with it.
    HostEnded,
    /// It ended, and a process that started later has its address.
    Restarted,
}

/// What is taken for a proof that a server ended, beside the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Complete,
    TimedOut,
    NotListed,
    OwnError,
    Closed,
    RefusedWhileDraining,
}

struct Draw(ChaCha8Rng);

impl Draw {
    fn one<Choice: Copy>(&mut self, choices: &[Choice]) -> Choice {
        choices[self.0.random_range(0..choices.len())]
    }

    fn truth(&mut self) -> Truth {
        self.one(&[
            Truth::Runs,
            Truth::Drains,
            Truth::CutOff,
            Truth::Ended,
            Truth::HostEnded,
            Truth::Restarted,
        ])
    }

    /// Evidence that fits: lists lag and may be incomplete, packets are lost, and the gateway may fail itself.
    fn evidence(&mut self, truth: Truth) -> (Listing, ProbeResult) {
        let lagging = [Listing::Ready, Listing::Unconfirmed, Listing::NotListed];
        let listing = match truth {
            // A server tells the controllers that it drains before it refuses connections.
            Truth::Drains => {
                let told = [Listing::Unconfirmed, Listing::Draining, Listing::NotListed];
                self.one(&told)
            }
            Truth::Restarted if self.0.random_bool(0.5) => Listing::Replaced,
            _ => self.one(&lagging),
        };
        let failures = [
            ProbeResult::TimedOut,
            ProbeResult::Failed(ErrorKind::HostUnreachable),
            ProbeResult::Failed(ErrorKind::Other),
        ];
        let answer = match truth {
            Truth::Runs | Truth::Restarted => self.one(&[ProbeResult::Open, ProbeResult::Closed]),
            Truth::Drains | Truth::Ended => ProbeResult::Refused,
            Truth::CutOff | Truth::HostEnded => ProbeResult::TimedOut,
        };
        let is_answered = self.0.random_bool(0.7);
        let probe = if is_answered {
            answer
        } else {
            self.one(&failures)
        };
        (listing, probe)
    }
}

fn fate(variant: Variant, listing: Listing, probe: ProbeResult) -> ServerFate {
    let is_taken_for_proof = match variant {
        Variant::Complete => false,
        Variant::TimedOut => probe == ProbeResult::TimedOut,
        Variant::NotListed => listing == Listing::NotListed,
        Variant::OwnError => matches!(probe, ProbeResult::Failed(_)),
        Variant::Closed => probe == ProbeResult::Closed,
        Variant::RefusedWhileDraining => probe == ProbeResult::Refused,
    };
    if is_taken_for_proof {
        return ServerFate::Ended;
    }
    ServerFate::of(listing, probe)
}

/// Sends a request until the route allows no further server. Returns whether each limit held.
fn attempt_holds(seed: u64, variant: Variant) -> bool {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
    let max_attempts = draw.one(&[1, 2]);
    let mut ledger = SendLedger::default();
    let mut running = 0;
    for number in 0..SERVERS {
        if ledger.counted_receivers() >= max_attempts {
            break;
        }
        ledger.begin(&number.to_string());
        ledger.end(SendEnd::Broken);
        let truth = draw.truth();
        let (listing, probe) = draw.evidence(truth);
        let fate = fate(variant, listing, probe);
        if !fate.counts_as_receiver() {
            ledger.record_server_ended();
        }
        let goes_on = matches!(truth, Truth::Runs | Truth::Drains | Truth::CutOff);
        running += usize::from(goes_on);
        let is_known_to_have_ended = match truth {
            Truth::Ended | Truth::HostEnded => true,
            // As long as it is listed, its successor can't be told from it.
            Truth::Restarted => matches!(listing, Listing::NotListed | Listing::Replaced),
            Truth::Runs | Truth::Drains | Truth::CutOff => false,
        };
        let is_missed = is_known_to_have_ended && !fate.counts_as_ended();
        if is_missed {
            return false;
        }
    }
    running <= max_attempts
}

/// Guards against evidence that fits a running server being taken for a proof of its end.
#[test]
fn attempts_reach_no_more_running_servers_than_allowed() {
    for seed in 0..SEEDS {
        assert!(attempt_holds(seed, Variant::Complete), "seed {seed}");
    }
}

/// Guards against a simulation that would pass whatever counts as a proof.
#[parameterized(
    timed_out = { Variant::TimedOut },
    not_listed = { Variant::NotListed },
    own_error = { Variant::OwnError },
    closed = { Variant::Closed },
    refused_while_draining = { Variant::RefusedWhileDraining },
)]
fn weaker_proofs_are_noticed(variant: Variant) {
    assert!((0..SEEDS).any(|seed| !attempt_holds(seed, variant)));
}
