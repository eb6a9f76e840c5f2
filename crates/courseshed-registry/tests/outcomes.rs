//! Detection of failing servers, and their avoidance and restoration.

use std::time::Duration;

use courseshed_registry::{
    Avoidance, AvoidanceChange, DecayingCounts, OutcomeCounts, ProbeTurn, ServerAvailability,
    ServerOutcome, advance_service, failing_servers,
};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
const SERVERS: usize = 44;

fn counts(answered: f64, failed: f64) -> OutcomeCounts {
    OutcomeCounts { answered, failed }
}

/// Identical servers plus the given outliers.
fn service(healthy: OutcomeCounts, outliers: &[OutcomeCounts]) -> Vec<OutcomeCounts> {
    let mut service = vec![healthy; SERVERS - outliers.len()];
    service.extend(outliers);
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
fn server_far_worse_than_its_peers_is_failing(outlier: OutcomeCounts, expected: usize) {
    assert_eq!(failing(&service(counts(70.0, 0.0), &[outlier])), expected);
}

#[test]
fn failing_servers_with_most_calls_do_not_mask_each_other() {
    let outliers = [counts(0.0, 4_000.0); 10];
    assert_eq!(failing(&service(counts(70.0, 1.0), &outliers)), 10);
}

#[parameterized(
    all_fail_all = { counts(0.0, 70.0) },
    all_fail_half = { counts(35.0, 35.0) },
    all_fail_some = { counts(63.0, 7.0) },
)]
fn service_wide_failures_mark_no_server(common: OutcomeCounts) {
    assert_eq!(failing(&service(common, &[])), 0);
    assert_eq!(failing(&[common]), 0);
}

#[test]
fn no_server_is_failing_if_most_are() {
    let outliers = [counts(0.0, 70.0); 23];
    assert_eq!(failing(&service(counts(70.0, 0.0), &outliers)), 0);
    assert_eq!(failing(&service(counts(70.0, 0.0), &outliers[..20])), 20);
}

#[test]
fn counts_halve_each_second() {
    let mut decaying = DecayingCounts::default();
    for _ in 0..8 {
        decaying.record(ServerOutcome::Failed, NOW);
    }
    decaying.record(ServerOutcome::Answered, NOW + Duration::from_secs(1));
    let remaining = decaying.at(NOW + Duration::from_secs(2));
    assert!((remaining.failed - 2.0).abs() < 1e-9 && (remaining.answered - 0.5).abs() < 1e-9);
}

const TURN: ProbeTurn = ProbeTurn {
    seed: 5,
    gateways: 1,
    calls: 0,
};

/// A gateway's view of three servers, of which the second one failed.
struct AvoidedServer {
    avoidances: [Avoidance; 3],
    counts: DecayingCounts,
    now: Duration,
}

impl AvoidedServer {
    fn failed() -> Self {
        let mut avoided = Self {
            avoidances: [Avoidance::default(); 3],
            counts: DecayingCounts::default(),
            now: NOW,
        };
        for _ in 0..5 {
            avoided.counts.record(ServerOutcome::Failed, NOW);
        }
        assert_eq!(avoided.advance(), Some(AvoidanceChange::Started));
        avoided
    }

    fn advance(&mut self) -> Option<AvoidanceChange> {
        let counts = self.counts.at(self.now);
        let healthy = OutcomeCounts {
            answered: 70.0,
            failed: 0.0,
        };
        let [first, second, third] = &mut self.avoidances;
        let mut service = [(first, healthy), (second, counts), (third, healthy)];
        let changes = advance_service(&mut service, self.now);
        assert_eq!((changes[0], changes[2]), (None, None));
        changes[1]
    }

    fn availability(&self) -> ServerAvailability {
        self.avoidances[1].availability(TURN, self.now)
    }

    /// Waits for the next probe and answers it. Returns the waiting time and the resulting
    /// transition.
    fn probe(&mut self, outcome: ServerOutcome) -> (Duration, Option<AvoidanceChange>) {
        let start = self.now;
        while self.availability() != ServerAvailability::Probed {
            self.now += Duration::from_millis(10);
            assert_eq!(self.advance(), None);
        }
        self.avoidances[1].record_sent(self.now);
        assert_eq!(
            self.availability(),
            ServerAvailability::Avoided,
            "one probe at a time"
        );
        self.counts.record(outcome, self.now);
        (self.now - start, self.advance())
    }
}

#[test]
fn backoff_grows_up_to_maximum() {
    let mut avoided = AvoidedServer::failed();
    for expected in [500, 1_000, 1_000] {
        let (waited, change) = avoided.probe(ServerOutcome::Failed);
        let min_wait = Duration::from_millis(expected);
        assert!(waited >= min_wait && waited < min_wait + Duration::from_millis(150));
        assert_eq!(change, Some(AvoidanceChange::Extended));
    }
}

#[test]
fn healthy_server_is_restored_after_four_probes() {
    let mut avoided = AvoidedServer::failed();
    for expected in [None, None, None, Some(AvoidanceChange::Ended)] {
        assert_eq!(avoided.probe(ServerOutcome::Answered).1, expected);
    }
    assert_eq!(avoided.availability(), ServerAvailability::Trusted);
    assert_eq!(
        avoided.advance(),
        None,
        "failures from before the probes must be ignored"
    );
}

/// With one call per second, the decayed successes never reach four.
#[test]
fn service_with_few_calls_restores_server_after_fewer_probes() {
    let mut avoided = AvoidedServer::failed();
    let mut change = None;
    for _ in 0..4 {
        avoided.now += Duration::from_secs(1);
        change = avoided.advance();
        if change.is_some() {
            break;
        }
        change = avoided.probe(ServerOutcome::Answered).1;
        if change.is_some() {
            break;
        }
    }
    assert_eq!(change, Some(AvoidanceChange::Ended));
}

#[test]
fn no_probe_while_another_gateway_has_a_call_in_flight() {
    let mut avoided = AvoidedServer::failed();
    avoided.probe(ServerOutcome::Answered);
    avoided.now += Duration::from_secs(1);
    let busy = ProbeTurn { calls: 1, ..TURN };
    let availability = avoided.avoidances[1].availability(busy, avoided.now);
    assert_eq!(availability, ServerAvailability::Avoided);
}

#[test]
fn all_servers_are_restored_once_most_fail() {
    let mut avoidances = [Avoidance::default(); 3];
    let fail = |avoidances: &mut [Avoidance; 3], failed: [f64; 3], now| {
        let mut service: Vec<(&mut Avoidance, OutcomeCounts)> = avoidances
            .iter_mut()
            .zip(failed.map(|failed| counts(0.0, failed)))
            .collect();
        advance_service(&mut service, now)
    };
    let first = fail(&mut avoidances, [9.0, 0.0, 0.0], NOW);
    assert_eq!(first[0], Some(AvoidanceChange::Started));
    let second = fail(&mut avoidances, [9.0, 9.0, 0.0], NOW);
    assert_eq!(second, [Some(AvoidanceChange::Ended), None, None]);
    assert!(avoidances.iter().all(|avoidance| !avoidance.is_active()));
}

/// Long streams from before the failure may outlast the backoff.
#[test]
fn calls_from_before_backoff_do_not_block_probes() {
    let mut avoided = AvoidedServer::failed();
    let with_calls = |calls| ProbeTurn { calls, ..TURN };
    avoided.avoidances[1].set_in_flight(2);
    avoided.now += Duration::from_millis(600);
    avoided.advance();
    let availability = |avoided: &AvoidedServer, calls| {
        avoided.avoidances[1].availability(with_calls(calls), avoided.now)
    };
    assert_eq!(availability(&avoided, 2), ServerAvailability::Probed);
    assert_eq!(availability(&avoided, 3), ServerAvailability::Avoided);
    avoided.avoidances[1].set_in_flight(1);
    assert_eq!(availability(&avoided, 2), ServerAvailability::Avoided);
}
