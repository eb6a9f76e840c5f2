//! Round-trip times by zone, estimated from samples as for the retransmission timeout of TCP (RFC 6298), and the
//! time to wait for a reply on a path. No I/O.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout for a zone without samples; above the round trip of a path that takes 100 ms one way.
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

/// Round-trip times by zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    zones: BTreeMap<String, RoundTrip>,
}

impl RoundTrips {
    /// Records a sample.
    pub fn record(&mut self, zone: String, sample: Duration) {
        self.zones
            .entry(zone)
            .and_modify(|known| known.record(sample))
            .or_insert_with(|| RoundTrip::first(sample));
    }

    /// How long to wait for a reply from a zone.
    #[must_use]
    pub fn timeout(&self, zone: &str) -> Duration {
        let known = self.zones.get(zone);
        known.map_or(DEFAULT_TIMEOUT, |known| {
            let margin = (known.variation * VARIATION_FACTOR).max(MIN_MARGIN);
            (known.smoothed + margin).min(DEFAULT_TIMEOUT)
        })
    }
}
