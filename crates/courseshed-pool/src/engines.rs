//! Engines of a pool and the calls granted to each.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_types::ServerKey;

use crate::health::Health;
use crate::prompt_cache::PromptCache;
use crate::speed::EngineSpeed;
use crate::{EngineListing, Ticket};

/// Calls granted beyond the slots, as a fraction of them. Keeps slots busy while the end of a call
/// and the next grant are in transit.
const OVERCOMMIT_FRACTION: f64 = 0.1;

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub listing: EngineListing,
    pub speed: EngineSpeed,
    pub health: Health,
    pub prompt_cache: PromptCache,
    /// Granted calls with their expected end times.
    running: BTreeMap<Ticket, Duration>,
    /// Calls with a planned wait for this engine.
    pub planned_waiters: usize,
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
            planned_waiters: 0,
        }
    }

    /// Number of granted calls.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of calls that may be granted at once.
    fn capacity(&self) -> usize {
        let slots = self.listing.slots.max(1);
        (f64::from(slots) * (1.0 + OVERCOMMIT_FRACTION)).ceil() as usize
    }

    /// Whether calls may be granted, now or once there is capacity.
    pub(crate) fn accepts_calls(&self, now: Duration) -> bool {
        self.listing.is_ready && self.health.allows_call(now, self.running.len())
    }

    /// Whether a call may be granted now.
    pub(crate) fn has_capacity(&self, now: Duration) -> bool {
        self.accepts_calls(now) && self.running.len() < self.capacity()
    }

    /// Expected wait of the next call, behind those that already wait for this engine.
    pub(crate) fn expected_wait(&self, now: Duration) -> Duration {
        let calls_ahead =
            self.planned_waiters + (self.running.len() + 1).saturating_sub(self.capacity());
        if calls_ahead == 0 {
            return Duration::ZERO;
        }
        let mut ends: Vec<Duration> = self.running.values().copied().collect();
        ends.sort_unstable();
        let Some(last) = ends.len().checked_sub(1) else {
            return Duration::ZERO;
        };
        let end = ends[(calls_ahead - 1).min(last)];
        // An overdue call may end at any time, or the engine has become slow.
        end.saturating_sub(now).max(MIN_EXPECTED_WAIT)
    }

    pub(crate) fn start_call(&mut self, ticket: Ticket, expected_end: Duration) {
        self.running.insert(ticket, expected_end);
    }

    pub(crate) fn end_call(&mut self, ticket: &Ticket) {
        self.running.remove(ticket);
    }

    /// Lateness of the most overdue call, relative to the usual duration, plus 1; 1 if none is
    /// overdue.
    pub(crate) fn overdue_factor(&self, now: Duration, usual: Duration) -> f64 {
        let Some(first) = self.running.values().min() else {
            return 1.0;
        };
        let late = now.saturating_sub(*first).as_secs_f64();
        1.0 + late / usual.as_secs_f64().max(MIN_USUAL_DURATION_S)
    }
}

/// Lower bound of the expected wait for an engine at capacity.
const MIN_EXPECTED_WAIT: Duration = Duration::from_millis(5);
/// Lower bound of the usual call duration that lateness is measured against, in seconds.
const MIN_USUAL_DURATION_S: f64 = 0.05;

/// All engines of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engines {
    by_key: BTreeMap<ServerKey, Engine>,
}

impl Engines {
    /// Replaces the list. State is kept for engines that stay, and for removed engines with granted
    /// calls, which may be listed again.
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
