//! Counting the answers of replicas until a quorum has decided. Pure.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::NodeId;

use crate::{RecordView, Reserved};

/// Counts replicas that have a record on disk.
#[derive(Debug)]
pub struct WriteTally {
    counting: BTreeSet<NodeId>,
    quorum: usize,
    stored: BTreeSet<NodeId>,
}

impl WriteTally {
    /// Counts for a view.
    #[must_use]
    pub fn new(view: &RecordView) -> Self {
        Self {
            counting: view.active().map(|member| member.node).collect(),
            quorum: view.quorum(),
            stored: BTreeSet::new(),
        }
    }

    /// Takes in that a replica has the record; true once a quorum has it.
    pub fn on_stored(&mut self, node: NodeId) -> bool {
        if self.counting.contains(&node) {
            self.stored.insert(node);
        }
        self.is_decided()
    }

    /// Whether a quorum has the record.
    #[must_use]
    pub fn is_decided(&self) -> bool {
        self.stored.len() >= self.quorum
    }
}

/// What came of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationDecision {
    /// The tokens are reserved on a quorum of disks.
    Granted {
        /// Whether the program was never given any before, and none are set aside for it elsewhere.
        is_first: bool,
    },
    /// They don't fit into the budget. The reservation must be taken back.
    Spent {
        /// What others hold or were given.
        by_others: u64,
    },
}

/// Decides a reservation from the answers of a quorum.
///
/// Of two reservations made at once, at least one replica of both quorums has seen both, so at
/// least one of the two counts the other.
#[derive(Debug)]
pub struct ReservationTally {
    writes: WriteTally,
    own: u64,
    most: u64,
    budget: u64,
    counted: BTreeMap<u64, u32>,
}

impl ReservationTally {
    /// Counts for a view, a reservation, the tokens it asks for and the program's budget.
    #[must_use]
    pub fn new(view: &RecordView, own: u64, most: u32, budget: u64) -> Self {
        Self {
            writes: WriteTally::new(view),
            own,
            most: u64::from(most),
            budget,
            counted: BTreeMap::new(),
        }
    }

    /// Takes in a replica's answer: what it knows of the program.
    pub fn on_reserved(
        &mut self,
        node: NodeId,
        reserved: &[Reserved],
    ) -> Option<ReservationDecision> {
        for entry in reserved {
            let counted = self
                .counted
                .entry(entry.reservation)
                .or_insert(entry.tokens);
            *counted = (*counted).min(entry.tokens);
        }
        self.writes.on_stored(node).then(|| self.decide())
    }

    fn decide(&self) -> ReservationDecision {
        let others = self.counted.iter().filter(|(id, _)| **id != self.own);
        let by_others: u64 = others.map(|(_, tokens)| u64::from(*tokens)).sum();
        if by_others + self.most <= self.budget {
            return ReservationDecision::Granted {
                is_first: by_others == 0,
            };
        }
        ReservationDecision::Spent { by_others }
    }
}

/// Decides that a turn was never kept: a quorum of replicas lacks it.
#[derive(Debug)]
pub struct MissTally(WriteTally);

impl MissTally {
    /// Counts for a view.
    #[must_use]
    pub fn new(view: &RecordView) -> Self {
        Self(WriteTally::new(view))
    }

    /// Takes in that a replica lacks the turn; true once no quorum can ever have had it.
    pub fn on_missing(&mut self, node: NodeId) -> bool {
        self.0.on_stored(node)
    }
}
