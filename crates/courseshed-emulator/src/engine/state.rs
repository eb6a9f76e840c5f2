//! The tables of an emulated engine.

use crate::engine::cache_log::CacheLog;
use crate::engine::faults::Faults;
use crate::engine::intern::Interner;
use crate::engine::options::EngineOptions;
use crate::engine::ran::RanLedger;
use crate::engine::record::{FixedPart, Phase, RequestRecord};
use crate::server::ServerControl;
use courseshed_engine::protocol::{EngineRole, ModelStatus};
use courseshed_engine_model::{BlockHash, EngineModel, EngineModelConfig};
use courseshed_types::dispatch::EngineLoad;
use courseshed_types::{BranchPath, ModelName, ProgramId};
use parking_lot::{Mutex, MutexGuard};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Version of a model for which none was asked.
const FIRST_VERSION: &str = "1";

/// The prefix of a program's last request.
#[derive(Clone)]
pub(crate) struct ProgramPrefix {
    pub(crate) chain: Arc<[BlockHash]>,
    pub(crate) branch: BranchPath,
}

/// Everything of one engine, shared by its handlers and its timer.
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    /// Time zero of the model.
    pub(crate) origin: Instant,
    /// Wakes the timer when there may be something new to do.
    pub(crate) changed: Notify,
    pub(crate) control: ServerControl,
    state: Mutex<EngineState>,
}

impl Shared {
    pub(crate) fn new(options: EngineOptions, control: ServerControl) -> Self {
        let state = EngineState::new(&options);
        Shared {
            options,
            origin: Instant::now(),
            changed: Notify::new(),
            control,
            state: Mutex::new(state),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock()
    }
}

/// The tables.
pub(crate) struct EngineState {
    /// Counts the starts of the emulated engine.
    pub(crate) start: u64,
    pub(crate) model: EngineModel,
    pub(crate) requests: HashMap<String, Arc<RequestRecord>>,
    pub(crate) by_key: HashMap<u64, Arc<RequestRecord>>,
    pub(crate) next_key: u64,
    pub(crate) programs: HashMap<ProgramId, ProgramPrefix>,
    /// Which program last filled or used a cached block.
    pub(crate) block_programs: HashMap<BlockHash, ProgramId>,
    pub(crate) program_keys: Interner<ProgramId>,
    pub(crate) owner_keys: Interner<BranchPath>,
    pub(crate) models: BTreeMap<ModelName, ModelStatus>,
    pub(crate) fence: u64,
    pub(crate) role: EngineRole,
    pub(crate) leaving: bool,
    pub(crate) faults: Faults,
    pub(crate) cache_log: CacheLog,
    pub(crate) loads: VecDeque<(Duration, EngineLoad)>,
    pub(crate) ran: RanLedger,
    pub(crate) next_sweep: Duration,
}

impl EngineState {
    fn new(options: &EngineOptions) -> Self {
        let mut models = BTreeMap::new();
        for model in &options.models {
            models.insert(model.clone(), ready_model(model));
        }
        EngineState {
            start: 1,
            model: new_model(&options.config),
            requests: HashMap::new(),
            by_key: HashMap::new(),
            next_key: 0,
            programs: HashMap::new(),
            block_programs: HashMap::new(),
            program_keys: Interner::default(),
            owner_keys: Interner::default(),
            models,
            fence: 0,
            role: EngineRole::default(),
            leaving: false,
            faults: Faults::default(),
            cache_log: CacheLog::new(options.event_delay, options.seed),
            loads: VecDeque::new(),
            ran: RanLedger::default(),
            next_sweep: Duration::ZERO,
        }
    }

    /// Loses what a crashed process loses; fence, role and models stay, as the platform keeps
    /// them, and so does the account of what ran.
    pub(crate) fn crash(&mut self, options: &EngineOptions) {
        for record in self.requests.values() {
            record.change(|progress| progress.phase = Phase::Lost);
        }
        self.charge_waste();
        self.start += 1;
        self.model = new_model(&options.config);
        self.requests.clear();
        self.by_key.clear();
        self.programs.clear();
        self.block_programs.clear();
        self.cache_log.reset();
        self.loads.clear();
        self.faults = Faults::default();
    }

    /// Moves the model's account of waste, which dies with it, into the one that stays.
    fn charge_waste(&mut self) {
        for (branch, tokens) in self.model_waste() {
            self.ran.note_waste(&branch, tokens);
        }
    }

    /// Waste of the present start by branch, in tokens.
    pub(crate) fn model_waste(&self) -> Vec<(BranchPath, u64)> {
        let mut waste = Vec::new();
        for (owner, lost) in self.model.waste_by_owner() {
            if let Some(branch) = self.owner_keys.name(owner.0) {
                waste.push((branch.clone(), lost.evicted_tokens + lost.dropped_tokens));
            }
        }
        waste
    }

    /// Keeps a request id from ever running.
    pub(crate) fn bury(&mut self, id: &str, now: Duration) -> Arc<RequestRecord> {
        let fixed = FixedPart::tombstone(id);
        let record = Arc::new(RequestRecord::new(fixed, Phase::NeverStarted, now));
        self.requests.insert(id.to_owned(), record.clone());
        record
    }

    /// Forgets requests that have been over for longer than the retention time.
    pub(crate) fn sweep(&mut self, now: Duration, retention: Duration) {
        self.requests.retain(|_, record| {
            let ended_at = record.progress().ended_at;
            ended_at.is_none_or(|ended_at| ended_at + retention > now)
        });
    }

    /// The load as it is now.
    pub(crate) fn present_load(&self) -> EngineLoad {
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
            leaving: self.leaving,
            models: self.ready_models(),
        }
    }

    pub(crate) fn ready_models(&self) -> Vec<ModelName> {
        let ready = self.models.values().filter(|model| model.ready);
        ready.map(|model| model.id.clone()).collect()
    }

    /// The load as it was `lag` ago, to the snapshots' interval, or the oldest known.
    pub(crate) fn lagging_load(&mut self, now: Duration, lag: Duration) -> EngineLoad {
        if lag.is_zero() {
            return self.present_load();
        }
        self.note_load(now);
        while let Some((at, _)) = self.loads.get(1)
            && *at + lag <= now
        {
            self.loads.pop_front();
        }
        let oldest = self.loads.front();
        oldest.map_or_else(|| self.present_load(), |(_, load)| load.clone())
    }

    /// Keeps a snapshot for later reports, unless one was kept just before.
    pub(crate) fn note_load(&mut self, now: Duration) {
        const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(20);
        const KEPT_SNAPSHOTS: usize = 1_024;
        let recent = self
            .loads
            .back()
            .is_some_and(|(at, _)| *at + SNAPSHOT_INTERVAL > now);
        if recent {
            return;
        }
        if self.loads.len() == KEPT_SNAPSHOTS {
            self.loads.pop_front();
        }
        let load = self.present_load();
        self.loads.push_back((now, load));
    }
}

/// A model that can serve.
pub(crate) fn ready_model(name: &ModelName) -> ModelStatus {
    ModelStatus {
        id: name.clone(),
        version: FIRST_VERSION.to_owned(),
        adapters: Vec::new(),
        ready: true,
    }
}

fn new_model(config: &EngineModelConfig) -> EngineModel {
    let config = EngineModelConfig {
        record_cache_changes: true,
        ..config.clone()
    };
    EngineModel::new(config).expect("the options were checked at the start")
}
