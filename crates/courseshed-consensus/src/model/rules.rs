//! The bounds of one exploration, and the rules that it breaks on purpose.

use crate::peer::Defect;

/// What a replica still has after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Restart {
    /// Its disk, and so everything.
    KeepsAll,
    /// Nothing, and it says so by a new incarnation.
    NewIncarnation,
    /// Broken on purpose: its log, but not its vote.
    ForgetsVote,
    /// Broken on purpose: nothing, under its old incarnation.
    SameIncarnation,
}

/// How much of what may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Budget {
    pub(super) campaigns: u8,
    /// Rounds of requests for an election after a restart. With 0, no replica holds such elections.
    pub(super) restart_requests: u8,
    pub(super) proposals: u8,
    pub(super) heartbeats: u8,
    pub(super) removals: u8,
    pub(super) restarts: u8,
    pub(super) duplicates: u8,
}

/// The rules of one exploration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) network_capacity: usize,
    pub(super) entries_per_message: usize,
    pub(super) restart: Restart,
    pub(super) defect: Defect,
    pub(super) budget: Budget,
}
