//! A call's life at one leader: order, idempotency, outcomes, history.

mod support;

use courseshed_programs::ShardOutput;
use courseshed_types::{
    CallOutcome, ErrorCode, Verdict,
    dispatch::{DispatchEventBody, DispatchRequestBody},
    program::{EndReason, ProgramPhase},
    shard::{AttemptResult, ShardReply, ShardRequestBody},
};
use support::*;

#[test]
fn a_call_goes_from_submission_to_its_recorded_outcome() {
    let mut shard = Harness::new();
    let program = shard.create();
    let token = shard.submit(program, 1, "hello");
    assert_eq!(shard.reply(token), None, "waits for an engine");
    shard.assign(call_id(program, 1), 1);
    let order = shard.start(token);
    assert_eq!(order.call.messages, [user("hello")]);
    assert_eq!(shard.view(program).phase, ProgramPhase::Running);
    let answer = answer_to(&order, "hi");
    let token = shard.report(order.call.request, AttemptResult::Answered(answer.clone()));
    let Some(ShardReply::Outcome(settled)) = shard.reply(token) else {
        panic!("no outcome");
    };
    assert_eq!(settled.outcome, CallOutcome::Answered(answer));
    assert_eq!(shard.history(program), [user("hello"), assistant("hi")]);
    assert_eq!(shard.view(program).reserved.0, 0);
    assert_eq!(shard.view(program).spent.0, 8);
}

#[test]
fn the_next_prompt_carries_the_whole_history() {
    let mut shard = Harness::new();
    let program = shard.create();
    shard.answer(program, 1, "one");
    let token = shard.submit(program, 2, "two");
    shard.assign(call_id(program, 2), 1);
    let order = shard.start(token);
    assert_eq!(
        order.call.messages,
        [user("one"), assistant("ok"), user("two")]
    );
}

#[test]
fn a_call_before_its_turn_is_refused_and_not_consumed() {
    let mut shard = Harness::new();
    let program = shard.create();
    shard.submit(program, 1, "one");
    let early = shard.submit(program, 2, "two");
    assert_eq!(shard.error(early).code, ErrorCode::SequenceConflict);
    assert_eq!(shard.error(early).verdict, Verdict::NotRun);
    assert!(shard.error(early).retry_after.is_some());
    assert_eq!(shard.view(program).next_sequence.0, 2);
}

#[test]
fn the_same_call_again_attaches_and_then_gets_the_recorded_answer() {
    let mut shard = Harness::new();
    let program = shard.create();
    let first = shard.submit(program, 1, "one");
    shard.assign(call_id(program, 1), 1);
    let order = shard.start(first);
    let again = shard.submit(program, 1, "one");
    let Some(ShardReply::Attach(attach)) = shard.reply(again) else {
        panic!("not attached");
    };
    assert_eq!(attach.request, order.call.request);
    let answer = answer_to(&order, "yes");
    shard.report(order.call.request, AttemptResult::Answered(answer.clone()));
    let late = shard.submit(program, 1, "one");
    let Some(ShardReply::Outcome(settled)) = shard.reply(late) else {
        panic!("no outcome");
    };
    assert_eq!(settled.outcome, CallOutcome::Answered(answer));
}

#[test]
fn the_same_sequence_with_another_body_is_a_conflict() {
    let mut shard = Harness::new();
    let program = shard.create();
    shard.answer(program, 1, "one");
    let other = shard.submit(program, 1, "two");
    assert_eq!(shard.error(other).code, ErrorCode::BodyConflict);
}

#[test]
fn a_key_names_the_call_when_no_sequence_is_given() {
    let mut shard = Harness::new();
    let program = shard.create();
    let mut submit = call(program, 1, "one");
    submit.sequence = None;
    submit.idempotency_key = Some("k".to_owned());
    let first = shard.send(ShardRequestBody::SubmitCall(submit.clone()));
    shard.assign(call_id(program, 1), 1);
    let order = shard.start(first);
    let answer = answer_to(&order, "yes");
    shard.report(order.call.request, AttemptResult::Answered(answer));
    let again = shard.ask(ShardRequestBody::SubmitCall(submit.clone()));
    assert!(matches!(again, ShardReply::Outcome(_)));
    assert_eq!(shard.view(program).next_sequence.0, 2);
    submit.call.messages = vec![user("other")];
    let other = shard.send(ShardRequestBody::SubmitCall(submit));
    assert_eq!(shard.error(other).code, ErrorCode::BodyConflict);
}

#[test]
fn a_full_list_of_messages_is_checked_against_the_history() {
    let mut shard = Harness::new();
    let program = shard.create();
    shard.answer(program, 1, "one");
    let mut submit = call(program, 2, "two");
    submit.full_history = true;
    submit.call.messages = vec![user("one"), assistant("changed"), user("two")];
    let bad = shard.send(ShardRequestBody::SubmitCall(submit.clone()));
    assert_eq!(shard.error(bad).code, ErrorCode::BodyConflict);
    submit.call.messages = vec![user("one"), assistant("ok"), user("two")];
    let good = shard.send(ShardRequestBody::SubmitCall(submit.clone()));
    shard.assign(call_id(program, 2), 1);
    assert_eq!(shard.start(good).call.messages.len(), 3);
    let short = shard.submit(program, 2, "two");
    assert!(matches!(shard.reply(short), Some(ShardReply::Attach(_))));
}

#[test]
fn creating_with_the_same_key_gives_the_same_program() {
    let mut shard = Harness::new();
    let with_key = |new: &mut courseshed_types::program::NewProgram| {
        new.idempotency_key = Some("k".to_owned());
    };
    let first = shard.create_with(with_key);
    let again = shard.create_with(with_key);
    assert_eq!(first.id, again.id);
    let mut other = new_program();
    other.idempotency_key = Some("k".to_owned());
    other.worth = Some(3.0);
    let token = shard.send(ShardRequestBody::CreateProgram(other));
    assert_eq!(shard.error(token).code, ErrorCode::BodyConflict);
}

#[test]
fn a_dispatcher_that_asks_learns_which_programs_have_ended() {
    let mut shard = Harness::new();
    let live = shard.create();
    let ended = shard.create();
    shard.answer(live, 1, "one");
    shard.answer(ended, 1, "one");
    shard.ask(ShardRequestBody::EndProgram {
        program: ended,
        reason: EndReason::Caller,
    });
    shard.outputs.clear();
    shard.dispatcher(DispatchEventBody::CheckPrograms(vec![live, ended]));
    let said: Vec<_> = shard
        .outputs
        .iter()
        .filter_map(said_to_dispatcher)
        .collect();
    assert_eq!(said, [&DispatchRequestBody::ProgramEnded(ended)]);
}

fn said_to_dispatcher(output: &ShardOutput) -> Option<&DispatchRequestBody> {
    match output {
        ShardOutput::Dispatch(request) => Some(&request.body),
        _ => None,
    }
}
