//! Quorum decisions from the replies of replicas. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::NodeId;

use crate::{RecordView, Reserved};

/// Counts the active replicas that have a record on disk.
#[derive(Debug)]
pub struct WriteTally {
    active: BTreeSet<NodeId>,
    quorum: usize,
    stored: BTreeSet<NodeId>,
}

impl WriteTally {
    /// Starts a count for a view.
    #[must_use]
    pub fn new(view: &RecordView) -> Self {
        Self {
            active: view.active().map(|member| member.node).collect(),
            quorum: view.quorum(),
            stored: BTreeSet::new(),
        }
    }

    /// Registers that a replica has stored the record. Returns whether a quorum has.
    pub fn on_stored(&mut self, node: NodeId) -> bool {
        if self.active.contains(&node) {
            self.stored.insert(node);
        }
        self.is_decided()
    }

    /// Whether a quorum has stored the record.
    #[must_use]
    pub fn is_decided(&self) -> bool {
        self.stored.len() >= self.quorum
    }
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationDecision {
    /// The tokens are reserved on a quorum of disks.
    Granted {
        /// Whether the program has no other tokens reserved or used.
        is_first: bool,
    },
    /// The tokens exceed the remaining budget. The reservation must be rolled back.
    Exceeded {
        /// Tokens reserved or used by other reservations.
        used_by_others: u64,
    },
}

/// Decides a reservation from the replies of a quorum.
///
/// The quorums of two concurrent reservations share a replica that sees both, so at least one of
/// the two accounts for the other.
#[derive(Debug)]
pub struct ReservationTally {
    writes: WriteTally,
    reservation: u64,
    max_tokens: u64,
    budget: u64,
    tokens_by_reservation: BTreeMap<u64, u32>,
    /// The reservations that each active replica knows.
    known_at: Vec<(NodeId, Vec<u64>)>,
}

impl ReservationTally {
    /// Starts a decision for a reservation of `max_tokens` against the program's `budget`.
    #[must_use]
    pub fn new(view: &RecordView, reservation: u64, max_tokens: u32, budget: u64) -> Self {
        Self {
            writes: WriteTally::new(view),
            reservation,
            max_tokens: u64::from(max_tokens),
            budget,
            tokens_by_reservation: BTreeMap::new(),
            known_at: Vec::new(),
        }
    }

    /// Registers a replica's reply: the reservations it knows of the program.
    pub fn on_reserved(
        &mut self,
        node: NodeId,
        reserved: &[Reserved],
    ) -> Option<ReservationDecision> {
        for entry in reserved {
            let tokens = self
                .tokens_by_reservation
                .entry(entry.reservation)
                .or_insert(entry.tokens);
            *tokens = (*tokens).min(entry.tokens);
        }
        if self.writes.active.contains(&node) {
            let known = reserved.iter().map(|entry| entry.reservation);
            self.known_at.push((node, known.collect()));
        }
        self.writes.on_stored(node).then(|| self.decide())
    }

    /// The reservations that some of the replicas that have replied lack, by replica. Once they have them, all
    /// replicas of the quorum know all accepted reservations of the program, as long as it is retained.
    #[must_use]
    pub fn missing_reservations(&self) -> Vec<(NodeId, Vec<Reserved>)> {
        let all = self.tokens_by_reservation.len();
        let incomplete = self.known_at.iter().filter(|(_, known)| known.len() < all);
        let missing = incomplete.map(|(node, known)| {
            let reservations = self.tokens_by_reservation.iter();
            let lacking = reservations.filter(|(reservation, _)| !known.contains(reservation));
            let lacking = lacking.map(|(reservation, tokens)| Reserved {
                reservation: *reservation,
                tokens: *tokens,
            });
            (*node, lacking.collect())
        });
        missing.collect()
    }

    fn decide(&self) -> ReservationDecision {
        let others = self
            .tokens_by_reservation
            .iter()
            .filter(|(id, _)| **id != self.reservation);
        let used_by_others: u64 = others.map(|(_, tokens)| u64::from(*tokens)).sum();
        if used_by_others + self.max_tokens <= self.budget {
            return ReservationDecision::Granted {
                is_first: used_by_others == 0,
            };
        }
        ReservationDecision::Exceeded { used_by_others }
    }
}

/// Decides that a turn does not exist, once a quorum of replicas lacks it.
#[derive(Debug)]
pub struct MissTally(WriteTally);

impl MissTally {
    /// Starts a count for a view.
    #[must_use]
    pub fn new(view: &RecordView) -> Self {
        Self(WriteTally::new(view))
    }

    /// Registers that a replica lacks the turn. Returns whether a quorum does.
    pub fn on_missing(&mut self, node: NodeId) -> bool {
        self.0.on_stored(node)
    }
}
