//! Histogram with logarithmic buckets and decaying samples.
//!
//! Bucket bounds grow by a factor of 2^(1/4), which bounds the error of tail weights to one bucket.
//! Invariants: `total` is the sum of the counts, and `sum` is the sum of the counts times their
//! bucket midpoints.

const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets; covers values up to 2^30.
const BUCKETS: usize = 121;
/// Weight at which all counts are halved, so that recent samples dominate.
const HALVING_WEIGHT: f64 = 512.0;

/// A histogram of positive values, such as milliseconds or tokens.
#[derive(Debug, Clone)]
pub(crate) struct LogHistogram {
    counts: Vec<f32>,
    total: f64,
    sum: f64,
}

impl Default for LogHistogram {
    fn default() -> LogHistogram {
        LogHistogram {
            counts: vec![0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
        }
    }
}

impl LogHistogram {
    /// Adds a sample, halving older ones once the total weight is large enough.
    pub(crate) fn record(&mut self, value: u64) {
        let bucket = bucket_index(value as f64);
        self.counts[bucket] += 1.0;
        self.total += 1.0;
        self.sum += bucket_midpoint(bucket);
        if self.total >= HALVING_WEIGHT {
            self.counts.iter_mut().for_each(|count| *count *= 0.5);
            self.total *= 0.5;
            self.sum *= 0.5;
        }
    }

    /// Total weight of the samples.
    pub(crate) fn weight(&self) -> f64 {
        self.total
    }

    /// The mean of the bucket midpoints; `None` without samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.total > 0.0).then(|| self.sum / self.total)
    }

    /// Weight of the samples above a value.
    pub(crate) fn weight_above(&self, value: f64) -> f64 {
        let first = bucket_index(value) + 1;
        self.counts[first.min(BUCKETS)..]
            .iter()
            .map(|count| f64::from(*count))
            .sum()
    }

    /// Probability that a duration which has lasted `elapsed` ends within another `horizon`; `None`
    /// if no sample lasted that long.
    pub(crate) fn end_probability(&self, elapsed: f64, horizon: f64) -> Option<f64> {
        let surviving = self.weight_above(elapsed);
        if surviving < 0.5 {
            return None;
        }
        Some(1.0 - self.weight_above(elapsed + horizon) / surviving)
    }
}

fn bucket_index(value: f64) -> usize {
    let bucket = ((value + 1.0).log2() * BUCKETS_PER_OCTAVE) as usize;
    bucket.min(BUCKETS - 1)
}

fn bucket_midpoint(bucket: usize) -> f64 {
    ((bucket as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2() - 1.0
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tails_and_means_are_within_a_bucket() {
        let mut histogram = LogHistogram::default();
        (1..=400).for_each(|value| histogram.record(value));
        let above = histogram.weight_above(200.0);
        assert!((165.0..=200.0).contains(&above), "{above}");
        let mean = histogram.mean().expect("samples");
        assert!((185.0..=215.0).contains(&mean), "{mean}");
    }

    #[test]
    fn old_samples_decay() {
        let mut histogram = LogHistogram::default();
        (0..2_000).for_each(|_| histogram.record(1_000));
        (0..2_000).for_each(|_| histogram.record(10));
        assert!(histogram.mean().expect("samples") < 20.0);
        assert!(histogram.weight() <= HALVING_WEIGHT);
    }

    #[test]
    fn the_end_probability_is_conditional_on_elapsed_time() {
        let mut histogram = LogHistogram::default();
        (0..90).for_each(|_| histogram.record(100));
        (0..10).for_each(|_| histogram.record(100_000));
        let fresh = histogram.end_probability(0.0, 1_000.0).expect("samples");
        let waited = histogram
            .end_probability(2_000.0, 1_000.0)
            .expect("samples");
        assert!(fresh > 0.85 && waited < 0.05);
        assert_eq!(histogram.end_probability(1e9, 1.0), None);
    }
}
