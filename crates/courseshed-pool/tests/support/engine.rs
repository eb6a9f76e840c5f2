//! A fake engine.

use std::collections::{BTreeMap, VecDeque};

use courseshed_pool::{CallEnd, Ticket};
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

pub const SHARED_TOKENS: u32 = 12_600;
pub const MEMORY_TOKENS: u64 = 226_000;
pub(super) const READ_TOKENS_PER_MS: f64 = 200.0;
pub(super) const MS_PER_TOKEN: f64 = 1.2;
pub(super) const SLOWER_PER_CALL: f64 = 0.03;
const SLOWER_WHILE_READING: f64 = 1.3;
const ENGINE_QUEUE: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Sound,
    Failing,
    Gone,
}

pub(super) struct Job {
    pub(super) ticket: Ticket,
    pub(super) parts: Vec<PromptPart>,
    pub(super) unread: f64,
    pub(super) output: f64,
    pub(super) generated: f64,
    pub(super) sent_ms: u64,
    pub(super) first_ms: Option<u64>,
}

/// An engine: reads, generates, keeps what it read, queues beyond its slots.
pub struct FakeEngine {
    pub key: ServerKey,
    pub slots: usize,
    pub slowness: f64,
    pub memory_tokens: u64,
    pub health: Health,
    /// Tokens of shared parts that it read.
    pub shared_read: u64,
    pub(super) running: Vec<Job>,
    pub(super) queue: VecDeque<Job>,
    pub(super) memory: BTreeMap<u64, (u32, u64)>,
}

/// So many engines with 8 slots; `slowness` tells each one's by its place.
pub fn engines(count: u32, slowness: impl Fn(u32) -> f64) -> Vec<FakeEngine> {
    let engine = |place| FakeEngine {
        key: ServerKey(1_000 + place),
        slots: 8,
        slowness: slowness(place),
        memory_tokens: MEMORY_TOKENS,
        health: Health::Sound,
        shared_read: 0,
        running: Vec::new(),
        queue: VecDeque::new(),
        memory: BTreeMap::new(),
    };
    (0..count).map(engine).collect()
}

impl FakeEngine {
    pub fn holds(&self, part: u64) -> bool {
        self.memory.contains_key(&part)
    }

    /// Takes a call, or says at once what becomes of it.
    pub(super) fn accept(&mut self, now: u64, job: Job) -> Option<CallEnd> {
        match self.health {
            Health::Gone => return Some(CallEnd::Broken),
            Health::Failing => return Some(CallEnd::Failed),
            Health::Sound => {}
        }
        if self.running.len() < self.slots {
            self.start(now, job);
        } else if self.queue.len() < ENGINE_QUEUE {
            self.queue.push_back(job);
        } else {
            return Some(CallEnd::Refused);
        }
        None
    }

    fn start(&mut self, now: u64, mut job: Job) {
        let mut is_prefix_held = true;
        for part in &job.parts {
            let held = self.memory.get(&part.id).map_or(0, |held| held.0);
            let held = if is_prefix_held {
                held.min(part.tokens)
            } else {
                0
            };
            is_prefix_held &= held > 0;
            job.unread += f64::from(part.tokens - held);
            if part.tokens == SHARED_TOKENS {
                self.shared_read += u64::from(part.tokens - held);
            }
        }
        let parts = job.parts.clone();
        self.running.push(job);
        self.keep(now, &parts);
    }

    fn keep(&mut self, now: u64, parts: &[PromptPart]) {
        self.memory
            .extend(parts.iter().map(|part| (part.id, (part.tokens, now))));
        let mut total: u64 = self.memory.values().map(|held| u64::from(held.0)).sum();
        while total > self.memory_tokens {
            let Some((&part, &(tokens, _))) = self.memory.iter().min_by_key(|(_, held)| held.1)
            else {
                break;
            };
            self.memory.remove(&part);
            total -= u64::from(tokens);
        }
    }

    /// Works for 1 ms and tells which calls are whole.
    pub(super) fn step(&mut self, now: u64) -> Vec<(Ticket, CallEnd)> {
        let readers = self.running.iter().filter(|job| job.unread > 0.0).count();
        let crowd = 1.0 + SLOWER_PER_CALL * self.running.len().saturating_sub(1) as f64;
        let reading = if readers > 0 {
            SLOWER_WHILE_READING
        } else {
            1.0
        };
        let read = READ_TOKENS_PER_MS / self.slowness / readers.max(1) as f64;
        let generated = 1.0 / (MS_PER_TOKEN * self.slowness * crowd * reading);
        for job in &mut self.running {
            if job.unread > 0.0 {
                job.unread -= read;
            } else {
                job.generated += generated;
                job.first_ms = job.first_ms.or(Some(now));
            }
        }
        let whole: Vec<Job> = self
            .running
            .extract_if(.., |job| job.generated >= job.output)
            .collect();
        for job in &whole {
            let kept = CachedPrompt::after_answer(self.key, &job.parts, job.output as u32);
            self.keep(now, &kept.parts);
        }
        while self.running.len() < self.slots
            && let Some(job) = self.queue.pop_front()
        {
            self.start(now, job);
        }
        whole
            .iter()
            .map(|job| (job.ticket, whole_end(now, job)))
            .collect()
    }

    pub(super) fn forget(&mut self, ticket: Ticket) {
        self.running.retain(|job| job.ticket != ticket);
        self.queue.retain(|job| job.ticket != ticket);
    }
}

fn whole_end(now: u64, job: &Job) -> CallEnd {
    CallEnd::Whole {
        generated: job.output as u32,
        first_tokens: 1,
        first_part_ms: (job.first_ms.unwrap_or(now) - job.sent_ms) as u32 + 1,
        took_ms: (now - job.sent_ms) as u32 + 2,
    }
}
