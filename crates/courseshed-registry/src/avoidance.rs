//! Avoidance of failing servers (outlier ejection with exponential backoff and half-open probing).
//! The caller passes times in.
//!
//! A failing server receives no calls for a backoff period that grows with repeated failures.
//! Then it is probed with one call at a time, by about one gateway at a time. A failed probe starts
//! another backoff period; after enough successful probes the server receives calls again. All
//! gateways see nearly the same counts and therefore reach nearly the same decisions.
//!
//! Invariants: outcomes from before the probes never affect whether a server is restored or avoided
//! again. At most half of the servers of a service are avoided; if more fail, none is.

use std::time::Duration;

use crate::outcomes::{DecayingCounts, OutcomeCounts, failure_rate_outliers, has_shared_cause};

/// Backoff before the first probe. Covers two or three round trips over a slow link, after which
/// the outcomes of the calls in flight have been reported.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff, which bounds how long a recovered server remains unused.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time without avoidance after which the backoff is reset.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(15);
/// Mean interval between probes of all gateways. Exceeds a round trip, so that gateways usually
/// learn of a failed probe before they send another.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Successful probes required to restore a server.
const REQUIRED_PROBE_SUCCESSES: f64 = 4.0;
/// Share of [`REQUIRED_PROBE_SUCCESSES`] that remains after decay until the outcomes are reported.
const DECAY_ALLOWANCE: f64 = 0.8;
/// Time after which the required probe successes and the number of gateways that take turns are
/// halved, repeatedly, so that a service with few calls can still restore a server.
const PROBE_RELAXATION_PERIOD: Duration = Duration::from_secs(1);
/// Lower bound of the decayed probe successes: a single success about a second ago.
const MIN_PROBE_SUCCESSES: f64 = 0.4;
/// Decayed failure count that fails a probe: one call, allowing for reporting delay.
const PROBE_FAILURE_THRESHOLD: f64 = 0.5;

/// How a gateway treats a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAvailability {
    /// Receives calls as usual.
    Trusted,
    /// Receives one call as a probe.
    Probed,
    /// Receives calls only if no other server is available.
    Avoided,
}

/// A transition of a server's avoidance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidanceChange {
    /// The server is avoided from now on.
    Started,
    /// A probe failed and the backoff was extended.
    Extended,
    /// The server receives calls again.
    Ended,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Trusted,
    Backoff {
        until: Duration,
    },
    Probed {
        since: Duration,
        last_probe: Option<Duration>,
    },
}

/// Avoidance state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Avoidance {
    phase: Phase,
    /// Consecutive backoff periods since the last reset.
    consecutive_backoffs: u32,
    /// When the server was last restored.
    restored_at: Duration,
    /// Outcomes counted before the probes, which are ignored.
    baseline: DecayingCounts,
    /// Calls in flight that are no probes, such as long streams.
    baseline_calls: u32,
}

/// Updates the avoidance of the servers of one service from their outcome counts. Returns the
/// transitions in the same order.
pub fn advance_service(
    service: &mut [(&mut Avoidance, OutcomeCounts)],
    now: Duration,
) -> Vec<Option<AvoidanceChange>> {
    let fresh: Vec<OutcomeCounts> = service
        .iter()
        .map(|(avoidance, counts)| avoidance.fresh(counts, now))
        .collect();
    let failing = failure_rate_outliers(&fresh);
    let avoided = service.iter().zip(&failing);
    let avoided = avoided.filter(|((avoidance, _), failing)| avoidance.is_active() || **failing);
    if 2 * avoided.count() > service.len() || has_shared_cause(&fresh) {
        let servers = service.iter_mut();
        return servers
            .map(|(avoidance, counts)| avoidance.cancel(counts, now))
            .collect();
    }
    let servers = service.iter_mut().zip(failing);
    servers
        .map(|((avoidance, counts), failing)| avoidance.advance(counts, failing, now))
        .collect()
}

/// Inputs that determine whether a gateway may send a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTurn {
    /// Differs between gateways and between servers.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// Known calls in flight to the server from all gateways.
    pub calls: u32,
}

impl Avoidance {
    /// Outcomes counted since the server was last probed.
    #[must_use]
    pub fn fresh(&self, counts: &OutcomeCounts, now: Duration) -> OutcomeCounts {
        counts.saturating_sub(&self.baseline.at(now))
    }

    /// Whether the server is avoided or probed.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.phase != Phase::Trusted
    }

    /// Updates the state from all outcomes and from whether the recent ones are failing.
    pub fn advance(
        &mut self,
        counts: &OutcomeCounts,
        is_failing: bool,
        now: Duration,
    ) -> Option<AvoidanceChange> {
        match self.phase {
            Phase::Trusted if is_failing => {
                if now.saturating_sub(self.restored_at) > BACKOFF_RESET_AFTER {
                    self.consecutive_backoffs = 0;
                }
                self.back_off(now);
                Some(AvoidanceChange::Started)
            }
            Phase::Backoff { until } if until <= now => {
                self.phase = Phase::Probed {
                    since: now,
                    last_probe: None,
                };
                self.baseline = DecayingCounts::new(*counts, now);
                None
            }
            Phase::Probed { since, .. } => self.evaluate_probes(counts, since, now),
            _ => None,
        }
    }

    /// Ends the avoidance because too many servers fail, which points to a shared cause.
    fn cancel(&mut self, counts: &OutcomeCounts, now: Duration) -> Option<AvoidanceChange> {
        if !self.is_active() {
            return None;
        }
        self.baseline = DecayingCounts::new(*counts, now);
        self.restore(now)
    }

    fn restore(&mut self, now: Duration) -> Option<AvoidanceChange> {
        self.phase = Phase::Trusted;
        self.restored_at = now;
        Some(AvoidanceChange::Ended)
    }

    fn evaluate_probes(
        &mut self,
        counts: &OutcomeCounts,
        since: Duration,
        now: Duration,
    ) -> Option<AvoidanceChange> {
        let fresh = self.fresh(counts, now);
        if fresh.failed >= PROBE_FAILURE_THRESHOLD {
            self.back_off(now);
            return Some(AvoidanceChange::Extended);
        }
        let required_successes =
            REQUIRED_PROBE_SUCCESSES * DECAY_ALLOWANCE * relaxation_factor(since, now);
        if fresh.answered < required_successes.max(MIN_PROBE_SUCCESSES) {
            return None;
        }
        self.restore(now)
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.consecutive_backoffs.min(8));
        self.consecutive_backoffs = self.consecutive_backoffs.saturating_add(1);
        self.phase = Phase::Backoff {
            until: now + backoff.min(MAX_BACKOFF),
        };
    }

    /// Updates the known calls in flight from all gateways. Must be called before
    /// [`Self::advance`].
    pub fn set_in_flight(&mut self, calls: u32) {
        self.baseline_calls = match self.phase {
            Phase::Probed { .. } => self.baseline_calls.min(calls),
            Phase::Trusted | Phase::Backoff { .. } => calls,
        };
    }

    /// Registers that a call was sent to the server.
    pub fn record_sent(&mut self, now: Duration) {
        if let Phase::Probed { last_probe, .. } = &mut self.phase {
            *last_probe = Some(now);
        }
    }

    /// How a gateway should treat the server now.
    #[must_use]
    pub fn availability(&self, turn: ProbeTurn, now: Duration) -> ServerAvailability {
        match self.phase {
            Phase::Trusted => ServerAvailability::Trusted,
            Phase::Backoff { .. } => ServerAvailability::Avoided,
            Phase::Probed { since, last_probe } => {
                let interval_elapsed = last_probe.is_none_or(|last| now >= last + PROBE_INTERVAL);
                if interval_elapsed
                    && turn.calls <= self.baseline_calls
                    && turn.may_probe(since, now)
                {
                    ServerAvailability::Probed
                } else {
                    ServerAvailability::Avoided
                }
            }
        }
    }
}

impl ProbeTurn {
    /// Selects each gateway with a probability of one in the number of gateways per probe interval.
    /// The probability increases over time.
    fn may_probe(&self, since: Duration, now: Duration) -> bool {
        let interval = (now.as_millis() / PROBE_INTERVAL.as_millis()) as u64;
        let gateways = f64::from(self.gateways) * relaxation_factor(since, now);
        splitmix64(self.seed ^ splitmix64(interval)).is_multiple_of((gateways as u64).max(1))
    }
}

/// 1 during the first [`PROBE_RELAXATION_PERIOD`], then halved with each further one.
fn relaxation_factor(since: Duration, now: Duration) -> f64 {
    let relaxed_for = now
        .saturating_sub(since + PROBE_RELAXATION_PERIOD)
        .as_secs_f64();
    (-relaxed_for / PROBE_RELAXATION_PERIOD.as_secs_f64()).exp2()
}

/// Finalizer of SplitMix64.
fn splitmix64(number: u64) -> u64 {
    let value = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
