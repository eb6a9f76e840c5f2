//! Which waiting requests enter the batch, and which running ones give way.

use crate::event::EngineEvent;
use crate::model::EngineModel;
use crate::sequence::Sequence;
use std::time::Duration;

impl EngineModel {
    /// Admits waiting requests in the order of service until one does not fit.
    ///
    /// The head of the queue is never passed by a smaller request behind it, or a large one
    /// could wait for ever.
    pub(crate) fn admit(&mut self, at: u64) {
        while !self.admission_blocked {
            let Some((_, head)) = self.waiting.first_key_value() else {
                return;
            };
            let priority = head.request.priority;
            if self.try_admit_head(at) {
                continue;
            }
            if self.preempt_below(priority, at) {
                continue;
            }
            if self.running.is_empty() && self.break_lease(at) {
                continue;
            }
            self.admission_blocked = true;
        }
    }

    fn try_admit_head(&mut self, at: u64) -> bool {
        if self.running.len() >= self.config.max_batch {
            return false;
        }
        let Some(entry) = self.waiting.first_entry() else {
            return false;
        };
        let sequence = entry.get();
        let reusable = reusable_blocks(sequence, self.config.block_tokens);
        let chain = &sequence.request.blocks[..reusable];
        let found = self.cache.match_prefix(chain);
        let needed = self.config.blocks_for(sequence.context()) - found.blocks;
        if needed > self.cache.available() - found.evictable {
            return false;
        }
        let mut sequence = entry.remove();
        let first_start = sequence.cached_tokens.is_none();
        self.waiting_prompt_tokens -= u64::from(sequence.request.prompt_tokens);
        self.cache
            .acquire(&sequence.request.blocks[..found.blocks], first_start);
        let reserved = self.cache.reserve(needed);
        debug_assert!(reserved, "the room was checked before");
        sequence.held = found.blocks;
        sequence.private = needed;
        sequence.computed = found.blocks as u64 * u64::from(self.config.block_tokens);
        if first_start {
            self.count_first_start(&mut sequence, at);
        }
        self.insert_running(sequence);
        true
    }

    fn count_first_start(&mut self, sequence: &mut Sequence, at: u64) {
        let cached_tokens = sequence.computed as u32;
        sequence.cached_tokens = Some(cached_tokens);
        self.counters.hit_tokens += u64::from(cached_tokens);
        self.counters.miss_tokens += u64::from(sequence.request.prompt_tokens - cached_tokens);
        self.events.push(EngineEvent::Started {
            request: sequence.request.key,
            cached_tokens,
            at: Duration::from_nanos(at),
        });
    }

    fn insert_running(&mut self, sequence: Sequence) {
        let order = sequence.order();
        let place = self.running.partition_point(|other| other.order() < order);
        self.running.insert(place, sequence);
    }

    /// Preempts the last running request if its priority is below `priority`.
    fn preempt_below(&mut self, priority: i32, at: u64) -> bool {
        let Some(last) = self.running.last() else {
            return false;
        };
        if last.request.priority >= priority {
            return false;
        }
        self.preempt_last(at);
        true
    }

    /// Takes the memory of the running request that is last in the order of service.
    pub(crate) fn preempt_last(&mut self, at: u64) {
        let Some(mut sequence) = self.running.pop() else {
            return;
        };
        self.events.extend(sequence.take_report(at));
        sequence.release(&mut self.cache);
        self.counters.preemptions += 1;
        self.events.push(EngineEvent::Preempted {
            request: sequence.request.key,
            at: Duration::from_nanos(at),
        });
        self.insert_waiting(sequence);
    }

    /// Breaks the lease that would run out first; false if there is none.
    pub(crate) fn break_lease(&mut self, at: u64) -> bool {
        let Some(program) = self.leases.break_first(&mut self.cache) else {
            return false;
        };
        self.counters.leases_broken += 1;
        self.events.push(EngineEvent::LeaseBroken {
            program,
            at: Duration::from_nanos(at),
        });
        true
    }
}

/// Leading blocks that may come from the cache: at least one token must be computed.
fn reusable_blocks(sequence: &Sequence, block_tokens: u32) -> usize {
    let whole = ((sequence.context() - 1) / u64::from(block_tokens)) as usize;
    whole.min(sequence.request.blocks.len())
}
