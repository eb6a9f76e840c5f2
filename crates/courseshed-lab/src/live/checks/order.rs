//! Order: engines begin a call only after the one before it, and a call sent too early is refused.

use courseshed_types::Verdict;

use super::{Evidence, Judgement, Promise, call_name, engines::RanIndex};
use crate::live::record::{ProgramRecord, TryPurpose, TryRecord, TryResult};

pub(super) fn check(evidence: &Evidence, ran: &RanIndex, judgement: &mut Judgement) {
    for program in &evidence.programs {
        for call in 0..program.calls.len() {
            for probe in probes_of(program, call) {
                check_probe(program, call, probe, judgement);
            }
        }
        check_runs(program, ran, judgement);
    }
}

fn probes_of(program: &ProgramRecord, call: usize) -> impl Iterator<Item = &TryRecord> {
    let tries = program.calls[call].tries.iter();
    tries.filter(|one| one.purpose == TryPurpose::Probe)
}

fn check_probe(program: &ProgramRecord, call: usize, probe: &TryRecord, judgement: &mut Judgement) {
    let holds = match &probe.result {
        TryResult::Answered { .. } => false,
        TryResult::Refused(refusal) => refusal.verdict == Verdict::NotRun || refusal.status >= 500,
        _ => return,
    };
    judgement.expect(Promise::Order, holds, call_name(program, call), || {
        format!(
            "call {} was sent too early and not refused as not run",
            probe.sequence
        )
    });
}

/// A call begins only after every run of the answered calls before it had begun, and the last had ended.
fn check_runs(program: &ProgramRecord, ran: &RanIndex, judgement: &mut Judgement) {
    let Some(id) = program.id else {
        return;
    };
    for call in 1..program.calls.len() {
        let before = &program.calls[call - 1];
        let first_start = ran
            .of_call(id, &program.calls[call])
            .map(|run| run.started_at);
        let Some(first_start) = first_start.min() else {
            continue;
        };
        let finished = ran.of_call(id, before).filter_map(|run| run.finished_at);
        let Some(first_finish) = finished.min() else {
            continue;
        };
        let holds = first_start >= first_finish;
        judgement.expect(Promise::Order, holds, call_name(program, call), || {
            let early = first_finish.since(first_start);
            format!("an engine began it {early:?} before the call before it was done")
        });
    }
}
