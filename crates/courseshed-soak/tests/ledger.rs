//! Each promise is judged: what breaks it is told, and what doesn't is not.

use std::time::Duration;

use courseshed_soak::fleet::Absence;
use courseshed_soak::ledger::{
    CallKind, CallSeen, Disturbed, Ledger, Outcome, ProgramBudget, Promise, TurnSeen,
};
use tokio::time::Instant;
use yare::parameterized;

const GATEWAY: usize = 7;

fn call(kind: CallKind, outcome: Outcome) -> CallSeen {
    let sent = Instant::now();
    CallSeen {
        kind,
        gateway: GATEWAY,
        sent,
        over: sent + Duration::from_millis(100),
        outcome,
        turn: None,
    }
}

fn promises(ledger: &Ledger) -> Vec<Promise> {
    let violations = ledger.judge().violations.into_iter();
    violations.map(|violation| violation.promise).collect()
}

#[parameterized(
    once = { CallKind::Once, 1, Outcome::Answered { status: 200 }, None },
    twice = { CallKind::Once, 2, Outcome::Answered { status: 502 }, Some(Promise::AtMostOnce) },
    again = { CallKind::Repeatable, 2, Outcome::Answered { status: 200 }, None },
    refused = { CallKind::Once, 0, Outcome::Answered { status: 503 }, None },
    refused_and_ran = { CallKind::Repeatable, 1, Outcome::Answered { status: 503 }, Some(Promise::NotRun) },
    spent_and_ran = { CallKind::Turn, 1, Outcome::Answered { status: 402 }, Some(Promise::NotRun) },
    whole_and_reported_as_broken = { CallKind::Once, 1, Outcome::Answered { status: 502 }, Some(Promise::WholeAccepted) },
    not_run_and_reported_as_broken = { CallKind::Once, 0, Outcome::Answered { status: 502 }, None },
    never_passed_on = { CallKind::Once, 0, Outcome::NoAnswer, None },
    cut_off = { CallKind::Once, 1, Outcome::NoAnswer, Some(Promise::NotCutOff) },
    cut_off_midway = { CallKind::Turn, 1, Outcome::BrokenOff, Some(Promise::NotCutOff) },
    given_up = { CallKind::Once, 1, Outcome::GaveUp, None },
)]
fn a_call_is_judged_by_its_end_and_its_runs(
    kind: CallKind,
    runs: u64,
    outcome: Outcome,
    broken: Option<Promise>,
) {
    let mut ledger = Ledger::default();
    for _ in 0..runs {
        ledger.note_run("c");
    }
    ledger.note_call("c".to_owned(), call(kind, outcome));
    assert_eq!(promises(&ledger), Vec::from_iter(broken));
}

#[parameterized(
    its_gateway = { CallKind::Once, Disturbed::Gateway(GATEWAY), 0, true },
    another_gateway = { CallKind::Once, Disturbed::Gateway(3), 0, false },
    afterwards = { CallKind::Once, Disturbed::Gateway(GATEWAY), 200, false },
    stores_and_a_turn = { CallKind::Turn, Disturbed::Stores, 0, true },
    stores_and_no_turn = { CallKind::Once, Disturbed::Stores, 0, false },
)]
fn a_cut_is_excused_by_its_cause_alone(
    kind: CallKind,
    what: Disturbed,
    from_ms: u64,
    is_excused: bool,
) {
    let mut ledger = Ledger::default();
    let call = call(kind, Outcome::NoAnswer);
    let from = call.sent + Duration::from_millis(from_ms);
    ledger.note_disturbed(what, from, from + Duration::from_secs(1));
    ledger.note_run("c");
    ledger.note_call("c".to_owned(), call);
    assert_eq!(promises(&ledger).is_empty(), is_excused);
}

#[test]
fn what_a_server_broke_off_is_no_cut() {
    let mut ledger = Ledger::default();
    ledger.note_run("c");
    ledger.note_dropped("c");
    ledger.note_call("c".to_owned(), call(CallKind::Turn, Outcome::BrokenOff));
    assert_eq!(promises(&ledger), []);
}

#[parameterized(
    within = { 8, None },
    beyond_by_one_turn = { 15, None },
    beyond = { 16, Some(Promise::Budget) },
)]
fn a_program_is_given_its_budget_and_one_turn(events: u64, broken: Option<Promise>) {
    let mut ledger = Ledger::default();
    let budget = ProgramBudget {
        tokens: 100,
        most_of_turn: 50,
    };
    ledger.note_budget("p", budget);
    let parts = [events / 2, events - events / 2];
    for (number, events) in parts.into_iter().enumerate() {
        let mut seen = call(CallKind::Turn, Outcome::Answered { status: 200 });
        seen.turn = Some(TurnSeen {
            program: "p".to_owned(),
            events,
        });
        ledger.note_call(format!("c{number}"), seen);
    }
    assert_eq!(promises(&ledger), Vec::from_iter(broken));
}

#[test]
fn ends_are_counted() {
    let mut ledger = Ledger::default();
    let outcomes = [
        Outcome::Answered { status: 200 },
        Outcome::Answered { status: 503 },
        Outcome::Answered { status: 502 },
        Outcome::NotConnected,
    ];
    for (number, outcome) in outcomes.into_iter().enumerate() {
        ledger.note_call(format!("c{number}"), call(CallKind::Once, outcome));
    }
    let tally = ledger.judge();
    let counted = (tally.calls, tally.answered, tally.refused, tally.failed);
    assert_eq!(counted, (4, 1, 1, 2));
}

const CONTROLLERS: [usize; 3] = [0, 1, 2];

/// Whether an arrival `late_ms` after an evacuation is judged as late, given absences of members.
#[parameterized(
    at_once = { 2_900, &[], false },
    later = { 3_100, &[], true },
    frozen_all_the_time = { 8_000, &[(GATEWAY, 0, 9_000)], false },
    soon_after_a_freeze = { 8_000, &[(GATEWAY, 0, 5_500)], false },
    long_after_a_freeze = { 8_000, &[(GATEWAY, 0, 4_500)], true },
    before_a_freeze = { 8_000, &[(GATEWAY, 3_500, 7_900)], true },
    freezes_in_between = { 8_000, &[(GATEWAY, 2_000, 2_500), (GATEWAY, 5_000, 5_500)], false },
    another_gateway = { 8_000, &[(3, 0, 9_000)], true },
    one_controller = { 3_100, &[(1, 0, 9_000)], true },
    two_controllers = { 8_000, &[(1, 0, 6_000), (2, 0, 9_000)], false },
    back_long_ago = { 8_000, &[(1, 0, 4_000), (2, 0, 9_000)], true },
    one_after_the_other = { 4_000, &[(0, 0, 1_500), (1, 1_400, 2_500), (2, 2_400, 4_000)], false },
)]
fn an_arrival_in_an_evacuated_zone_is_late_if_its_gateway_could_have_known(
    late_ms: u64,
    absences: &[(usize, u64, u64)],
    is_late: bool,
) {
    let mut ledger = Ledger::default();
    let evacuated = Instant::now();
    let after = |ms| evacuated + Duration::from_millis(ms);
    ledger.note_evacuated("a", evacuated);
    ledger.note_arrival("c", "b", after(late_ms));
    ledger.note_arrival("c", "a", after(late_ms));
    ledger.note_opened("a");
    ledger.note_arrival("c", "a", after(late_ms));
    ledger.note_run("c");
    ledger.note_call(
        "c".to_owned(),
        call(CallKind::Once, Outcome::Answered { status: 200 }),
    );
    let absences = absences.iter().map(|(member, from, to)| Absence {
        member: *member,
        from: after(*from),
        to: after(*to),
    });
    ledger.note_absences(absences.collect(), CONTROLLERS.to_vec());
    let expected = is_late.then_some(Promise::EvacuatedZone);
    assert_eq!(promises(&ledger), Vec::from_iter(expected));
}

#[parameterized(
    as_many_as_allowed = { &[0, 100, 999], None },
    one_too_many = { &[0, 100, 500, 999], Some(Promise::WarmUpLimit) },
    in_two_seconds = { &[0, 100, 999, 1_000], None },
    across_a_second = { &[0, 900, 1_100, 1_200, 1_300], Some(Promise::WarmUpLimit) },
)]
fn a_server_that_warms_up_gets_its_limit_in_any_second(arrivals: &[u64], broken: Option<Promise>) {
    let mut ledger = Ledger::default();
    ledger.set_warm_up_limit(3);
    let began = Instant::now();
    for ms in arrivals {
        ledger.note_cold_arrival("s", began + Duration::from_millis(*ms));
        ledger.note_cold_arrival(&format!("one at {ms}"), began);
    }
    assert_eq!(promises(&ledger), Vec::from_iter(broken));
}

#[test]
fn a_restricted_call_runs_in_its_region_alone() {
    let mut ledger = Ledger::default();
    ledger.note_restricted_run("c", "north", "north");
    assert_eq!(promises(&ledger), []);
    ledger.note_restricted_run("c", "north", "south");
    assert_eq!(promises(&ledger), [Promise::AllowedRegion]);
}

/// Guards against a check that counts servers which ended, or that misses one too many.
#[test]
fn attempt_may_run_on_as_many_servers_as_its_route_allows_beside_those_that_ended() {
    let mut ledger = Ledger::default();
    for server in ["a", "b", "c"] {
        ledger.note_runner("c", server, 2);
    }
    assert_eq!(promises(&ledger), [Promise::Attempts]);
    let mut ledger = Ledger::default();
    for server in ["a", "b", "c"] {
        ledger.note_runner("c", server, 2);
    }
    ledger.note_lethal_end("lethal", "b");
    assert_eq!(promises(&ledger), []);
}
