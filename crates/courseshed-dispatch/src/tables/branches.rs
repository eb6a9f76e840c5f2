//! Tree of branches with fair-share accounting and queues.
//!
//! A branch with children gets an extra child with weight one for its own calls, so that only
//! leaves queue calls. Invariants: the weights of siblings sum to one; a node is in its parent's
//! `active` set if and only if calls are queued in its subtree.

use std::collections::{BTreeMap, BTreeSet};

use courseshed_types::{BranchPath, CallId, PolicySnapshot};

use crate::{
    strategy::Sharing,
    tables::Rank,
    units::{DecayedService, VirtualTime},
};

/// Index of a node in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeIndex(pub(crate) u32);

impl NodeIndex {
    pub(crate) const ROOT: NodeIndex = NodeIndex(0);
}

/// Weight of a branch's own queue relative to the branch's children.
const OWN_QUEUE_WEIGHT: f64 = 1.0;

/// Keys under which a node is stored in its parent's ordered sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Start tag of the next service, less the priority warp.
    pub(crate) effective_start: VirtualTime,
    /// Priority of the node's most urgent next call, in steps.
    pub(crate) urgency: i32,
    /// Key in the set of guaranteed minimums, for nodes that have one.
    pub(crate) floor: Option<VirtualTime>,
}

#[derive(Debug, Clone)]
pub(crate) struct BranchNode {
    pub(crate) path: BranchPath,
    /// Whether the node queues a branch's own calls beside the branch's children.
    pub(crate) is_own_queue: bool,
    pub(crate) parent: Option<NodeIndex>,
    pub(crate) children: Vec<NodeIndex>,
    /// Fraction of the parent's service, 0 to 1.
    pub(crate) weight: f64,
    /// Guaranteed minimum fraction of the pool, 0 to 1.
    pub(crate) floor: f64,
    /// Fraction of the engines' cache that leases of the branch may hold, 0 to 1.
    pub(crate) cache_share: f64,
    /// Start tag of the node's next service, in its parent's virtual time.
    pub(crate) start_tag: VirtualTime,
    /// Virtual time of the node's children.
    pub(crate) virtual_time: VirtualTime,
    /// Start tag against the guaranteed minimum, in the pool's virtual time.
    pub(crate) floor_start_tag: VirtualTime,
    /// Service charged so far, corrected by reported usage.
    pub(crate) served: u64,
    /// Charged service with exponential decay.
    pub(crate) recent: DecayedService,
    pub(crate) listing: Option<Listing>,
    /// Children with queued calls in their subtree, by start tag.
    pub(crate) active: BTreeSet<(VirtualTime, NodeIndex)>,
    /// Children with queued calls, by priority.
    pub(crate) by_urgency: BTreeSet<(i32, NodeIndex)>,
    /// Queued calls by rank; empty except at leaves.
    pub(crate) queue: BTreeSet<(Rank, CallId)>,
    /// The subset of `queue` that are the first calls of their root program.
    pub(crate) first_calls: BTreeSet<(Rank, CallId)>,
}

impl BranchNode {
    fn new(path: BranchPath, parent: Option<NodeIndex>, weight: f64) -> BranchNode {
        BranchNode {
            path,
            is_own_queue: false,
            parent,
            children: Vec::new(),
            weight,
            floor: 0.0,
            cache_share: 1.0,
            start_tag: VirtualTime::default(),
            virtual_time: VirtualTime::default(),
            floor_start_tag: VirtualTime::default(),
            served: 0,
            recent: DecayedService::default(),
            listing: None,
            active: BTreeSet::new(),
            by_urgency: BTreeSet::new(),
            queue: BTreeSet::new(),
            first_calls: BTreeSet::new(),
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct BranchTable {
    nodes: Vec<BranchNode>,
    /// The leaf that queues each branch's calls.
    queues: BTreeMap<BranchPath, NodeIndex>,
    /// Nodes with a guaranteed minimum and queued calls, by due time.
    pub(crate) floors: BTreeSet<(VirtualTime, NodeIndex)>,
}

impl BranchTable {
    /// Builds the tree of a policy without calls, carrying over the accounting state of an older
    /// tree.
    pub(crate) fn build(
        policy: &PolicySnapshot,
        sharing: Sharing,
        older: Option<&BranchTable>,
    ) -> BranchTable {
        let mut table = BranchTable {
            nodes: vec![BranchNode::new(BranchPath::root(), None, 1.0)],
            queues: BTreeMap::new(),
            floors: BTreeSet::new(),
        };
        match sharing {
            Sharing::Single => {}
            Sharing::Flat => table.add_flat(policy),
            Sharing::Tree => table.add_tree(policy),
        }
        table.index_queues();
        if let Some(older) = older {
            table.carry_over(older);
        }
        table
    }

    pub(crate) fn node(&self, index: NodeIndex) -> &BranchNode {
        &self.nodes[index.0 as usize]
    }

    pub(crate) fn node_mut(&mut self, index: NodeIndex) -> &mut BranchNode {
        &mut self.nodes[index.0 as usize]
    }

    /// All nodes with their indices, parents before children.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeIndex, &BranchNode)> {
        let indexed = self.nodes.iter().enumerate();
        indexed.map(|(index, node)| (NodeIndex(index as u32), node))
    }

    /// The leaf that queues the calls of a branch or, if the branch does not exist, of its nearest
    /// existing ancestor.
    pub(crate) fn queue_of(&self, branch: &BranchPath) -> NodeIndex {
        if let Some(index) = self.queues.get(branch) {
            return *index;
        }
        branch
            .ancestry()
            .find_map(|path| self.queues.get(&path).copied())
            .unwrap_or(NodeIndex::ROOT)
    }

    /// The node and its ancestors, ending with the root.
    pub(crate) fn path_to_root(&self, from: NodeIndex) -> impl Iterator<Item = NodeIndex> {
        std::iter::successors(Some(from), |index| self.node(*index).parent)
    }

    /// Fraction of the pool a node is entitled to by shares, 0 to 1. A branch's own queue counts
    /// only while it has calls, since most branches with children make none of their own.
    pub(crate) fn entitled_share(&self, index: NodeIndex) -> f64 {
        self.path_to_root(index)
            .map(|node| self.weight_without_idle_queue(node))
            .product()
    }

    fn weight_without_idle_queue(&self, index: NodeIndex) -> f64 {
        let node = self.node(index);
        let Some(parent) = node.parent else {
            return 1.0;
        };
        let siblings = self.node(parent).children.iter();
        let idle: f64 = siblings
            .filter(|sibling| **sibling != index)
            .map(|sibling| self.node(*sibling))
            .filter(|sibling| sibling.is_own_queue && sibling.listing.is_none())
            .map(|sibling| sibling.weight)
            .sum();
        node.weight / (1.0 - idle)
    }

    /// The node at an index, if it exists.
    pub(crate) fn get(&self, index: NodeIndex) -> Option<&BranchNode> {
        self.nodes.get(index.0 as usize)
    }

    /// Fraction of the pool a node gets while it competes only with branches that have queued
    /// calls, 0 to 1.
    pub(crate) fn active_share(&self, index: NodeIndex) -> f64 {
        self.path_to_root(index)
            .map(|node| self.active_weight(node))
            .product()
    }

    fn active_weight(&self, index: NodeIndex) -> f64 {
        let node = self.node(index);
        let Some(parent) = node.parent else {
            return 1.0;
        };
        let siblings = self.node(parent).active.iter();
        let others: f64 = siblings
            .filter(|(_, sibling)| *sibling != index)
            .map(|(_, sibling)| self.node(*sibling).weight)
            .sum();
        node.weight / (node.weight + others)
    }

    /// Entitled fraction of the pool of each branch that queues calls, 0 to 1.
    pub(crate) fn entitlements(&self) -> BTreeMap<BranchPath, f64> {
        let queues = self.queues.iter();
        let entitled = queues.map(|(path, index)| (path.clone(), self.entitled_share(*index)));
        entitled.collect()
    }

    fn add(&mut self, parent: NodeIndex, mut node: BranchNode) -> NodeIndex {
        let index = NodeIndex(self.nodes.len() as u32);
        node.parent = Some(parent);
        self.nodes.push(node);
        self.node_mut(parent).children.push(index);
        index
    }

    fn add_tree(&mut self, policy: &PolicySnapshot) {
        let mut indices = BTreeMap::from([(BranchPath::root(), NodeIndex::ROOT)]);
        for (path, branch) in &policy.branches {
            let Some(parent) = path.parent() else {
                continue;
            };
            let Some(parent) = indices.get(&parent).copied() else {
                continue;
            };
            let mut node = BranchNode::new(path.clone(), None, branch.share.max(f64::MIN_POSITIVE));
            node.floor = branch.floor.clamp(0.0, 1.0);
            node.cache_share = branch.cache_share;
            indices.insert(path.clone(), self.add(parent, node));
        }
        self.add_own_queues();
        self.normalize_weights();
    }

    fn add_flat(&mut self, policy: &PolicySnapshot) {
        let mut tree = BranchTable {
            nodes: vec![BranchNode::new(BranchPath::root(), None, 1.0)],
            queues: BTreeMap::new(),
            floors: BTreeSet::new(),
        };
        tree.add_tree(policy);
        for (index, node) in tree.iter().filter(|(_, node)| node.children.is_empty()) {
            if index == NodeIndex::ROOT {
                continue;
            }
            let weight = tree.entitled_share(index);
            self.add(
                NodeIndex::ROOT,
                BranchNode::new(node.path.clone(), None, weight),
            );
        }
        self.normalize_weights();
    }

    fn add_own_queues(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.children.is_empty() {
                continue;
            }
            let mut own = BranchNode::new(node.path.clone(), None, OWN_QUEUE_WEIGHT);
            own.is_own_queue = true;
            own.cache_share = node.cache_share;
            self.add(NodeIndex(index as u32), own);
        }
    }

    fn normalize_weights(&mut self) {
        for index in 0..self.nodes.len() {
            let children = self.nodes[index].children.clone();
            let sum: f64 = children.iter().map(|child| self.node(*child).weight).sum();
            for child in children {
                self.node_mut(child).weight /= sum;
            }
        }
    }

    fn index_queues(&mut self) {
        let queues = self
            .iter()
            .filter(|(_, node)| node.children.is_empty())
            .map(|(index, node)| (node.path.clone(), index))
            .collect();
        self.queues = queues;
    }

    fn carry_over(&mut self, older: &BranchTable) {
        let accounts: BTreeMap<_, _> = older
            .nodes
            .iter()
            .map(|node| ((node.path.clone(), node.is_own_queue), node))
            .collect();
        for index in 0..self.nodes.len() {
            let key = (
                self.nodes[index].path.clone(),
                self.nodes[index].is_own_queue,
            );
            let parent_virtual_time = self.nodes[index]
                .parent
                .map(|parent| self.node(parent).virtual_time)
                .unwrap_or_default();
            let node = &mut self.nodes[index];
            match accounts.get(&key) {
                Some(old) => {
                    node.start_tag = old.start_tag;
                    node.virtual_time = old.virtual_time;
                    node.floor_start_tag = old.floor_start_tag;
                    node.served = old.served;
                    node.recent = old.recent;
                }
                None => node.start_tag = parent_virtual_time,
            }
        }
    }
}
