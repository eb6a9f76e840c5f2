//! Which servers are judged to be failing, when they are avoided, and when they are trusted again.

use std::time::Duration;

use courseshed_registry::{
    Avoidance, AvoidanceChange, FadingCounts, OutcomeCounts, ProbeTurn, ServerOutcome, Standing,
    advance_service, failing_servers,
};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
const SERVERS: usize = 44;

fn counts(answered: f64, failed: f64) -> OutcomeCounts {
    OutcomeCounts { answered, failed }
}

/// Servers alike, and some that differ.
fn service(sound: OutcomeCounts, odd: &[OutcomeCounts]) -> Vec<OutcomeCounts> {
    let mut service = vec![sound; SERVERS - odd.len()];
    service.extend(odd);
    service
}

fn failing(service: &[OutcomeCounts]) -> usize {
    let failing = failing_servers(service);
    failing.into_iter().filter(|failing| *failing).count()
}

#[parameterized(
    two_in_a_row = { counts(0.0, 2.0), 0 },
    three_in_a_row = { counts(0.0, 3.0), 0 },
    four_in_a_row = { counts(0.0, 4.0), 1 },
    forty_in_100 = { counts(12.0, 8.0), 1 },
    fourteen_in_100 = { counts(86.0, 14.0), 1 },
    five_in_100 = { counts(950.0, 50.0), 0 },
    one_in_100 = { counts(396.0, 4.0), 0 },
)]
fn a_server_that_fails_far_more_than_the_others_is_failing(odd: OutcomeCounts, expected: usize) {
    assert_eq!(failing(&service(counts(70.0, 0.0), &[odd])), expected);
}

#[test]
fn failing_servers_that_draw_most_calls_do_not_hide_each_other() {
    let odd = [counts(0.0, 4_000.0); 10];
    assert_eq!(failing(&service(counts(70.0, 1.0), &odd)), 10);
}

#[parameterized(
    all_fail_all = { counts(0.0, 70.0) },
    all_fail_half = { counts(35.0, 35.0) },
    all_fail_some = { counts(63.0, 7.0) },
)]
fn what_all_fail_alike_makes_none_failing(alike: OutcomeCounts) {
    assert_eq!(failing(&service(alike, &[])), 0);
    assert_eq!(failing(&[alike]), 0);
}

#[test]
fn none_is_failing_if_most_are() {
    let odd = [counts(0.0, 70.0); 23];
    assert_eq!(failing(&service(counts(70.0, 0.0), &odd)), 0);
    assert_eq!(failing(&service(counts(70.0, 0.0), &odd[..20])), 20);
}

#[test]
fn counts_fade_by_half_each_second() {
    let mut fading = FadingCounts::default();
    for _ in 0..8 {
        fading.note(ServerOutcome::Failed, NOW);
    }
    fading.note(ServerOutcome::Answered, NOW + Duration::from_secs(1));
    let left = fading.at(NOW + Duration::from_secs(2));
    assert!((left.failed - 2.0).abs() < 1e-9 && (left.answered - 0.5).abs() < 1e-9);
}

const TURN: ProbeTurn = ProbeTurn {
    seed: 5,
    gateways: 1,
    calls: 0,
};

/// One gateway's view of three servers of which one failed.
struct Watched {
    avoidances: [Avoidance; 3],
    counts: FadingCounts,
    now: Duration,
}

impl Watched {
    fn failed() -> Self {
        let mut watched = Self {
            avoidances: [Avoidance::default(); 3],
            counts: FadingCounts::default(),
            now: NOW,
        };
        for _ in 0..5 {
            watched.counts.note(ServerOutcome::Failed, NOW);
        }
        assert_eq!(watched.advance(), Some(AvoidanceChange::Begun));
        watched
    }

    fn advance(&mut self) -> Option<AvoidanceChange> {
        let counts = self.counts.at(self.now);
        let sound = OutcomeCounts {
            answered: 70.0,
            failed: 0.0,
        };
        let [first, second, third] = &mut self.avoidances;
        let mut service = [(first, sound), (second, counts), (third, sound)];
        let changes = advance_service(&mut service, self.now);
        assert_eq!((changes[0], changes[2]), (None, None));
        changes[1]
    }

    fn standing(&self) -> Standing {
        self.avoidances[1].standing(TURN, self.now)
    }

    /// Waits for the next probe and answers it so. Returns how long that took, and what changed.
    fn probe(&mut self, outcome: ServerOutcome) -> (Duration, Option<AvoidanceChange>) {
        let began = self.now;
        while self.standing() != Standing::Probed {
            self.now += Duration::from_millis(10);
            assert_eq!(self.advance(), None);
        }
        self.avoidances[1].note_sent(self.now);
        assert_eq!(self.standing(), Standing::Avoided, "one probe at a time");
        self.counts.note(outcome, self.now);
        (self.now - began, self.advance())
    }
}

#[test]
fn a_server_is_avoided_for_longer_each_time_up_to_a_bound() {
    let mut watched = Watched::failed();
    for expected in [500, 1_000, 1_000] {
        let (waited, change) = watched.probe(ServerOutcome::Failed);
        let least = Duration::from_millis(expected);
        assert!(waited >= least && waited < least + Duration::from_millis(150));
        assert_eq!(change, Some(AvoidanceChange::Prolonged));
    }
}

#[test]
fn a_sound_server_is_trusted_after_four_probes() {
    let mut watched = Watched::failed();
    for expected in [None, None, None, Some(AvoidanceChange::Ended)] {
        assert_eq!(watched.probe(ServerOutcome::Answered).1, expected);
    }
    assert_eq!(watched.standing(), Standing::Trusted);
    assert_eq!(watched.advance(), None, "the old failures count again");
}

/// A service with a call a second gathers no four answers within the time that counts.
#[test]
fn a_service_with_few_calls_trusts_a_sound_server_after_fewer_probes() {
    let mut watched = Watched::failed();
    let mut change = None;
    for _ in 0..4 {
        watched.now += Duration::from_secs(1);
        change = watched.advance();
        if change.is_some() {
            break;
        }
        change = watched.probe(ServerOutcome::Answered).1;
        if change.is_some() {
            break;
        }
    }
    assert_eq!(change, Some(AvoidanceChange::Ended));
}

#[test]
fn no_probe_is_made_while_another_gateway_has_a_call_there() {
    let mut watched = Watched::failed();
    watched.probe(ServerOutcome::Answered);
    watched.now += Duration::from_secs(1);
    let busy = ProbeTurn { calls: 1, ..TURN };
    let standing = watched.avoidances[1].standing(busy, watched.now);
    assert_eq!(standing, Standing::Avoided);
}

#[test]
fn all_are_trusted_once_most_fail() {
    let mut avoidances = [Avoidance::default(); 3];
    let fail = |avoidances: &mut [Avoidance; 3], failed: [f64; 3], now| {
        let mut service: Vec<(&mut Avoidance, OutcomeCounts)> = avoidances
            .iter_mut()
            .zip(failed.map(|failed| counts(0.0, failed)))
            .collect();
        advance_service(&mut service, now)
    };
    let first = fail(&mut avoidances, [9.0, 0.0, 0.0], NOW);
    assert_eq!(first[0], Some(AvoidanceChange::Begun));
    let second = fail(&mut avoidances, [9.0, 9.0, 0.0], NOW);
    assert_eq!(second, [Some(AvoidanceChange::Ended), None, None]);
    assert!(avoidances.iter().all(|avoidance| !avoidance.is_on()));
}

/// A stream that began before the server failed may go on for long.
#[test]
fn calls_that_began_before_keep_no_probe_away() {
    let mut watched = Watched::failed();
    let with_calls = |calls| ProbeTurn { calls, ..TURN };
    watched.avoidances[1].note_calls(2);
    watched.now += Duration::from_millis(600);
    watched.advance();
    let standing =
        |watched: &Watched, calls| watched.avoidances[1].standing(with_calls(calls), watched.now);
    assert_eq!(standing(&watched, 2), Standing::Probed);
    assert_eq!(standing(&watched, 3), Standing::Avoided);
    watched.avoidances[1].note_calls(1);
    assert_eq!(standing(&watched, 2), Standing::Avoided);
}
