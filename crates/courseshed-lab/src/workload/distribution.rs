//! Distributions of a workload file, each with a bound, so that no draw is absurd.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

/// Standard deviations from the median of a normal distribution to its 95th percentile.
const DEVIATIONS_TO_P95: f64 = 1.644_853_6;
/// Draws from which a mean is estimated.
const MEAN_DRAWS: usize = 4_096;
/// Seed of those draws: a mean must not depend on the run.
const MEAN_SEED: u64 = 1;

/// A distribution of numbers of at least 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Distribution {
    /// Always the same.
    Fixed(f64),
    /// Evenly between two bounds.
    Uniform {
        /// Lower bound.
        least: f64,
        /// Upper bound.
        most: f64,
    },
    /// Log-normal: half below the median, 5 in 100 above `p95`.
    LogNormal {
        /// The median.
        median: f64,
        /// The 95th percentile.
        p95: f64,
        /// Larger draws count as this.
        most: f64,
    },
    /// Pareto: a heavy tail above the least value.
    HeavyTail {
        /// The least value.
        least: f64,
        /// The tail's index; the smaller, the heavier.
        shape: f64,
        /// Larger draws count as this.
        most: f64,
    },
}

impl Distribution {
    /// Draws a number.
    pub fn draw(&self, random: &mut impl Rng) -> f64 {
        match *self {
            Distribution::Fixed(value) => value,
            Distribution::Uniform { least, most } => {
                least + (most - least) * random.random::<f64>()
            }
            Distribution::LogNormal { median, p95, most } => {
                let deviation = (p95.ln() - median.ln()) / DEVIATIONS_TO_P95;
                let normal = LogNormal::new(median.ln(), deviation).expect("checked when read");
                normal.sample(random).min(most)
            }
            Distribution::HeavyTail { least, shape, most } => {
                let pareto = Pareto::new(least, shape).expect("checked when read");
                pareto.sample(random).min(most)
            }
        }
    }

    /// Draws a whole number of at least one.
    pub fn draw_count(&self, random: &mut impl Rng) -> u64 {
        self.draw(random).round().max(1.0) as u64
    }

    /// The mean of whole draws, estimated from a fixed seed.
    pub fn mean_count(&self) -> f64 {
        let mut random = ChaCha8Rng::seed_from_u64(MEAN_SEED);
        let sum: u64 = (0..MEAN_DRAWS).map(|_| self.draw_count(&mut random)).sum();
        sum as f64 / MEAN_DRAWS as f64
    }

    /// What is wrong with the parameters, if anything.
    pub(crate) fn problem(&self) -> Option<&'static str> {
        match *self {
            Distribution::Fixed(value) if !is_positive(value) => Some("must be above 0"),
            Distribution::Uniform { least, most } if !(least >= 0.0 && most >= least) => {
                Some("needs 0 <= least <= most")
            }
            Distribution::LogNormal { median, p95, most }
                if !(is_positive(median) && p95 >= median && most >= median) =>
            {
                Some("needs 0 < median <= p95 and median <= most")
            }
            Distribution::HeavyTail { least, shape, most }
                if !(is_positive(least) && is_positive(shape) && most >= least) =>
            {
                Some("needs 0 < least <= most and shape > 0")
            }
            _ => None,
        }
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
