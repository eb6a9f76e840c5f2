//! Round-trip times of paths, estimated from samples as for the retransmission timeout of TCP (RFC 6298), and the
//! time to wait for a reply on a path. No I/O.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout on a path without samples; above the round trip of a path that takes 100 ms one way.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(300);
/// Least time allowed beyond the smoothed round trip: for delays in this process.
const MIN_MARGIN: Duration = Duration::from_millis(50);
/// Factor of the variation in the timeout.
const VARIATION_FACTOR: u32 = 4;
/// Samples by which a smoothed value and its variation are averaged.
const SMOOTHING_SAMPLES: u32 = 8;
const VARIATION_SAMPLES: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    smoothed: Duration,
    variation: Duration,
}

impl RoundTrip {
    fn first(sample: Duration) -> Self {
        Self {
            smoothed: sample,
            variation: sample / 2,
        }
    }

    fn record(&mut self, sample: Duration) {
        let deviation = self.smoothed.abs_diff(sample);
        self.variation = average(self.variation, deviation, VARIATION_SAMPLES);
        self.smoothed = average(self.smoothed, sample, SMOOTHING_SAMPLES);
    }
}

fn average(known: Duration, sample: Duration, samples: u32) -> Duration {
    (known * (samples - 1) + sample) / samples
}

/// Round-trip times by path.
#[derive(Clone, Debug)]
pub struct RoundTrips<Path> {
    paths: BTreeMap<Path, RoundTrip>,
}

impl<Path> Default for RoundTrips<Path> {
    fn default() -> Self {
        Self {
            paths: BTreeMap::new(),
        }
    }
}

impl<Path: Ord> RoundTrips<Path> {
    /// Records a sample.
    pub fn record(&mut self, path: Path, sample: Duration) {
        self.paths
            .entry(path)
            .and_modify(|known| known.record(sample))
            .or_insert_with(|| RoundTrip::first(sample));
    }

    /// How long to wait for a reply.
    #[must_use]
    pub fn timeout<Key>(&self, path: &Key) -> Duration
    where
        Path: std::borrow::Borrow<Key>,
        Key: Ord + ?Sized,
    {
        let known = self.paths.get(path);
        known.map_or(DEFAULT_TIMEOUT, |known| {
            let margin = (known.variation * VARIATION_FACTOR).max(MIN_MARGIN);
            (known.smoothed + margin).min(DEFAULT_TIMEOUT)
        })
    }
}
