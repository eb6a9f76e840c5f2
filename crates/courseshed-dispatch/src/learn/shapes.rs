//! Distributions of output lengths, pauses and call counts per branch, with pool-wide distributions
//! as a fallback.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{BranchPath, Tokens};

use crate::learn::LogHistogram;

/// Samples required before a branch's own distribution is used.
const ENOUGH_SAMPLES: f64 = 24.0;
/// Output length assumed before any sample is recorded, in tokens.
const ASSUMED_OUTPUT: f64 = 200.0;

#[derive(Debug, Clone, Default)]
pub(crate) struct BranchShape {
    output_tokens: LogHistogram,
    pause_millis: LogHistogram,
    turns: LogHistogram,
}

#[derive(Debug, Default)]
pub(crate) struct Shapes {
    pool: BranchShape,
    branches: BTreeMap<BranchPath, BranchShape>,
}

impl Shapes {
    /// Records the output length of a call.
    pub(crate) fn record_output(&mut self, branch: &BranchPath, output: Tokens) {
        self.pool.output_tokens.record(output.0);
        self.of_branch(branch).output_tokens.record(output.0);
    }

    /// Records the length of a program's pause between two calls.
    pub(crate) fn record_pause(&mut self, branch: &BranchPath, pause: Duration) {
        let millis = pause.as_millis() as u64;
        self.pool.pause_millis.record(millis);
        self.of_branch(branch).pause_millis.record(millis);
    }

    /// Records the number of calls of a program that ended.
    pub(crate) fn record_turns(&mut self, branch: &BranchPath, turns: u32) {
        self.pool.turns.record(u64::from(turns));
        self.of_branch(branch).turns.record(u64::from(turns));
    }

    /// Expected output length of a call, at most `limit`.
    pub(crate) fn expected_output(&self, branch: &BranchPath, limit: Tokens) -> Tokens {
        let histogram = self.select(branch, |shape| &shape.output_tokens);
        let mean = histogram.mean().unwrap_or(ASSUMED_OUTPUT);
        Tokens(mean as u64).min(limit).max(Tokens(1))
    }

    /// Probability that a program paused for `elapsed` makes its next call within `horizon`.
    pub(crate) fn returns_within(
        &self,
        branch: &BranchPath,
        elapsed: Duration,
        horizon: Duration,
    ) -> Option<f64> {
        let histogram = self.select(branch, |shape| &shape.pause_millis);
        let elapsed = elapsed.as_millis() as f64;
        let chance = histogram.ends_within(elapsed, horizon.as_millis() as f64);
        let is_beyond_all = histogram.weight() >= ENOUGH_SAMPLES;
        chance.or(is_beyond_all.then_some(0.0))
    }

    /// Probability that a pause followed by another call lasts longer than `elapsed`.
    pub(crate) fn lasts_longer(&self, branch: &BranchPath, elapsed: Duration) -> Option<f64> {
        let histogram = self.select(branch, |shape| &shape.pause_millis);
        let all = histogram.weight();
        let longer = histogram.weight_above(elapsed.as_millis() as f64);
        (all >= ENOUGH_SAMPLES).then(|| longer / all)
    }

    /// Probability that a program with `turns` completed calls makes another.
    pub(crate) fn goes_on_after(&self, branch: &BranchPath, turns: u32) -> Option<f64> {
        let histogram = self.select(branch, |shape| &shape.turns);
        let reached = histogram.weight_above(f64::from(turns.saturating_sub(1)));
        if reached < 0.5 {
            return None;
        }
        Some(histogram.weight_above(f64::from(turns)) / reached)
    }

    fn of_branch(&mut self, branch: &BranchPath) -> &mut BranchShape {
        if !self.branches.contains_key(branch) {
            self.branches.insert(branch.clone(), BranchShape::default());
        }
        self.branches.get_mut(branch).expect("just inserted")
    }

    fn select(
        &self,
        branch: &BranchPath,
        part: impl Fn(&BranchShape) -> &LogHistogram,
    ) -> &LogHistogram {
        match self.branches.get(branch).map(&part) {
            Some(own) if own.weight() >= ENOUGH_SAMPLES => own,
            _ => part(&self.pool),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pause_longer_than_all_before_is_not_expected_to_end() {
        let branch = BranchPath::root();
        let mut shapes = Shapes::default();
        let (short, long) = (Duration::from_secs(4), Duration::from_secs(60));
        let chance = |shapes: &Shapes| shapes.returns_within(&branch, long, short);
        assert_eq!(chance(&shapes), None, "nothing was learned");
        (0..40).for_each(|_| shapes.record_pause(&branch, short));
        assert_eq!(chance(&shapes), Some(0.0));
        assert_eq!(shapes.lasts_longer(&branch, long), Some(0.0));
        assert_eq!(shapes.lasts_longer(&branch, Duration::ZERO), Some(1.0));
    }
}
