//! Attempts at engines, what engines report, orders to them, and their faults.

use std::{sync::Arc, time::Duration};

use courseshed_engine_model::{EngineEvent, EngineRequest, OwnerKey, RequestKey};
use courseshed_types::{
    Timestamp,
    dispatch::{CacheEvent, EngineLoad, EngineOrderBody, LeaseEntry},
};
use rand::RngExt;

use super::{
    engine_host::model_time,
    event::{EngineIndex, Event, ProgramIndex},
    program::{program_index, program_of_key},
    run::Simulation,
    scenario::FaultKind,
};

impl Simulation<'_> {
    /// An attempt reaches its engine.
    pub(super) fn submit(&mut self, index: ProgramIndex, key: RequestKey) {
        if !self.is_current(index, key) {
            return;
        }
        let Some(engine) = self.programs[index]
            .open
            .as_ref()
            .and_then(|open| open.engine)
        else {
            return;
        };
        if !self.engines[engine].is_alive {
            self.noticed_failure(index, key);
            return;
        }
        let request = self.engine_request(index, engine, key);
        let chain = Arc::clone(&request.blocks);
        let now = self.now();
        let host = &mut self.engines[engine];
        host.note_chain(index, chain);
        if host.model.submit(model_time(now), request).is_err() {
            self.noticed_failure(index, key);
            return;
        }
        let program = &mut self.programs[index];
        if !program.engines_used.contains(&engine) {
            program.engines_used.push(engine);
        }
        self.want_move(engine);
    }

    fn engine_request(
        &self,
        index: ProgramIndex,
        engine: EngineIndex,
        key: RequestKey,
    ) -> EngineRequest {
        let program = &self.programs[index];
        let turn = program.current_turn();
        let prompt = program.prompt_tokens();
        let block_tokens = u64::from(self.engines[engine].model.config().block_tokens);
        let chain = program.chain(index, prompt + turn.output_tokens, block_tokens);
        EngineRequest {
            key,
            priority: program.open.as_ref().map_or(0, |open| open.priority),
            owner: OwnerKey(index as u64),
            blocks: chain.into(),
            prompt_tokens: prompt as u32,
            output_tokens: turn.output_tokens as u32,
            hold: None,
        }
    }

    fn noticed_failure(&mut self, index: ProgramIndex, key: RequestKey) {
        let at = self.now() + self.scenario.delays.failure_noticed;
        self.queue.add(at, Event::AttemptFailed(index, key));
    }

    /// Has an engine looked at when its next event is due.
    pub(super) fn want_move(&mut self, engine: EngineIndex) {
        let now = self.now();
        let model = &self.engines[engine].model;
        // A lease that ran out in the middle of a step ends with the step.
        let is_ahead = |at: &Duration| *at > model_time(now);
        let next = model.next_event_at().filter(is_ahead);
        let Some(next) = next.or(model.next_token_at()) else {
            return;
        };
        let at = Timestamp(next.as_nanos().div_ceil(1_000) as u64).max(now);
        let due = self.engines[engine].move_at;
        if due.is_none_or(|due| due > at) {
            self.engines[engine].move_at = Some(at);
            self.queue.add(at, Event::EngineMoves(engine));
        }
    }

    /// Something may have happened in an engine.
    pub(super) fn engine_moves(&mut self, engine: EngineIndex) {
        let now = self.now();
        if self.engines[engine].move_at != Some(now) {
            return;
        }
        self.engines[engine].move_at = None;
        self.take_engine_events(engine);
        self.want_move(engine);
    }

    fn take_engine_events(&mut self, engine: EngineIndex) {
        let now = self.now();
        let events = self.engines[engine].catch_up(now);
        for event in events {
            match event {
                EngineEvent::FirstToken { request, .. } => self.first_token(request),
                EngineEvent::Finished {
                    request,
                    cached_tokens,
                    ..
                } => self.generated(request, cached_tokens),
                _ => {}
            }
        }
        let lag = self.scenario.delays.event_lag;
        for event in self.engines[engine].take_evictions() {
            if !self.is_lost() {
                self.queue
                    .add(now + lag, Event::CacheReported(engine, event));
            }
        }
    }

    fn first_token(&mut self, key: RequestKey) {
        let index = program_of_key(key);
        let now = self.now();
        if !self.is_current(index, key) {
            return;
        }
        if let Some(open) = self.programs[index].open.as_mut() {
            open.first_token_at.get_or_insert(now);
        }
    }

    /// All tokens are out: the answer travels to the shard and is committed.
    fn generated(&mut self, key: RequestKey, cached: u32) {
        let delays = &self.scenario.delays;
        self.note_token_gap(key);
        let at = self.now() + delays.engine + delays.message + delays.commit;
        self.queue
            .add(at, Event::Answered(program_of_key(key), key, cached));
    }

    fn note_token_gap(&mut self, key: RequestKey) {
        let program = &self.programs[program_of_key(key)];
        let first = program.open.as_ref().and_then(|open| open.first_token_at);
        let tokens = program.current_turn().output_tokens;
        if let (Some(first), true, 2..) = (first, program.is_measured, tokens) {
            let gap = self.queue.now().since(first) / (tokens - 1) as u32;
            self.measures.token_gap(gap);
        }
    }

    fn is_lost(&mut self) -> bool {
        let loss = self.scenario.delays.loss;
        loss > 0.0 && self.losses.random_bool(loss)
    }

    /// A dispatcher's order reaches an engine.
    pub(super) fn engine_ordered(&mut self, engine: EngineIndex, body: EngineOrderBody) {
        if !self.engines[engine].is_alive {
            return;
        }
        let now = self.now();
        self.take_engine_events(engine);
        let host = &mut self.engines[engine];
        match body {
            EngineOrderBody::RenewLease {
                program,
                time_to_live,
            } => host.lease(now, program_index(program), time_to_live),
            EngineOrderBody::ReleaseLease { program } => {
                host.release(now, program_index(program));
            }
            EngineOrderBody::Export { program } => {
                let index = program_index(program);
                if let Some(copy) = host.export(now, index) {
                    self.exports.insert(index, copy);
                }
            }
            EngineOrderBody::Import { program } => {
                let index = program_index(program);
                if let Some(copy) = self.exports.get(&index) {
                    host.import(now, index, Arc::clone(copy));
                }
            }
            _ => {}
        }
        self.want_move(engine);
    }

    /// Engines look at their load; some reports are lost on the way.
    pub(super) fn sample_loads(&mut self) {
        let now = self.now();
        let delays = &self.scenario.delays;
        let arrives = now + delays.report_lag;
        self.queue
            .add(now + delays.report_every, Event::SampleLoads);
        for engine in 0..self.engines.len() {
            if !self.engines[engine].is_alive {
                continue;
            }
            self.take_engine_events(engine);
            self.engines[engine].sample();
            self.want_move(engine);
            if !self.is_lost() {
                let load = Box::new(self.engines[engine].load());
                self.queue.add(arrives, Event::LoadReported(engine, load));
            }
        }
        self.measures.sample_occupancy(now, &self.engines);
    }

    /// A load report reaches its dispatcher.
    pub(super) fn load_reported(&mut self, engine: EngineIndex, load: EngineLoad) {
        let now = self.now();
        let pool = self.engines[engine].pool;
        let id = &self.scenario.engines[engine].engine;
        self.pools[pool].dispatcher.on_engine_load(now, id, load);
        self.want_tick(pool, now);
    }

    /// A cache event reaches its dispatcher.
    pub(super) fn cache_reported(&mut self, engine: EngineIndex, event: CacheEvent) {
        let now = self.now();
        let pool = self.engines[engine].pool;
        let id = &self.scenario.engines[engine].engine;
        self.pools[pool].dispatcher.on_cache_event(now, id, event);
    }

    /// All engines list what they have cached.
    pub(super) fn list_caches(&mut self) {
        let now = self.now();
        let delays = &self.scenario.delays;
        self.queue
            .add(now + delays.listing_every, Event::ListCaches);
        let arrives = now + delays.report_lag;
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_alive {
                self.take_engine_events(engine);
                let listing = self.engines[engine].listing(now);
                self.queue.add(arrives, Event::Listed(engine, listing));
                self.want_move(engine);
            }
        }
    }

    /// A listing reaches its dispatcher.
    pub(super) fn listed(&mut self, engine: EngineIndex, listing: &[LeaseEntry]) {
        let now = self.now();
        let pool = self.engines[engine].pool;
        let id = &self.scenario.engines[engine].engine;
        self.pools[pool]
            .dispatcher
            .on_cache_listing(now, id, listing);
        self.want_tick(pool, now);
    }

    /// A fault begins.
    pub(super) fn fault_begins(&mut self, fault: usize) {
        let fault = &self.scenario.faults[fault];
        let Some(engine) = self.scenario.engine_position(&fault.engine) else {
            return;
        };
        match fault.kind {
            FaultKind::Crash => self.crash(engine),
            FaultKind::Slow(factor) => self.engines[engine].model.set_slow_factor(factor),
            FaultKind::Leaving => self.engines[engine].is_leaving = true,
        }
        self.directory_changed();
    }

    /// A fault ends.
    pub(super) fn fault_ends(&mut self, fault: usize) {
        let fault = &self.scenario.faults[fault];
        let Some(engine) = self.scenario.engine_position(&fault.engine) else {
            return;
        };
        match fault.kind {
            FaultKind::Crash => self.engines[engine].is_alive = true,
            FaultKind::Slow(_) => self.engines[engine].model.set_slow_factor(1.0),
            FaultKind::Leaving => self.engines[engine].is_leaving = false,
        }
        self.directory_changed();
    }

    fn directory_changed(&mut self) {
        let at = self.now() + self.scenario.delays.directory_lag;
        self.queue.add(at, Event::DirectoryChanges);
    }

    fn crash(&mut self, engine: EngineIndex) {
        self.take_engine_events(engine);
        self.settle_waste(engine, true);
        self.engines[engine].is_alive = false;
        self.engines[engine].restart();
        let lost: Vec<(ProgramIndex, RequestKey)> = self
            .programs
            .iter()
            .enumerate()
            .filter_map(|(index, program)| Some((index, program.open.as_ref()?)))
            .filter(|(_, open)| open.engine == Some(engine))
            .map(|(index, open)| (index, open.key))
            .collect();
        for (index, key) in lost {
            self.noticed_failure(index, key);
        }
        let id = &self.scenario.engines[engine].engine;
        let pool = self.engines[engine].pool;
        let now = self.now();
        self.pools[pool].dispatcher.on_engine_unreachable(now, id);
        self.want_tick(pool, now);
    }
}
