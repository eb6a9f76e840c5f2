//! The checks: which promises were broken, judged from the outside alone.
//!
//! Each promise has a function in a module of its own from [`Evidence`] to violations. How often a promise was
//! put to the test is counted beside, since a promise that was never tested holds trivially.

mod answers;
mod budget;
mod engines;
mod order;
mod outcomes;
mod settings;
mod stops;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt, time::Duration};

use courseshed_types::{BranchPath, Timestamp};
use serde::{Serialize, Serializer};

use super::{
    engines::{EngineEvidence, LeaseSighting},
    nodes::NodeEvidence,
    record::ProgramRecord,
};

/// Everything that the outside saw of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// When the run began.
    pub started_at: Timestamp,
    /// When it was over.
    pub ended_at: Timestamp,
    /// Programs as their callers saw them, sub-agents included.
    pub programs: Vec<ProgramRecord>,
    /// What engines said they ran.
    pub engines: Vec<EngineEvidence>,
    /// When engines last listed leases.
    pub leases: Vec<LeaseSighting>,
    /// What nodes said about themselves.
    pub nodes: Vec<NodeEvidence>,
    /// What the checks allow.
    pub limits: CheckLimits,
}

/// What the checks allow.
#[derive(Debug, Clone)]
pub struct CheckLimits {
    /// How long after the end of a program engines may still hold its memory.
    pub memory_grace: Duration,
    /// How long after its caller vanished a program may live on; none if it is not known.
    pub abandoned_grace: Option<Duration>,
    /// How long a leaving engine may still get new work.
    pub leaving_grace: Duration,
    /// How long until a new version of the settings must be in force everywhere.
    pub settings_grace: Duration,
    /// Tokens that branches may spend over the run, where they are known.
    pub branch_budgets: Vec<BranchBudget>,
    /// Whether every response that breaks off counts as cut by a planned stop.
    pub all_stops_planned: bool,
}

/// What a branch with all below it may spend over the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchBudget {
    /// The branch.
    pub branch: BranchPath,
    /// Tokens.
    pub tokens: u64,
}

impl Default for CheckLimits {
    fn default() -> CheckLimits {
        CheckLimits {
            memory_grace: Duration::from_secs(15),
            abandoned_grace: None,
            leaving_grace: Duration::from_secs(5),
            settings_grace: Duration::from_secs(12),
            branch_budgets: Vec::new(),
            all_stops_planned: false,
        }
    }
}

/// What courseshed promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// The calls of one program run in the order the program issued them.
    Order,
    /// A program's history is never lost and never mixed with another's.
    History,
    /// A program, or a branch, never spends beyond its budget.
    Budget,
    /// No engine memory stays held by programs that have ended.
    EngineMemory,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// When a request is refused as "not run", it did not run.
    NotRun,
    /// A request marked as not repeatable runs at most once.
    AtMostOnce,
    /// An engine that is leaving receives no new work after a few seconds.
    LeavingEngine,
    /// A planned stop cuts off no request in flight.
    PlannedStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Settings,
}

impl Promise {
    /// All of them.
    pub const ALL: [Promise; 10] = [
        Promise::Order,
        Promise::History,
        Promise::Budget,
        Promise::EngineMemory,
        Promise::WholeAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::LeavingEngine,
        Promise::PlannedStop,
        Promise::Settings,
    ];

    /// The name used in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Promise::Order => "order",
            Promise::History => "history",
            Promise::Budget => "budget",
            Promise::EngineMemory => "engine_memory",
            Promise::WholeAnswer => "whole_answer",
            Promise::NotRun => "not_run",
            Promise::AtMostOnce => "at_most_once",
            Promise::LeavingEngine => "leaving_engine",
            Promise::PlannedStop => "planned_stop",
            Promise::Settings => "settings",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

impl Serialize for Promise {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// One promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The program, call, engine or node.
    pub subject: String,
    /// One sentence.
    pub what: String,
}

/// What the checks came to.
#[derive(Debug, Clone, Default)]
pub struct Judgement {
    /// Every violation found.
    pub violations: Vec<Violation>,
    /// How often each promise was put to the test.
    pub judged: BTreeMap<Promise, u64>,
}

impl Judgement {
    /// Judges every promise.
    pub fn of(evidence: &Evidence) -> Judgement {
        let mut judgement = Judgement::default();
        let ran = engines::RanIndex::of(evidence);
        answers::check(evidence, &mut judgement);
        order::check(evidence, &ran, &mut judgement);
        outcomes::check(evidence, &ran, &mut judgement);
        budget::check(evidence, &ran, &mut judgement);
        engines::check(evidence, &mut judgement);
        stops::check(evidence, &mut judgement);
        settings::check(evidence, &mut judgement);
        judgement
    }

    /// Violations of a promise.
    pub fn count(&self, promise: Promise) -> u64 {
        let of_promise = |violation: &&Violation| violation.promise == promise;
        self.violations.iter().filter(of_promise).count() as u64
    }

    fn tested(&mut self, promise: Promise) {
        *self.judged.entry(promise).or_default() += 1;
    }

    /// Counts a test of a promise, and a violation unless it held.
    fn expect(
        &mut self,
        promise: Promise,
        holds: bool,
        subject: impl fmt::Display,
        what: impl FnOnce() -> String,
    ) {
        self.tested(promise);
        if !holds {
            self.violations.push(Violation {
                promise,
                subject: subject.to_string(),
                what: what(),
            });
        }
    }
}

/// Names a call of a program for people.
fn call_name(program: &ProgramRecord, call: usize) -> String {
    let id = program.id.map(|id| id.to_string());
    let sequences = program.calls[call].sequences();
    format!("{} call {sequences:?}", id.as_deref().unwrap_or("unnamed"))
}
