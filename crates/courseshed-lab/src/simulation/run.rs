//! The loop of a run.

use std::{collections::BTreeMap, sync::Arc};

use courseshed_engine_model::BlockHash;
use courseshed_types::{ModelName, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    clock::EventQueue,
    engine_host::EngineHost,
    event::{Event, PoolIndex, ProgramIndex},
    measure::{Measures, RunResult},
    pools::Pool,
    program::Program,
    scenario::{Scenario, ScenarioError},
};
use crate::workload::Arrival;

/// The stream of random numbers that decides which reports are lost.
const LOSS_STREAM: u64 = u64::MAX;

/// A run under way.
pub(super) struct Simulation<'s> {
    pub(super) scenario: &'s Scenario,
    pub(super) queue: EventQueue<Event>,
    pub(super) arrivals: std::vec::IntoIter<Arrival>,
    pub(super) next_arrival: Option<Arrival>,
    pub(super) programs: Vec<Program>,
    pub(super) engines: Vec<EngineHost>,
    /// Contexts copied out of engines.
    pub(super) exports: BTreeMap<ProgramIndex, Arc<[BlockHash]>>,
    pub(super) pools: Vec<Pool>,
    pub(super) pool_of_model: BTreeMap<ModelName, PoolIndex>,
    pub(super) losses: ChaCha8Rng,
    /// Programs that have not ended.
    pub(super) under_way: usize,
    pub(super) measures: Measures,
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Result<RunResult, ScenarioError> {
    scenario.check()?;
    let mut simulation = Simulation::new(scenario);
    simulation.begin();
    let end = simulation.last_instant();
    while let Some(event) = simulation.queue.take(end) {
        simulation.handle(event);
        if simulation.is_over() {
            break;
        }
    }
    Ok(simulation.finish())
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Simulation<'s> {
        let mut losses = ChaCha8Rng::seed_from_u64(scenario.seed);
        losses.set_stream(LOSS_STREAM);
        let mut arrivals = scenario
            .plan
            .draw(&scenario.workload, scenario.seed)
            .into_iter();
        let (pools, pool_of_model) = Pool::build(scenario);
        let engines = scenario.engines.iter();
        Simulation {
            scenario,
            queue: EventQueue::new(),
            next_arrival: arrivals.next(),
            arrivals,
            programs: Vec::new(),
            exports: BTreeMap::new(),
            engines: engines
                .map(|spec| EngineHost::new(spec, pool_of_model[&spec.model]))
                .collect(),
            measures: Measures::new(scenario, pools.len()),
            pools,
            pool_of_model,
            losses,
            under_way: 0,
        }
    }

    fn begin(&mut self) {
        self.announce_directory();
        if let Some(arrival) = &self.next_arrival {
            let at = Timestamp::ZERO + arrival.at;
            self.queue.add(at, Event::Arrive);
        }
        self.queue.add(Timestamp::ZERO, Event::SampleLoads);
        let delays = &self.scenario.delays;
        self.queue
            .add(Timestamp::ZERO + delays.listing_every, Event::ListCaches);
        let window = Timestamp::ZERO + Measures::SHARE_WINDOW;
        self.queue.add(window, Event::ShareWindowEnds);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue
                .add(Timestamp::ZERO + fault.from, Event::FaultBegins(index));
            self.queue
                .add(Timestamp::ZERO + fault.until, Event::FaultEnds(index));
        }
    }

    /// No event after this is run.
    fn last_instant(&self) -> Timestamp {
        Timestamp::ZERO + self.scenario.plan.duration + self.scenario.drain
    }

    /// Whether every program that will ever arrive has ended.
    fn is_over(&self) -> bool {
        self.next_arrival.is_none() && self.under_way == 0
    }

    pub(super) fn now(&self) -> Timestamp {
        self.queue.now()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Accept(program) => self.accept(program),
            Event::Resume(program) => self.resume(program),
            Event::AskAgain(program) => self.issue(program),
            Event::PauseLimit(program) => self.pause_limit(program),
            Event::DispatcherHears(pool, body) => self.dispatcher_hears(pool, *body),
            Event::Tick(pool) => self.tick(pool),
            Event::ShardHears(body) => self.shard_hears(*body),
            Event::Submit(program, key) => self.submit(program, key),
            Event::EngineMoves(engine) => self.engine_moves(engine),
            Event::EngineOrdered(engine, body) => self.engine_ordered(engine, body),
            Event::Answered(program, key, cached) => self.answered(program, key, cached),
            Event::AttemptFailed(program, key) => self.attempt_failed(program, key),
            Event::SampleLoads => self.sample_loads(),
            Event::LoadReported(engine, load) => self.load_reported(engine, *load),
            Event::CacheReported(engine, event) => self.cache_reported(engine, event),
            Event::ListCaches => self.list_caches(),
            Event::Listed(engine, listing) => self.listed(engine, &listing),
            Event::FaultBegins(index) => self.fault_begins(index),
            Event::FaultEnds(index) => self.fault_ends(index),
            Event::DirectoryChanges => self.announce_directory(),
            Event::ShareWindowEnds => self.share_window_ends(),
        }
    }

    fn share_window_ends(&mut self) {
        let now = self.now();
        for pool in 0..self.pools.len() {
            let backlog = self.pools[pool].backlog();
            self.measures
                .end_share_window(pool, now, &self.scenario.policy, &backlog);
        }
        self.queue
            .add(now + Measures::SHARE_WINDOW, Event::ShareWindowEnds);
    }

    fn finish(mut self) -> RunResult {
        let now = self.now();
        for engine in &mut self.engines {
            engine.catch_up(now);
        }
        for index in 0..self.engines.len() {
            self.settle_waste(index, false);
        }
        self.measures
            .into_result(self.scenario, &self.programs, &self.engines, now)
    }
}
