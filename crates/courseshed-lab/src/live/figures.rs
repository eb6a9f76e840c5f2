//! Figures of a run, counted from what callers and engines showed.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{BranchPath, Timestamp};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    checks::Evidence,
    record::{ProgramEnd, ProgramRecord, TryPurpose, TryRecord, TryResult},
};

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Latencies of one kind, milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyFigures {
    /// How many.
    pub count: u64,
    /// Half are below.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
    /// The longest.
    pub max: u64,
    /// Programs of the kind that were done within their aim.
    pub within_aim: u64,
}

/// Programs, sub-agents apart.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ProgramFigures {
    /// Programs started.
    pub started: u64,
    /// Programs whose calls were all answered and whose end was acknowledged.
    pub completed: u64,
    /// Programs whose callers vanished on purpose, all calls answered.
    pub abandoned: u64,
    /// Programs that could not go on.
    pub failed: u64,
    /// Sub-agents run.
    pub sub_agents: u64,
    /// Why programs failed, and how many.
    pub failures: BTreeMap<String, u64>,
}

/// Worth of programs done within their aim.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct WorthFigures {
    /// Worth of all programs.
    pub offered: f64,
    /// Worth of those done within their aim.
    pub within_aim: f64,
    /// The part within aim, 0 to 1.
    pub part: f64,
}

/// Calls and requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CallFigures {
    /// Calls made.
    pub made: u64,
    /// Calls whose answer was whole.
    pub answered: u64,
    /// Requests sent for them.
    pub requests: u64,
    /// Requests that came back to a stream.
    pub resumed: u64,
    /// Responses that broke off or never came.
    pub broken: u64,
    /// Streams that callers left on purpose.
    pub left: u64,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// From a call's first request to the first word of its answer, milliseconds.
    pub first_word_ms: LatencyFigures,
}

/// What the engines did for one branch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct BranchFigures {
    /// Prompt and answer tokens.
    pub service_tokens: u64,
    /// Prefix memory filled and dropped before any reuse.
    pub wasted_cache_tokens: u64,
}

/// Figures of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// How long the run took, seconds.
    pub seconds: f64,
    /// Programs.
    pub programs: ProgramFigures,
    /// Latency of whole programs by kind, milliseconds.
    pub latency_ms: BTreeMap<String, LatencyFigures>,
    /// Worth.
    pub worth: WorthFigures,
    /// Service and waste by branch.
    pub branches: BTreeMap<BranchPath, BranchFigures>,
    /// Jain's index over tenants of the part of programs done within their aim; 1 is alike for all.
    pub fairness: f64,
    /// Calls.
    pub calls: CallFigures,
    /// The longest time in which requests for calls were sent and none was accepted, milliseconds.
    pub longest_gap_ms: u64,
}

impl Figures {
    /// Counts a run.
    pub fn of(evidence: &Evidence) -> Figures {
        let roots: Vec<&ProgramRecord> = evidence
            .programs
            .iter()
            .filter(|program| program.parent.is_none())
            .collect();
        Figures {
            seconds: evidence.ended_at.since(evidence.started_at).as_secs_f64(),
            programs: count_programs(evidence, &roots),
            latency_ms: latencies(&roots),
            worth: worth_of(&roots),
            branches: count_branches(evidence),
            fairness: fairness_of(&roots),
            calls: count_calls(evidence),
            longest_gap_ms: longest_gap(evidence).as_millis() as u64,
        }
    }

    /// Wasted prefix memory of all branches, tokens.
    pub fn wasted_cache_tokens(&self) -> u64 {
        let branches = self.branches.values();
        branches.map(|branch| branch.wasted_cache_tokens).sum()
    }
}

fn count_programs(evidence: &Evidence, roots: &[&ProgramRecord]) -> ProgramFigures {
    let mut figures = ProgramFigures {
        started: roots.len() as u64,
        sub_agents: (evidence.programs.len() - roots.len()) as u64,
        ..ProgramFigures::default()
    };
    for program in roots {
        match &program.end {
            ProgramEnd::Completed => figures.completed += 1,
            ProgramEnd::Abandoned => figures.abandoned += 1,
            ProgramEnd::Open => figures.failed += 1,
            ProgramEnd::Failed(reason) => {
                figures.failed += 1;
                *figures.failures.entry(reason.clone()).or_default() += 1;
            }
        }
    }
    figures
}

fn latencies(roots: &[&ProgramRecord]) -> BTreeMap<String, LatencyFigures> {
    let mut by_kind: BTreeMap<String, Vec<&ProgramRecord>> = BTreeMap::new();
    for program in roots {
        by_kind
            .entry(program.kind.clone())
            .or_default()
            .push(program);
    }
    let of_kind = |programs: Vec<&ProgramRecord>| {
        let is_done = |program: &&&ProgramRecord| !matches!(program.end, ProgramEnd::Failed(_));
        let done = programs.iter().filter(is_done);
        let latencies = done.filter_map(|program| program.latency());
        let within = programs.iter().filter(|program| program.is_within_aim());
        LatencyFigures {
            within_aim: within.count() as u64,
            ..summarize(latencies)
        }
    };
    by_kind
        .into_iter()
        .map(|(kind, programs)| (kind, of_kind(programs)))
        .collect()
}

fn summarize(latencies: impl Iterator<Item = Duration>) -> LatencyFigures {
    let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
        return LatencyFigures::default();
    };
    for latency in latencies {
        // The histogram grows with its values, so that recording can't fail.
        let _ = histogram.record(latency.as_millis() as u64);
    }
    LatencyFigures {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
        within_aim: 0,
    }
}

fn worth_of(roots: &[&ProgramRecord]) -> WorthFigures {
    let offered: f64 = roots.iter().map(|program| program.worth).sum();
    let within = roots.iter().filter(|program| program.is_within_aim());
    let within_aim: f64 = within.map(|program| program.worth).sum();
    WorthFigures {
        offered,
        within_aim,
        part: if offered > 0.0 {
            within_aim / offered
        } else {
            0.0
        },
    }
}

fn count_branches(evidence: &Evidence) -> BTreeMap<BranchPath, BranchFigures> {
    let mut branches: BTreeMap<BranchPath, BranchFigures> = BTreeMap::new();
    let reports = evidence.engines.iter().filter_map(|one| one.ran.as_ref());
    for (branch, tokens) in reports.flat_map(|report| &report.branches) {
        let figures = branches.entry(branch.clone()).or_default();
        figures.service_tokens += tokens.prompt_tokens + tokens.output_tokens;
        figures.wasted_cache_tokens += tokens.wasted_cache_tokens;
    }
    branches
}

/// Jain's index over the tenants, which are the branches directly below the root.
fn fairness_of(roots: &[&ProgramRecord]) -> f64 {
    let mut tenants: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for program in roots {
        let branch = program.branch.as_str();
        let tenant = branch.split('/').next().unwrap_or(branch);
        let (within, all) = tenants.entry(tenant).or_default();
        *within += u32::from(program.is_within_aim());
        *all += 1;
    }
    let parts = tenants.values();
    jain_index(parts.map(|(within, all)| f64::from(*within) / f64::from(*all)))
}

/// Jain's index of fairness (Jain, Chiu and Hawe, 1984): 1 when all values are alike, 1/n when one has all.
pub fn jain_index(values: impl Iterator<Item = f64>) -> f64 {
    let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for value in values {
        count += 1.0;
        sum += value;
        squares += value * value;
    }
    if squares > 0.0 {
        sum * sum / (count * squares)
    } else {
        1.0
    }
}

fn count_calls(evidence: &Evidence) -> CallFigures {
    let mut figures = CallFigures::default();
    let calls = evidence.programs.iter().flat_map(|program| &program.calls);
    let mut first_words = Vec::new();
    for call in calls {
        figures.made += 1;
        figures.answered += u64::from(call.answer.is_some());
        let made = call
            .tries
            .iter()
            .filter(|one| one.purpose != TryPurpose::Probe);
        let sent_at = made.clone().map(|one| one.sent_at).min();
        let word_at = made.clone().filter_map(accepted_at).min();
        if let (Some(sent_at), Some(word_at)) = (sent_at, word_at) {
            first_words.push(word_at.since(sent_at));
        }
        made.for_each(|one| figures.count(one));
    }
    figures.first_word_ms = summarize(first_words.into_iter());
    figures
}

impl CallFigures {
    fn count(&mut self, one: &TryRecord) {
        self.requests += 1;
        self.resumed += u64::from(one.purpose == TryPurpose::Resume);
        match &one.result {
            TryResult::Answered { .. } => {}
            TryResult::Refused(refusal) => {
                *self.refusals.entry(refusal.code.clone()).or_default() += 1;
            }
            TryResult::Cut { .. } | TryResult::NoWord | TryResult::NotSent => self.broken += 1,
            TryResult::Left { .. } => self.left += 1,
        }
    }
}

/// When a request was accepted: the first word of anything but a refusal.
fn accepted_at(one: &TryRecord) -> Option<Timestamp> {
    match one.result {
        TryResult::Refused(_) | TryResult::NoWord | TryResult::NotSent => None,
        _ => one.first_word_at,
    }
}

/// The longest time between two acceptances in which some request was refused or broke off.
fn longest_gap(evidence: &Evidence) -> Duration {
    let calls = evidence.programs.iter().flat_map(|program| &program.calls);
    let tries: Vec<&TryRecord> = calls.flat_map(|call| &call.tries).collect();
    let mut accepted: Vec<Timestamp> = tries.iter().filter_map(|one| accepted_at(one)).collect();
    accepted.sort_unstable();
    let failed = tries.iter().filter(|one| accepted_at(one).is_none());
    let mut failed: Vec<Timestamp> = failed.map(|one| one.ended_at).collect();
    failed.sort_unstable();
    let gaps = accepted.windows(2).filter(|pair| {
        let first = failed.partition_point(|at| *at <= pair[0]);
        failed.get(first).is_some_and(|at| *at < pair[1])
    });
    gaps.map(|pair| pair[1].since(pair[0]))
        .max()
        .unwrap_or_default()
}
