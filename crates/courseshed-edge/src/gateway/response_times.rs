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
const TRACKED_QUANTILE: f64 = 0.95;
/// Timeout relative to the 95th percentile.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Minimum timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum number of samples from which a timeout is derived.
const MIN_SAMPLES: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    samples: u32,
    p95_ms: Quantile,
}

/// Response times by route.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    routes: HashMap<String, RouteTimes>,
}

impl ResponseTimes {
    /// Records a response time, or the duration of a wait that timed out.
    pub fn record(&mut self, route: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if let Some(times) = self.routes.get_mut(route) {
            times.samples = times.samples.saturating_add(1);
            times.p95_ms.note(took_ms);
            return;
        }
        let first = RouteTimes {
            samples: 1,
            p95_ms: Quantile::new(TRACKED_QUANTILE, took_ms),
        };
        self.routes.insert(route.to_owned(), first);
    }

    /// How long a server may take to respond to a call of a route; `None` with too few samples.
    #[must_use]
    pub fn response_timeout(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        if times.samples < MIN_SAMPLES {
            return None;
        }
        let timeout = Duration::from_secs_f64(TIMEOUT_FACTOR * times.p95_ms.value() / 1000.0);
        Some(timeout.max(MIN_TIMEOUT))
    }

    /// Drops routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| exists(route));
    }
}
