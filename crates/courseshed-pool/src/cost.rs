//! What a call is expected to cost at an engine, in milliseconds of everyone's time.
//!
//! Load that it answers: engines of unequal speed and prompts that don't fit everywhere. A program with little slack is
//! worth a fast engine; one with much leaves it free, as long as others make its aim; and a prompt is read anew only
//! where that is cheaper than waiting for an engine that holds it.

/// How much slower a call is for each other one at its engine: batches take longer.
const SLOWDOWN_OF_CALL: f64 = 0.015;
/// What a read holds up at each running call, as a part of its time: engines read between the tokens of others.
const READ_HOLDS_UP: f64 = 1.0;
/// What the room that a read takes costs later, as a part of its time: other prompts give way and are read again.
const READ_GIVES_WAY: f64 = 0.5;
/// What sending a call to another zone is worth: some four times the way there and back between near zones.
const OTHER_ZONE_MS: f64 = 8.0;
/// What a failed try costs a caller: the turn is sent anew after 0.1 to 0.4 s, and what it ran is lost.
const FAILURE_MS: f64 = 1_000.0;
/// What the last places of a fast engine are kept for, against the time saved by them: with it, a call of twice the
/// needed slack leaves a fast engine from three quarters of its places on, one without slack never does.
const PLACE_PRICE: f64 = 1.5;
/// The part of an engine's places from which on they have a price.
const PRICED_FROM: f64 = 0.5;
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
    /// Time that the pool's engines generate it on average, in milliseconds.
    pub usual_decode_ms: f64,
    /// Calls there.
    pub running: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it stands in the zone of the call's gateway.
    pub is_near: bool,
    /// Part of its calls that failed lately.
    pub failing_part: f64,
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
    own + others + distance + place_price(prospect) + prospect.failing_part * FAILURE_MS
}

/// The price of a place at an engine that is faster than the others.
fn place_price(prospect: &Prospect) -> f64 {
    let part = f64::from(prospect.running) / f64::from(prospect.slots.max(1));
    let scarce = ((part - PRICED_FROM) / (1.0 - PRICED_FROM)).max(0.0);
    let saved = (prospect.usual_decode_ms - prospect.decode_ms).max(0.0);
    PLACE_PRICE * scarce * saved
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
    // 2 without slack, 1 at half again the needed time, least from twice on.
    (MOST_WORTH - 2.0 * (slack - 1.0)).clamp(LEAST_WORTH, MOST_WORTH)
}

/// Below this slack no engine of the pool makes a program's aim.
const HOPELESS_SLACK: f64 = 0.6;
