//! How long the answers of plain calls take, by route, and so when a silent server is no longer
//! waited for. Pure: times are passed in.
//!
//! A server may run a call and its answer be lost on the way. A call that may run twice then goes to
//! another server instead of waiting for its deadline. What is seen is followed at its 95th percentile;
//! a wait that was given up counts as a time seen, so that servers that became slow are waited for longer.

use std::collections::HashMap;
use std::time::Duration;

use courseshed_pool::Quantile;

/// Share of the answers of a route that come within the time that is followed.
const FOLLOWED: f64 = 0.95;
/// How much longer than the 95th percentile a server may be silent.
const PATIENCE: f64 = 3.0;
/// Shorter silence says nothing, whatever was seen.
const LEAST_SILENCE: Duration = Duration::from_millis(100);
/// Answers seen before they count.
const TELLING_ANSWERS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    answers: u32,
    long_ms: Quantile,
}

/// Times of the answers of plain calls.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, RouteTimes>,
}

impl AnswerTimes {
    /// Takes in how long an answer took, or a wait that was given up.
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

    /// How long a server may be silent with a call of a route; none while too little is known.
    #[must_use]
    pub fn silence_borne(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        if times.answers < TELLING_ANSWERS {
            return None;
        }
        let silence = Duration::from_secs_f64(PATIENCE * times.long_ms.value() / 1000.0);
        Some(silence.max(LEAST_SILENCE))
    }

    /// Forgets the routes that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}
