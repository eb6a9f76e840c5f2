//! Prefill and decode speed of engines, estimated from completed answers.
//!
//! The time of an answer depends on the engine, on the calls that ran beside it, and on short
//! disturbances. An engine's estimate therefore averages about twenty answers (about a second of a
//! busy engine) and is bounded relative to the pool's.

use crate::quantile::Quantile;

/// Weight of a new sample in an engine's estimate. Averages about twenty answers, so that a
/// disturbance of half a second has less effect than a lasting slowdown.
const ENGINE_WEIGHT: f64 = 0.06;
/// Weight of a new sample in the pool's estimate.
const POOL_WEIGHT: f64 = 0.01;
/// Bounds of a sample and of an engine's slowdown, relative to the pool.
const MIN_SLOWDOWN: f64 = 0.2;
const MAX_SLOWDOWN: f64 = 10.0;
/// Prompts with fewer uncached tokens than this are samples of the time to first token without
/// prefill.
const SHORT_PREFILL_TOKENS: u32 = 500;
/// Prompts with at least this many uncached tokens are samples of the prefill speed.
const LONG_PREFILL_TOKENS: u32 = 2_000;
/// Tracked quantile of prefill times. Below the median, because time queued at the engine inflates
/// them.
const PREFILL_QUANTILE: f64 = 0.35;

/// Timing of one completed answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AnswerTiming {
    /// Prompt tokens that were not cached on the engine, as estimated by the scheduler.
    pub uncached_tokens: u32,
    /// Generated tokens.
    pub generated: u32,
    /// Generated tokens that arrived in the first chunk, whose decode time can't be separated from
    /// the prefill.
    pub first_chunk_tokens: u32,
    /// Time from the send to the first chunk, in milliseconds.
    pub first_chunk_ms: f64,
    /// Time from the send to the end, in milliseconds.
    pub total_ms: f64,
}

/// Speed estimates of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSpeed {
    /// Decode time per token, in milliseconds; none before the first answer.
    token_ms: Option<f64>,
    prefill_ms_per_token: Quantile,
    first_chunk_ms: Quantile,
}

impl Default for PoolSpeed {
    fn default() -> Self {
        Self {
            token_ms: None,
            prefill_ms_per_token: Quantile::new(PREFILL_QUANTILE, 0.005),
            first_chunk_ms: Quantile::new(PREFILL_QUANTILE, 20.0),
        }
    }
}

/// Decode time per token assumed before the first answer, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 2.0;

impl PoolSpeed {
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms.unwrap_or(DEFAULT_TOKEN_MS)
    }

    pub(crate) fn prefill_ms(&self, tokens: u32) -> f64 {
        self.prefill_ms_per_token.value() * f64::from(tokens)
    }

    /// Decode time per token; none if the answer is too short to tell.
    fn token_sample(timing: &AnswerTiming) -> Option<f64> {
        let decoded = timing.generated.saturating_sub(timing.first_chunk_tokens);
        let decode_ms = timing.total_ms - timing.first_chunk_ms;
        (decoded > 0 && decode_ms > 0.0).then(|| decode_ms / f64::from(decoded))
    }

    fn record_first_chunk(&mut self, timing: &AnswerTiming) {
        if timing.uncached_tokens < SHORT_PREFILL_TOKENS {
            self.first_chunk_ms.note(timing.first_chunk_ms);
        } else if timing.uncached_tokens >= LONG_PREFILL_TOKENS {
            let prefill_ms = (timing.first_chunk_ms - self.first_chunk_ms.value()).max(0.0);
            self.prefill_ms_per_token
                .note(prefill_ms / f64::from(timing.uncached_tokens));
        }
    }
}

/// Speed estimate of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineSpeed {
    token_ms: Option<f64>,
}

impl EngineSpeed {
    /// Updates the estimates of the engine and its pool from an answer.
    pub(crate) fn record(&mut self, pool: &mut PoolSpeed, timing: &AnswerTiming) {
        pool.record_first_chunk(timing);
        let Some(sample) = PoolSpeed::token_sample(timing) else {
            return;
        };
        let pool_token_ms = *pool.token_ms.get_or_insert(sample);
        let bounded = sample.clamp(pool_token_ms * MIN_SLOWDOWN, pool_token_ms * MAX_SLOWDOWN);
        pool.token_ms = Some(pool_token_ms + POOL_WEIGHT * (bounded - pool_token_ms));
        let engine_token_ms = self.token_ms.unwrap_or(bounded);
        self.token_ms = Some(engine_token_ms + ENGINE_WEIGHT * (bounded - engine_token_ms));
    }

    /// Decode time relative to the pool: 1 is average, 2 takes twice as long.
    pub(crate) fn slowdown(&self, pool: &PoolSpeed) -> f64 {
        let engine_token_ms = self.token_ms.unwrap_or_else(|| pool.token_ms());
        (engine_token_ms / pool.token_ms()).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
    }
}
