//! Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "Using name-based mappings to increase
//! hit rates" (1998).
//!
//! The candidate with the highest score for a key owns it. Removing a candidate moves only its own keys; a new one
//! takes an even share from the others.

use courseshed_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a node for a key; higher is preferred.
pub fn score(key: &str, node: NodeId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), u64::from(node.0))
}

/// Returns the candidates for a key, most preferred first.
pub fn ranked(key: &str, candidates: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = candidates.into_iter().collect();
    nodes.sort_by_key(|node| (std::cmp::Reverse(score(key, *node)), *node));
    nodes.dedup();
    nodes
}

/// Returns the most preferred candidate for a key.
pub fn preferred(key: &str, candidates: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
    candidates
        .into_iter()
        .max_by_key(|node| (score(key, *node), std::cmp::Reverse(*node)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYS: u32 = 2_000;

    fn nodes(count: u32) -> Vec<NodeId> {
        (1..=count).map(NodeId).collect()
    }

    #[test]
    fn ranked_and_preferred_agree() {
        for key in 0..50 {
            let key = key.to_string();
            assert_eq!(
                ranked(&key, nodes(9)).first().copied(),
                preferred(&key, nodes(9))
            );
        }
    }

    #[test]
    fn only_keys_of_the_removed_node_move() {
        let lost = NodeId(4);
        let rest: Vec<NodeId> = nodes(10).into_iter().filter(|node| *node != lost).collect();
        for key in 0..KEYS {
            let key = key.to_string();
            let before = preferred(&key, nodes(10));
            let after = preferred(&key, rest.iter().copied());
            assert!(before == Some(lost) || before == after);
        }
    }

    #[test]
    fn keys_are_distributed_evenly() {
        let mut counts = [0u32; 10];
        for key in 0..KEYS {
            let node = preferred(&key.to_string(), nodes(10)).expect("candidates");
            counts[node.0 as usize - 1] += 1;
        }
        let even = KEYS / 10;
        assert!(counts.iter().all(|count| count.abs_diff(even) < even / 3));
    }
}
