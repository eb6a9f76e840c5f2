//! What a run came to, for people and for scripts.

use std::{collections::BTreeMap, fmt};

use comfy_table::{CellAlignment, Table, presets};
use serde::Serialize;

use super::{
    checks::{Evidence, Judgement, Promise, Violation},
    figures::{Figures, LatencyFigures},
};

/// Violations that are told in full.
const TOLD_IN_FULL: usize = 20;

/// What a run came to.
#[derive(Debug, Clone, Serialize)]
pub struct LiveReport {
    /// The seed, which brings the same programs again.
    pub seed: u64,
    /// Figures.
    #[serde(flatten)]
    pub figures: Figures,
    /// Violations by promise.
    pub violations: BTreeMap<&'static str, u64>,
    /// How often each promise was put to the test; a promise that was not tested is not proved.
    pub judged: BTreeMap<&'static str, u64>,
    /// The first violations in full.
    pub details: Vec<Violation>,
}

impl LiveReport {
    /// Judges and counts a run.
    pub fn of(seed: u64, evidence: &Evidence) -> LiveReport {
        let judgement = Judgement::of(evidence);
        let by_promise = |count: &dyn Fn(Promise) -> u64| {
            let promises = Promise::ALL.into_iter();
            promises
                .map(|promise| (promise.as_str(), count(promise)))
                .collect::<BTreeMap<_, _>>()
        };
        let judged = |promise| judgement.judged.get(&promise).copied().unwrap_or_default();
        LiveReport {
            seed,
            figures: Figures::of(evidence),
            violations: by_promise(&|promise| judgement.count(promise)),
            judged: by_promise(&judged),
            details: judgement
                .violations
                .iter()
                .take(TOLD_IN_FULL)
                .cloned()
                .collect(),
        }
    }

    /// Whether no promise was broken.
    pub fn held(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

impl fmt::Display for LiveReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let figures = &self.figures;
        writeln!(formatter, "{}", programs_line(figures))?;
        writeln!(formatter, "{}", latency_table(figures))?;
        writeln!(formatter, "{}", branch_table(figures))?;
        writeln!(formatter, "{}", promise_table(self))?;
        writeln!(formatter, "{}", worth_line(figures))?;
        writeln!(formatter, "{}", calls_line(figures))?;
        for (reason, count) in &figures.programs.failures {
            writeln!(formatter, "failed programs: {count} × {reason}")?;
        }
        for violation in &self.details {
            let Violation {
                promise,
                subject,
                what,
            } = violation;
            writeln!(formatter, "broken: {promise}: {subject}: {what}")?;
        }
        let seed = self.seed;
        match self.held() {
            true => writeln!(formatter, "\nno promise was broken (seed {seed})"),
            false => writeln!(formatter, "\npromises were broken (seed {seed})"),
        }
    }
}

fn programs_line(figures: &Figures) -> String {
    let programs = &figures.programs;
    format!(
        "{} programs in {:.1} s: {} completed, {} abandoned by their callers, {} failed; {} sub-agents",
        programs.started,
        figures.seconds,
        programs.completed,
        programs.abandoned,
        programs.failed,
        programs.sub_agents
    )
}

fn worth_line(figures: &Figures) -> String {
    let worth = &figures.worth;
    format!(
        "done within aim, weighted by worth: {:.1}% ({:.0} of {:.0}); fairness between tenants: {:.3}",
        worth.part * 100.0,
        worth.within_aim,
        worth.offered,
        figures.fairness
    )
}

fn calls_line(figures: &Figures) -> String {
    let calls = &figures.calls;
    let first = &calls.first_word_ms;
    format!(
        "{} calls, {} answered, {} requests ({} resumed, {} left, {} broken, {} refused); \
         first word p50 {} ms, p95 {} ms; longest gap in accepting calls {} ms",
        calls.made,
        calls.answered,
        calls.requests,
        calls.resumed,
        calls.left,
        calls.broken,
        calls.refusals.values().sum::<u64>(),
        first.p50,
        first.p95,
        figures.longest_gap_ms
    )
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_FULL_CONDENSED);
    table.set_header(header.to_vec());
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn latency_table(figures: &Figures) -> Table {
    let mut table = new_table(&[
        "program latency, ms",
        "done",
        "p50",
        "p95",
        "p99",
        "max",
        "in aim",
    ]);
    for (kind, latency) in &figures.latency_ms {
        let LatencyFigures {
            count,
            p50,
            p95,
            p99,
            max,
            within_aim,
        } = *latency;
        let figures = [count, p50, p95, p99, max, within_aim].map(|figure| figure.to_string());
        let mut row = vec![kind.clone()];
        row.extend(figures);
        table.add_row(row);
    }
    table
}

fn branch_table(figures: &Figures) -> Table {
    let mut table = new_table(&["branch", "service tokens", "wasted cache tokens"]);
    for (branch, one) in &figures.branches {
        table.add_row(vec![
            branch.to_string(),
            one.service_tokens.to_string(),
            one.wasted_cache_tokens.to_string(),
        ]);
    }
    table
}

fn promise_table(report: &LiveReport) -> Table {
    let mut table = new_table(&["promise", "tested", "violations"]);
    for promise in Promise::ALL {
        let name = promise.as_str();
        let tested = report.judged.get(name).copied().unwrap_or_default();
        let violations = report.violations.get(name).copied().unwrap_or_default();
        let tested = match tested {
            0 => "not tested".to_owned(),
            times => times.to_string(),
        };
        table.add_row(vec![name.to_owned(), tested, violations.to_string()]);
    }
    table
}
