//! The one timer of an engine: moves the model on and hands its events to the tables.

use crate::engine::record::Phase;
use crate::engine::state::{EngineState, Shared};
use courseshed_engine_model::{CacheChangeKind, EngineEvent, RequestKey};
use courseshed_types::dispatch::CacheChange;
use courseshed_types::{ProgramId, Tokens};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How often an idle engine looks at its clock.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// How often outcomes are checked against the retention time.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Drives the engine until its runtime ends.
pub(crate) async fn drive(shared: Arc<Shared>) {
    loop {
        let wake_after = tick(&shared);
        let timer = actix_rt::time::sleep(wake_after);
        tokio::select! {
            () = timer => {}
            () = shared.changed.notified() => {}
        }
    }
}

/// Moves the engine to the present; how long until it must be moved again.
fn tick(shared: &Shared) -> Duration {
    let now = shared.now();
    let mut state = shared.lock();
    if let Some(left) = state.faults.hang_left(now) {
        return left;
    }
    let tokens = state.move_on(now);
    if state.faults.is_crash_due(tokens) {
        crash(shared, &mut state);
        return IDLE_TICK;
    }
    state.note_load(now);
    if now >= state.next_sweep {
        state.next_sweep = now + SWEEP_INTERVAL;
        state.sweep(now, shared.options.retention);
    }
    let next = state.model.next_token_at().map(|at| at.saturating_sub(now));
    next.unwrap_or(IDLE_TICK)
        .clamp(shared.options.tick, IDLE_TICK)
}

/// Crashes the engine: state and connections are gone, and it is away for a while.
pub(crate) fn crash(shared: &Shared, state: &mut EngineState) {
    let down = state.faults.down;
    state.crash(&shared.options);
    log::info!("engine {} crashed, back in {down:?}", shared.options.id);
    shared.control.crash(down);
}

impl EngineState {
    /// Advances the model and applies its events; the tokens generated.
    pub(crate) fn move_on(&mut self, now: Duration) -> u64 {
        let mut events = Vec::new();
        self.model.advance(now, &mut events);
        let mut tokens = 0;
        for event in &events {
            tokens += self.apply(event, now);
        }
        self.publish_evictions(now);
        tokens
    }

    fn apply(&mut self, event: &EngineEvent, now: Duration) -> u64 {
        match *event {
            EngineEvent::Started {
                request,
                cached_tokens,
                ..
            } => self.note_start(request, cached_tokens),
            EngineEvent::FirstToken { request, .. } => self.publish_stored(request, now),
            EngineEvent::Tokens { request, count, .. } => return self.note_tokens(request, count),
            EngineEvent::Finished { request, .. } => self.note_finish(request, now),
            EngineEvent::Preempted { .. }
            | EngineEvent::LeaseExpired { .. }
            | EngineEvent::LeaseBroken { .. }
            | EngineEvent::Transferred { .. } => {}
        }
        0
    }

    fn note_start(&mut self, request: RequestKey, cached_tokens: u32) {
        let Some(record) = self.by_key.get(&request.0) else {
            return;
        };
        self.ran
            .note_start(&record.id, &record.branch, record.prompt_tokens);
        record.change(|progress| {
            progress.phase = Phase::Running;
            progress.cached = cached_tokens;
        });
    }

    fn note_tokens(&mut self, request: RequestKey, count: u32) -> u64 {
        let Some(record) = self.by_key.get(&request.0) else {
            return 0;
        };
        self.ran.note_tokens(&record.id, &record.branch, count);
        record.change(|progress| progress.produced += count);
        u64::from(count)
    }

    fn note_finish(&mut self, request: RequestKey, now: Duration) {
        self.publish_stored(request, now);
        let Some(record) = self.by_key.remove(&request.0) else {
            return;
        };
        self.ran.note_finish(&record.id);
        record.change(|progress| {
            progress.phase = Phase::Finished;
            progress.ended_at = Some(now);
        });
    }

    /// Publishes how much of a program's prefix is cached now.
    fn publish_stored(&mut self, request: RequestKey, now: Duration) {
        let program = self
            .by_key
            .get(&request.0)
            .and_then(|record| record.program);
        let Some(program) = program else {
            return;
        };
        let Some(prefix) = self.programs.get(&program) else {
            return;
        };
        let cached = self.model.cached_prefix(&prefix.chain);
        for block in &prefix.chain[..cached] {
            self.block_programs.insert(*block, program);
        }
        let tokens = self.block_tokens(cached);
        self.cache_log
            .publish(now, program, CacheChange::Stored(tokens));
    }

    /// Publishes what is left of the prefixes that lost blocks.
    fn publish_evictions(&mut self, now: Duration) {
        let mut affected: BTreeSet<ProgramId> = BTreeSet::new();
        for change in self.model.take_cache_changes() {
            if change.kind == CacheChangeKind::Evicted {
                affected.extend(self.block_programs.remove(&change.block));
            }
        }
        for program in affected {
            if let Some(prefix) = self.programs.get(&program) {
                let left = self.model.cached_prefix(&prefix.chain);
                let tokens = self.block_tokens(left);
                self.cache_log
                    .publish(now, program, CacheChange::Evicted(tokens));
            }
        }
    }

    /// Tokens in so many blocks.
    pub(crate) fn block_tokens(&self, blocks: usize) -> Tokens {
        Tokens(blocks as u64 * u64::from(self.model.config().block_tokens))
    }
}
