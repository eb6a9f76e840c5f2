//! What a call is expected to cost at an engine, in milliseconds of everyone's time.
//!
//! Load that it answers: engines of unequal speed and prompts that don't fit everywhere. A program with little slack is
//! worth waiting for a fast engine, one with much goes where there is room; and a prompt is read anew only
//! where that is cheaper than waiting for an engine that holds it.

use courseshed_types::ServerKey;

/// How much slower a call is for each other one at its engine: batches take longer.
const SLOWDOWN_OF_CALL: f64 = 0.015;
/// What a read holds up at each running call, against its own time: engines read between the tokens of others, and what
/// a crowd loses by it comes back to the calls that wait. On 44 engines in a crowd, 4 instead of 1 took the tokens read
/// from 93 to 75 million and the share of worth served from 0.88 to 0.92 (one run each).
const READ_HOLDS_UP: f64 = 4.0;
/// What the room that a read takes costs later, as a part of its time: other prompts give way and are read again.
const READ_GIVES_WAY: f64 = 0.5;
/// What sending a call to another zone is worth: some four times the way there and back between near zones.
const OTHER_ZONE_MS: f64 = 8.0;
/// What a failed try costs a caller: the turn is sent anew after 0.1 to 0.4 s, and what it ran is lost.
const FAILURE_MS: f64 = 1_000.0;
/// Bounds of what a millisecond is worth to a program.
const LEAST_WORTH: f64 = 0.5;
const MOST_WORTH: f64 = 2.0;

/// What is known of an engine and a call that may go there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prospect {
    /// Time that the engine reads the prompt, in milliseconds.
    pub read_ms: f64,
    /// Time that it generates the answer alone, in milliseconds.
    pub decode_ms: f64,
    /// Calls there.
    pub running: u32,
    /// Whether it stands in the zone of the call's gateway.
    pub is_near: bool,
    /// Part of its calls that failed lately.
    pub failure_rate: f64,
    /// What a millisecond is worth to the call's program; 1 is usual.
    pub worth: f64,
}

/// The expected cost, in milliseconds.
pub(crate) fn expected_ms(prospect: &Prospect) -> f64 {
    let running = f64::from(prospect.running);
    let decode = prospect.decode_ms * (1.0 + SLOWDOWN_OF_CALL * running);
    let own = prospect.worth * (decode + prospect.read_ms);
    let others = prospect.read_ms * (READ_HOLDS_UP * running + READ_GIVES_WAY);
    let distance = if prospect.is_near { 0.0 } else { OTHER_ZONE_MS };
    own + others + distance + prospect.failure_rate * FAILURE_MS
}

/// What a millisecond is worth to a program of this slack: most to one that is about to miss its aim, least to one that
/// has time, or that will miss it whatever is done.
pub(crate) fn worth_of(slack: Option<f64>) -> f64 {
    let Some(slack) = slack else {
        return 1.0;
    };
    if slack < HOPELESS_SLACK {
        return LEAST_WORTH;
    }
    // 2 without spare time, 1 with half again the needed time, least from three quarters on.
    (MOST_WORTH - 2.0 * (slack - 1.0)).clamp(LEAST_WORTH, MOST_WORTH)
}

/// Below this slack no engine of the pool makes a program's aim.
const HOPELESS_SLACK: f64 = 0.6;

/// Most that the order of engines which depends on the prompt alone may weigh, in milliseconds.
const PREFERENCE_MS: f64 = 4.0;

/// What an engine costs more than the first one in an order that depends on the salt alone: engines that cost the
/// same otherwise are spread over, and the same prompt prefers the same one.
pub(crate) fn preference_ms(engine: ServerKey, salt: u64) -> f64 {
    // The finalizer of splitmix64, which spreads neighbouring inputs over all values.
    let mut mixed = salt.wrapping_add(u64::from(engine.0).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    PREFERENCE_MS * (mixed as f64 / u64::MAX as f64)
}
