//! Whole answers and kept histories: an emulated model's answer follows from the whole prompt it saw.

use courseshed_emulator::answer::expected_answer;
use courseshed_types::ChatMessage;

use super::{Evidence, Judgement, Promise, call_name};
use crate::live::record::{ProgramRecord, TryResult};

/// Bytes of an answer's marker, which holds the digest of the whole prompt.
const MARKER_BYTES: usize = 20;

pub(super) fn check(evidence: &Evidence, judgement: &mut Judgement) {
    for program in &evidence.programs {
        for call in 0..program.calls.len() {
            check_call(program, call, judgement);
        }
        check_history(program, judgement);
    }
}

fn check_call(program: &ProgramRecord, call: usize, judgement: &mut Judgement) {
    let record = &program.calls[call];
    let name = || call_name(program, call);
    judgement.expect(Promise::WholeAnswer, !record.left_open, name(), || {
        "the caller waited to the end of its patience and got no final word".to_owned()
    });
    let Some(answer) = &record.answer else {
        return;
    };
    let prompt = program.prompt_of(call);
    let expected = expected_answer(&prompt, record.output_tokens);
    match sees_prompt(answer, &expected) {
        true => {
            judgement.tested(Promise::History);
            judgement.expect(Promise::WholeAnswer, *answer == expected, name(), || {
                let (got, whole) = (answer.len(), expected.len());
                format!("the answer has {got} bytes and differs from the {whole} that are whole")
            });
        }
        false => judge_other_prompt(program, call, answer, judgement),
    }
    check_other_tries(program, call, &expected, judgement);
}

/// Whether an answer's marker is that of the expected prompt.
fn sees_prompt(answer: &str, expected: &str) -> bool {
    let marker = expected.len().min(MARKER_BYTES);
    answer.as_bytes().get(..marker) == expected.as_bytes().get(..marker)
}

/// The engine saw another prompt: one without the calls just before is a fault of order, any other of history.
fn judge_other_prompt(
    program: &ProgramRecord,
    call: usize,
    answer: &str,
    judgement: &mut Judgement,
) {
    let record = &program.calls[call];
    let is_shortened = |known: usize| {
        let mut prompt: Vec<ChatMessage> = program.transcript(known);
        prompt.extend(record.messages.iter().cloned());
        sees_prompt(answer, &expected_answer(&prompt, record.output_tokens))
    };
    let ran_early = (0..call).any(is_shortened);
    let (promise, what) = match ran_early {
        true => (Promise::Order, "it ran without the calls before it"),
        false => (
            Promise::History,
            "the engine saw another prompt than the program's history",
        ),
    };
    judgement.expect(promise, false, call_name(program, call), || what.to_owned());
}

/// Further copies of the answer must be the same; pieces of it must be pieces of it.
fn check_other_tries(
    program: &ProgramRecord,
    call: usize,
    expected: &str,
    judgement: &mut Judgement,
) {
    for one in &program.calls[call].tries {
        let (holds, text) = match &one.result {
            TryResult::Answered { from, text } => (expected.get(*from..) == Some(text), text),
            TryResult::Cut { text } | TryResult::Left { text } => (expected.contains(text), text),
            _ => continue,
        };
        if one.purpose == crate::live::record::TryPurpose::Probe {
            continue;
        }
        judgement.expect(
            Promise::WholeAnswer,
            holds,
            call_name(program, call),
            || format!("a copy of the answer differs: {} bytes", text.len()),
        );
    }
}

fn check_history(program: &ProgramRecord, judgement: &mut Judgement) {
    let (Some(history), Some(id)) = (&program.history, program.id) else {
        return;
    };
    let expected = program.transcript(program.calls.len());
    judgement.expect(Promise::History, *history == expected, id, || {
        let (kept, issued) = (history.len(), expected.len());
        format!("the history read has {kept} messages and differs from the {issued} exchanged")
    });
}
