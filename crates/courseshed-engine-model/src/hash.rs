//! Chained block hashes: the identity of a KV block.
//!
//! A block's hash covers its own content and the hash of the block before it, so that equal
//! hashes mean equal prefixes. Every party that reasons about prefixes uses these functions.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The identity of one KV block and of the whole prefix that ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Hashes one block's content, chained to the block before it (`None` for the first).
pub fn chain_block_hash(previous: Option<BlockHash>, content: &[u8]) -> BlockHash {
    let seed = previous.map_or(0, |hash| hash.0);
    BlockHash(xxh3_64_with_seed(content, seed))
}

/// Hashes every full block of `content`; `block_bytes` is the block size in bytes.
///
/// A tail shorter than a block has no hash, since engines cache full blocks only.
pub fn chain_block_hashes(content: &[u8], block_bytes: usize) -> Vec<BlockHash> {
    let mut hashes = Vec::with_capacity(content.len() / block_bytes);
    let mut previous = None;
    for block in content.chunks_exact(block_bytes) {
        let hash = chain_block_hash(previous, block);
        hashes.push(hash);
        previous = Some(hash);
    }
    hashes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_hashes_mean_equal_prefixes() {
        let first = chain_block_hashes(b"aaaabbbbcccc", 4);
        let second = chain_block_hashes(b"aaaabbbbdddd", 4);
        let third = chain_block_hashes(b"xaaabbbbcccc", 4);
        assert_eq!(first[..2], second[..2]);
        assert_ne!(first[2], second[2]);
        assert!(first.iter().all(|hash| !third.contains(hash)));
        assert_eq!(chain_block_hashes(b"aaaabbb", 4).len(), 1);
    }
}
