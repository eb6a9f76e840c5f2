//! Aggregation and expiry of load reports.

use std::time::Duration;

use courseshed_registry::{LoadAggregator, LoadReport, OutcomeCounts, ServerLoad, report_interval};
use courseshed_types::{NodeId, ServerKey};

const NOW: Duration = Duration::from_secs(5);

fn report(calls: &[(&str, u32)]) -> LoadReport {
    let servers = calls.iter().map(|(id, in_flight)| ServerLoad {
        server: ServerKey::of(id),
        in_flight: *in_flight,
        answered_eighths: 0,
    });
    let report = LoadReport {
        gateways: 1,
        lifetime_ms: 0,
        servers: servers.collect(),
        failures: Vec::new(),
    };
    report.with_lifetime_for(Duration::from_millis(80))
}

fn calls_at(report: &LoadReport, id: &str) -> u32 {
    let load = report
        .servers
        .iter()
        .find(|load| load.server == ServerKey::of(id));
    load.map_or(0, |load| load.in_flight)
}

#[test]
fn gateway_receives_load_of_all_others() {
    let mut board = LoadAggregator::default();
    board.record_gateway(NOW, NodeId(1), report(&[("a", 3)]));
    board.record_gateway(NOW, NodeId(2), report(&[("a", 4), ("b", 1)]));
    let mut elsewhere = report(&[("b", 5)]);
    elsewhere.gateways = 2;
    board.record_controller(NOW, NodeId(9), elsewhere);
    let others = board.sum_excluding(NOW, NodeId(1));
    assert_eq!(others.gateways, 3);
    assert_eq!(calls_at(&others, "a"), 4);
    assert_eq!(calls_at(&others, "b"), 6);
}

#[test]
fn controller_reports_only_its_own_gateways() {
    let mut board = LoadAggregator::default();
    board.record_gateway(NOW, NodeId(1), report(&[("a", 3)]));
    board.record_controller(NOW, NodeId(9), report(&[("a", 5)]));
    assert_eq!(calls_at(&board.own_gateways(NOW), "a"), 3);
}

#[test]
fn newer_report_replaces_previous_one() {
    let mut board = LoadAggregator::default();
    board.record_gateway(NOW, NodeId(1), report(&[("a", 3), ("b", 2)]));
    board.record_gateway(NOW, NodeId(1), report(&[("a", 1)]));
    let all = board.own_gateways(NOW);
    assert_eq!((calls_at(&all, "a"), calls_at(&all, "b")), (1, 0));
}

#[test]
fn report_of_silent_gateway_expires() {
    let mut board = LoadAggregator::default();
    board.record_gateway(NOW, NodeId(1), report(&[("a", 3)]));
    let later = NOW + Duration::from_millis(1100);
    assert_eq!(board.own_gateways(later), LoadReport::default());
    board.remove_expired(later);
    assert_eq!(board.own_gateways(NOW), LoadReport::default());
}

/// Reports on 1,500 servers must stay within the bandwidth budget.
#[test]
fn report_interval_and_lifetime_grow_with_servers() {
    let min_interval = Duration::from_millis(80);
    assert_eq!(report_interval(2, 18, min_interval), min_interval);
    let interval = report_interval(2, 1_500, min_interval);
    let bytes = 2.0 * 100.0 + 1_500.0 * 10.0;
    assert!(bytes / interval.as_secs_f64() <= 8_001.0);
    let mut board = LoadAggregator::default();
    board.record_gateway(
        NOW,
        NodeId(1),
        report(&[("a", 3)]).with_lifetime_for(interval),
    );
    assert_eq!(calls_at(&board.own_gateways(NOW + 2 * interval), "a"), 3);
    assert_eq!(calls_at(&board.own_gateways(NOW + 4 * interval), "a"), 0);
}

fn outcomes(answered: f64, failed: f64) -> LoadReport {
    let counts = OutcomeCounts { answered, failed };
    let report = LoadReport::of(1, [(ServerKey::of("a"), 0, counts)]);
    report.with_lifetime_for(Duration::from_millis(80))
}

fn outcomes_at(report: &LoadReport, id: &str) -> OutcomeCounts {
    let by_server = report.by_server();
    by_server
        .get(&ServerKey::of(id))
        .copied()
        .unwrap_or_default()
        .1
}

/// A report replaces the previous one, so lost and duplicate reports are harmless.
#[test]
fn outcomes_are_summed_from_newest_reports_and_decay() {
    let mut board = LoadAggregator::default();
    board.record_gateway(NOW, NodeId(1), outcomes(8.0, 0.0));
    board.record_gateway(NOW, NodeId(1), outcomes(8.0, 0.0));
    board.record_gateway(NOW, NodeId(2), outcomes(2.0, 4.0));
    let sum = outcomes_at(&board.own_gateways(NOW), "a");
    assert_eq!((sum.answered, sum.failed), (10.0, 4.0));
    let others = outcomes_at(&board.sum_excluding(NOW, NodeId(2)), "a");
    assert_eq!((others.answered, others.failed), (8.0, 0.0));
    let later = outcomes_at(&board.own_gateways(NOW + Duration::from_millis(900)), "a");
    assert!((later.failed - 4.0 * 0.536).abs() < 0.02, "{later:?}");
}

#[test]
fn only_servers_with_failures_report_failures() {
    assert_eq!(outcomes(8.0, 0.0).entry_count(), 1);
    assert_eq!(outcomes(8.0, 1.0).entry_count(), 2);
    assert_eq!(outcomes(0.0, 1.0).entry_count(), 1);
    assert_eq!(outcomes(0.01, 0.001).entry_count(), 0);
}

/// The report of a controller for many gateways and servers, with failures of a few servers.
#[test]
fn report_size_stays_within_bandwidth_estimate() {
    let counts = |failed| OutcomeCounts {
        answered: 900.0,
        failed,
    };
    let calls = (0..1_500).map(|server| {
        let failed = if server < 10 { 900.0 } else { 0.0 };
        (ServerKey(u32::MAX - server), 100, counts(failed))
    });
    let report = LoadReport::of(200, calls).with_lifetime_for(Duration::from_millis(1_500));
    assert_eq!(report.entry_count(), 1_510);
    let encoded = rmp_serde::to_vec_named(&report).expect("encodes");
    let bytes = encoded.len();
    assert!(bytes <= 100 + 10 * report.entry_count(), "{bytes}");
    let decoded: LoadReport = rmp_serde::from_slice(&encoded).expect("decodes");
    assert_eq!(decoded, report);
}
