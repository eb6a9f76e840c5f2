//! Response times of non-streaming calls by route, from which the response timeout of a server is
//! derived. No I/O.
//!
//! If a response is lost, a repeatable call is retried at another server instead of waiting for its
//! deadline. The timeout is a multiple of the 95th percentile of response times. Timeouts count as
//! samples, so that it adapts to servers that have become slower.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_pool::Quantile;

/// The tracked quantile.
const FOLLOWED: f64 = 0.95;
/// Timeout relative to the 95th percentile.
const PATIENCE: f64 = 3.0;
/// Minimum timeout.
const LEAST_SILENCE: Duration = Duration::from_millis(100);
/// Minimum number of samples from which a timeout is derived.
const TELLING_ANSWERS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    answers: u32,
    long_ms: Quantile,
}

/// Response times by route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, RouteTimes>,
}

impl AnswerTimes {
    /// Records a response time, or the duration of a wait that timed out.
    pub fn note(&mut self, route: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if let Some(times) = self.routes.get_mut(route) {
            times.answers = times.answers.saturating_add(1);
            times.long_ms.note(took_ms);
            return;
        }
        let first = RouteTimes {
            answers: 1,
            long_ms: Quantile::new(FOLLOWED, took_ms),
        };
        self.routes.insert(route.to_owned(), first);
    }

    /// How long a server may take to respond to a call of a route; `None` with too few samples.
    #[must_use]
    pub fn silence_borne(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        if times.answers < TELLING_ANSWERS {
            return None;
        }
        let silence = Duration::from_secs_f64(PATIENCE * times.long_ms.value() / 1000.0);
        Some(silence.max(LEAST_SILENCE))
    }

    /// Drops routes that no longer exist.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}
