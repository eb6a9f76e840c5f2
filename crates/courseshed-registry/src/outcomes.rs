//! Call outcomes by server, and detection of servers that fail far more calls than their peers. The
//! caller passes times in.
//!
//! Counts are totals with exponential decay, so the newest report of a gateway is complete by
//! itself: a lost report is made up for by the next one, and a duplicate changes nothing.
//!
//! Invariants: failures common to all servers of a service never mark a server as failing. At most
//! half of the servers of a service are marked; if more fail, none is.

use std::time::Duration;

/// Half-life of the counts. Must be long enough to collect sufficient calls for a decision and
/// short enough for a recovered server to be noticed within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Failure rate regarded as normal, since applications answer some calls with errors of their own.
const NORMAL_FAILURE_RATE: f64 = 0.01;
/// Minimum ratio of a failing server's failure rate to that of its peers.
const MIN_RATE_RATIO: f64 = 2.0;
/// Minimum failure rate of a failing server. Below it, the server's capacity is worth more than the
/// calls it fails.
const MIN_FAILURE_RATE: f64 = 0.08;
/// Failure rate of the better half of the servers from which on the cause is assumed to be shared,
/// so that avoiding single servers would not help.
const SHARED_CAUSE_FAILURE_RATE: f64 = 0.25;
/// Bound on the probability of marking a server that is no worse than its peers. Four consecutive
/// failures reach it; two would be too frequent by chance under high load.
const FALSE_POSITIVE_PROBABILITY: f64 = 1e-7;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered, possibly with a client error.
    Answered,
    /// The server answered with a server error or an incomplete response.
    Failed,
}

/// Answered and failed calls. Fractional due to decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Answered calls.
    pub answered: f64,
    /// Failed calls.
    pub failed: f64,
}

impl OutcomeCounts {
    /// Share of failed calls; 0 if there are no calls.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        let calls = self.answered + self.failed;
        if calls > 0.0 {
            self.failed / calls
        } else {
            0.0
        }
    }

    /// The counts after decay over a time.
    #[must_use]
    pub fn decayed(&self, age: Duration) -> Self {
        let remaining = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self {
            answered: self.answered * remaining,
            failed: self.failed * remaining,
        }
    }

    /// Sum of two counts.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            answered: self.answered + other.answered,
            failed: self.failed + other.failed,
        }
    }

    /// Difference to earlier counts, at least 0.
    #[must_use]
    pub fn saturating_sub(&self, before: &Self) -> Self {
        Self {
            answered: (self.answered - before.answered).max(0.0),
            failed: (self.failed - before.failed).max(0.0),
        }
    }
}

/// Counts with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCounts {
    counts: OutcomeCounts,
    at: Duration,
}

impl DecayingCounts {
    /// Starts with the given counts at a time.
    #[must_use]
    pub fn new(counts: OutcomeCounts, at: Duration) -> Self {
        Self { counts, at }
    }

    /// Counts one call.
    pub fn record(&mut self, outcome: ServerOutcome, now: Duration) {
        let mut counts = self.at(now);
        match outcome {
            ServerOutcome::Answered => counts.answered += 1.0,
            ServerOutcome::Failed => counts.failed += 1.0,
        }
        *self = Self::new(counts, now);
    }

    /// The decayed counts at a time.
    #[must_use]
    pub fn at(&self, now: Duration) -> OutcomeCounts {
        self.counts.decayed(now.saturating_sub(self.at))
    }
}

/// Marks the failing servers of a service, in input order. None are marked if most are failing.
#[must_use]
pub fn failing_servers(service: &[OutcomeCounts]) -> Vec<bool> {
    let failing = failure_rate_outliers(service);
    let number = failing.iter().filter(|failing| **failing).count();
    if 2 * number > service.len() {
        return vec![false; service.len()];
    }
    failing
}

/// Marks servers that fail far more calls than their peers, even if they are the majority.
pub(crate) fn failure_rate_outliers(service: &[OutcomeCounts]) -> Vec<bool> {
    let order = order_by_failure_rate(service);
    let indexed = service.iter().enumerate();
    indexed
        .map(|(index, counts)| {
            has_enough_failures(counts)
                && is_failing(counts, peer_failure_rate(service, &order, index))
        })
        .collect()
}

/// Whether even the better half of the servers fail so many calls that the cause must be shared.
pub(crate) fn has_shared_cause(service: &[OutcomeCounts]) -> bool {
    let order = order_by_failure_rate(service);
    let better = order.iter().take(service.len().div_ceil(2));
    sum_counts(service, better).failure_rate() >= SHARED_CAUSE_FAILURE_RATE
}

/// Indexes of the servers in order of increasing failure rate.
fn order_by_failure_rate(service: &[OutcomeCounts]) -> Vec<usize> {
    let mut failure_rates: Vec<(f64, usize)> = service
        .iter()
        .map(OutcomeCounts::failure_rate)
        .zip(0..)
        .collect();
    failure_rates.sort_by(|left, right| left.0.total_cmp(&right.0));
    failure_rates.into_iter().map(|(_, index)| index).collect()
}

fn sum_counts<'a>(
    service: &[OutcomeCounts],
    indices: impl Iterator<Item = &'a usize>,
) -> OutcomeCounts {
    indices.fold(OutcomeCounts::default(), |sum, index| {
        sum.plus(&service[*index])
    })
}

fn has_enough_failures(counts: &OutcomeCounts) -> bool {
    counts.failed > 1.0 && counts.failure_rate() >= MIN_FAILURE_RATE
}

/// Failure rate of the better half of a server's peers. The worse half is excluded since several
/// servers may fail at a time, and failing servers attract most calls.
fn peer_failure_rate(service: &[OutcomeCounts], order: &[usize], candidate: usize) -> f64 {
    let peers = service.len().saturating_sub(1);
    let others = order.iter().filter(|index| **index != candidate);
    let better = others.take(peers.div_ceil(2));
    sum_counts(service, better).failure_rate()
}

/// Whether the failures are unlikely for a server with the failure rate of its peers. The Chernoff
/// bound limits that probability to exp(-calls * relative entropy).
fn is_failing(counts: &OutcomeCounts, peer_failure_rate: f64) -> bool {
    let expected_rate = (MIN_RATE_RATIO * peer_failure_rate).max(NORMAL_FAILURE_RATE);
    let failure_rate = counts.failure_rate();
    if failure_rate <= expected_rate {
        return false;
    }
    let failed_term = counts.failed * (failure_rate / expected_rate).ln();
    let answered_term = if failure_rate < 1.0 {
        counts.answered * ((1.0 - failure_rate) / (1.0 - expected_rate)).ln()
    } else {
        0.0
    };
    failed_term + answered_term >= -FALSE_POSITIVE_PROBABILITY.ln()
}
