//! What became of the calls at servers: whether a server fails far more of them than the others of its
//! service. Pure: times are passed in.
//!
//! Counts are totals that fade with a half-life, so that the newest report of a gateway says all there is
//! to say: a lost report is made good by the next one, and one that comes twice changes nothing.
//!
//! Invariants: what servers of a service fail alike never makes one of them failing; of a service no more
//! than half of the servers are failing, else none is.

use std::time::Duration;

/// After this time a call counts half. Long enough that a server with 50 calls a second is judged by
/// some 70 of them, short enough that a sound server's past is forgotten within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The share of calls that servers fail ordinarily: applications answer about 1 call in 100 with an
/// error of their own, and that is no reason to take a server out.
const ORDINARY_SHARE: f64 = 0.01;
/// How many times what the others fail a server must fail at least.
const FAR_ABOVE: f64 = 2.0;
/// A server that fails a smaller share is kept: the calls that it takes off the others are worth more
/// than the few that it loses.
const LEAST_SHARE: f64 = 0.08;
/// If even the better half of the servers fail such a share, the cause is elsewhere, and calls that are
/// kept from one server only fail at another.
const WHOLE_SERVICE_SHARE: f64 = 0.25;
/// How likely a server that fails no more than the others may be to look like a failing one, by chance
/// alone. Callers lose a call that can't be repeated with each failure, so the proof must be short: at
/// this chance four failures in a row are enough, as they come by chance once in 100 million. Two in a
/// row come once in 10,000 pairs, which is each second at 20,000 calls a second.
const CHANCE: f64 = 1e-7;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered it, be it with a refusal of what was asked.
    Answered,
    /// The server answered with an error of its own, or gave no whole answer.
    Failed,
}

/// Calls that servers answered and failed; fractions of calls, since they fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Answered calls.
    pub answered: f64,
    /// Failed calls.
    pub failed: f64,
}

impl OutcomeCounts {
    /// The share of the calls that failed; 0 without calls.
    #[must_use]
    pub fn failed_share(&self) -> f64 {
        let calls = self.answered + self.failed;
        if calls > 0.0 {
            self.failed / calls
        } else {
            0.0
        }
    }

    /// The counts after they faded for a time.
    #[must_use]
    pub fn faded(&self, age: Duration) -> Self {
        let left = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self {
            answered: self.answered * left,
            failed: self.failed * left,
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            answered: self.answered + other.answered,
            failed: self.failed + other.failed,
        }
    }

    /// What is more than in others that were counted before; never less than nothing.
    #[must_use]
    pub fn beyond(&self, before: &Self) -> Self {
        Self {
            answered: (self.answered - before.answered).max(0.0),
            failed: (self.failed - before.failed).max(0.0),
        }
    }
}

/// Counts that fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FadingCounts {
    counts: OutcomeCounts,
    at: Duration,
}

impl FadingCounts {
    /// Counts as they are at a time.
    #[must_use]
    pub fn new(counts: OutcomeCounts, at: Duration) -> Self {
        Self { counts, at }
    }

    /// Counts one call.
    pub fn note(&mut self, outcome: ServerOutcome, now: Duration) {
        let mut counts = self.at(now);
        match outcome {
            ServerOutcome::Answered => counts.answered += 1.0,
            ServerOutcome::Failed => counts.failed += 1.0,
        }
        *self = Self::new(counts, now);
    }

    /// What is left of them at a time.
    #[must_use]
    pub fn at(&self, now: Duration) -> OutcomeCounts {
        self.counts.faded(now.saturating_sub(self.at))
    }
}

/// Which servers of a service are failing, in the order of the counts: those that fail far more than the
/// others, unless they are most.
#[must_use]
pub fn failing_servers(service: &[OutcomeCounts]) -> Vec<bool> {
    let failing = far_above_others(service);
    let number = failing.iter().filter(|failing| **failing).count();
    if 2 * number > service.len() {
        return vec![false; service.len()];
    }
    failing
}

/// Which servers of a service fail far more than the others, be they most.
pub(crate) fn far_above_others(service: &[OutcomeCounts]) -> Vec<bool> {
    let order = by_share(service);
    let judged = service.iter().enumerate();
    judged
        .map(|(index, counts)| {
            is_worth_a_look(counts) && is_failing(counts, usual_share(service, &order, index))
        })
        .collect()
}

/// Whether even the better half of the servers fail so much that the cause must be elsewhere.
pub(crate) fn fails_as_a_whole(service: &[OutcomeCounts]) -> bool {
    let order = by_share(service);
    let better = order.iter().take(service.len().div_ceil(2));
    sum_of(service, better).failed_share() >= WHOLE_SERVICE_SHARE
}

/// The indices of the servers, those that fail the smallest share first.
fn by_share(service: &[OutcomeCounts]) -> Vec<usize> {
    let mut shares: Vec<(f64, usize)> = service
        .iter()
        .map(OutcomeCounts::failed_share)
        .zip(0..)
        .collect();
    shares.sort_by(|left, right| left.0.total_cmp(&right.0));
    shares.into_iter().map(|(_, index)| index).collect()
}

fn sum_of<'a>(
    service: &[OutcomeCounts],
    indices: impl Iterator<Item = &'a usize>,
) -> OutcomeCounts {
    indices.fold(OutcomeCounts::default(), |sum, index| {
        sum.plus(&service[*index])
    })
}

fn is_worth_a_look(counts: &OutcomeCounts) -> bool {
    counts.failed > 1.0 && counts.failed_share() >= LEAST_SHARE
}

/// What the better half of a server's fellows fail. The worse half is left out, since more than one
/// server may fail at a time, and those draw most calls.
fn usual_share(service: &[OutcomeCounts], order: &[usize], judged: usize) -> f64 {
    let fellows = service.len().saturating_sub(1);
    let others = order.iter().filter(|index| **index != judged);
    let better = others.take(fellows.div_ceil(2));
    sum_of(service, better).failed_share()
}

/// Whether failures are too many to have come by chance at a server like the others. By Chernoff's bound
/// that chance is at most exp(-calls x divergence of the shares).
fn is_failing(counts: &OutcomeCounts, usual_share: f64) -> bool {
    let usual = (FAR_ABOVE * usual_share).max(ORDINARY_SHARE);
    let share = counts.failed_share();
    if share <= usual {
        return false;
    }
    let of_failed = counts.failed * (share / usual).ln();
    let of_answered = if share < 1.0 {
        counts.answered * ((1.0 - share) / (1.0 - usual)).ln()
    } else {
        0.0
    };
    of_failed + of_answered >= -CHANCE.ln()
}
