//! Hierarchical weighted fair sharing.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996) at every node of the tree: the child whose next
//! service starts earliest in virtual time goes first, and its start moves on by service over weight. Service is
//! charged by estimate when a call is given to an engine and corrected by what the engine counted. Urgent calls
//! overtake by a bounded warp (borrowed virtual time, Duda and Cheriton, SOSP 1999): they are charged in full, so
//! long-run shares stay. Floors are reservations against the pool's whole service (mClock, Gulati et al., OSDI
//! 2010) and go before shares.
//!
//! Bound: over any span in which two siblings are backlogged at one priority and no floor decides, their services
//! over their weights differ by at most (cost + correction) over weight of the one plus the same of the other,
//! where cost is the largest charge of a call and correction the largest sum of corrections under way.

use courseshed_types::CallId;

use crate::{
    tables::{BranchTable, Listing, NodeIndex},
    units::{Service, VirtualTime},
};

/// Brings the listings of a node and all above it up to date. `warp` is the service one step of priority may
/// overtake by. A node that was idle starts no earlier than its parent's virtual time unless `keeps_credit`.
pub(crate) fn refresh(tree: &mut BranchTable, from: NodeIndex, warp: u64, keeps_credit: bool) {
    let mut current = Some(from);
    while let Some(index) = current {
        let parent = tree.node(index).parent;
        if let Some(parent) = parent {
            activate(tree, index, parent, keeps_credit);
            relist(tree, index, parent, warp);
        }
        current = parent;
    }
}

/// The call to be served next: below the most overdue floor, else by shares.
pub(crate) fn next_call(tree: &BranchTable) -> Option<(NodeIndex, CallId)> {
    let mut index = overdue_floor(tree).unwrap_or(NodeIndex::ROOT);
    while let Some((_, child)) = tree.node(index).active.first() {
        index = *child;
    }
    let (_, call) = tree.node(index).queue.first()?;
    Some((index, *call))
}

/// Moves the virtual times above a queue on to the service that starts there; before the call is taken out.
pub(crate) fn begin_service(tree: &mut BranchTable, queue: NodeIndex) {
    for index in path(tree, queue) {
        let node = tree.node(index);
        if let (Some(listing), Some(parent)) = (node.listing, node.parent) {
            let parent = tree.node_mut(parent);
            parent.virtual_now = parent.virtual_now.max(listing.key);
        }
    }
}

/// Charges service to a queue and all above it.
pub(crate) fn charge(tree: &mut BranchTable, queue: NodeIndex, service: Service, warp: u64) {
    for index in path(tree, queue) {
        advance(tree, index, i128::from(service.0));
    }
    refresh(tree, queue, warp, true);
}

/// Replaces a charge made by estimate by what was counted.
pub(crate) fn correct(
    tree: &mut BranchTable,
    queue: NodeIndex,
    charged: Service,
    counted: Service,
    warp: u64,
) {
    let difference = i128::from(counted.0) - i128::from(charged.0);
    for index in path(tree, queue) {
        advance(tree, index, difference);
    }
    refresh(tree, queue, warp, true);
}

fn path(tree: &BranchTable, from: NodeIndex) -> Vec<NodeIndex> {
    tree.path_up(from).collect()
}

fn advance(tree: &mut BranchTable, index: NodeIndex, units: i128) {
    let pool_served = tree.node(NodeIndex::ROOT).served;
    let node = tree.node_mut(index);
    node.start += VirtualTime::of_service(units, node.weight);
    if node.floor > 0.0 {
        node.floor_start += VirtualTime::of_service(units, node.floor);
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
    let parent_now = tree.node(parent).virtual_now;
    let pool_now = pool_clock(tree);
    let node = tree.node_mut(index);
    node.start = node.start.max(parent_now);
    node.floor_start = node.floor_start.max(pool_now);
}

fn relist(tree: &mut BranchTable, index: NodeIndex, parent: NodeIndex, warp: u64) {
    let listing = listing_of(tree, index, warp);
    let older = std::mem::replace(&mut tree.node_mut(index).listing, listing);
    if older == listing {
        return;
    }
    if let Some(older) = older {
        let parent = tree.node_mut(parent);
        parent.active.remove(&(older.key, index));
        parent.urgent.remove(&(older.urgency, index));
        if let Some(floor) = older.floor {
            tree.floors.remove(&(floor, index));
        }
    }
    if let Some(listing) = listing {
        let parent = tree.node_mut(parent);
        parent.active.insert((listing.key, index));
        parent.urgent.insert((listing.urgency, index));
        if let Some(floor) = listing.floor {
            tree.floors.insert((floor, index));
        }
    }
}

fn listing_of(tree: &BranchTable, index: NodeIndex, warp: u64) -> Option<Listing> {
    let node = tree.node(index);
    let own = node.queue.first().map(|(rank, _)| rank.urgency);
    let below = node.urgent.last().map(|(urgency, _)| *urgency);
    let urgency = own.or(below)?;
    let overtakes = i128::from(urgency) * i128::from(warp);
    Some(Listing {
        key: node.start - VirtualTime::of_service(overtakes, 1.0),
        urgency,
        floor: (node.floor > 0.0).then_some(node.floor_start),
    })
}

fn overdue_floor(tree: &BranchTable) -> Option<NodeIndex> {
    let (due, index) = tree.floors.first()?;
    (*due <= pool_clock(tree)).then_some(*index)
}

fn pool_clock(tree: &BranchTable) -> VirtualTime {
    let served = tree.node(NodeIndex::ROOT).served;
    VirtualTime::of_service(i128::from(served), 1.0)
}
