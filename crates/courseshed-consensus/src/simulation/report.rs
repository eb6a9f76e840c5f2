//! What a simulated run did and found.

use std::collections::BTreeMap;

/// A kind of fault that was injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A message was lost.
    MessageLost,
    /// A message arrived twice.
    MessageRepeated,
    /// A message was overtaken by a later one between the same two replicas.
    MessageReordered,
    /// A message was lost to a link cut in one direction.
    LinkCutOneWay,
    /// A replica was cut off from all others.
    ReplicaIsolated,
    /// The replicas were split in two parts.
    GroupSplit,
    /// A process was killed.
    Crash,
    /// A process was killed in the middle of a write.
    CrashDuringWrite,
    /// A process was killed and its memory or disk lost.
    StateLost,
    /// All processes were killed at once.
    WholeGroupCrash,
    /// All processes, or all but a leader that was cut off, restarted at once.
    WholeGroupRestart,
    /// A process was frozen, and went on later.
    Pause,
    /// A disk refused writes as full.
    DiskFull,
    /// A disk failed in the middle of a write.
    DiskFailing,
    /// An operator asked for a hand-over of leadership.
    HandOver,
    /// An operator asked for a change of the members.
    MembershipChange,
    /// A machine was replaced by an empty one under another name.
    Replaced,
}

impl Fault {
    /// The kinds of fault of [`super::Scenario::Faults`].
    pub const ALL: [Self; 16] = [
        Self::MessageLost,
        Self::MessageRepeated,
        Self::MessageReordered,
        Self::LinkCutOneWay,
        Self::ReplicaIsolated,
        Self::GroupSplit,
        Self::Crash,
        Self::CrashDuringWrite,
        Self::StateLost,
        Self::WholeGroupCrash,
        Self::WholeGroupRestart,
        Self::Pause,
        Self::DiskFull,
        Self::DiskFailing,
        Self::HandOver,
        Self::MembershipChange,
    ];

    /// A name for people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::MessageLost => "message lost",
            Self::MessageRepeated => "message repeated",
            Self::MessageReordered => "message reordered",
            Self::LinkCutOneWay => "link cut one way",
            Self::ReplicaIsolated => "replica isolated",
            Self::GroupSplit => "group split in two",
            Self::Crash => "process killed",
            Self::CrashDuringWrite => "process killed during a write",
            Self::StateLost => "memory or disk lost",
            Self::WholeGroupCrash => "whole group killed",
            Self::WholeGroupRestart => "whole group restarted",
            Self::Pause => "process frozen",
            Self::DiskFull => "disk full",
            Self::DiskFailing => "disk failing",
            Self::HandOver => "leadership handed over",
            Self::MembershipChange => "membership change",
            Self::Replaced => "machine replaced",
        }
    }
}

/// A promise of the replicated log to its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A confirmed write stays, where it was confirmed to be.
    CommittedStays,
    /// A write that was refused for certain never takes effect.
    RefusedNeverRuns,
    /// A write takes effect at most once.
    AtMostOnce,
    /// A read sees every write confirmed and every read answered before it was asked.
    ReadsAreCurrent,
    /// Writes take effect between their request and their answer.
    WritesInRealTime,
    /// A term has at most one leader.
    OneLeaderPerTerm,
    /// All members end with the same state.
    ReplicasAgree,
    /// Once faults end, the group serves again.
    ServesAgain,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 8] = [
        Self::CommittedStays,
        Self::RefusedNeverRuns,
        Self::AtMostOnce,
        Self::ReadsAreCurrent,
        Self::WritesInRealTime,
        Self::OneLeaderPerTerm,
        Self::ReplicasAgree,
        Self::ServesAgain,
    ];

    /// A name for people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::CommittedStays => "a committed entry is never lost nor reordered",
            Self::RefusedNeverRuns => "a refused entry is never committed",
            Self::AtMostOnce => "an entry is applied at most once",
            Self::ReadsAreCurrent => "reads are linearizable",
            Self::WritesInRealTime => "writes are linearizable",
            Self::OneLeaderPerTerm => "one leader per term",
            Self::ReplicasAgree => "replicas agree in the end",
            Self::ServesAgain => "the group serves again once faults end",
        }
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

/// What a simulated run did and found. Equal for equal seeds and options.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SimulationReport {
    /// The seed.
    pub seed: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<Fault, u64>,
    /// Writes that clients were told are committed.
    pub writes_confirmed: u64,
    /// Reads that clients got answers to.
    pub reads_answered: u64,
    /// Terms that had a leader.
    pub terms_led: u64,
    /// Leaders elected by the statements of all voters after a restart.
    pub restart_elections: u64,
    /// Snapshots that followers took over from a leader.
    pub snapshots_installed: u64,
    /// Messages delivered to replicas.
    pub messages_delivered: u64,
    /// Whether more state was lost than the group can bear, so that it need not serve again.
    pub beyond_repair: bool,
    /// Broken promises.
    pub violations: Vec<Violation>,
}
