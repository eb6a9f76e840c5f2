//! Expected cost of running a call on an engine, in milliseconds, including the time lost by other
//! calls.
//!
//! Covers engines of unequal speed and prompts that are cached on only some of them: a program with
//! little slack may wait for a fast engine, one with much slack goes where there is capacity, and a
//! prompt is prefilled again only where that is cheaper than waiting for an engine that has it
//! cached.

use courseshed_types::ServerKey;

/// Relative slowdown of decoding for each further call in the batch.
const BATCH_SLOWDOWN_PER_CALL: f64 = 0.015;
/// Cost of a prefill to each running call, relative to the prefill time: prefill is interleaved
/// with the decoding of the other calls, and the delay propagates to the queue.
const PREFILL_STALL_FACTOR: f64 = 4.0;
/// Cost of the cache evictions that a prefill causes, relative to the prefill time.
const EVICTION_COST_FACTOR: f64 = 0.5;
/// Penalty for an engine in another zone than the gateway: about four round trips between nearby
/// zones.
const CROSS_ZONE_PENALTY_MS: f64 = 8.0;
/// Penalty for a failed attempt: the retry delay of 0.1 to 0.4 s and the work that is lost.
const FAILURE_PENALTY_MS: f64 = 1_000.0;
/// Bounds of the urgency, the weight of the call's own time against the time of other calls.
const MIN_URGENCY: f64 = 0.5;
const MAX_URGENCY: f64 = 2.0;

/// Inputs of the cost of a call on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CostInputs {
    /// Expected prefill time, in milliseconds.
    pub prefill_ms: f64,
    /// Expected decode time without other calls in the batch, in milliseconds.
    pub decode_ms: f64,
    /// Calls running on the engine.
    pub running: u32,
    /// Whether the engine is in the zone of the call's gateway.
    pub is_same_zone: bool,
    /// Recent failure rate of the engine.
    pub failure_rate: f64,
    /// Urgency of the call's program; 1 is neutral.
    pub urgency: f64,
}

/// Expected cost in milliseconds.
pub(crate) fn expected_cost_ms(inputs: &CostInputs) -> f64 {
    let running = f64::from(inputs.running);
    let decode = inputs.decode_ms * (1.0 + BATCH_SLOWDOWN_PER_CALL * running);
    let own = inputs.urgency * (decode + inputs.prefill_ms);
    let others = inputs.prefill_ms * (PREFILL_STALL_FACTOR * running + EVICTION_COST_FACTOR);
    let zone_penalty = if inputs.is_same_zone {
        0.0
    } else {
        CROSS_ZONE_PENALTY_MS
    };
    own + others + zone_penalty + inputs.failure_rate * FAILURE_PENALTY_MS
}

/// Urgency of a program with this slack: highest just before the target time is missed, lowest with
/// ample slack or if the target can't be met on any engine.
pub(crate) fn urgency(slack: Option<f64>) -> f64 {
    let Some(slack) = slack else {
        return 1.0;
    };
    if slack < UNREACHABLE_SLACK {
        return MIN_URGENCY;
    }
    // 2 at a slack of 1, 1 at a slack of 1.5, the minimum from a slack of 1.75.
    (MAX_URGENCY - 2.0 * (slack - 1.0)).clamp(MIN_URGENCY, MAX_URGENCY)
}

/// Slack below which no engine of the pool can meet a program's target time.
const UNREACHABLE_SLACK: f64 = 0.6;

/// Upper bound of the tie-break between engines of equal cost, in milliseconds.
const MAX_TIE_BREAK_MS: f64 = 4.0;

/// Pseudo-random tie-break between engines, as in rendezvous hashing: calls are spread over engines
/// of equal cost, and calls with the same salt prefer the same engine.
pub(crate) fn tie_break_ms(engine: ServerKey, salt: u64) -> f64 {
    let hash = mix_bits(salt.wrapping_add(u64::from(engine.0).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    MAX_TIE_BREAK_MS * (hash as f64 / u64::MAX as f64)
}

/// The finalizer of SplitMix64, which maps neighbouring inputs to unrelated values.
pub(crate) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
