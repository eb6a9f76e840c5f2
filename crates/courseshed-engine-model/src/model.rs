//! The engine model's interface.

use crate::cache::{BlockCache, CacheChange};
use crate::config::{ConfigError, EngineModelConfig};
use crate::event::EngineEvent;
use crate::hash::BlockHash;
use crate::lease::{LeaseGrant, LeaseTable, LeaseView};
use crate::load::{EngineCounters, EngineLoad};
use crate::request::{
    EngineRequest, OwnerKey, ProgramKey, RequestKey, RequestProgress, SubmitError,
};
use crate::sequence::{Sequence, ServiceOrder};
use crate::step::Step;
use crate::transfer::{Transfer, TransferKind, TransferTable, TransferTicket};
use crate::waste::WasteByOwner;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The costs of a step, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepCosts {
    pub(crate) base: u64,
    pub(crate) per_decode: u64,
    pub(crate) per_prefill_token: u64,
}

impl StepCosts {
    fn new(config: &EngineModelConfig, slow_factor: f64) -> Self {
        let scaled = |cost: Duration| (cost.as_nanos() as f64 * slow_factor) as u64;
        StepCosts {
            base: scaled(config.step_base).max(1),
            per_decode: scaled(config.step_per_decode),
            per_prefill_token: scaled(config.step_per_prefill_token),
        }
    }
}

/// One engine.
pub struct EngineModel {
    pub(crate) config: EngineModelConfig,
    pub(crate) costs: StepCosts,
    pub(crate) cache: BlockCache,
    pub(crate) leases: LeaseTable,
    pub(crate) transfers: TransferTable,
    pub(crate) waiting: BTreeMap<ServiceOrder, Sequence>,
    pub(crate) waiting_prompt_tokens: u64,
    /// In the order of service.
    pub(crate) running: Vec<Sequence>,
    pub(crate) step: Option<Step>,
    /// Set when the head of the queue did not fit, until something may have made room.
    pub(crate) admission_blocked: bool,
    pub(crate) clock: u64,
    pub(crate) events: Vec<EngineEvent>,
    pub(crate) counters: EngineCounters,
    next_arrival: u64,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    pub fn new(config: EngineModelConfig) -> Result<Self, ConfigError> {
        config.check()?;
        let cache = BlockCache::new(
            config.kv_blocks,
            config.block_tokens,
            config.lease_limit(),
            config.record_cache_changes,
        );
        Ok(EngineModel {
            costs: StepCosts::new(&config, 1.0),
            cache,
            leases: LeaseTable::default(),
            transfers: TransferTable::default(),
            waiting: BTreeMap::new(),
            waiting_prompt_tokens: 0,
            running: Vec::with_capacity(config.max_batch),
            step: None,
            admission_blocked: false,
            clock: 0,
            events: Vec::new(),
            counters: EngineCounters::default(),
            next_arrival: 0,
            config,
        })
    }

    /// The configuration it was made with.
    pub fn config(&self) -> &EngineModelConfig {
        &self.config
    }

    /// Makes every later step last `factor` times its modelled duration.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.costs = StepCosts::new(&self.config, factor);
        self.end_repetition();
    }

    /// Has the step after the one under way planned afresh.
    fn end_repetition(&mut self) {
        if let Some(step) = &mut self.step {
            step.repeatable = false;
        }
    }

    /// Takes a request in; it joins the batch at the end of the step under way, at the earliest.
    pub fn submit(&mut self, now: Duration, request: EngineRequest) -> Result<(), SubmitError> {
        self.run_until(nanos(now));
        self.check_request(&request)?;
        let sequence = Sequence::new(request, self.next_arrival);
        self.next_arrival += 1;
        self.counters.submitted += 1;
        self.insert_waiting(sequence);
        self.run_until(nanos(now));
        Ok(())
    }

    fn check_request(&self, request: &EngineRequest) -> Result<(), SubmitError> {
        if request.prompt_tokens == 0 || request.output_tokens == 0 {
            return Err(SubmitError::Empty);
        }
        let needed = self.config.blocks_for(request.total_tokens());
        if needed > self.config.kv_blocks {
            return Err(SubmitError::TooLarge {
                needed,
                blocks: self.config.kv_blocks,
            });
        }
        if self.progress(request.key).is_some() {
            return Err(SubmitError::KeyInUse);
        }
        Ok(())
    }

    pub(crate) fn insert_waiting(&mut self, sequence: Sequence) {
        self.admission_blocked = false;
        self.waiting_prompt_tokens += u64::from(sequence.request.prompt_tokens);
        self.waiting.insert(sequence.order(), sequence);
    }

    /// Advances to `now` and appends what happened to `events`, in the order it happened.
    pub fn advance(&mut self, now: Duration, events: &mut Vec<EngineEvent>) {
        self.run_until(nanos(now));
        events.append(&mut self.events);
        let at = self
            .step
            .map_or(self.clock, |step| step.ends_at - step.duration);
        for sequence in &mut self.running {
            events.extend(sequence.take_report(at));
        }
    }

    /// When the next event other than further tokens is due, if nothing is submitted before.
    pub fn next_event_at(&self) -> Option<Duration> {
        let step = self.step.map(|step| match step.repeatable {
            true => step.ends_at + step.duration * (self.steps_to_next_finish() - 1),
            false => step.ends_at,
        });
        let next = step.into_iter().chain(self.next_timer()).min();
        next.map(Duration::from_nanos)
    }

    /// When the step under way ends and gives its tokens; `None` when idle.
    pub fn next_token_at(&self) -> Option<Duration> {
        self.step.map(|step| Duration::from_nanos(step.ends_at))
    }

    /// How far a request has come; `None` if it is not under way.
    pub fn progress(&self, key: RequestKey) -> Option<RequestProgress> {
        let of_key = |sequence: &&Sequence| sequence.request.key == key;
        if let Some(sequence) = self.running.iter().find(of_key) {
            let produced = sequence.produced;
            return Some(RequestProgress::Running { produced });
        }
        let sequence = self.waiting.values().find(of_key)?;
        let produced = sequence.produced;
        Some(RequestProgress::Waiting { produced })
    }

    /// Ends a request and releases its memory; how far it had come, or `None` if not under way.
    pub fn cancel(&mut self, now: Duration, key: RequestKey) -> Option<RequestProgress> {
        self.run_until(nanos(now));
        let progress = self.progress(key)?;
        self.counters.cancelled += 1;
        self.admission_blocked = false;
        self.end_repetition();
        match progress {
            RequestProgress::Running { .. } => self.cancel_running(key),
            RequestProgress::Waiting { .. } => self.cancel_waiting(key),
        }
        Some(progress)
    }

    fn cancel_running(&mut self, key: RequestKey) {
        let place = self
            .running
            .iter()
            .position(|sequence| sequence.request.key == key);
        if let Some(place) = place {
            self.running.remove(place).release(&mut self.cache);
        }
    }

    fn cancel_waiting(&mut self, key: RequestKey) {
        let mut found = self
            .waiting
            .values()
            .filter(|sequence| sequence.request.key == key);
        if let Some(order) = found.next().map(Sequence::order)
            && let Some(sequence) = self.waiting.remove(&order)
        {
            self.waiting_prompt_tokens -= u64::from(sequence.request.prompt_tokens);
        }
    }

    /// Leases the cached head of a chain until `expires_at`, in place of the program's older one.
    pub fn put_lease(
        &mut self,
        now: Duration,
        program: ProgramKey,
        chain: Arc<[BlockHash]>,
        expires_at: Duration,
    ) -> LeaseGrant {
        self.run_until(nanos(now));
        self.admission_blocked = false;
        self.leases
            .put(&mut self.cache, program, chain, nanos(expires_at))
    }

    /// Moves a lease's expiry; `None` if the program holds none.
    pub fn renew_lease(
        &mut self,
        now: Duration,
        program: ProgramKey,
        expires_at: Duration,
    ) -> Option<LeaseGrant> {
        self.run_until(nanos(now));
        self.leases.renew(program, nanos(expires_at))
    }

    /// Gives a lease up; false if the program held none.
    pub fn remove_lease(&mut self, now: Duration, program: ProgramKey) -> bool {
        self.run_until(nanos(now));
        self.admission_blocked = false;
        self.leases.remove(&mut self.cache, program)
    }

    /// Leases in force, by program.
    pub fn leases(&self) -> Vec<LeaseView> {
        self.leases.list()
    }

    /// Drops the unheld blocks of a chain at once; returns how many.
    pub fn drop_prefix(&mut self, now: Duration, chain: &[BlockHash]) -> usize {
        self.run_until(nanos(now));
        self.admission_blocked = false;
        self.cache.drop_chain(chain)
    }

    /// Starts to copy the cached head of a chain out; the blocks no longer count as wasted.
    pub fn export(&mut self, now: Duration, chain: Arc<[BlockHash]>) -> TransferTicket {
        let now = nanos(now);
        self.run_until(now);
        let blocks = self.cache.mark_exported(&chain);
        let owner = OwnerKey(0);
        let per_block = nanos(self.config.transfer_per_block);
        self.transfers
            .start(now, per_block, TransferKind::Export, chain, blocks, owner)
    }

    /// Starts to copy a chain in; its blocks are cached when the transfer ends.
    pub fn import(
        &mut self,
        now: Duration,
        chain: Arc<[BlockHash]>,
        owner: OwnerKey,
    ) -> TransferTicket {
        let now = nanos(now);
        self.run_until(now);
        let blocks = chain.len() - self.cache.match_prefix(&chain).blocks;
        let per_block = nanos(self.config.transfer_per_block);
        self.transfers
            .start(now, per_block, TransferKind::Import, chain, blocks, owner)
    }

    pub(crate) fn finish_transfer(&mut self, at: u64, transfer: Transfer) {
        let blocks = match transfer.kind {
            TransferKind::Export => transfer.blocks,
            TransferKind::Import => self.cache.import(&transfer.chain, transfer.owner),
        };
        self.events.push(EngineEvent::Transferred {
            transfer: transfer.number,
            kind: transfer.kind,
            blocks,
            at: Duration::from_nanos(at),
        });
    }

    /// Leading blocks of a chain that are cached.
    pub fn cached_prefix(&self, chain: &[BlockHash]) -> usize {
        self.cache.match_prefix(chain).blocks
    }

    /// All cached blocks, sorted.
    pub fn cached_blocks(&self) -> Vec<BlockHash> {
        self.cache.list()
    }

    /// Cache changes since the last call, if the configuration has them recorded.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.cache.take_changes()
    }

    /// Tokens filled and lost before reuse so far, by owner.
    pub fn waste_by_owner(&self) -> &WasteByOwner {
        self.cache.waste()
    }

    /// Tokens cached now that were not reused yet, by owner: lost if the run ended here.
    pub fn unreused_tokens_by_owner(&self) -> BTreeMap<OwnerKey, u64> {
        self.cache.unreused_tokens()
    }

    /// A snapshot of the load.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            waiting_prompt_tokens: self.waiting_prompt_tokens,
            total_blocks: self.config.kv_blocks,
            free_blocks: self.cache.free(),
            cached_blocks: self.cache.registered(),
            evictable_blocks: self.cache.evictable(),
            leased_blocks: self.cache.leased(),
            leases: self.leases.len(),
        }
    }

    /// Sums since the start.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }
}

fn nanos(time: Duration) -> u64 {
    time.as_nanos() as u64
}
