//! Steps of the batch: planning, completing, and running equal ones together.

use crate::event::EngineEvent;
use crate::model::EngineModel;
use crate::sequence::Sequence;
use std::time::Duration;

/// The step under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) ends_at: u64,
    pub(crate) duration: u64,
    /// Whether the next step would be the same: it computes no prompt tokens, and its batch is
    /// still what it was planned for.
    pub(crate) repeatable: bool,
}

impl EngineModel {
    /// Runs every step that ends by `now`.
    pub(crate) fn run_until(&mut self, now: u64) {
        while let Some(step) = self.step {
            if step.ends_at > now {
                break;
            }
            let repeats = self.equal_steps(step, now);
            self.complete(step, repeats);
            let ended_at = step.ends_at + step.duration * (repeats - 1);
            self.begin_step(ended_at);
        }
        self.clock = self.clock.max(now);
        if self.step.is_none() {
            self.settle_timers(now);
            self.begin_step(now);
        }
    }

    /// Ends leases and transfers whose time has come, the earliest first.
    pub(crate) fn settle_timers(&mut self, now: u64) {
        while let Some(timer) = self.next_timer()
            && timer <= now
        {
            self.expire_leases(timer);
            self.finish_transfers(timer);
        }
    }

    fn expire_leases(&mut self, now: u64) {
        while let Some((at, program)) = self.leases.expire_next(&mut self.cache, now) {
            self.admission_blocked = false;
            self.events.push(EngineEvent::LeaseExpired {
                program,
                at: Duration::from_nanos(at),
            });
        }
    }

    fn finish_transfers(&mut self, now: u64) {
        while let Some((at, transfer)) = self.transfers.finish_next(now) {
            self.finish_transfer(at, transfer);
        }
    }

    fn begin_step(&mut self, at: u64) {
        self.settle_timers(at);
        self.admit(at);
        self.reserve_for_decode(at);
        self.step = self.plan(at);
    }

    /// Takes the blocks that the next decode step needs, preempting from the end if it must.
    fn reserve_for_decode(&mut self, at: u64) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &mut self.running[index];
            let lacking = match sequence.is_decoding() {
                true => sequence.blocks_lacking(1, self.config.block_tokens),
                false => 0,
            };
            if self.cache.reserve(lacking) {
                self.running[index].private += lacking;
                index += 1;
            } else {
                self.make_room(at);
            }
        }
    }

    /// Preempts one request, or breaks a lease when only one is left.
    ///
    /// A single request always fits without leases, since larger ones are refused.
    fn make_room(&mut self, at: u64) {
        if self.running.len() == 1 && self.break_lease(at) {
            return;
        }
        self.preempt_last(at);
        self.admission_blocked = true;
    }

    fn plan(&mut self, at: u64) -> Option<Step> {
        if self.running.is_empty() {
            return None;
        }
        let decodes = self
            .running
            .iter()
            .filter(|sequence| sequence.is_decoding())
            .count();
        let mut budget = self.config.step_tokens - decodes as u32;
        let mut prefill = 0;
        for sequence in &mut self.running {
            if sequence.is_decoding() {
                sequence.chunk = 0;
                continue;
            }
            let missing = sequence.context() - sequence.computed;
            sequence.chunk = missing.min(u64::from(budget)) as u32;
            budget -= sequence.chunk;
            prefill += sequence.chunk;
        }
        let duration = self.step_duration(decodes, prefill);
        Some(Step {
            ends_at: at + duration,
            duration,
            repeatable: prefill == 0,
        })
    }

    fn step_duration(&self, decodes: usize, prefill_tokens: u32) -> u64 {
        self.costs.base
            + self.costs.per_decode * decodes as u64
            + self.costs.per_prefill_token * u64::from(prefill_tokens)
    }

    /// How many steps like this one, itself included, end by `now` without any other change.
    fn equal_steps(&self, step: Step, now: u64) -> u64 {
        let may_admit = !self.waiting.is_empty() && !self.admission_blocked;
        if !step.repeatable || may_admit {
            return 1;
        }
        let by_time = 1 + (self.quiet_until(now) - step.ends_at.min(now)) / step.duration;
        let by_length = self.steps_to_next_finish();
        let steps = by_time.min(by_length).max(1);
        if steps > 1 && self.blocks_lacking(steps) > self.cache.available() {
            return 1;
        }
        steps
    }

    /// `now`, or the next timer of a lease or transfer if that is earlier.
    fn quiet_until(&self, now: u64) -> u64 {
        let step_end = self.step.map_or(now, |step| step.ends_at);
        let timer = self.next_timer().unwrap_or(now);
        now.min(timer.max(step_end))
    }

    pub(crate) fn next_timer(&self) -> Option<u64> {
        let expiry = self.leases.next_expiry();
        let transfer = self.transfers.next_end();
        expiry.into_iter().chain(transfer).min()
    }

    pub(crate) fn steps_to_next_finish(&self) -> u64 {
        let remaining = self.running.iter().map(|sequence| sequence.remaining());
        u64::from(remaining.min().unwrap_or(1))
    }

    fn blocks_lacking(&self, steps: u64) -> usize {
        let block_tokens = self.config.block_tokens;
        let lacking = |sequence: &Sequence| sequence.blocks_lacking(steps, block_tokens);
        self.running.iter().map(lacking).sum()
    }

    fn complete(&mut self, step: Step, repeats: u64) {
        let ended_at = step.ends_at + step.duration * (repeats - 1);
        self.counters.steps += repeats;
        self.counters.busy_nanos += step.duration * repeats;
        let mut any_finished = false;
        for index in 0..self.running.len() {
            any_finished |= self.compute(index, repeats, ended_at);
        }
        if any_finished {
            self.remove_finished(ended_at);
            self.admission_blocked = false;
        }
    }

    /// Applies `repeats` steps to one request; true if it has all its tokens.
    fn compute(&mut self, index: usize, repeats: u64, at: u64) -> bool {
        let block_tokens = self.config.block_tokens;
        let sequence = &mut self.running[index];
        if sequence.is_decoding() {
            let lacking = sequence.blocks_lacking(repeats, block_tokens);
            let reserved = self.cache.reserve(lacking);
            debug_assert!(reserved, "the room was checked before");
            sequence.private += lacking;
            sequence.computed += repeats;
            sequence.produced += repeats as u32;
            self.counters.output_tokens += repeats;
        } else {
            sequence.computed += u64::from(sequence.chunk);
            self.counters.prefill_tokens += u64::from(sequence.chunk);
            if sequence.chunk > 0 && sequence.computed == sequence.context() {
                sequence.produced += 1;
                self.counters.output_tokens += 1;
                if sequence.produced == 1 {
                    self.events.push(EngineEvent::FirstToken {
                        request: sequence.request.key,
                        at: Duration::from_nanos(at),
                    });
                }
            }
        }
        sequence.register_filled(&mut self.cache, block_tokens);
        sequence.remaining() == 0
    }

    fn remove_finished(&mut self, at: u64) {
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].remaining() == 0 {
                self.finish(index, at);
            } else {
                index += 1;
            }
        }
    }

    fn finish(&mut self, index: usize, at: u64) {
        let mut sequence = self.running.remove(index);
        self.events.extend(sequence.take_report(at));
        let held = sequence.held;
        sequence.release(&mut self.cache);
        if let Some(hold) = sequence.request.hold {
            let chain = sequence.request.blocks[..held].into();
            let expires_at = at + hold.time_to_live.as_nanos() as u64;
            self.leases
                .put(&mut self.cache, hold.program, chain, expires_at);
        }
        self.counters.finished += 1;
        self.events.push(EngineEvent::Finished {
            request: sequence.request.key,
            cached_tokens: sequence.cached_tokens.unwrap_or(0),
            at: Duration::from_nanos(at),
        });
    }
}
