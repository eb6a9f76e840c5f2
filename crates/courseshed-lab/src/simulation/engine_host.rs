//! A modelled engine with what its process adds: programs' chains, numbered cache events, starts and states.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_engine_model::{
    BlockHash, CacheChangeKind, EngineCounters, EngineEvent, EngineModel, OwnerKey, ProgramKey,
};
use courseshed_types::{
    ModelName, Timestamp, Tokens,
    dispatch::{CacheChange, CacheEvent, EngineLoad, EngineState, LeaseEntry},
};

use super::{
    event::{PoolIndex, ProgramIndex},
    program::{owner_of_block, program_id},
    scenario::EngineSpec,
};

/// One engine of a run.
pub(super) struct EngineHost {
    pub(super) pool: PoolIndex,
    pub(super) model: EngineModel,
    served_model: ModelName,
    /// Counts the starts of the process.
    pub(super) start: u64,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// When it is looked at next already.
    pub(super) move_at: Option<Timestamp>,
    /// The latest context of each program that it may still hold.
    chains: BTreeMap<ProgramIndex, Arc<[BlockHash]>>,
    last_event: u64,
    /// Waste of ended programs that was accounted already, for this start.
    pub(super) accounted: BTreeMap<OwnerKey, u64>,
    /// Sums of earlier starts.
    pub(super) earlier: EngineCounters,
    /// Sums of the batch in use, over samples.
    pub(super) batch_sum: u64,
    /// Sums of the part of memory in use by calls, over samples.
    pub(super) memory_sum: f64,
    /// Samples taken.
    pub(super) samples: u64,
}

/// The engine model's time.
pub(super) fn model_time(at: Timestamp) -> Duration {
    Duration::from_micros(at.0)
}

impl EngineHost {
    pub(super) fn new(spec: &EngineSpec, pool: PoolIndex) -> EngineHost {
        let mut config = spec.config.clone();
        config.record_cache_changes = true;
        EngineHost {
            pool,
            model: EngineModel::new(config).expect("checked with the scenario"),
            served_model: spec.model.clone(),
            start: 1,
            is_alive: true,
            is_leaving: false,
            move_at: None,
            chains: BTreeMap::new(),
            last_event: 0,
            accounted: BTreeMap::new(),
            earlier: EngineCounters::default(),
            batch_sum: 0,
            memory_sum: 0.0,
            samples: 0,
        }
    }

    /// What the list of engines says.
    pub(super) fn state(&self) -> EngineState {
        match (self.is_alive, self.is_leaving) {
            (false, _) => EngineState::Down,
            (true, true) => EngineState::Leaving,
            (true, false) => EngineState::Live,
        }
    }

    /// Brings the model to the present without looking at what happened.
    pub(super) fn catch_up(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        if self.is_alive {
            self.model.advance(model_time(now), &mut events);
        }
        events
    }

    /// Notes the context that a program's request fills.
    pub(super) fn note_chain(&mut self, program: ProgramIndex, chain: Arc<[BlockHash]>) {
        self.chains.insert(program, chain);
    }

    /// The program is over; its context is of no use.
    pub(super) fn forget_chain(&mut self, program: ProgramIndex) {
        self.chains.remove(&program);
    }

    /// Leases a program's cached context for so long.
    pub(super) fn lease(&mut self, now: Timestamp, program: ProgramIndex, time: Duration) {
        let key = ProgramKey(program as u64);
        let expires = model_time(now + time);
        let renewed = self.model.renew_lease(model_time(now), key, expires);
        let is_whole = renewed.is_some_and(|grant| grant.held_blocks == grant.asked_blocks);
        if is_whole {
            return;
        }
        if let Some(chain) = self.chains.get(&program) {
            let chain = Arc::clone(chain);
            self.model.put_lease(model_time(now), key, chain, expires);
        }
    }

    /// Gives a program's lease up.
    pub(super) fn release(&mut self, now: Timestamp, program: ProgramIndex) {
        let key = ProgramKey(program as u64);
        self.model.remove_lease(model_time(now), key);
    }

    /// Copies a program's cached context out; the copy is kept for good.
    pub(super) fn export(
        &mut self,
        now: Timestamp,
        program: ProgramIndex,
    ) -> Option<Arc<[BlockHash]>> {
        let chain = Arc::clone(self.chains.get(&program)?);
        let cached = self.model.cached_prefix(&chain);
        let copied: Arc<[BlockHash]> = chain[..cached].into();
        self.model.export(model_time(now), Arc::clone(&copied));
        Some(copied)
    }

    /// Brings a copy of a program's context in.
    pub(super) fn import(&mut self, now: Timestamp, program: ProgramIndex, copy: Arc<[BlockHash]>) {
        let owner = OwnerKey(program as u64);
        self.model.import(model_time(now), copy, owner);
    }

    /// The process died and another one starts empty.
    pub(super) fn restart(&mut self) {
        let config = self.model.config().clone();
        let counters = *self.model.counters();
        add_counters(&mut self.earlier, &counters);
        self.model = EngineModel::new(config).expect("it was made with this before");
        self.chains.clear();
        self.accounted.clear();
        self.last_event = 0;
        self.start += 1;
        self.move_at = None;
    }

    /// Counters over all starts.
    pub(super) fn counters(&self) -> EngineCounters {
        let mut counters = self.earlier;
        add_counters(&mut counters, self.model.counters());
        counters
    }

    /// The load as the engine reports it.
    pub(super) fn load(&self) -> EngineLoad {
        let load = self.model.load();
        let config = self.model.config();
        EngineLoad {
            running: load.running as u32,
            waiting: load.waiting as u32,
            max_batch: config.max_batch as u32,
            total_blocks: load.total_blocks as u32,
            free_blocks: load.free_blocks as u32,
            cached_blocks: load.evictable_blocks as u32,
            leased_blocks: load.leased_blocks as u32,
            block_tokens: config.block_tokens,
            start: self.start,
            leaving: self.is_leaving,
            models: vec![self.served_model.clone()],
        }
    }

    /// Evictions since the last call, one event for each program that lost blocks.
    pub(super) fn take_evictions(&mut self) -> Vec<CacheEvent> {
        let block_tokens = u64::from(self.model.config().block_tokens);
        let mut left: BTreeMap<ProgramIndex, u64> = BTreeMap::new();
        for change in self.model.take_cache_changes() {
            let owner = owner_of_block(change.block);
            if let (CacheChangeKind::Evicted, Some((program, block))) = (change.kind, owner) {
                let least = left.entry(program).or_insert(block);
                *least = block.min(*least);
            }
        }
        left.retain(|program, _| self.chains.contains_key(program));
        let events = left.into_iter().map(|(program, blocks)| {
            self.last_event += 1;
            CacheEvent {
                number: self.last_event,
                program: program_id(program),
                change: CacheChange::Evicted(Tokens(blocks * block_tokens)),
            }
        });
        events.collect()
    }

    /// All programs' prefixes that are cached, with their leases.
    pub(super) fn listing(&self, now: Timestamp) -> Vec<LeaseEntry> {
        let block_tokens = u64::from(self.model.config().block_tokens);
        let leases: BTreeMap<u64, Duration> = self
            .model
            .leases()
            .into_iter()
            .map(|view| {
                (
                    view.program.0,
                    view.expires_at.saturating_sub(model_time(now)),
                )
            })
            .collect();
        let entry = |(program, chain): (&ProgramIndex, &Arc<[BlockHash]>)| {
            let cached = self.model.cached_prefix(chain) as u64;
            LeaseEntry {
                program: program_id(*program),
                tokens: Tokens(cached * block_tokens),
                leased_for: leases.get(&(*program as u64)).copied(),
            }
        };
        self.chains.iter().map(entry).collect()
    }

    /// Takes a sample of its occupancy.
    pub(super) fn sample(&mut self) {
        let load = self.model.load();
        let in_use = load.total_blocks - load.free_blocks - load.evictable_blocks;
        self.batch_sum += load.running as u64;
        self.memory_sum += in_use as f64 / load.total_blocks as f64;
        self.samples += 1;
    }
}

fn add_counters(sum: &mut EngineCounters, more: &EngineCounters) {
    sum.submitted += more.submitted;
    sum.finished += more.finished;
    sum.cancelled += more.cancelled;
    sum.preemptions += more.preemptions;
    sum.hit_tokens += more.hit_tokens;
    sum.miss_tokens += more.miss_tokens;
    sum.prefill_tokens += more.prefill_tokens;
    sum.output_tokens += more.output_tokens;
    sum.steps += more.steps;
    sum.busy_nanos += more.busy_nanos;
    sum.leases_broken += more.leases_broken;
}
