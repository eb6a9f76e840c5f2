//! The statistics of one server, and the results of calls that they are made of.

use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use courseshed_registry::{Avoidance, DecayingCounts, Server, ServerOutcome};
use courseshed_types::ServerKey;

use super::super::policy::Mechanism;
use super::{ServerTable, milliseconds};

/// Bounds of the exponential backoff after failures.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Decayed call count below which outcomes are negligible; the smallest value that is reported.
const NEGLIGIBLE_COUNT: f64 = 1.0 / 16.0;
/// Backoff after a server rejected a call.
const REJECTED_BACKOFF: Duration = Duration::from_millis(40);
/// Consecutive error responses after which a server is backed off. One is not enough, because
/// applications return occasional errors on healthy servers: where they do so for 1 call in 100, that
/// happens twice in a row once in 10,000 pairs.
const ERRORS_BEFORE_BACKOFF: u32 = 2;
/// Weight of a new sample in a server's moving average latency.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The result of a call at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallReport {
    /// Latency of a non-streaming response, or of one event of a stream.
    Latency(Duration),
    /// A response without a server error, including rejections of invalid input; reported once per
    /// call.
    Answered,
    /// A server error response.
    ServerError,
    /// The server was at capacity or refused the call without executing it.
    Rejected,
    /// The connection failed or the response was incomplete.
    Failed,
}

/// A server and its statistics.
#[derive(Clone, Debug)]
pub(in super::super) struct ServerStats {
    pub server: Arc<Server>,
    pub key: ServerKey,
    /// Calls of this gateway.
    pub in_flight: u32,
    /// Calls of the other gateways, as last reported.
    pub(super) other_calls: u32,
    /// Moving average latency of a response or stream event, in milliseconds; 0 without samples.
    pub average_ms: f64,
    failures: u32,
    /// Consecutive server error responses.
    consecutive_errors: u32,
    pub backoff_until: Duration,
    /// Outcomes of this gateway's calls.
    pub own_outcomes: DecayingCounts,
    /// Outcomes of the other gateways' calls, as last reported.
    pub other_outcomes: DecayingCounts,
    pub avoidance: Avoidance,
}

impl ServerTable {
    /// Records the result of a call.
    pub fn report(&mut self, id: &str, report: CallReport, now: Duration) {
        let backs_off = self.policy.uses(Mechanism::ServerBackoff);
        let shares_outcomes = self.policy.uses(Mechanism::SharedOutcomes);
        let Some(stats) = self.stats_mut(id) else {
            return;
        };
        if shares_outcomes && let Some(outcome) = report.outcome() {
            stats.own_outcomes.record(outcome, now);
        }
        match report {
            CallReport::Latency(took) => {
                let took_ms = milliseconds(took);
                stats.average_ms = if stats.average_ms == 0.0 {
                    took_ms
                } else {
                    stats.average_ms + SAMPLE_WEIGHT * (took_ms - stats.average_ms)
                };
                stats.failures = 0;
                stats.backoff_until = Duration::ZERO;
            }
            CallReport::Answered => stats.consecutive_errors = 0,
            CallReport::Rejected | CallReport::Failed | CallReport::ServerError if !backs_off => {}
            CallReport::Rejected => stats.backoff_until = now + REJECTED_BACKOFF,
            CallReport::Failed => stats.back_off(now),
            CallReport::ServerError => {
                stats.consecutive_errors += 1;
                if stats.consecutive_errors >= ERRORS_BEFORE_BACKOFF {
                    stats.back_off(now);
                }
            }
        }
    }
}

impl CallReport {
    /// Classifies a response by its status.
    #[must_use]
    pub fn of_answer(status: StatusCode) -> Self {
        if status.is_server_error() {
            Self::ServerError
        } else {
            Self::Answered
        }
    }

    /// The outcome counted for outlier detection; `None` for reports that are not the final one of
    /// a call.
    fn outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Answered => Some(ServerOutcome::Answered),
            Self::ServerError | Self::Failed => Some(ServerOutcome::Failed),
            Self::Latency(_) | Self::Rejected => None,
        }
    }
}

impl ServerStats {
    /// Resets the backoff and error counters.
    pub fn reset_backoff(&mut self) {
        self.failures = 0;
        self.consecutive_errors = 0;
        self.backoff_until = Duration::ZERO;
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Calls of all known gateways.
    pub fn calls(&self) -> u32 {
        self.in_flight + self.other_calls
    }

    pub fn new(server: Arc<Server>) -> Self {
        Self {
            key: ServerKey::of(&server.id),
            server,
            in_flight: 0,
            other_calls: 0,
            average_ms: 0.0,
            failures: 0,
            consecutive_errors: 0,
            backoff_until: Duration::ZERO,
            own_outcomes: DecayingCounts::default(),
            other_outcomes: DecayingCounts::default(),
            avoidance: Avoidance::default(),
        }
    }

    /// Whether the entry holds nothing but the average latency.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        let counted = self.own_outcomes.at(now).plus(&self.other_outcomes.at(now));
        self.calls() == 0
            && self.backoff_until <= now
            && !self.avoidance.is_active()
            && counted.answered + counted.failed < NEGLIGIBLE_COUNT
    }
}
