//! What a run of the fleet did and found.

use std::collections::BTreeMap;

use serde::Serialize;

/// A kind of fault that was injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetFault {
    /// A message between nodes was lost.
    MessageLost,
    /// A message between nodes came twice.
    MessageRepeated,
    /// A message was slow, so that later ones overtook it.
    MessageDelayed,
    /// Two parties were cut off in one direction.
    CutOneWay,
    /// A node was cut off from everything but its callers.
    NodeIsolated,
    /// A node was killed, and its memory lost.
    NodeKilled,
    /// A node was frozen, and went on later.
    NodeFrozen,
    /// A node was asked to stop, and stopped when its streams were finished.
    NodeDrained,
    /// Leadership of the shard was handed over.
    HandOver,
    /// An engine was killed, and forgot all it knew.
    EngineKilled,
    /// An engine did nothing for a while.
    EngineHung,
    /// An engine computed slowly for a while.
    EngineSlow,
    /// An engine was marked as leaving.
    EngineLeaving,
    /// A stream from an engine broke.
    StreamBroken,
    /// A cache event was lost.
    CacheEventLost,
    /// The ledger could not be reached for a while.
    LedgerUnreachable,
    /// A caller went away in the middle of a call.
    CallerLeft,
    /// A caller sent the same call again while it was under way.
    CallSentTwice,
    /// A caller went away for good without ending its program.
    ProgramAbandoned,
    /// An operator ended a program.
    ProgramEndedByOperator,
}

impl FleetFault {
    /// All kinds of fault.
    pub const ALL: [FleetFault; 20] = [
        FleetFault::MessageLost,
        FleetFault::MessageRepeated,
        FleetFault::MessageDelayed,
        FleetFault::CutOneWay,
        FleetFault::NodeIsolated,
        FleetFault::NodeKilled,
        FleetFault::NodeFrozen,
        FleetFault::NodeDrained,
        FleetFault::HandOver,
        FleetFault::EngineKilled,
        FleetFault::EngineHung,
        FleetFault::EngineSlow,
        FleetFault::EngineLeaving,
        FleetFault::StreamBroken,
        FleetFault::CacheEventLost,
        FleetFault::LedgerUnreachable,
        FleetFault::CallerLeft,
        FleetFault::CallSentTwice,
        FleetFault::ProgramAbandoned,
        FleetFault::ProgramEndedByOperator,
    ];

    /// A name for people.
    pub fn name(self) -> &'static str {
        match self {
            FleetFault::MessageLost => "message lost",
            FleetFault::MessageRepeated => "message repeated",
            FleetFault::MessageDelayed => "message delayed",
            FleetFault::CutOneWay => "link cut one way",
            FleetFault::NodeIsolated => "node isolated",
            FleetFault::NodeKilled => "node killed",
            FleetFault::NodeFrozen => "node frozen",
            FleetFault::NodeDrained => "node drained",
            FleetFault::HandOver => "leadership handed over",
            FleetFault::EngineKilled => "engine killed",
            FleetFault::EngineHung => "engine hung",
            FleetFault::EngineSlow => "engine slow",
            FleetFault::EngineLeaving => "engine leaving",
            FleetFault::StreamBroken => "stream broken",
            FleetFault::CacheEventLost => "cache event lost",
            FleetFault::LedgerUnreachable => "ledger unreachable",
            FleetFault::CallerLeft => "caller left and came back",
            FleetFault::CallSentTwice => "call sent twice",
            FleetFault::ProgramAbandoned => "program abandoned",
            FleetFault::ProgramEndedByOperator => "program ended by an operator",
        }
    }
}

/// A promise of the system to its users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetPromise {
    /// The calls of a program run in order.
    Order,
    /// A program's history is never lost nor mixed with another's.
    History,
    /// Engines count no more tokens for a branch than its budget.
    Budget,
    /// No engine memory is held for programs that ended.
    Memory,
    /// Each caller receives the whole answer to its own request, and always the same one.
    Answer,
    /// What was refused as "not run" never ran.
    NotRun,
    /// A call that is not repeatable runs at most once.
    AtMostOnce,
    /// An engine that leaves gets nothing new after a few seconds.
    Leaving,
    /// A planned stop cuts off no call.
    PlannedStop,
    /// Once faults end, every program that still asks is served.
    Served,
}

impl FleetPromise {
    /// All promises.
    pub const ALL: [FleetPromise; 10] = [
        FleetPromise::Order,
        FleetPromise::History,
        FleetPromise::Budget,
        FleetPromise::Memory,
        FleetPromise::Answer,
        FleetPromise::NotRun,
        FleetPromise::AtMostOnce,
        FleetPromise::Leaving,
        FleetPromise::PlannedStop,
        FleetPromise::Served,
    ];

    /// A name for people.
    pub fn name(self) -> &'static str {
        match self {
            FleetPromise::Order => "calls run in order",
            FleetPromise::History => "history is neither lost nor mixed",
            FleetPromise::Budget => "budgets are never exceeded",
            FleetPromise::Memory => "no memory held for ended programs",
            FleetPromise::Answer => "each caller gets its own whole answer",
            FleetPromise::NotRun => "not run truly did not run",
            FleetPromise::AtMostOnce => "not repeatable runs at most once",
            FleetPromise::Leaving => "leaving engines get nothing new",
            FleetPromise::PlannedStop => "a planned stop cuts nothing",
            FleetPromise::Served => "served again once faults end",
        }
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetViolation {
    /// Which one.
    pub promise: FleetPromise,
    /// What was seen.
    pub detail: String,
}

/// What a run did and found. Equal for equal seeds and options.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FleetReport {
    /// The seed.
    pub seed: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<FleetFault, u64>,
    /// Programs started.
    pub programs: u64,
    /// Calls that callers made, whatever became of them.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls that ended in doubt.
    pub in_doubt: u64,
    /// Attempts that engines started.
    pub attempts: u64,
    /// Broken promises.
    pub violations: Vec<FleetViolation>,
}
