//! Which controllers a node follows. Pure.
//!
//! All nodes know the same few controllers to begin with. Had each stayed with the first that answers, three of
//! ten would have carried all of a large fleet: 288 followers each of 865, and ten times the work of the others.

use std::time::Duration;

use courseshed_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much later than the fastest one a controller may answer to count as near: several times the way between
/// the zones of a region (1 to 3 ms) and what a busy controller takes, and less than a way between regions
/// (60 ms).
const NEAR: Duration = Duration::from_millis(25);

/// A controller, and how long it took to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateController {
    /// The machine.
    pub node: NodeId,
    /// From the question to its answer; none if none came.
    pub answered_in: Option<Duration>,
}

/// The order in which a node follows controllers: those that are near before those that are far, those that
/// don't answer last. Among them each node has an order of its own, which stays the same at each start.
#[must_use]
pub fn order_of_controllers(own: NodeId, candidates: Vec<CandidateController>) -> Vec<NodeId> {
    let fastest = candidates
        .iter()
        .filter_map(|candidate| candidate.answered_in)
        .min();
    let limit = fastest.unwrap_or_default() + NEAR;
    let distance = |candidate: &CandidateController| match candidate.answered_in {
        Some(time) if time <= limit => 0,
        Some(_) => 1,
        None => 2,
    };
    let preference = |node: NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(own.0));
    let mut order = candidates;
    order.sort_by_key(|candidate| (distance(candidate), preference(candidate.node)));
    order.into_iter().map(|candidate| candidate.node).collect()
}
