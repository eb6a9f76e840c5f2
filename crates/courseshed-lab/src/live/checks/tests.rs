//! The checks must report every kind of violation, and nothing on a run without one.

use std::{collections::BTreeMap, time::Duration};

use courseshed_emulator::{
    answer::expected_answer,
    engine::{BranchTokens, LateArrival, RanReport, RanRequest},
};
use courseshed_types::{BranchPath, ChatMessage, ChatRole, ProgramId, ShardId, Timestamp, Verdict};

use super::{BranchBudget, Evidence, Judgement, Promise};
use crate::live::{
    engines::{EngineEvidence, LeaseSighting, LeavingSpan},
    nodes::{NodeEvidence, NodeReadiness, ReadinessSpan, VersionSpan},
    record::{CallRecord, ProgramEnd, ProgramRecord, Refusal, TryPurpose, TryRecord, TryResult},
};

const OUTPUT_TOKENS: u32 = 30;

fn second(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn program_id(number: u64) -> ProgramId {
    ProgramId {
        shard: ShardId(1),
        number,
    }
}

fn branch(text: &str) -> BranchPath {
    text.parse().expect("a branch")
}

fn user(text: &str) -> Vec<ChatMessage> {
    vec![ChatMessage::text(ChatRole::User, text)]
}

/// A call at `sequence`, sent and ended in the seconds of its number.
fn call(sequence: u64, messages: Vec<ChatMessage>, answer: &str) -> CallRecord {
    CallRecord {
        messages,
        output_tokens: OUTPUT_TOKENS,
        repeatable: true,
        tries: vec![one_try(
            sequence,
            TryResult::Answered {
                from: 0,
                text: answer.to_owned(),
            },
        )],
        answer: Some(answer.to_owned()),
        left_open: false,
    }
}

fn one_try(sequence: u64, result: TryResult) -> TryRecord {
    TryRecord {
        sequence,
        gateway: 0,
        purpose: TryPurpose::Make,
        sent_at: second(sequence * 10),
        first_word_at: Some(second(sequence * 10 + 1)),
        ended_at: second(sequence * 10 + 5),
        result,
    }
}

fn refused(code: &str, verdict: Verdict) -> TryResult {
    TryResult::Refused(Refusal {
        status: 503,
        code: code.to_owned(),
        verdict,
        message: String::new(),
        retry_after: None,
    })
}

/// A program of two calls, answered as the emulated model would.
fn program(number: u64) -> ProgramRecord {
    let first = user(&format!("program {number}, first"));
    let first_answer = expected_answer(&first, OUTPUT_TOKENS);
    let second_message = user(&format!("program {number}, second"));
    let mut prompt = first.clone();
    prompt.push(ChatMessage::text(ChatRole::Assistant, first_answer.clone()));
    prompt.extend(second_message.clone());
    let second_answer = expected_answer(&prompt, OUTPUT_TOKENS);
    let mut history = prompt;
    history.push(ChatMessage::text(
        ChatRole::Assistant,
        second_answer.clone(),
    ));
    ProgramRecord {
        kind: "quote".to_owned(),
        branch: branch("guild/quotes"),
        aim: Some(Duration::from_secs(60)),
        worth: 1.0,
        parent: None,
        id: Some(program_id(number)),
        first_call_at: Some(second(10)),
        last_answer_at: Some(second(25)),
        calls: vec![
            call(1, first, &first_answer),
            call(2, second_message, &second_answer),
        ],
        history: Some(history),
        budget_tokens: Some(1_000),
        end: ProgramEnd::Completed,
        ended_at: Some(second(26)),
    }
}

fn run(number: u64, sequence: u64, attempt: u32) -> RanRequest {
    RanRequest {
        request: format!("{}.{sequence}.{attempt}", program_id(number)),
        branch: branch("guild/quotes"),
        runs: 1,
        finished: 1,
        prompt_tokens: 100,
        output_tokens: u64::from(OUTPUT_TOKENS),
        started_at: second(sequence * 10 + 1),
        finished_at: Some(second(sequence * 10 + 4)),
    }
}

/// A run of two programs without any fault, in which every promise was put to the test.
fn sound() -> Evidence {
    let mut programs = vec![program(1), program(2)];
    programs[0].calls[1].repeatable = false;
    let mut probe = one_try(3, refused("sequence_conflict", Verdict::NotRun));
    probe.purpose = TryPurpose::Probe;
    programs[0].calls[1].tries.insert(0, probe);
    programs[1].calls[0].tries.insert(0, {
        let mut not_run = one_try(0, refused("deadline_exceeded", Verdict::NotRun));
        not_run.gateway = 1;
        not_run
    });
    let requests = vec![run(1, 1, 1), run(1, 2, 1), run(2, 1, 1), run(2, 2, 1)];
    let tokens = BranchTokens {
        prompt_tokens: 400,
        output_tokens: 120,
        wasted_cache_tokens: 0,
    };
    let mut evidence = Evidence {
        ended_at: second(100),
        programs,
        engines: vec![EngineEvidence {
            url: "engine-1".to_owned(),
            ran: Some(RanReport {
                requests,
                branches: BTreeMap::from([(branch("guild/quotes"), tokens)]),
                late_arrivals: vec![LateArrival {
                    request: "p1-2.1.1".to_owned(),
                    at: second(41),
                }],
            }),
            leaving: vec![LeavingSpan {
                from: second(40),
                until: second(90),
            }],
        }],
        leases: vec![LeaseSighting {
            engine: 0,
            program: program_id(1),
            last_seen: second(27),
        }],
        nodes: vec![node("node-1"), node("node-2")],
        ..Evidence::default()
    };
    evidence.limits.branch_budgets = vec![BranchBudget {
        branch: branch("guild"),
        tokens: 1_000,
    }];
    evidence
}

/// A node that begins to stop while the second calls are in flight.
fn node(url: &str) -> NodeEvidence {
    let readiness = |readiness, from, until| ReadinessSpan {
        readiness,
        from: second(from),
        until: second(until),
    };
    let version = |version, from, until| VersionSpan {
        version,
        from: second(from),
        until: second(until),
    };
    NodeEvidence {
        url: url.to_owned(),
        readiness: vec![
            readiness(NodeReadiness::Ready, 0, 21),
            readiness(NodeReadiness::Draining, 22, 30),
            readiness(NodeReadiness::Silent, 31, 40),
        ],
        versions: vec![version(7, 0, 50), version(8, 51, 60), version(9, 61, 90)],
    }
}

fn ran(evidence: &mut Evidence) -> &mut RanReport {
    evidence.engines[0].ran.as_mut().expect("a report")
}

/// Judges a run and expects violations of this promise alone.
fn expect_only(promise: Promise, evidence: &Evidence) {
    let judgement = Judgement::of(evidence);
    assert!(judgement.count(promise) > 0, "{promise} was not reported");
    let others: Vec<_> = judgement
        .violations
        .iter()
        .filter(|violation| violation.promise != promise)
        .collect();
    assert!(others.is_empty(), "{others:?}");
}

#[test]
fn a_sound_run_tests_every_promise_and_breaks_none() {
    let judgement = Judgement::of(&sound());
    assert_eq!(judgement.violations, []);
    for promise in Promise::ALL {
        let times = judgement.judged.get(&promise).copied();
        assert!(times.unwrap_or_default() > 0, "{promise} was not tested");
    }
}

#[test]
fn a_call_that_ran_without_the_one_before_breaks_the_order() {
    let mut evidence = sound();
    let call = &mut evidence.programs[1].calls[1];
    let answer = expected_answer(&call.messages, OUTPUT_TOKENS);
    call.tries.clear();
    call.answer = Some(answer);
    evidence.programs[1].history = None;
    expect_only(Promise::Order, &evidence);
}

#[test]
fn a_call_begun_before_the_one_before_was_done_breaks_the_order() {
    let mut evidence = sound();
    ran(&mut evidence).requests[1].started_at = second(12);
    expect_only(Promise::Order, &evidence);
}

#[test]
fn a_call_sent_too_early_and_answered_breaks_the_order() {
    let mut evidence = sound();
    let text = "out of turn".to_owned();
    evidence.programs[0].calls[1].tries[0].result = TryResult::Answered { from: 0, text };
    expect_only(Promise::Order, &evidence);
}

#[test]
fn an_answer_to_another_programs_prompt_breaks_the_history() {
    let mut evidence = sound();
    let foreign = evidence.programs[0].calls[0].answer.clone();
    let call = &mut evidence.programs[1].calls[0];
    call.tries.clear();
    call.answer = foreign;
    evidence.programs[1].calls.truncate(1);
    evidence.programs[1].history = None;
    expect_only(Promise::History, &evidence);
}

#[test]
fn a_history_that_lost_a_message_breaks_the_history() {
    let mut evidence = sound();
    let history = evidence.programs[0].history.as_mut().expect("a history");
    history.remove(1);
    expect_only(Promise::History, &evidence);
}

#[test]
fn a_program_beyond_its_budget_breaks_the_budget() {
    let mut evidence = sound();
    evidence.programs[1].budget_tokens = Some(200);
    expect_only(Promise::Budget, &evidence);
}

#[test]
fn a_sub_agent_counts_to_its_root() {
    let mut evidence = sound();
    evidence.programs[0].budget_tokens = Some(300);
    evidence.programs[1].parent = Some(program_id(1));
    expect_only(Promise::Budget, &evidence);
}

#[test]
fn a_branch_beyond_its_budget_breaks_the_budget() {
    let mut evidence = sound();
    evidence.limits.branch_budgets[0].tokens = 519;
    expect_only(Promise::Budget, &evidence);
}

#[test]
fn a_lease_long_after_the_end_breaks_engine_memory() {
    let mut evidence = sound();
    evidence.leases[0].last_seen = second(60);
    expect_only(Promise::EngineMemory, &evidence);
}

#[test]
fn memory_of_an_abandoned_program_is_judged_by_the_allowed_pause() {
    let mut evidence = sound();
    evidence.programs[0].end = ProgramEnd::Abandoned;
    evidence.leases[0].last_seen = second(60);
    assert_eq!(
        Judgement::of(&evidence).count(Promise::EngineMemory),
        0,
        "the allowed pause is not known"
    );
    evidence.limits.abandoned_grace = Some(Duration::from_secs(10));
    expect_only(Promise::EngineMemory, &evidence);
}

#[test]
fn a_shortened_answer_is_not_whole() {
    let mut evidence = sound();
    let call = &mut evidence.programs[1].calls[1];
    let text = call.answer.take().expect("an answer");
    call.tries.clear();
    call.answer = Some(text[..text.len() - 4].to_owned());
    evidence.programs[1].history = None;
    expect_only(Promise::WholeAnswer, &evidence);
}

#[test]
fn a_second_copy_that_differs_is_not_whole() {
    let mut evidence = sound();
    let text = "something else".to_owned();
    let copy = one_try(2, TryResult::Answered { from: 0, text });
    evidence.programs[0].calls[1].tries.push(copy);
    expect_only(Promise::WholeAnswer, &evidence);
}

#[test]
fn a_caller_left_without_word_breaks_the_whole_answer() {
    let mut evidence = sound();
    evidence.programs[0].calls[1].left_open = true;
    expect_only(Promise::WholeAnswer, &evidence);
}

#[test]
fn a_settled_not_run_that_ran_is_untrue() {
    let mut evidence = sound();
    let mut stray = run(2, 0, 1);
    stray.prompt_tokens = 1;
    ran(&mut evidence).requests.push(stray);
    expect_only(Promise::NotRun, &evidence);
}

#[test]
fn a_call_refused_as_too_early_that_ran_is_untrue() {
    let mut evidence = sound();
    let mut stray = run(1, 3, 1);
    stray.prompt_tokens = 1;
    ran(&mut evidence).requests.push(stray);
    expect_only(Promise::NotRun, &evidence);
}

#[test]
fn a_refused_copy_says_nothing_of_a_later_one_that_ran() {
    let mut evidence = sound();
    let copy = one_try(1, refused("overloaded", Verdict::NotRun));
    evidence.programs[0].calls[0].tries.insert(0, copy);
    assert_eq!(Judgement::of(&evidence).violations, []);
}

#[test]
fn a_call_not_repeatable_that_ran_twice_breaks_at_most_once() {
    let mut evidence = sound();
    let mut again = run(1, 2, 2);
    again.started_at = second(24);
    ran(&mut evidence).requests.push(again);
    expect_only(Promise::AtMostOnce, &evidence);
}

#[test]
fn new_work_for_a_leaving_engine_is_reported() {
    let mut evidence = sound();
    ran(&mut evidence).late_arrivals[0].at = second(50);
    expect_only(Promise::LeavingEngine, &evidence);
}

#[test]
fn a_stream_cut_by_a_planned_stop_is_reported() {
    let mut evidence = sound();
    let text = String::new();
    evidence.programs[1].calls[1].tries[0].result = TryResult::Cut { text };
    expect_only(Promise::PlannedStop, &evidence);
}

#[test]
fn a_stream_cut_where_nothing_was_killed_is_reported() {
    let mut evidence = sound();
    evidence.nodes[0].readiness.clear();
    evidence.programs[1].calls[1].tries[0].result = TryResult::NoWord;
    assert_eq!(Judgement::of(&evidence).violations, []);
    evidence.limits.all_stops_planned = true;
    expect_only(Promise::PlannedStop, &evidence);
}

#[test]
fn a_node_that_goes_back_to_an_older_version_is_reported() {
    let mut evidence = sound();
    evidence.nodes[0].versions[2].version = 7;
    evidence.nodes[0].versions[2].until = second(62);
    expect_only(Promise::Settings, &evidence);
}

#[test]
fn an_old_version_in_force_for_too_long_is_reported() {
    let mut evidence = sound();
    evidence.nodes[0].versions = vec![VersionSpan {
        version: 7,
        from: second(0),
        until: second(90),
    }];
    expect_only(Promise::Settings, &evidence);
}
