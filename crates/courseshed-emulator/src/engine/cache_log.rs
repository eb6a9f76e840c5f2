//! Cache events as the engine publishes them: late, and with the faults asked for.

use crate::engine::faults::EventFaults;
use courseshed_engine::protocol::CacheEventBatch;
use courseshed_types::ProgramId;
use courseshed_types::dispatch::{CacheChange, CacheEvent};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Events kept for late readers; older ones are gaps to them.
const KEPT_EVENTS: usize = 65_536;
/// Most events in one answer.
const BATCH_EVENTS: usize = 4_096;

struct Published {
    visible_at: Duration,
    event: CacheEvent,
}

/// The log of one engine start.
pub(crate) struct CacheLog {
    delay: Duration,
    faults: EventFaults,
    random: ChaCha8Rng,
    last: u64,
    published: VecDeque<Published>,
}

impl CacheLog {
    pub(crate) fn new(delay: Duration, seed: u64) -> Self {
        CacheLog {
            delay,
            faults: EventFaults::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            last: 0,
            published: VecDeque::new(),
        }
    }

    pub(crate) fn set_faults(&mut self, faults: EventFaults) {
        self.faults = faults;
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn reset(&mut self) {
        self.last = 0;
        self.published.clear();
    }

    pub(crate) fn publish(&mut self, now: Duration, program: ProgramId, change: CacheChange) {
        self.last += 1;
        if self.happens(self.faults.drop) {
            return;
        }
        let event = CacheEvent {
            number: self.last,
            program,
            change,
        };
        let visible_at = now + self.delay + Duration::from_millis(self.faults.delay_ms);
        if self.happens(self.faults.repeat) {
            self.push(visible_at, event.clone());
        }
        self.push(visible_at, event);
        if self.happens(self.faults.reorder) {
            self.swap_last_two();
        }
    }

    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share.min(1.0))
    }

    fn push(&mut self, visible_at: Duration, event: CacheEvent) {
        if self.published.len() == KEPT_EVENTS {
            self.published.pop_front();
        }
        self.published.push_back(Published { visible_at, event });
    }

    fn swap_last_two(&mut self) {
        let count = self.published.len();
        if count >= 2 {
            self.published.swap(count - 1, count - 2);
        }
    }

    /// What a reader who has seen `after` is given at `now`.
    pub(crate) fn read(&self, now: Duration, after: u64, start: u64) -> CacheEventBatch {
        let visible = self
            .published
            .iter()
            .filter(|published| published.visible_at <= now);
        let new = visible.filter(|published| published.event.number > after);
        let events: Vec<CacheEvent> = new
            .take(BATCH_EVENTS)
            .map(|published| published.event.clone())
            .collect();
        let last = events
            .iter()
            .map(|event| event.number)
            .max()
            .unwrap_or(after);
        CacheEventBatch {
            start,
            events,
            last,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use courseshed_types::{ShardId, Tokens};

    fn log_with(faults: EventFaults) -> CacheLog {
        let mut log = CacheLog::new(Duration::from_millis(100), 7);
        log.set_faults(faults);
        for number in 0..1_000 {
            let program = ProgramId {
                shard: ShardId(1),
                number,
            };
            log.publish(Duration::ZERO, program, CacheChange::Stored(Tokens(16)));
        }
        log
    }

    fn numbers(log: &CacheLog) -> Vec<u64> {
        let batch = log.read(Duration::from_secs(1), 0, 1);
        batch.events.iter().map(|event| event.number).collect()
    }

    #[test]
    fn events_come_late_and_in_order_without_faults() {
        let log = log_with(EventFaults::default());
        assert!(log.read(Duration::from_millis(99), 0, 1).events.is_empty());
        assert_eq!(numbers(&log), (1..=1_000).collect::<Vec<u64>>());
        let rest = log.read(Duration::from_secs(1), 990, 1);
        assert_eq!((rest.events.len(), rest.last), (10, 1_000));
    }

    #[test]
    fn events_are_lost_repeated_and_reordered_on_demand() {
        let dropped = numbers(&log_with(EventFaults {
            drop: 0.5,
            ..EventFaults::default()
        }));
        assert!((400..600).contains(&dropped.len()), "{}", dropped.len());
        let repeated = numbers(&log_with(EventFaults {
            repeat: 1.0,
            ..EventFaults::default()
        }));
        assert_eq!(repeated.len(), 2_000);
        let reordered = numbers(&log_with(EventFaults {
            reorder: 0.5,
            ..EventFaults::default()
        }));
        assert!(!reordered.is_sorted());
        assert_eq!(reordered.len(), 1_000);
    }
}
