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
const SLOWDOWN_OF_CALL: f64 = 0.03;
/// Fraction of the slots above which a call is expected to queue; below 1 because load reports lag.
const WAITING_FROM: f64 = 0.8;
/// Weight of the prefill time for each running call: the delay of the call itself and the capacity
/// taken from later ones.
const READ_HOLDS_UP: f64 = 2.0;
/// Cost of sending a call to another zone of the same region, in milliseconds.
pub const OTHER_ZONE_MS: f64 = 8.0;
/// Round trips of a call to another region: connection setup, a request body of a few TCP windows,
/// and the first chunk of the response.
const ROUND_TRIPS_OF_CALL: f64 = 4.0;
/// Round-trip time to another region assumed before the first sample, in milliseconds.
const USUAL_REGION_ROUND_TRIP_MS: f64 = 60.0;
/// Weight of a new sample in the moving average of the round-trip time.
const NEWEST_ROUND_TRIP: f64 = 0.1;

/// Estimated latencies of the calls of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePace {
    /// Duration of a call, in milliseconds.
    pub call_ms: f64,
    /// Prefill time of a prompt token, in milliseconds.
    pub read_ms_per_token: f64,
}

/// Statistics of a server, and of a call that may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Calls of all gateways at the server.
    pub calls: u32,
    /// Calls that the server runs concurrently.
    pub slots: u32,
    /// Latency relative to the median of the service.
    pub slowness: f64,
    /// Prompt tokens that the server does not have cached.
    pub unread_tokens: u32,
    /// Network cost of the call, in milliseconds.
    pub way_ms: f64,
}

/// The expected cost, in milliseconds.
#[must_use]
pub fn expected_ms(prospect: &Prospect, pace: &ServicePace) -> f64 {
    let slots = f64::from(prospect.slots.max(1));
    let calls = f64::from(prospect.calls);
    let crowd = SLOWDOWN_OF_CALL * calls.min(slots);
    let waiting = waiting_share(prospect.calls, prospect.slots);
    let read = f64::from(prospect.unread_tokens) * pace.read_ms_per_token;
    let held_up = 1.0 + READ_HOLDS_UP * calls.min(slots);
    let own = pace.call_ms * (1.0 + crowd + waiting) + read * held_up;
    own * prospect.slowness + prospect.way_ms
}

/// Expected queueing time of a further call, as a multiple of a call's duration.
fn waiting_share(calls: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    (f64::from(calls) + 1.0 - WAITING_FROM * slots).max(0.0) / slots
}

/// Whether a further call is expected to queue.
#[must_use]
pub fn would_wait(calls: u32, slots: u32) -> bool {
    waiting_share(calls, slots) > 0.0
}

/// Estimates the latency to servers of other regions from connection setup times.
///
/// Congestion on a link between regions slows connection setup, which raises the cost of remote
/// servers and keeps calls in their own region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionWay {
    round_trip_ms: f64,
}

impl Default for RegionWay {
    fn default() -> Self {
        Self {
            round_trip_ms: USUAL_REGION_ROUND_TRIP_MS,
        }
    }
}

impl RegionWay {
    /// Records the time taken to connect to a server of another region.
    pub fn note(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        self.round_trip_ms += NEWEST_ROUND_TRIP * (took_ms - self.round_trip_ms);
    }

    /// Network cost of a call to another region, in milliseconds.
    #[must_use]
    pub fn call_ms(&self) -> f64 {
        ROUND_TRIPS_OF_CALL * self.round_trip_ms
    }
}

/// Estimates the call duration and the prefill rate of a service.
///
/// Prefill times are tracked at their lower quartile, because queueing inflates samples and unknown
/// cache hits deflate them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceEstimate {
    call_ms: f64,
    read_ms_per_token: Quantile,
    /// Time to the first chunk of a response with little to prefill, in milliseconds.
    first_part_ms: Quantile,
}

/// Weight of a new sample in the moving average of the call duration.
const NEWEST_WEIGHT: f64 = 0.05;
const LOWER_QUARTILE: f64 = 0.25;
/// Samples with fewer uncached tokens measure the time to the first chunk without prefill.
const FEW_TOKENS: u32 = 500;
/// Samples with fewer uncached tokens are too noisy to estimate the prefill rate.
const TELLING_TOKENS: u32 = 2_000;

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            call_ms: 200.0,
            read_ms_per_token: Quantile::new(LOWER_QUARTILE, 0.005),
            first_part_ms: Quantile::new(LOWER_QUARTILE, 20.0),
        }
    }
}

impl PaceEstimate {
    /// The current estimates.
    #[must_use]
    pub fn pace(&self) -> ServicePace {
        ServicePace {
            call_ms: self.call_ms,
            read_ms_per_token: self.read_ms_per_token.value(),
        }
    }

    /// Records the duration of a call at a server.
    pub fn note_call(&mut self, took_ms: f64) {
        self.call_ms += NEWEST_WEIGHT * (took_ms - self.call_ms);
    }

    /// Records the time to the first chunk of a response, given the number of uncached prompt
    /// tokens.
    pub fn note_read(&mut self, unread_tokens: u32, took_ms: f64) {
        if unread_tokens < FEW_TOKENS {
            self.first_part_ms.note(took_ms);
        } else if unread_tokens >= TELLING_TOKENS {
            let reading_ms = (took_ms - self.first_part_ms.value()).max(0.0);
            self.read_ms_per_token
                .note(reading_ms / f64::from(unread_tokens));
        }
    }
}
