//! What a call is expected to cost at a server, in milliseconds of everyone's time. Pure.
//!
//! A server runs calls side by side, each a little slower for the others, up to its slots; beyond
//! them calls wait. What it has to read of a prompt holds up the call and, since servers read
//! between the tokens of other calls, those as well.

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
const OTHER_ZONE_MS: f64 = 8.0;

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
    /// Whether it stands in the gateway's own zone.
    pub is_near: bool,
}

/// The expected cost, in milliseconds.
#[must_use]
pub fn expected_ms(prospect: &Prospect, pace: &ServicePace) -> f64 {
    let slots = f64::from(prospect.slots.max(1));
    let calls = f64::from(prospect.calls);
    let crowd = SLOWDOWN_OF_CALL * calls.min(slots);
    let waiting = (calls + 1.0 - WAITING_FROM * slots).max(0.0) / slots;
    let read = f64::from(prospect.unread_tokens) * pace.read_ms_per_token;
    let held_up = 1.0 + READ_HOLDS_UP * calls.min(slots);
    let own = pace.call_ms * (1.0 + crowd + waiting) + read * held_up;
    let distance = if prospect.is_near { 0.0 } else { OTHER_ZONE_MS };
    own * prospect.slowness + distance
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
