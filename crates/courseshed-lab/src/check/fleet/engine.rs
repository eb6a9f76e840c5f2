//! An engine: the model of its computing, its table of request ids, its leases, and what it says of itself.
//!
//! Follows the engine protocol: an id runs at most once, a question about an unknown id buries it, a restart forgets
//! everything.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_engine_model::{
    BlockHash, EngineEvent, EngineModel, EngineModelConfig, OwnerKey, ProgramKey, RequestKey,
};
use courseshed_types::{
    EngineId, ModelName, NodeId, ProgramId, RequestId, Tokens,
    dispatch::{CacheChange, CacheEvent, EngineLoad, EngineOrderBody, LeaseEntry},
};

use super::{
    engine_requests::{EngineRecord, Phase},
    options::FleetVariant,
    wire::{EnginePoll, StreamId},
};

const BLOCK_TOKENS: u32 = 16;
const KV_BLOCKS: usize = 2_048;
const MAX_BATCH: usize = 4;
/// How long a lease lasts that never runs out.
const FOREVER: Duration = Duration::from_secs(1_000_000);

/// An attempt that the engine began, as an engine's own log would show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    pub request: RequestId,
    pub engine: usize,
    /// When the attempt reached the engine's machine: before it was taken in, if the engine hung.
    pub arrived_at: Duration,
    /// When the engine took the attempt in.
    pub taken_at: Duration,
    pub repeatable: bool,
    pub program: ProgramId,
    /// Tokens computed for it, as the engine counts.
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub finished: bool,
}

/// Something an engine sends along a stream; the world delays it.
#[derive(Debug)]
pub struct StreamOutput {
    pub to: NodeId,
    pub stream: StreamId,
    pub item: super::wire::StreamItem,
}

/// One engine.
pub struct Engine {
    pub place: usize,
    pub id: EngineId,
    pub address: String,
    pub variant: FleetVariant,
    /// Counts its starts.
    pub start: u64,
    pub started_at: Duration,
    pub is_up: bool,
    pub is_hung: bool,
    pub is_leaving: bool,
    /// When it was marked as leaving.
    pub leaving_since: Option<Duration>,
    pub(super) model: EngineModel,
    pub(super) records: BTreeMap<RequestId, EngineRecord>,
    pub(super) by_key: BTreeMap<RequestKey, RequestId>,
    pub(super) next_key: u64,
    /// When what is taken in now arrived, if it had to wait.
    pub(super) arrived_at: Option<Duration>,
    /// Everything it ever began; outlives its restarts, for the observer.
    pub runs: Vec<RunRecord>,
    pub(super) outputs: Vec<StreamOutput>,
    contexts: BTreeMap<ProgramId, Arc<[BlockHash]>>,
    cache_events: Vec<CacheEvent>,
    next_cache_event: u64,
    polls: u64,
}

impl Engine {
    pub fn new(place: usize, variant: FleetVariant) -> Engine {
        Engine {
            place,
            id: EngineId::from(format!("engine-{place}")),
            address: format!("192.0.2.{}:8000", place + 1),
            variant,
            start: 1,
            started_at: Duration::ZERO,
            is_up: true,
            is_hung: false,
            is_leaving: false,
            leaving_since: None,
            model: new_model(),
            records: BTreeMap::new(),
            by_key: BTreeMap::new(),
            next_key: 0,
            arrived_at: None,
            runs: Vec::new(),
            outputs: Vec::new(),
            contexts: BTreeMap::new(),
            cache_events: Vec::new(),
            next_cache_event: 0,
            polls: 0,
        }
    }

    /// Whether it answers.
    pub fn is_well(&self) -> bool {
        self.is_up && !self.is_hung
    }

    /// Kills it; all it knew is gone.
    pub fn kill(&mut self) {
        self.is_up = false;
        self.model = new_model();
        self.records.clear();
        self.by_key.clear();
        self.contexts.clear();
        self.cache_events.clear();
        self.next_cache_event = 0;
    }

    pub fn restart(&mut self, now: Duration) {
        self.is_up = true;
        self.is_hung = false;
        self.start += 1;
        self.started_at = now;
        self.model = new_model();
    }

    pub fn set_slow_factor(&mut self, factor: f64) {
        self.model.set_slow_factor(factor);
    }

    pub fn take_outputs(&mut self) -> Vec<StreamOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Computes up to now.
    pub fn advance(&mut self, now: Duration) {
        if !self.is_well() {
            return;
        }
        let mut events = Vec::new();
        self.model.advance(now, &mut events);
        for event in events {
            self.take_event(event);
        }
    }

    fn take_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Started {
                request,
                cached_tokens,
                ..
            } => self.began(request, cached_tokens),
            EngineEvent::Tokens { request, count, .. } => self.produced(request, count),
            EngineEvent::Finished { request, .. } => self.finished(request),
            _ => {}
        }
    }

    fn record_of(&mut self, key: RequestKey) -> Option<&mut EngineRecord> {
        let request = self.by_key.get(&key)?;
        self.records.get_mut(request)
    }

    fn began(&mut self, key: RequestKey, cached: u32) {
        let Some(record) = self.record_of(key) else {
            return;
        };
        if record.phase != Phase::Queued {
            return;
        }
        record.phase = Phase::Running;
        record.cached = cached;
        let run = record.run;
        let prompt = record.prompt_tokens;
        self.runs[run].prompt_tokens += u64::from(prompt);
    }

    fn produced(&mut self, key: RequestKey, count: u32) {
        let Some(record) = self.record_of(key) else {
            return;
        };
        record.produced += count;
        let run = record.run;
        let outputs = record.feed_watchers();
        self.runs[run].output_tokens += u64::from(count);
        self.outputs.extend(outputs);
    }

    fn finished(&mut self, key: RequestKey) {
        let Some(record) = self.record_of(key) else {
            return;
        };
        record.phase = Phase::Finished;
        let run = record.run;
        let program = record.call.program();
        let tokens = u64::from(record.prompt_tokens + record.produced);
        let outputs = record.feed_watchers();
        self.runs[run].finished = true;
        self.outputs.extend(outputs);
        self.by_key.remove(&key);
        self.contexts.insert(program, chain_of(program, tokens));
        self.next_cache_event += 1;
        self.cache_events.push(CacheEvent {
            number: self.next_cache_event,
            program,
            change: CacheChange::Stored(Tokens(tokens)),
        });
    }

    /// Does what a dispatcher asks besides calls.
    pub fn order(&mut self, now: Duration, order: &EngineOrderBody) {
        match order {
            EngineOrderBody::RenewLease {
                program,
                time_to_live,
            } => self.renew_lease(now, *program, *time_to_live),
            EngineOrderBody::ReleaseLease { program }
                if self.variant != FleetVariant::LeasesForever =>
            {
                self.model.remove_lease(now, program_key(*program));
            }
            _ => {}
        }
    }

    fn renew_lease(&mut self, now: Duration, program: ProgramId, time_to_live: Duration) {
        let Some(chain) = self.contexts.get(&program).cloned() else {
            return;
        };
        let lasts = match self.variant {
            FleetVariant::LeasesForever => FOREVER,
            _ => time_to_live,
        };
        self.model
            .put_lease(now, program_key(program), chain, now + lasts);
    }

    /// Programs whose prefixes are held by leases.
    pub fn leased_programs(&self) -> Vec<ProgramKey> {
        let leases = self.model.leases();
        let held = leases.iter().filter(|lease| lease.held_blocks > 0);
        held.map(|lease| lease.program).collect()
    }

    /// What it says when it is polled.
    pub fn poll(&mut self, now: Duration, lists: bool) -> EnginePoll {
        self.polls += 1;
        let load = self.model.load();
        let load = EngineLoad {
            running: load.running as u32,
            waiting: load.waiting as u32,
            max_batch: MAX_BATCH as u32,
            total_blocks: load.total_blocks as u32,
            free_blocks: load.free_blocks as u32,
            cached_blocks: load.evictable_blocks as u32,
            leased_blocks: load.leased_blocks as u32,
            block_tokens: BLOCK_TOKENS,
            start: self.start,
            leaving: self.is_leaving && self.variant != FleetVariant::LeavingUnheard,
            models: vec![ModelName::from(super::node::MODEL)],
        };
        EnginePoll {
            engine: self.place,
            load,
            events: std::mem::take(&mut self.cache_events),
            listing: lists.then(|| self.listing(now)),
        }
    }

    fn listing(&self, now: Duration) -> Vec<LeaseEntry> {
        let leases = self.model.leases();
        let entry = |program: &ProgramId| {
            let lease = leases
                .iter()
                .find(|lease| lease.program == program_key(*program))?;
            Some(LeaseEntry {
                program: *program,
                tokens: Tokens(lease.held_blocks as u64 * u64::from(BLOCK_TOKENS)),
                leased_for: Some(lease.expires_at.saturating_sub(now)),
            })
        };
        self.contexts.keys().filter_map(entry).collect()
    }
}

fn new_model() -> EngineModel {
    let config = EngineModelConfig {
        max_batch: MAX_BATCH,
        kv_blocks: KV_BLOCKS,
        block_tokens: BLOCK_TOKENS,
        ..EngineModelConfig::default()
    };
    EngineModel::new(config).expect("the sizes make sense")
}

/// Hashes of a program's context: it only grows, so a longer one begins with a shorter one.
pub fn chain_of(program: ProgramId, tokens: u64) -> Arc<[BlockHash]> {
    let seed = program_key(program).0;
    let blocks = tokens / u64::from(BLOCK_TOKENS);
    let hash = |place: u64| BlockHash(seed.wrapping_mul(1 << 20).wrapping_add(place));
    (0..blocks).map(hash).collect()
}

pub fn program_key(program: ProgramId) -> ProgramKey {
    ProgramKey(u64::from(program.shard.0) << 48 | program.number)
}

pub fn owner_key() -> OwnerKey {
    OwnerKey(1)
}
