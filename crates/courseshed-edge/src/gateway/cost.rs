//! What a call is expected to cost at a server, in milliseconds of everyone's time. Pure.
//!
//! A server runs calls side by side, each a little slower for the others, up to its slots; beyond
//! them calls wait. What it has to read of a prompt holds up the call and, since servers read
//! between the tokens of other calls, those as well.

use std::time::Duration;

use courseshed_pool::Quantile;

/// How much slower a call is for each other one at its server: batches take longer, and calls bring
/// prompts that are read in between.
const SLOWDOWN_OF_CALL: f64 = 0.03;
/// Share of the slots from which on a call is taken to wait: what is known of other gateways lags.
const WAITING_FROM: f64 = 0.8;
/// By how much of the time of a read each running call counts as held up: itself once, and once more
/// for the room that the read takes from calls to come.
const READ_HOLDS_UP: f64 = 2.0;
/// What sending a call to another zone is worth.
pub const OTHER_ZONE_MS: f64 = 8.0;
/// Round trips of a call to another region: one to connect, two to bring a prompt of some 20 to 70 KB
/// through windows that open slowly, and one to its first part.
const ROUND_TRIPS_OF_CALL: f64 = 4.0;
/// What a round trip between regions is taken to be before one was seen, in milliseconds.
const USUAL_REGION_ROUND_TRIP_MS: f64 = 60.0;
/// Weight of the newest round trip.
const NEWEST_ROUND_TRIP: f64 = 0.1;

/// What is known of a service's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePace {
    /// How long a call is at a server.
    pub call_ms: f64,
    /// How long a server reads a token of a prompt.
    pub read_ms_per_token: f64,
}

/// What is known of a server and a call that may go there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Calls of all gateways at the server.
    pub calls: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Its times against the usual ones of its service.
    pub slowness: f64,
    /// Tokens of the prompt that it has still to read.
    pub unread_tokens: u32,
    /// What the way there and back costs, in milliseconds.
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

/// By how many times its own length a further call is taken to wait at a server.
fn waiting_share(calls: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    (f64::from(calls) + 1.0 - WAITING_FROM * slots).max(0.0) / slots
}

/// Whether a further call is taken to wait at a server.
#[must_use]
pub fn would_wait(calls: u32, slots: u32) -> bool {
    waiting_share(calls, slots) > 0.0
}

/// Learns how far the servers of other regions are, from the time that connecting to them takes.
///
/// Guards against calls that cross a link which all traffic between two regions shares while servers of
/// the own region could take them. A link that fills makes connecting slower, and so the way dearer.
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
    /// Takes in how long a connection to a server of another region took to come about.
    pub fn note(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        self.round_trip_ms += NEWEST_ROUND_TRIP * (took_ms - self.round_trip_ms);
    }

    /// What the way of a call there and back costs, in milliseconds.
    #[must_use]
    pub fn call_ms(&self) -> f64 {
        ROUND_TRIPS_OF_CALL * self.round_trip_ms
    }
}

/// Learns how long the calls of a service take, and how fast its servers read.
///
/// What waited is no sign of slow reading, and a server that held more of a prompt than was known is
/// none of fast reading. So the times of reads are followed at their lower quartile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceEstimate {
    call_ms: f64,
    read_ms_per_token: Quantile,
    /// Time to the first part of an answer when there is little to read, in milliseconds.
    first_part_ms: Quantile,
}

/// Weight of a new time in the average of a service's times.
const NEWEST_WEIGHT: f64 = 0.05;
/// Where times of reads are followed.
const LOWER_QUARTILE: f64 = 0.25;
/// Fewer tokens than this say how long a first part takes without reading.
const FEW_TOKENS: u32 = 500;
/// Fewer tokens than this say little of how fast a server reads.
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
    /// What is expected now.
    #[must_use]
    pub fn pace(&self) -> ServicePace {
        ServicePace {
            call_ms: self.call_ms,
            read_ms_per_token: self.read_ms_per_token.value(),
        }
    }

    /// Takes in how long a whole call was at a server.
    pub fn note_call(&mut self, took_ms: f64) {
        self.call_ms += NEWEST_WEIGHT * (took_ms - self.call_ms);
    }

    /// Takes in how long the first part of an answer took, with so many tokens to read before it.
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
