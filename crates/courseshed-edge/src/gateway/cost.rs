//! Expected cost of a call at a server, in milliseconds, including the delay caused to other calls.
//! No I/O.
//!
//! A server runs calls concurrently, each slightly slower for the others, up to its slots; further
//! calls queue. Prefilling uncached prompt tokens delays the call itself and, because servers
//! interleave prefill with decoding, the other running calls.

use std::time::Duration;

use courseshed_pool::Quantile;

/// Relative slowdown of a call by each other running call, from larger batches and interleaved
/// prefills.
const SLOWDOWN_PER_CALL: f64 = 0.03;
/// Fraction of the slots above which a call is expected to queue; below 1 because load reports lag.
const QUEUEING_THRESHOLD: f64 = 0.8;
/// Weight of the prefill time for each running call: the delay of the call itself and the capacity
/// taken from later ones.
const PREFILL_DELAY_WEIGHT: f64 = 2.0;
/// Cost of sending a call to another zone of the same region, in milliseconds.
pub const CROSS_ZONE_COST_MS: f64 = 8.0;
/// Round trips of a call to another region: one for connection setup, two for a prompt of 20 to 70 KB
/// through TCP windows that open slowly, and one for the first chunk of the response.
const ROUND_TRIPS_PER_CALL: f64 = 4.0;
/// Round-trip time to another region assumed before the first sample, in milliseconds.
const DEFAULT_REGION_ROUND_TRIP_MS: f64 = 60.0;
/// Weight of a new sample in the moving average of the round-trip time.
const ROUND_TRIP_SAMPLE_WEIGHT: f64 = 0.1;

/// Estimated latencies of the calls of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLatency {
    /// Duration of a call, in milliseconds.
    pub call_ms: f64,
    /// Prefill time of a prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
}

/// Statistics of a server, and of a call that may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostInputs {
    /// Calls of all gateways at the server.
    pub calls: u32,
    /// Calls that the server runs concurrently.
    pub slots: u32,
    /// Latency relative to the median of the service.
    pub slowness: f64,
    /// Prompt tokens that the server does not have cached.
    pub uncached_tokens: u32,
    /// Network cost of the call, in milliseconds.
    pub network_ms: f64,
}

/// The expected cost, in milliseconds.
#[must_use]
pub fn expected_cost_ms(inputs: &CostInputs, latency: &ServiceLatency) -> f64 {
    let slots = f64::from(inputs.slots.max(1));
    let calls = f64::from(inputs.calls);
    let slowdown = SLOWDOWN_PER_CALL * calls.min(slots);
    let queueing = queueing_factor(inputs.calls, inputs.slots);
    let prefill = f64::from(inputs.uncached_tokens) * latency.prefill_ms_per_token;
    let delayed_calls = 1.0 + PREFILL_DELAY_WEIGHT * calls.min(slots);
    let own = latency.call_ms * (1.0 + slowdown + queueing) + prefill * delayed_calls;
    own * inputs.slowness + inputs.network_ms
}

/// Expected queueing time of a further call, as a multiple of a call's duration.
fn queueing_factor(calls: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    (f64::from(calls) + 1.0 - QUEUEING_THRESHOLD * slots).max(0.0) / slots
}

/// Whether a further call is expected to queue.
#[must_use]
pub fn would_queue(calls: u32, slots: u32) -> bool {
    queueing_factor(calls, slots) > 0.0
}

/// Estimates the latency to servers of other regions from connection setup times.
///
/// Congestion on a link between regions slows connection setup, which raises the cost of remote
/// servers and keeps calls in their own region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionLatency {
    round_trip_ms: f64,
}

impl Default for RegionLatency {
    fn default() -> Self {
        Self {
            round_trip_ms: DEFAULT_REGION_ROUND_TRIP_MS,
        }
    }
}

impl RegionLatency {
    /// Records the time taken to connect to a server of another region.
    pub fn record(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        self.round_trip_ms += ROUND_TRIP_SAMPLE_WEIGHT * (took_ms - self.round_trip_ms);
    }

    /// Network cost of a call to another region, in milliseconds.
    #[must_use]
    pub fn call_ms(&self) -> f64 {
        ROUND_TRIPS_PER_CALL * self.round_trip_ms
    }
}

/// Estimates the call duration and the prefill rate of a service.
///
/// Prefill times are tracked at their lower quartile, because queueing inflates samples and unknown
/// cache hits deflate them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    call_ms: f64,
    prefill_ms_per_token: Quantile,
    /// Time to the first chunk of a response with little to prefill, in milliseconds.
    first_chunk_ms: Quantile,
}

/// Weight of a new sample in the moving average of the call duration.
const CALL_SAMPLE_WEIGHT: f64 = 0.05;
const LOWER_QUARTILE: f64 = 0.25;
/// Samples with fewer uncached tokens measure the time to the first chunk without prefill.
const MAX_BASELINE_TOKENS: u32 = 500;
/// Samples with fewer uncached tokens are too noisy to estimate the prefill rate.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 2_000;

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            call_ms: 200.0,
            prefill_ms_per_token: Quantile::new(LOWER_QUARTILE, 0.005),
            first_chunk_ms: Quantile::new(LOWER_QUARTILE, 20.0),
        }
    }
}

impl LatencyEstimate {
    /// The current estimates.
    #[must_use]
    pub fn latency(&self) -> ServiceLatency {
        ServiceLatency {
            call_ms: self.call_ms,
            prefill_ms_per_token: self.prefill_ms_per_token.value(),
        }
    }

    /// Records the duration of a call at a server.
    pub fn record_call(&mut self, took_ms: f64) {
        self.call_ms += CALL_SAMPLE_WEIGHT * (took_ms - self.call_ms);
    }

    /// Records the time to the first chunk of a response, given the number of uncached prompt
    /// tokens.
    pub fn record_prefill(&mut self, uncached_tokens: u32, took_ms: f64) {
        if uncached_tokens < MAX_BASELINE_TOKENS {
            self.first_chunk_ms.note(took_ms);
        } else if uncached_tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            let prefill_ms = (took_ms - self.first_chunk_ms.value()).max(0.0);
            self.prefill_ms_per_token
                .note(prefill_ms / f64::from(uncached_tokens));
        }
    }
}
