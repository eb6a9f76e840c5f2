//! The controllers that a node knows, the one that it follows first. Pure.

use std::collections::VecDeque;

use courseshed_types::NodeId;

/// The controllers that a node knows, and the order that it made of them last.
#[derive(Debug, Default)]
pub(crate) struct FollowedControllers {
    candidates: VecDeque<NodeId>,
    order: ControllerOrder,
}

/// In which order a node would follow controllers.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ControllerOrder {
    /// The controllers, the one to follow first.
    pub nodes: Vec<NodeId>,
    /// Whether all of them could be followed when the order was made.
    pub is_whole: bool,
}

impl FollowedControllers {
    /// The controllers; begins with those given if none is known.
    pub(crate) fn all(&mut self, seeds: impl FnOnce() -> Vec<NodeId>) -> Vec<NodeId> {
        if self.candidates.is_empty() {
            self.candidates.extend(seeds());
        }
        self.candidates.iter().copied().collect()
    }

    /// Remembers the controllers that one of them named, keeping that one first.
    pub(crate) fn learn(&mut self, first: NodeId, named: Vec<NodeId>) {
        self.candidates.retain(|node| named.contains(node));
        for node in named {
            if !self.candidates.contains(&node) {
                self.candidates.push_back(node);
            }
        }
        self.candidates.retain(|node| *node != first);
        self.candidates.push_front(first);
    }

    /// Puts a controller last; after a whole round in vain, goes on with the seeds that aren't known.
    pub(crate) fn pass_over(
        &mut self,
        controller: NodeId,
        failures: usize,
        seeds: impl FnOnce() -> Vec<NodeId>,
    ) {
        if self.candidates.front() == Some(&controller) {
            self.candidates.rotate_left(1);
        }
        let is_round_over =
            !self.candidates.is_empty() && failures.is_multiple_of(self.candidates.len());
        if !is_round_over {
            return;
        }
        for seed in seeds() {
            if !self.candidates.contains(&seed) {
                self.candidates.push_front(seed);
            }
        }
    }

    /// Follows controllers in an order from now on; whether it is another one than before.
    pub(crate) fn put_in_order(&mut self, order: ControllerOrder) -> bool {
        let is_new = self.order.nodes != order.nodes;
        self.candidates = order.nodes.iter().copied().collect();
        self.order = order;
        is_new
    }

    /// Whether the first is the one that this node would choose, had it the choice of all.
    pub(crate) fn follows_first_choice(&self) -> bool {
        let ordered = &self.order.nodes;
        let is_same = self.candidates.len() == ordered.len()
            && self.candidates.iter().all(|node| ordered.contains(node));
        is_same && self.order.is_whole && self.candidates.front() == ordered.first()
    }
}
