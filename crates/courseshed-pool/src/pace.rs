//! How fast engines read and generate, learned from whole answers.
//!
//! What an answer took depends on its engine, on the calls beside it, and on short slowness that is over when it is
//! known. So an engine's pace follows some twenty answers, about a second of a busy one, and is bounded against
//! that of the pool.

use crate::quantile::Quantile;

/// Weight of a new time in an engine's pace: some twenty answers count, so that a slowness of half a second moves it
/// by less than a slowness that stays.
const ENGINE_WEIGHT: f64 = 0.06;
/// Weight of a new time in the pool's pace.
const POOL_WEIGHT: f64 = 0.01;
/// No engine is taken to be faster or slower than this against the pool, whatever single answers took.
const FASTEST: f64 = 0.2;
const SLOWEST: f64 = 10.0;
/// Fewer unread tokens than this say how long a first part takes without reading.
const FEW_TOKENS: u32 = 500;
/// Fewer unread tokens than this say little of how fast engines read.
const TELLING_TOKENS: u32 = 2_000;
/// Where times of reads are followed: what waited at the engine is no slow reading.
const READ_QUANTILE: f64 = 0.35;

/// What an answer tells of its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AnswerTimes {
    /// Tokens of the prompt that the engine had to read, as far as was known.
    pub unread_tokens: u32,
    /// Tokens generated.
    pub generated: u32,
    /// Tokens of them that the first part brought, which have no time of their own.
    pub first_tokens: u32,
    /// From the send to the first part.
    pub first_part_ms: f64,
    /// From the send to the end.
    pub took_ms: f64,
}

/// The pace of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolPace {
    /// Time for a token, in milliseconds; none before the first answer.
    token_ms: Option<f64>,
    read_ms_per_token: Quantile,
    first_part_ms: Quantile,
}

impl Default for PoolPace {
    fn default() -> Self {
        Self {
            token_ms: None,
            read_ms_per_token: Quantile::new(READ_QUANTILE, 0.005),
            first_part_ms: Quantile::new(READ_QUANTILE, 20.0),
        }
    }
}

/// Time for a token that is assumed before any answer was whole, in milliseconds.
const ASSUMED_TOKEN_MS: f64 = 2.0;

impl PoolPace {
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms.unwrap_or(ASSUMED_TOKEN_MS)
    }

    pub(crate) fn read_ms(&self, tokens: u32) -> f64 {
        self.read_ms_per_token.value() * f64::from(tokens)
    }

    /// Time for a token at an engine, if the answer was long enough to tell.
    fn token_sample(times: &AnswerTimes) -> Option<f64> {
        let timed = times.generated.saturating_sub(times.first_tokens);
        let decode_ms = times.took_ms - times.first_part_ms;
        (timed > 0 && decode_ms > 0.0).then(|| decode_ms / f64::from(timed))
    }

    fn note_first_part(&mut self, times: &AnswerTimes) {
        if times.unread_tokens < FEW_TOKENS {
            self.first_part_ms.note(times.first_part_ms);
        } else if times.unread_tokens >= TELLING_TOKENS {
            let reading = (times.first_part_ms - self.first_part_ms.value()).max(0.0);
            self.read_ms_per_token
                .note(reading / f64::from(times.unread_tokens));
        }
    }
}

/// The pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EnginePace {
    token_ms: Option<f64>,
}

impl EnginePace {
    /// Takes in an answer, for the engine and its pool.
    pub(crate) fn note(&mut self, pool: &mut PoolPace, times: &AnswerTimes) {
        pool.note_first_part(times);
        let Some(sample) = PoolPace::token_sample(times) else {
            return;
        };
        let usual = *pool.token_ms.get_or_insert(sample);
        let bounded = sample.clamp(usual * FASTEST, usual * SLOWEST);
        pool.token_ms = Some(usual + POOL_WEIGHT * (bounded - usual));
        let own = self.token_ms.unwrap_or(bounded);
        self.token_ms = Some(own + ENGINE_WEIGHT * (bounded - own));
    }

    /// Its times against those of the pool: 1 is as fast as the others, 2 takes twice as long.
    pub(crate) fn slowness(&self, pool: &PoolPace) -> f64 {
        let own = self.token_ms.unwrap_or_else(|| pool.token_ms());
        (own / pool.token_ms()).clamp(FASTEST, SLOWEST)
    }
}
