//! The known controllers, ordered by preference. Pure.

use std::collections::VecDeque;

use courseshed_types::NodeId;

/// The known controllers, starting with the one being followed, and the last computed preference order.
#[derive(Debug, Default)]
pub(crate) struct FollowedControllers {
    candidates: VecDeque<NodeId>,
    order: ControllerOrder,
}

/// A preference order of controllers.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ControllerOrder {
    /// The controllers, most preferred first.
    pub nodes: Vec<NodeId>,
    /// Whether all of them were reachable and up to date when the order was computed.
    pub is_complete: bool,
}

impl FollowedControllers {
    /// Returns the known controllers, initialised from `seeds` if there are none.
    pub(crate) fn all(&mut self, seeds: impl FnOnce() -> Vec<NodeId>) -> Vec<NodeId> {
        if self.candidates.is_empty() {
            self.candidates.extend(seeds());
        }
        self.candidates.iter().copied().collect()
    }

    /// Replaces the known controllers by those that `first` reported, and moves `first` to the front.
    pub(crate) fn update(&mut self, first: NodeId, reported: Vec<NodeId>) {
        self.candidates.retain(|node| reported.contains(node));
        for node in reported {
            if !self.candidates.contains(&node) {
                self.candidates.push_back(node);
            }
        }
        self.candidates.retain(|node| *node != first);
        self.candidates.push_front(first);
    }

    /// Moves a controller that failed to the end. After a full round of failures, adds unknown seeds at
    /// the front.
    pub(crate) fn move_to_end(
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

    /// Sets the preference order; returns whether it changed.
    pub(crate) fn set_order(&mut self, order: ControllerOrder) -> bool {
        let has_changed = self.order.nodes != order.nodes;
        self.candidates = order.nodes.iter().copied().collect();
        self.order = order;
        has_changed
    }

    /// Whether the followed controller is the preferred one, with an order computed from all known
    /// controllers.
    pub(crate) fn follows_preferred(&self) -> bool {
        let ordered = &self.order.nodes;
        let is_same = self.candidates.len() == ordered.len()
            && self.candidates.iter().all(|node| ordered.contains(node));
        is_same && self.order.is_complete && self.candidates.front() == ordered.first()
    }
}
