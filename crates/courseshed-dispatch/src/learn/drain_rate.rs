//! How fast the pool takes calls out of its queues, so that callers are told when to come back.

use std::time::Duration;

use courseshed_types::Timestamp;

/// Time in which a sample fades to a third.
const FADE: Duration = Duration::from_secs(20);
/// Time that must pass before the rate says anything.
const LEAST_TIME: Duration = Duration::from_secs(5);
/// Weight of samples that must be held before the rate says anything.
const LEAST_SAMPLES: f64 = 8.0;

/// An exponentially fading count of assigned calls.
#[derive(Debug, Clone)]
pub(crate) struct DrainRate {
    started: Timestamp,
    updated: Timestamp,
    samples: f64,
}

impl DrainRate {
    pub(crate) fn new(now: Timestamp) -> DrainRate {
        DrainRate {
            started: now,
            updated: now,
            samples: 0.0,
        }
    }

    /// A call was assigned.
    pub(crate) fn record(&mut self, now: Timestamp) {
        self.samples = self.samples_at(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Calls assigned per second of late; none while too little was seen to tell.
    pub(crate) fn per_second(&self, now: Timestamp) -> Option<f64> {
        let time = now.since(self.started);
        let samples = self.samples_at(now);
        if time < LEAST_TIME || samples < LEAST_SAMPLES {
            return None;
        }
        let fade = FADE.as_secs_f64();
        let seen = fade * (1.0 - (-time.as_secs_f64() / fade).exp());
        Some(samples / seen)
    }

    fn samples_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.samples * (-age / FADE.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_steady_rate_is_found_and_fades_when_it_stops() {
        let mut now = Timestamp::from_millis(1_000);
        let mut rate = DrainRate::new(now);
        assert_eq!(rate.per_second(now), None);
        for _ in 0..600 {
            now += Duration::from_millis(100);
            rate.record(now);
        }
        let steady = rate.per_second(now).expect("enough samples");
        assert!((9.0..11.0).contains(&steady), "{steady}");
        now += Duration::from_secs(20);
        let faded = rate.per_second(now).expect("enough samples");
        assert!((3.0..5.0).contains(&faded), "{faded}");
    }
}
