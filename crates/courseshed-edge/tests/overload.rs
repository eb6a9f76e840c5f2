//! Short overload with and without admission control: which programs finish within their target time.
//!
//! Gateways choose engines by production code; engines, clients and the exchange of load reports are modelled in
//! steps of 1 ms.

#[allow(dead_code)]
#[path = "../../courseshed-pool/tests/support/engine.rs"]
mod engine;
#[path = "support/overload.rs"]
mod overload;

use std::time::Duration;

use courseshed_edge::gateway::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, ServiceLoad,
};
use courseshed_quota::ProgramPhase;
use overload::{Disturbance, Load, Results, run};
use yare::parameterized;

/// Usual load: nearly all programs finish in time.
const USUAL: f64 = 0.4;

/// Value of a program that finishes within twice its target time, in the first deployment.
const LATE: f64 = 0.3;

/// Runs a load without and with admission control.
fn compare(seed: u64, load: &Load) -> (Results, Results) {
    let [without, with] = [false, true].map(|is_on| run(seed, load, is_on));
    println!("seed {seed}, {load:?}\n without {without}\n with    {with}");
    (without, with)
}

/// Checks that admission control raises the share of programs in aim by `in_aim` points, without lowering the value.
fn check_gain(seed: u64, load: &Load, in_aim: f64) {
    let (without, with) = compare(seed, load);
    assert!(with.total().in_aim() >= without.total().in_aim() + in_aim);
    assert!(with.total().value(LATE) >= without.total().value(LATE));
}

/// Guards against programs being refused when there is no shortage.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn usual_load_is_served_in_full(seed: u64) {
    let (without, with) = compare(seed, &Load::burst(USUAL, 1.0));
    assert!(with.total().in_aim() >= without.total().in_aim() - 0.5);
    assert!(with.total().in_aim() >= 95.0);
}

/// Guards against a burst making all programs late.
#[parameterized(
    twice_1 = { 1, 2.0, 5.0 }, twice_2 = { 2, 2.0, 5.0 }, twice_3 = { 3, 2.0, 5.0 },
    three_times_1 = { 1, 3.0, 15.0 }, three_times_2 = { 2, 3.0, 15.0 }, three_times_3 = { 3, 3.0, 15.0 },
)]
fn more_programs_finish_in_time_in_a_burst(seed: u64, factor: f64, in_aim: f64) {
    check_gain(seed, &Load::burst(USUAL, factor), in_aim);
}

/// Guards against decisions that depend on timely load reports or on all gateways running.
#[parameterized(
    frozen_1 = { 1, Disturbance::FrozenGateways }, frozen_2 = { 2, Disturbance::FrozenGateways },
    frozen_3 = { 3, Disturbance::FrozenGateways },
    late_1 = { 1, Disturbance::LateReports }, late_2 = { 2, Disturbance::LateReports },
    late_3 = { 3, Disturbance::LateReports },
    lost_1 = { 1, Disturbance::LostReports }, lost_2 = { 2, Disturbance::LostReports },
    lost_3 = { 3, Disturbance::LostReports },
)]
fn more_programs_finish_in_time_in_a_disturbed_burst(seed: u64, disturbance: Disturbance) {
    check_gain(seed, &Load::burst(USUAL, 3.0).with(disturbance), 10.0);
}

/// Guards against the burst of one route being paid for by the other one.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn other_route_gains_in_the_burst_of_one(seed: u64) {
    let (without, with) = compare(seed, &Load::burst_of_route(USUAL, 3.0, 1));
    assert!(with.routes[0].in_aim() > without.routes[0].in_aim());
    assert!(with.routes[1].in_aim() > without.routes[1].in_aim());
}

/// Half of the engines is a mild shortage at the usual load, in which admission control costs some value: most
/// programs would have been served, a little late. Bounds that cost.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn mild_shortage_costs_little(seed: u64) {
    let load = Load::burst(USUAL, 1.0).with(Disturbance::HalfOfEngines);
    let (without, with) = compare(seed, &load);
    assert!(with.total().value(LATE) >= without.total().value(LATE) - 10.0);
}

/// Guards against a loss of half of the engines at a higher load making all programs late.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn more_programs_finish_in_time_when_half_of_the_engines_are_lost(seed: u64) {
    let load = Load::burst(USUAL, 1.5).with(Disturbance::HalfOfEngines);
    check_gain(seed, &load, 10.0);
}

const SERVICE: &str = "engines";

fn load(calls: u32, age_ms: u64) -> ServiceLoad {
    ServiceLoad {
        calls,
        slots: 100,
        call_ms: 200.0,
        age: Duration::from_millis(age_ms),
    }
}

fn new_program(priority: u32) -> AdmissionRequest {
    AdmissionRequest {
        phase: ProgramPhase::New,
        priority,
        time_left: None,
        budgeted_turns: None,
    }
}

/// Admission control that has observed a number of calls every 100 ms for 1 s.
fn after_shortage(calls: u32) -> (AdmissionControl, Duration) {
    let mut admission = AdmissionControl::default();
    let times = (0..=10).map(|index| Duration::from_millis(100 * index));
    for now in times {
        admission.observe(SERVICE, &load(calls, 0), now);
    }
    (admission, Duration::from_secs(1))
}

/// Guards against refusals by a single report, by a shortage that did not last, and by old reports.
#[test]
fn only_a_lasting_current_shortage_causes_refusals() {
    let ms = Duration::from_millis;
    let program = new_program(0);
    let mut admission = AdmissionControl::default();
    let share =
        |admission: &AdmissionControl, now| admission.admitted_share(SERVICE, &program, now);
    assert_eq!(share(&admission, ms(0)), 1.0);
    admission.observe(SERVICE, &load(300, 0), ms(0));
    assert_eq!(share(&admission, ms(100)), 1.0, "a single report");
    admission.observe(SERVICE, &load(10, 0), ms(100));
    admission.observe(SERVICE, &load(300, 0), ms(200));
    admission.observe(SERVICE, &load(300, 0), ms(300));
    assert_eq!(share(&admission, ms(350)), 1.0, "it did not last");
    admission.observe(SERVICE, &load(300, 0), ms(450));
    assert!(share(&admission, ms(450)) < 0.1);
    assert!(
        share(&admission, ms(1_300)) > share(&admission, ms(450)),
        "older"
    );
    assert_eq!(share(&admission, ms(1_450)), 1.0, "too old");
    admission.observe(SERVICE, &load(300, 1_000), ms(1_500));
    assert_eq!(share(&admission, ms(1_800)), 1.0, "late reports");
    admission.observe(SERVICE, &load(300, 0), ms(2_000));
    admission.observe(SERVICE, &load(300, 0), ms(2_200));
    assert!(share(&admission, ms(2_200)) < 0.1);
    admission.observe(SERVICE, &load(300, 0), ms(8_000));
    assert_eq!(share(&admission, ms(8_000)), 1.0, "after a gap");
}

/// Guards against a single observation counting as lasting because no other one followed.
#[test]
fn shortage_seen_once_is_not_lasting() {
    let mut admission = AdmissionControl::default();
    admission.observe(SERVICE, &load(300, 0), Duration::ZERO);
    let share = admission.admitted_share(SERVICE, &new_program(0), Duration::from_millis(500));
    assert_eq!(share, 1.0);
}

#[test]
fn admitted_share_falls_with_the_pressure_and_never_reaches_zero() {
    let mut last = 1.0;
    for calls in 0..400 {
        let (admission, now) = after_shortage(calls);
        let share = admission.admitted_share(SERVICE, &new_program(0), now);
        assert!(
            share <= last && share > last - 0.05 && share > 0.0,
            "{calls}: {share}"
        );
        last = share;
    }
    assert!(last < 0.05);
}

#[test]
fn urgent_programs_and_those_with_time_come_first() {
    let (admission, now) = after_shortage(100);
    let share = |request: &AdmissionRequest| admission.admitted_share(SERVICE, request, now);
    assert!(share(&new_program(0)) > share(&new_program(1)));
    let with_time = |ms| AdmissionRequest {
        time_left: Some(Duration::from_millis(ms)),
        budgeted_turns: Some(5),
        ..new_program(0)
    };
    assert!(share(&with_time(1_500)) > share(&with_time(500)));
    assert_eq!(share(&with_time(1_500)), share(&new_program(0)));
}

#[test]
fn programs_in_progress_are_always_admitted() {
    let (admission, now) = after_shortage(1_000);
    let running = AdmissionRequest {
        phase: ProgramPhase::Running,
        ..new_program(9)
    };
    let decision = |request| admission.decide(SERVICE, request, now, 0.999);
    assert_eq!(decision(&running), AdmissionDecision::Admitted);
    assert!(matches!(
        decision(&new_program(0)),
        AdmissionDecision::Refused { .. }
    ));
}

/// Guards against refused programs returning all at once.
#[test]
fn retries_of_refused_programs_are_spread() {
    let (admission, now) = after_shortage(200);
    let mut delays = Vec::new();
    for index in 0..1_000 {
        let draw = f64::from(index) / 1_000.0;
        if let AdmissionDecision::Refused { retry_after } =
            admission.decide(SERVICE, &new_program(0), now, draw)
        {
            delays.push(retry_after);
        }
    }
    delays.dedup();
    assert!(delays.len() > 900, "{}", delays.len());
    let span = delays[delays.len() - 1] - delays[0];
    assert!(span >= Duration::from_millis(150), "{span:?}");
}
