//! The engines of a pool, with the calls that each was given.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::ServerKey;

use crate::health::Health;
use crate::prompt_cache::PromptCache;
use crate::speed::EngineSpeed;
use crate::{EngineListing, Ticket};

/// Calls sent ahead of an engine's places, as a part of them: a place is free for the way of the news and of the next
/// call, some 5 ms of a call's 300, unless the next one is there already.
const SENT_AHEAD: f64 = 0.1;

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub listing: EngineListing,
    pub speed: EngineSpeed,
    pub health: Health,
    pub prompt_cache: PromptCache,
    /// Calls there, with the times when they are expected to end.
    running: BTreeMap<Ticket, Duration>,
    /// Calls that wait for a place here rather than go elsewhere.
    pub awaited: usize,
}

impl Engine {
    fn new(listing: EngineListing) -> Self {
        let mut prompt_cache = PromptCache::default();
        prompt_cache.set_memory(listing.memory_tokens);
        Self {
            listing,
            speed: EngineSpeed::default(),
            health: Health::default(),
            prompt_cache,
            running: BTreeMap::new(),
            awaited: 0,
        }
    }

    /// Calls there.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Calls that may be there at once.
    fn places(&self) -> usize {
        let slots = self.listing.slots.max(1);
        (f64::from(slots) * (1.0 + SENT_AHEAD)).ceil() as usize
    }

    /// Whether it may be given calls, now or once a place is free.
    pub(crate) fn takes_calls(&self, now: Duration) -> bool {
        self.listing.is_ready && self.health.allows_call(now, self.running.len())
    }

    /// Whether it may be given a call now.
    pub(crate) fn has_place(&self, now: Duration) -> bool {
        self.takes_calls(now) && self.running.len() < self.places()
    }

    /// How long the next call that waits here is likely to wait, behind those that do already.
    pub(crate) fn expected_wait(&self, now: Duration) -> Duration {
        let before = self.awaited + (self.running.len() + 1).saturating_sub(self.places());
        if before == 0 {
            return Duration::ZERO;
        }
        let mut ends: Vec<Duration> = self.running.values().copied().collect();
        ends.sort_unstable();
        let Some(last) = ends.len().checked_sub(1) else {
            return Duration::ZERO;
        };
        let end = ends[(before - 1).min(last)];
        // A call that is overdue ends at any time, or tells of an engine that has become slow.
        end.saturating_sub(now).max(OVERDUE_WAIT)
    }

    pub(crate) fn begin(&mut self, ticket: Ticket, ends: Duration) {
        self.running.insert(ticket, ends);
    }

    pub(crate) fn end(&mut self, ticket: &Ticket) {
        self.running.remove(ticket);
    }

    /// By how much its calls are overdue against the time that they were expected to take, as a factor; 1 if none is.
    pub(crate) fn overdue(&self, now: Duration, usual: Duration) -> f64 {
        let Some(first) = self.running.values().min() else {
            return 1.0;
        };
        let late = now.saturating_sub(*first).as_secs_f64();
        1.0 + late / usual.as_secs_f64().max(MIN_USUAL_S)
    }
}

/// Least wait assumed of an engine whose places are taken.
const OVERDUE_WAIT: Duration = Duration::from_millis(5);
/// Shortest usual time of a call, in seconds, against which lateness is measured.
const MIN_USUAL_S: f64 = 0.05;

/// All engines of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engines {
    by_key: BTreeMap<ServerKey, Engine>,
}

impl Engines {
    /// Takes in the whole list. What is known of engines that stay is kept, and of those that left with calls: one that
    /// comes back still has them.
    pub(crate) fn replace(&mut self, listings: &[EngineListing]) {
        let mut known = std::mem::take(&mut self.by_key);
        for listing in listings {
            let engine = match known.remove(&listing.key) {
                Some(mut engine) => {
                    if engine.listing.memory_tokens != listing.memory_tokens {
                        engine.prompt_cache.set_memory(listing.memory_tokens);
                    }
                    engine.listing = *listing;
                    engine
                }
                None => Engine::new(*listing),
            };
            self.by_key.insert(listing.key, engine);
        }
        for (key, mut engine) in known {
            engine.listing.is_ready = false;
            if engine.running() > 0 {
                self.by_key.insert(key, engine);
            }
        }
    }

    pub(crate) fn get(&self, key: ServerKey) -> Option<&Engine> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Engine> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.by_key.values()
    }

    pub(crate) fn keys(&self) -> Vec<ServerKey> {
        self.by_key.keys().copied().collect()
    }
}
