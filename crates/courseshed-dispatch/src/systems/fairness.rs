//! Hierarchical weighted fair sharing.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996) at every node of the tree: the child
//! with the lowest start tag is served first, and its start tag advances by service over weight.
//! Service is charged by estimate when a call is assigned and corrected when its usage is reported.
//! Urgent calls run ahead by a bounded warp (borrowed virtual time, Duda and Cheriton, SOSP 1999)
//! but are charged in full, so long-run shares hold. Guaranteed minimums are reservations against
//! the pool's total service (mClock, Gulati et al., OSDI 2010) and take precedence over shares.
//!
//! Bound: over any interval in which two siblings are backlogged at the same priority and no
//! guaranteed minimum applies, their normalized services (service over weight) differ by at most
//! the sum, over both siblings, of (cost + correction) / weight, where cost is the largest charge
//! of a call and correction the largest sum of outstanding corrections.

use courseshed_types::CallId;

use crate::{
    tables::{BranchTable, Listing, NodeIndex},
    units::{Service, VirtualTime},
};

/// Updates the listings of a node and its ancestors. `warp` is the service by which one priority
/// step may run ahead. A node that was idle starts no earlier than its parent's virtual time unless
/// `keeps_credit` is set.
pub(crate) fn refresh(tree: &mut BranchTable, from: NodeIndex, warp: u64, keeps_credit: bool) {
    let mut current = Some(from);
    while let Some(index) = current {
        let parent = tree.node(index).parent;
        if let Some(parent) = parent {
            activate(tree, index, parent, keeps_credit);
            update_listing(tree, index, parent, warp);
        }
        current = parent;
    }
}

/// The next call to serve: under the most overdue guaranteed minimum if there is one, else by
/// shares.
pub(crate) fn next_call(tree: &BranchTable) -> Option<(NodeIndex, CallId)> {
    let mut index = overdue_floor(tree).unwrap_or(NodeIndex::ROOT);
    while let Some((_, child)) = tree.node(index).active.first() {
        index = *child;
    }
    let (_, call) = tree.node(index).queue.first()?;
    Some((index, *call))
}

/// Advances the virtual times above a queue to the start tags of its next service. Must be called
/// before the call is dequeued.
pub(crate) fn begin_service(tree: &mut BranchTable, queue: NodeIndex) {
    for index in path(tree, queue) {
        let node = tree.node(index);
        if let (Some(listing), Some(parent)) = (node.listing, node.parent) {
            let parent = tree.node_mut(parent);
            parent.virtual_time = parent.virtual_time.max(listing.effective_start);
        }
    }
}

/// Charges service to a queue and its ancestors.
pub(crate) fn charge(tree: &mut BranchTable, queue: NodeIndex, service: Service, warp: u64) {
    for index in path(tree, queue) {
        advance(tree, index, i128::from(service.0));
    }
    refresh(tree, queue, warp, true);
}

/// Replaces an estimated charge by the reported service.
pub(crate) fn correct(
    tree: &mut BranchTable,
    queue: NodeIndex,
    charged: Service,
    reported: Service,
    warp: u64,
) {
    let difference = i128::from(reported.0) - i128::from(charged.0);
    for index in path(tree, queue) {
        advance(tree, index, difference);
    }
    refresh(tree, queue, warp, true);
}

fn path(tree: &BranchTable, from: NodeIndex) -> Vec<NodeIndex> {
    tree.path_to_root(from).collect()
}

fn advance(tree: &mut BranchTable, index: NodeIndex, units: i128) {
    let pool_served = tree.node(NodeIndex::ROOT).served;
    let node = tree.node_mut(index);
    node.start_tag += VirtualTime::from_service(units, node.weight);
    if node.floor > 0.0 {
        node.floor_start_tag += VirtualTime::from_service(units, node.floor);
    }
    node.recent.add(units, pool_served);
    node.served = (i128::from(node.served) + units).max(0) as u64;
}

fn activate(tree: &mut BranchTable, index: NodeIndex, parent: NodeIndex, keeps_credit: bool) {
    let node = tree.node(index);
    let is_idle = node.listing.is_none();
    let has_calls = !node.queue.is_empty() || !node.active.is_empty();
    if !is_idle || !has_calls || keeps_credit {
        return;
    }
    let parent_virtual_time = tree.node(parent).virtual_time;
    let pool_now = pool_clock(tree);
    let node = tree.node_mut(index);
    node.start_tag = node.start_tag.max(parent_virtual_time);
    node.floor_start_tag = node.floor_start_tag.max(pool_now);
}

fn update_listing(tree: &mut BranchTable, index: NodeIndex, parent: NodeIndex, warp: u64) {
    let listing = listing_of(tree, index, warp);
    let older = std::mem::replace(&mut tree.node_mut(index).listing, listing);
    if older == listing {
        return;
    }
    if let Some(older) = older {
        let parent = tree.node_mut(parent);
        parent.active.remove(&(older.effective_start, index));
        parent.by_urgency.remove(&(older.urgency, index));
        if let Some(floor) = older.floor {
            tree.floors.remove(&(floor, index));
        }
    }
    if let Some(listing) = listing {
        let parent = tree.node_mut(parent);
        parent.active.insert((listing.effective_start, index));
        parent.by_urgency.insert((listing.urgency, index));
        if let Some(floor) = listing.floor {
            tree.floors.insert((floor, index));
        }
    }
}

fn listing_of(tree: &BranchTable, index: NodeIndex, warp: u64) -> Option<Listing> {
    let node = tree.node(index);
    let own = node.queue.first().map(|(rank, _)| rank.urgency);
    let below = node.by_urgency.last().map(|(urgency, _)| *urgency);
    let urgency = own.or(below)?;
    let warp_units = i128::from(urgency) * i128::from(warp);
    Some(Listing {
        effective_start: node.start_tag - VirtualTime::from_service(warp_units, 1.0),
        urgency,
        floor: (node.floor > 0.0).then_some(node.floor_start_tag),
    })
}

fn overdue_floor(tree: &BranchTable) -> Option<NodeIndex> {
    let (due, index) = tree.floors.first()?;
    (*due <= pool_clock(tree)).then_some(*index)
}

fn pool_clock(tree: &BranchTable) -> VirtualTime {
    let served = tree.node(NodeIndex::ROOT).served;
    VirtualTime::from_service(i128::from(served), 1.0)
}
