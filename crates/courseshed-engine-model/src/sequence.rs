//! The state of one request inside the engine.

use crate::cache::BlockCache;
use crate::event::EngineEvent;
use crate::request::EngineRequest;
use std::cmp::Reverse;
use std::time::Duration;

/// The order of service: higher priority first, then earlier arrival.
pub(crate) type ServiceOrder = (Reverse<i32>, u64);

pub(crate) struct Sequence {
    pub(crate) request: EngineRequest,
    pub(crate) arrival: u64,
    /// Leading blocks of the chain that are registered and referred to.
    pub(crate) held: usize,
    /// Private blocks taken.
    pub(crate) private: usize,
    /// Tokens whose KV entries are in memory.
    pub(crate) computed: u64,
    /// Tokens generated.
    pub(crate) produced: u32,
    /// Tokens generated and reported.
    pub(crate) reported: u32,
    /// Prompt tokens to compute in the step under way.
    pub(crate) chunk: u32,
    /// Prompt tokens found in the cache at the first start.
    pub(crate) cached_tokens: Option<u32>,
}

impl Sequence {
    pub(crate) fn new(request: EngineRequest, arrival: u64) -> Self {
        Sequence {
            request,
            arrival,
            held: 0,
            private: 0,
            computed: 0,
            produced: 0,
            reported: 0,
            chunk: 0,
            cached_tokens: None,
        }
    }

    pub(crate) fn order(&self) -> ServiceOrder {
        (Reverse(self.request.priority), self.arrival)
    }

    /// Tokens that must be in memory before the next token can be generated.
    pub(crate) fn context(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    /// Whether each further step generates one token.
    ///
    /// A decoding request's last token is not in memory yet: it is computed by the next step.
    pub(crate) fn is_decoding(&self) -> bool {
        self.produced > 0 && self.computed + 1 == self.context()
    }

    pub(crate) fn remaining(&self) -> u32 {
        self.request.output_tokens - self.produced
    }

    /// Blocks lacking before `steps` further decode steps are done.
    pub(crate) fn blocks_lacking(&self, steps: u64, block_tokens: u32) -> usize {
        let needed = (self.computed + steps).div_ceil(u64::from(block_tokens)) as usize;
        needed.saturating_sub(self.held + self.private)
    }

    /// Registers the blocks that the computed tokens have filled.
    pub(crate) fn register_filled(&mut self, cache: &mut BlockCache, block_tokens: u32) {
        let full = (self.computed / u64::from(block_tokens)) as usize;
        let cacheable = full.min(self.request.blocks.len());
        while self.held < cacheable {
            cache.register(self.request.blocks[self.held], self.request.owner);
            self.held += 1;
            self.private -= 1;
        }
    }

    /// Gives all memory back; what is registered stays in the cache until evicted.
    pub(crate) fn release(&mut self, cache: &mut BlockCache) {
        cache.release(&self.request.blocks[..self.held]);
        cache.release_private(self.private);
        self.held = 0;
        self.private = 0;
        self.computed = 0;
        self.chunk = 0;
    }

    /// The run of tokens not reported yet.
    pub(crate) fn take_report(&mut self, at: u64) -> Option<EngineEvent> {
        let count = self.produced - self.reported;
        if count == 0 {
            return None;
        }
        let first_index = self.reported;
        self.reported = self.produced;
        Some(EngineEvent::Tokens {
            request: self.request.key,
            first_index,
            count,
            at: Duration::from_nanos(at),
        })
    }
}
