//! A simulated inference engine.

use std::collections::{BTreeMap, VecDeque};

use courseshed_pool::{CallEnd, Ticket};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

pub const SHARED_TOKENS: u32 = 12_600;
pub const MEMORY_TOKENS: u64 = 226_000;
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 200.0;
pub(super) const MS_PER_TOKEN: f64 = 1.2;
pub(super) const BATCH_SLOWDOWN_PER_CALL: f64 = 0.03;
const PREFILL_SLOWDOWN: f64 = 1.3;
const MAX_QUEUED_CALLS: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    Healthy,
    Failing,
    Unreachable,
}

pub(super) struct Job {
    pub(super) ticket: Ticket,
    pub(super) parts: Vec<PromptPart>,
    pub(super) uncached_tokens: f64,
    pub(super) output_tokens: f64,
    pub(super) generated_tokens: f64,
    pub(super) sent_ms: u64,
    pub(super) first_token_ms: Option<u64>,
}

/// An engine that prefills and decodes, caches prompts, and queues calls beyond its slots.
pub struct SimulatedEngine {
    pub key: ServerKey,
    pub slots: usize,
    pub slowdown: f64,
    pub memory_tokens: u64,
    pub health: EngineHealth,
    /// Tokens of shared parts that were prefilled.
    pub shared_prefill_tokens: u64,
    pub(super) running: Vec<Job>,
    pub(super) queue: VecDeque<Job>,
    pub(super) cache: BTreeMap<u64, (u32, u64)>,
}

/// Creates `count` engines with 8 slots; `slowdown` maps an engine's index to its slowdown.
pub fn engines(count: u32, slowdown: impl Fn(u32) -> f64) -> Vec<SimulatedEngine> {
    let engine = |index| SimulatedEngine {
        key: ServerKey(1_000 + index),
        slots: 8,
        slowdown: slowdown(index),
        memory_tokens: MEMORY_TOKENS,
        health: EngineHealth::Healthy,
        shared_prefill_tokens: 0,
        running: Vec::new(),
        queue: VecDeque::new(),
        cache: BTreeMap::new(),
    };
    (0..count).map(engine).collect()
}

impl SimulatedEngine {
    pub fn has_cached(&self, part: u64) -> bool {
        self.cache.contains_key(&part)
    }

    /// Accepts a call, or returns how it failed.
    pub(super) fn accept(&mut self, now: u64, job: Job) -> Option<CallEnd> {
        match self.health {
            EngineHealth::Unreachable => return Some(CallEnd::Disconnected),
            EngineHealth::Failing => return Some(CallEnd::Failed),
            EngineHealth::Healthy => {}
        }
        if self.running.len() < self.slots {
            self.start(now, job);
        } else if self.queue.len() < MAX_QUEUED_CALLS {
            self.queue.push_back(job);
        } else {
            return Some(CallEnd::Refused);
        }
        None
    }

    fn start(&mut self, now: u64, mut job: Job) {
        let mut is_prefix_cached = true;
        for part in &job.parts {
            let cached = self.cache.get(&part.id).map_or(0, |cached| cached.0);
            let cached = if is_prefix_cached {
                cached.min(part.tokens)
            } else {
                0
            };
            is_prefix_cached &= cached > 0;
            job.uncached_tokens += f64::from(part.tokens - cached);
            if part.tokens == SHARED_TOKENS {
                self.shared_prefill_tokens += u64::from(part.tokens - cached);
            }
        }
        let parts = job.parts.clone();
        self.running.push(job);
        self.cache(now, &parts);
    }

    fn cache(&mut self, now: u64, parts: &[PromptPart]) {
        self.cache
            .extend(parts.iter().map(|part| (part.id, (part.tokens, now))));
        let mut total: u64 = self.cache.values().map(|cached| u64::from(cached.0)).sum();
        while total > self.memory_tokens {
            let Some((&part, &(tokens, _))) = self.cache.iter().min_by_key(|(_, cached)| cached.1)
            else {
                break;
            };
            self.cache.remove(&part);
            total -= u64::from(tokens);
        }
    }

    /// Advances by 1 ms and returns the calls that completed.
    pub(super) fn step(&mut self, now: u64) -> Vec<(Ticket, CallEnd)> {
        let prefilling = self
            .running
            .iter()
            .filter(|job| job.uncached_tokens > 0.0)
            .count();
        let batch_slowdown =
            1.0 + BATCH_SLOWDOWN_PER_CALL * self.running.len().saturating_sub(1) as f64;
        let prefill_slowdown = if prefilling > 0 {
            PREFILL_SLOWDOWN
        } else {
            1.0
        };
        let prefilled = PREFILL_TOKENS_PER_MS / self.slowdown / prefilling.max(1) as f64;
        let generated = 1.0 / (MS_PER_TOKEN * self.slowdown * batch_slowdown * prefill_slowdown);
        for job in &mut self.running {
            if job.uncached_tokens > 0.0 {
                job.uncached_tokens -= prefilled;
            } else {
                job.generated_tokens += generated;
                job.first_token_ms = job.first_token_ms.or(Some(now));
            }
        }
        let completed: Vec<Job> = self
            .running
            .extract_if(.., |job| job.generated_tokens >= job.output_tokens)
            .collect();
        for job in &completed {
            let kept = CachedPrompt::after_answer(self.key, &job.parts, job.output_tokens as u32);
            self.cache(now, &kept.parts);
        }
        while self.running.len() < self.slots
            && let Some(job) = self.queue.pop_front()
        {
            self.start(now, job);
        }
        completed
            .iter()
            .map(|job| (job.ticket, completed_end(now, job)))
            .collect()
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.running.retain(|job| job.ticket != ticket);
        self.queue.retain(|job| job.ticket != ticket);
    }
}

fn completed_end(now: u64, job: &Job) -> CallEnd {
    CallEnd::Completed {
        generated: job.output_tokens as u32,
        first_tokens: 1,
        first_part_ms: (job.first_token_ms.unwrap_or(now) - job.sent_ms) as u32 + 1,
        took_ms: (now - job.sent_ms) as u32 + 2,
    }
}
