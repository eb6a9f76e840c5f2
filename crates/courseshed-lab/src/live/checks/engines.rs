//! Engines: memory released after the end, no new work for one that is leaving; and the index of what ran.

use std::collections::BTreeMap;

use courseshed_emulator::engine::RanRequest;
use courseshed_types::{ProgramId, RequestId, Timestamp};

use super::{Evidence, Judgement, Promise};
use crate::live::record::{CallRecord, ProgramEnd, ProgramRecord};

/// What all engines say they ran, by program and place.
#[derive(Debug, Default)]
pub(super) struct RanIndex {
    by_program: BTreeMap<ProgramId, BTreeMap<u64, Vec<RanRequest>>>,
}

impl RanIndex {
    pub(super) fn of(evidence: &Evidence) -> RanIndex {
        let mut index = RanIndex::default();
        let reports = evidence.engines.iter().filter_map(|one| one.ran.as_ref());
        for run in reports.flat_map(|report| &report.requests) {
            let Ok(request) = run.request.parse::<RequestId>() else {
                continue;
            };
            let program = index.by_program.entry(request.call.program).or_default();
            let place = program.entry(request.call.sequence.0).or_default();
            place.push(run.clone());
        }
        index
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_program.is_empty()
    }

    /// Runs of one place of a program.
    pub(super) fn of_place(
        &self,
        program: ProgramId,
        sequence: u64,
    ) -> impl Iterator<Item = &RanRequest> {
        let places = self.by_program.get(&program);
        let runs = places.and_then(|places| places.get(&sequence));
        runs.into_iter().flatten()
    }

    /// Runs of a call at all places it was made at.
    pub(super) fn of_call<'a>(
        &'a self,
        program: ProgramId,
        call: &CallRecord,
    ) -> impl Iterator<Item = &'a RanRequest> {
        let sequences = call.sequences().into_iter();
        sequences.flat_map(move |sequence| self.of_place(program, sequence))
    }

    /// Runs of a program.
    pub(super) fn of_program(&self, program: ProgramId) -> impl Iterator<Item = &RanRequest> {
        let places = self.by_program.get(&program).into_iter();
        places.flat_map(|places| places.values().flatten())
    }

    pub(super) fn tokens(run: &RanRequest) -> u64 {
        run.prompt_tokens + run.output_tokens
    }
}

pub(super) fn check(evidence: &Evidence, judgement: &mut Judgement) {
    check_memory(evidence, judgement);
    check_leaving(evidence, judgement);
}

fn check_memory(evidence: &Evidence, judgement: &mut Judgement) {
    if evidence.engines.is_empty() {
        return;
    }
    let mut last_seen: BTreeMap<ProgramId, Timestamp> = BTreeMap::new();
    for lease in &evidence.leases {
        let at = last_seen.entry(lease.program).or_default();
        *at = (*at).max(lease.last_seen);
    }
    for program in &evidence.programs {
        let (Some(id), Some(release)) = (program.id, release_time(evidence, program)) else {
            continue;
        };
        let held = last_seen.get(&id).copied().unwrap_or_default();
        judgement.expect(Promise::EngineMemory, held <= release, id, || {
            let late = held.since(release);
            format!("engines held its memory {late:?} after it must have been released")
        });
    }
}

/// When no engine may hold a program's memory any more, as far as it is known.
fn release_time(evidence: &Evidence, program: &ProgramRecord) -> Option<Timestamp> {
    let limits = &evidence.limits;
    let grace = match program.end {
        ProgramEnd::Abandoned => limits.abandoned_grace? + limits.memory_grace,
        _ => limits.memory_grace,
    };
    Some(program.ended_at? + grace)
}

fn check_leaving(evidence: &Evidence, judgement: &mut Judgement) {
    for engine in &evidence.engines {
        let Some(ran) = &engine.ran else {
            continue;
        };
        for span in &engine.leaving {
            let from = span.from + evidence.limits.leaving_grace;
            let late = ran.late_arrivals.iter();
            let late = late.filter(|arrival| arrival.at > from && arrival.at <= span.until);
            let requests: Vec<&str> = late.map(|arrival| arrival.request.as_str()).collect();
            let holds = requests.is_empty();
            judgement.expect(Promise::LeavingEngine, holds, &engine.url, || {
                format!("it was leaving and still got {requests:?}")
            });
        }
    }
}
