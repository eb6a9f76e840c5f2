//! The block table: prefix cache, references, and eviction.
//!
//! Memory is `capacity` blocks. A block is *private* (taken by a running request, not yet full
//! or never cacheable), *registered* under its hash, or free. A registered block is evictable
//! when no running request refers to it and no lease holds it. Blocks are released tail first,
//! so that the least recently used evictable block is never in front of a kept one of its chain.

use crate::hash::BlockHash;
use crate::request::OwnerKey;
use crate::waste::{LossCause, WasteByOwner, WasteLedger};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

/// Spreads block hashes, which callers may choose to be consecutive numbers.
#[derive(Default)]
pub(crate) struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let product = value.wrapping_mul(GOLDEN_RATIO);
        self.0 = product ^ (product >> 32);
    }
}

#[derive(Clone, Copy, Debug)]
struct Block {
    owner: OwnerKey,
    references: u32,
    leases: u32,
    recency: u64,
    reused: bool,
    exported: bool,
}

impl Block {
    fn is_evictable(&self) -> bool {
        self.references == 0 && self.leases == 0
    }
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChangeKind {
    /// The block became available for reuse.
    Stored,
    /// The block is gone.
    Evicted,
}

/// One change of the cache's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// What happened.
    pub kind: CacheChangeKind,
    /// To which block.
    pub block: BlockHash,
}

/// How much of a chain is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixMatch {
    /// Leading blocks that are registered.
    pub(crate) blocks: usize,
    /// How many of them are evictable now, and would not be once referred to.
    pub(crate) evictable: usize,
}

pub(crate) struct BlockCache {
    capacity: usize,
    block_tokens: u32,
    lease_limit: usize,
    private: usize,
    leased: usize,
    blocks: HashMap<BlockHash, Block, BuildHasherDefault<BlockHasher>>,
    evictable: BTreeSet<(u64, BlockHash)>,
    recency: u64,
    waste: WasteLedger,
    record_changes: bool,
    changes: Vec<CacheChange>,
}

impl BlockCache {
    pub(crate) fn new(
        capacity: usize,
        block_tokens: u32,
        lease_limit: usize,
        record_changes: bool,
    ) -> Self {
        BlockCache {
            capacity,
            block_tokens,
            lease_limit,
            private: 0,
            leased: 0,
            blocks: HashMap::default(),
            evictable: BTreeSet::new(),
            recency: 0,
            waste: WasteLedger::default(),
            record_changes,
            changes: Vec::new(),
        }
    }

    pub(crate) fn free(&self) -> usize {
        self.capacity - self.blocks.len() - self.private
    }

    /// Blocks that can be had, by eviction if need be.
    pub(crate) fn available(&self) -> usize {
        self.free() + self.evictable.len()
    }

    pub(crate) fn evictable(&self) -> usize {
        self.evictable.len()
    }

    pub(crate) fn registered(&self) -> usize {
        self.blocks.len()
    }

    pub(crate) fn leased(&self) -> usize {
        self.leased
    }

    pub(crate) fn match_prefix(&self, chain: &[BlockHash]) -> PrefixMatch {
        let mut found = PrefixMatch {
            blocks: 0,
            evictable: 0,
        };
        for hash in chain {
            let Some(block) = self.blocks.get(hash) else {
                break;
            };
            found.blocks += 1;
            found.evictable += usize::from(block.is_evictable());
        }
        found
    }

    /// Refers to blocks that are registered; `reuse` counts it as the reuse of them.
    pub(crate) fn acquire(&mut self, chain: &[BlockHash], reuse: bool) {
        for hash in chain {
            let block = self
                .blocks
                .get_mut(hash)
                .expect("acquired blocks are registered");
            if block.is_evictable() {
                self.evictable.remove(&(block.recency, *hash));
            }
            block.references += 1;
            block.reused |= reuse;
        }
    }

    /// Takes `count` private blocks, evicting if need be; false and unchanged if there are none.
    pub(crate) fn reserve(&mut self, count: usize) -> bool {
        if count > self.available() {
            return false;
        }
        while self.free() < count {
            self.evict_oldest();
        }
        self.private += count;
        true
    }

    fn evict_oldest(&mut self) {
        if let Some((_, hash)) = self.evictable.pop_first() {
            self.forget(hash, LossCause::Evicted);
        }
    }

    fn forget(&mut self, hash: BlockHash, cause: LossCause) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        if !block.reused && !block.exported {
            self.waste.charge(block.owner, self.block_tokens, cause);
        }
        self.record(CacheChangeKind::Evicted, hash);
    }

    fn record(&mut self, kind: CacheChangeKind, block: BlockHash) {
        if self.record_changes {
            self.changes.push(CacheChange { kind, block });
        }
    }

    /// Turns one private block, now full, into a registered one that the request refers to.
    pub(crate) fn register(&mut self, hash: BlockHash, owner: OwnerKey) {
        self.private -= 1;
        if self.blocks.contains_key(&hash) {
            self.acquire(&[hash], false);
            return;
        }
        self.insert(hash, owner, 1);
    }

    fn insert(&mut self, hash: BlockHash, owner: OwnerKey, references: u32) {
        let block = Block {
            owner,
            references,
            leases: 0,
            recency: 0,
            reused: false,
            exported: false,
        };
        self.blocks.insert(hash, block);
        self.record(CacheChangeKind::Stored, hash);
    }

    pub(crate) fn release_private(&mut self, count: usize) {
        self.private -= count;
    }

    /// Gives up references, the tail first, so that the tail is evicted first.
    pub(crate) fn release(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().rev() {
            let block = self
                .blocks
                .get_mut(hash)
                .expect("released blocks are registered");
            block.references -= 1;
            self.touch(*hash);
        }
    }

    fn touch(&mut self, hash: BlockHash) {
        self.recency += 1;
        let recency = self.recency;
        if let Some(block) = self.blocks.get_mut(&hash)
            && block.is_evictable()
        {
            block.recency = recency;
            self.evictable.insert((recency, hash));
        }
    }

    /// Leases the registered head of a chain, up to the limit; returns how many blocks.
    pub(crate) fn lease(&mut self, chain: &[BlockHash]) -> usize {
        let mut held = 0;
        for hash in chain {
            let Some(block) = self.blocks.get_mut(hash) else {
                break;
            };
            if block.leases == 0 && self.leased >= self.lease_limit {
                break;
            }
            if block.is_evictable() {
                self.evictable.remove(&(block.recency, *hash));
            }
            self.leased += usize::from(block.leases == 0);
            block.leases += 1;
            held += 1;
        }
        held
    }

    pub(crate) fn unlease(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().rev() {
            let block = self
                .blocks
                .get_mut(hash)
                .expect("leased blocks are registered");
            block.leases -= 1;
            self.leased -= usize::from(block.leases == 0);
            self.touch(*hash);
        }
    }

    /// Drops the unheld blocks of a chain; returns how many.
    pub(crate) fn drop_chain(&mut self, chain: &[BlockHash]) -> usize {
        let mut dropped = 0;
        for hash in chain.iter().rev() {
            let Some(block) = self.blocks.get(hash) else {
                continue;
            };
            if block.is_evictable() {
                self.evictable.remove(&(block.recency, *hash));
                self.forget(*hash, LossCause::Dropped);
                dropped += 1;
            }
        }
        dropped
    }

    /// Marks the registered head of a chain as copied elsewhere; returns its length.
    pub(crate) fn mark_exported(&mut self, chain: &[BlockHash]) -> usize {
        let found = self.match_prefix(chain).blocks;
        for hash in &chain[..found] {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.exported = true;
            }
        }
        found
    }

    /// Stores imported blocks, from the head on while there is room; returns how many are there.
    pub(crate) fn import(&mut self, chain: &[BlockHash], owner: OwnerKey) -> usize {
        let present = self.match_prefix(chain).blocks;
        self.acquire(&chain[..present], false);
        let mut stored = present;
        while stored < chain.len() && self.reserve(1) {
            self.register(chain[stored], owner);
            stored += 1;
        }
        self.release(&chain[..stored]);
        stored
    }

    pub(crate) fn waste(&self) -> &WasteByOwner {
        self.waste.by_owner()
    }

    /// Tokens in blocks that are cached and were not reused yet, by owner.
    pub(crate) fn unreused_tokens(&self) -> BTreeMap<OwnerKey, u64> {
        let mut tokens = BTreeMap::new();
        for block in self
            .blocks
            .values()
            .filter(|block| !block.reused && !block.exported)
        {
            *tokens.entry(block.owner).or_default() += u64::from(self.block_tokens);
        }
        tokens
    }

    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// All registered blocks in order of their hashes.
    pub(crate) fn list(&self) -> Vec<BlockHash> {
        let mut hashes: Vec<BlockHash> = self.blocks.keys().copied().collect();
        hashes.sort_unstable();
        hashes
    }

    #[cfg(test)]
    pub(crate) fn check(&self) {
        assert!(self.blocks.len() + self.private <= self.capacity);
        assert!(self.leased <= self.lease_limit);
        let evictable = self
            .blocks
            .values()
            .filter(|block| block.is_evictable())
            .count();
        assert_eq!(evictable, self.evictable.len());
        let leased = self
            .blocks
            .values()
            .filter(|block| block.leases > 0)
            .count();
        assert_eq!(leased, self.leased);
    }
}
