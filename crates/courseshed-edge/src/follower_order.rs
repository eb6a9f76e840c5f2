//! The order in which a node prefers controllers. Pure.
//!
//! All nodes start from the same seeds. A per-node order spreads followers over all controllers instead of
//! concentrating them on the seeds.

use std::time::Duration;

use courseshed_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much later than the fastest controller another may answer and still count as near: above the latency
/// between zones of a region, below the latency between regions.
const NEAR: Duration = Duration::from_millis(25);

/// A controller and its response time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateController {
    /// The machine.
    pub node: NodeId,
    /// Response time; none if it did not answer.
    pub answered_in: Option<Duration>,
}

/// Sorts controllers by preference: near ones, then far ones, then those that did not answer. Ties are broken by
/// a hash of both nodes, which differs between nodes and is stable across restarts.
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
