//! "Not run" is true, and what is not repeatable runs at most once.

use courseshed_types::Verdict;

use super::{Evidence, Judgement, Promise, call_name, engines::RanIndex};
use crate::live::record::{CallRecord, ProgramRecord, TryPurpose, TryResult};

/// Codes that settle a call for good; other refusals speak of one copy of the request.
const SETTLING_CODES: [&str; 2] = ["deadline_exceeded", "engine_failed"];

pub(super) fn check(evidence: &Evidence, ran: &RanIndex, judgement: &mut Judgement) {
    if ran.is_empty() {
        return;
    }
    for program in &evidence.programs {
        for call in 0..program.calls.len() {
            check_not_run(program, call, ran, judgement);
            check_refused_probes(program, call, ran, judgement);
            check_at_most_once(program, call, ran, judgement);
        }
    }
}

fn check_not_run(program: &ProgramRecord, call: usize, ran: &RanIndex, judgement: &mut Judgement) {
    let Some(id) = program.id else {
        return;
    };
    let record = &program.calls[call];
    for sequence in record.sequences() {
        if !is_not_run(record, sequence) {
            continue;
        }
        let runs: u32 = ran.of_place(id, sequence).map(|run| run.runs).sum();
        judgement.expect(Promise::NotRun, runs == 0, call_name(program, call), || {
            format!("place {sequence} was refused as not run, but engines ran it {runs} times")
        });
    }
}

/// A call that was sent too early and refused as not run must not have run, where no other call took its place.
fn check_refused_probes(
    program: &ProgramRecord,
    call: usize,
    ran: &RanIndex,
    judgement: &mut Judgement,
) {
    let Some(id) = program.id else {
        return;
    };
    let is_refused = |result: &TryResult| matches!(result, TryResult::Refused(refusal) if refusal.verdict == Verdict::NotRun);
    let probes = program.calls[call].tries.iter();
    let probes = probes.filter(|one| one.purpose == TryPurpose::Probe && is_refused(&one.result));
    for probe in probes {
        let place = probe.sequence;
        let mut calls = program.calls.iter();
        if calls.any(|other| other.sequences().contains(&place)) {
            continue;
        }
        let runs: u32 = ran.of_place(id, place).map(|run| run.runs).sum();
        judgement.expect(Promise::NotRun, runs == 0, call_name(program, call), || {
            format!("place {place} was refused as not run, but engines ran it {runs} times")
        });
    }
}

/// Whether the caller was told for certain that the call at this place did not run.
fn is_not_run(record: &CallRecord, sequence: u64) -> bool {
    let of_place = |purpose| purpose != TryPurpose::Probe;
    let tries = record
        .tries
        .iter()
        .filter(|one| one.sequence == sequence && of_place(one.purpose));
    let mut all_refused = true;
    let mut settled = false;
    let mut answered = false;
    for one in tries {
        match &one.result {
            TryResult::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                settled |= SETTLING_CODES.contains(&refusal.code.as_str());
            }
            TryResult::NotSent => {}
            TryResult::Answered { .. } => {
                all_refused = false;
                answered = true;
            }
            _ => all_refused = false,
        }
    }
    // An answer after a settled "not run" is a violation too: the refusal was final.
    settled || (all_refused && !answered)
}

fn check_at_most_once(
    program: &ProgramRecord,
    call: usize,
    ran: &RanIndex,
    judgement: &mut Judgement,
) {
    let record = &program.calls[call];
    let (Some(id), false) = (program.id, record.repeatable) else {
        return;
    };
    let runs: u32 = ran.of_call(id, record).map(|run| run.runs).sum();
    judgement.expect(
        Promise::AtMostOnce,
        runs <= 1,
        call_name(program, call),
        || format!("it is not repeatable, but engines ran it {runs} times"),
    );
}
