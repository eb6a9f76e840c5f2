//! Puts a chain of turns together from the parts that replicas store. Performs no I/O.
//!
//! Each accepted turn is on a quorum of disks, but a replica that was away lacks some turns, so no single
//! replica may have the whole chain. The replicas of any quorum have it together.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::replica::MAX_CHAIN_LENGTH;
use crate::{RecordView, Turn};

/// What follows the part of a chain that a replica returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainRest {
    /// Nothing: the part ends with the first turn.
    End,
    /// A turn that the replica does not store.
    Missing(String),
    /// A turn that the replica may store, but did not return.
    Omitted(String),
}

/// The newest part of a chain, as stored by a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPart {
    /// The turns, newest first. Empty if the requested turn is not stored.
    pub turns: Vec<Turn>,
    /// What follows.
    pub rest: ChainRest,
}

/// What the parts of a chain amount to once they decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainOutcome {
    /// The whole chain, oldest first.
    Complete(Vec<Turn>),
    /// A quorum lacks the requested turn, so that it was never accepted or has expired.
    Unknown,
    /// All replicas lack an ancestor, so that the chain is lost.
    AncestorLost(String),
}

/// A chain that is being put together.
#[derive(Debug)]
pub struct ChainAssembly {
    /// The turn at which the chain ends.
    id: String,
    /// The contiguous newest part, newest first.
    chain: Vec<Turn>,
    /// The turn that `chain` lacks next; `None` once it is complete.
    wanted: Option<String>,
    /// Older turns that are not contiguous with `chain` yet.
    received: BTreeMap<String, Turn>,
    quorum: usize,
    active: BTreeSet<NodeId>,
    /// The replicas that lack a turn, by its id.
    missing_at: BTreeMap<String, BTreeSet<NodeId>>,
    /// The turn that each replica was last asked for.
    asked_for: BTreeMap<NodeId, String>,
    /// The replicas that have answered their last request.
    idle: BTreeSet<NodeId>,
    replies: usize,
}

impl ChainAssembly {
    /// Starts to put the chain of a turn together.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            chain: Vec::new(),
            wanted: Some(id.to_owned()),
            received: BTreeMap::new(),
            quorum: 0,
            active: BTreeSet::new(),
            missing_at: BTreeMap::new(),
            asked_for: BTreeMap::new(),
            idle: BTreeSet::new(),
            replies: 0,
        }
    }

    /// Starts a round, in which all replicas of a view are asked for the whole chain first. Turns of earlier
    /// rounds are kept, since turns are immutable; what replicas lack is counted anew, since views may differ.
    pub fn start_round(&mut self, view: &RecordView) {
        self.quorum = view.quorum();
        self.active = view.active().map(|member| member.node).collect();
        self.missing_at.clear();
        self.idle.clear();
        let nodes = view.members.iter().map(|member| member.node);
        self.asked_for = nodes.map(|node| (node, self.id.clone())).collect();
    }

    /// The turn that is wanted next; empty once the chain is complete.
    #[must_use]
    pub fn wanted(&self) -> &str {
        self.wanted.as_deref().unwrap_or_default()
    }

    /// Number of replies so far.
    #[must_use]
    pub fn replies(&self) -> usize {
        self.replies
    }

    /// The replicas that lack turns of the chain, by turn, as far as known in this round.
    #[must_use]
    pub fn missing_at(&self) -> &BTreeMap<String, BTreeSet<NodeId>> {
        &self.missing_at
    }

    /// Adds the part that a replica returned. Returns the outcome, or `None` if more parts are needed.
    pub fn on_part(&mut self, node: NodeId, part: ChainPart) -> Option<ChainOutcome> {
        self.replies += 1;
        self.idle.insert(node);
        if let ChainRest::Missing(id) = part.rest {
            self.missing_at.entry(id).or_default().insert(node);
        }
        let turns = part.turns.into_iter();
        self.received
            .extend(turns.map(|turn| (turn.id.clone(), turn)));
        self.advance();
        let Some(wanted) = &self.wanted else {
            let newest_first = std::mem::take(&mut self.chain);
            let turns = newest_first.into_iter().rev().collect();
            return Some(ChainOutcome::Complete(turns));
        };
        let missing = self.missing_at.get(wanted);
        let lacking = missing.map_or(0, |nodes| nodes.intersection(&self.active).count());
        if self.chain.is_empty() {
            let is_unknown = lacking >= self.quorum && self.quorum > 0;
            return is_unknown.then_some(ChainOutcome::Unknown);
        }
        let is_lost = lacking == self.active.len() || self.chain.len() >= MAX_CHAIN_LENGTH;
        is_lost.then(|| ChainOutcome::AncestorLost(wanted.clone()))
    }

    /// The replicas to ask for the wanted turn now: those that have answered, unless they lack it or were asked
    /// for it before.
    pub fn next_requests(&mut self) -> Vec<NodeId> {
        let Some(wanted) = &self.wanted else {
            return Vec::new();
        };
        let missing = self.missing_at.get(wanted);
        let is_useful = |node: &NodeId| {
            missing.is_none_or(|nodes| !nodes.contains(node))
                && self.asked_for.get(node) != Some(wanted)
        };
        let nodes: Vec<NodeId> = self.idle.iter().copied().filter(is_useful).collect();
        for node in &nodes {
            self.idle.remove(node);
            self.asked_for.insert(*node, wanted.clone());
        }
        nodes
    }

    /// Appends received turns as far as they are contiguous.
    fn advance(&mut self) {
        while let Some(wanted) = &self.wanted
            && let Some(turn) = self.received.remove(wanted)
        {
            self.wanted.clone_from(&turn.previous);
            self.chain.push(turn);
        }
    }
}
