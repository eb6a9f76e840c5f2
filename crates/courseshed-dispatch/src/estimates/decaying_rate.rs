//! Exponentially decaying rate estimate.

use std::time::Duration;

use courseshed_types::Timestamp;

/// Minimum observation time before a rate is reported, as a fraction of the time constant.
const MIN_OBSERVATION_FRACTION: f64 = 0.25;
/// Minimum decayed sample count before a rate is reported.
const MIN_SAMPLES: f64 = 8.0;

/// An exponentially decaying sum of amounts.
#[derive(Debug, Clone)]
pub(crate) struct DecayingRate {
    /// Time constant: time in which a sample decays to 1/e.
    time_constant: Duration,
    started: Timestamp,
    updated: Timestamp,
    samples: f64,
    amount: f64,
}

impl DecayingRate {
    pub(crate) fn new(now: Timestamp, time_constant: Duration) -> DecayingRate {
        DecayingRate {
            time_constant,
            started: now,
            updated: now,
            samples: 0.0,
            amount: 0.0,
        }
    }

    pub(crate) fn record(&mut self, now: Timestamp, amount: f64) {
        let remaining = self.decay_factor(now);
        self.samples = self.samples * remaining + 1.0;
        self.amount = self.amount * remaining + amount;
        self.updated = self.updated.max(now);
    }

    /// The recent amount per second; `None` until there are enough samples.
    pub(crate) fn per_second(&self, now: Timestamp) -> Option<f64> {
        let time = now.since(self.started).as_secs_f64();
        let time_constant = self.time_constant.as_secs_f64();
        let remaining = self.decay_factor(now);
        if time < time_constant * MIN_OBSERVATION_FRACTION || self.samples * remaining < MIN_SAMPLES
        {
            return None;
        }
        let observed = time_constant * (1.0 - (-time / time_constant).exp());
        Some(self.amount * remaining / observed)
    }

    /// Fraction of the accumulated sums that remains at `now`.
    fn decay_factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        (-age / self.time_constant.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_steady_rate_is_estimated_and_decays_when_it_stops() {
        let mut now = Timestamp::from_millis(1_000);
        let mut rate = DecayingRate::new(now, Duration::from_secs(20));
        assert_eq!(rate.per_second(now), None);
        for _ in 0..600 {
            now += Duration::from_millis(100);
            rate.record(now, 1.0);
        }
        let steady = rate.per_second(now).expect("enough samples");
        assert!((9.0..11.0).contains(&steady), "{steady}");
        now += Duration::from_secs(20);
        let decayed = rate.per_second(now).expect("enough samples");
        assert!((3.0..5.0).contains(&decayed), "{decayed}");
    }
}
