//! Histograms of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest duration that is told apart, in microseconds: four hours.
const MOST_MICROS: u64 = 4 * 3_600 * 1_000_000;
/// Digits that are kept.
const DIGITS: u8 = 3;
/// Points of a curve beside the first.
const CURVE_STEPS: u32 = 50;

/// A distribution of durations, in seconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Durations recorded.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// Quantiles at even steps from the least to the greatest.
    pub curve: Vec<f64>,
}

/// An empty histogram of microseconds.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, DIGITS).expect("the bounds are constants")
}

/// Adds a duration.
pub(super) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros() as u64);
}

/// Sums a histogram up.
pub(super) fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    if histogram.is_empty() {
        return LatencySummary::default();
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e6;
    let steps = 0..=CURVE_STEPS;
    LatencySummary {
        count: histogram.len(),
        mean: histogram.mean() / 1e6,
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        curve: steps
            .map(|step| at(f64::from(step) / f64::from(CURVE_STEPS)))
            .collect(),
    }
}
