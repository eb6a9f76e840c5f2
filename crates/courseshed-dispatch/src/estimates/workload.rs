//! Distributions of output lengths, pauses and call counts per branch, with pool-wide distributions
//! as a fallback.

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{BranchPath, Tokens};

use crate::estimates::LogHistogram;

/// Samples required before a branch's own distribution is used.
const MIN_SAMPLES: f64 = 24.0;
/// Output length assumed before any sample is recorded, in tokens.
const DEFAULT_OUTPUT_TOKENS: f64 = 200.0;

#[derive(Debug, Clone, Default)]
pub(crate) struct BranchEstimates {
    output_tokens: LogHistogram,
    pause_millis: LogHistogram,
    turns: LogHistogram,
}

#[derive(Debug, Default)]
pub(crate) struct WorkloadEstimates {
    pool: BranchEstimates,
    branches: BTreeMap<BranchPath, BranchEstimates>,
}

impl WorkloadEstimates {
    /// Records the output length of a call.
    pub(crate) fn record_output(&mut self, branch: &BranchPath, output: Tokens) {
        self.pool.output_tokens.record(output.0);
        self.branch_mut(branch).output_tokens.record(output.0);
    }

    /// Records the length of a program's pause between two calls.
    pub(crate) fn record_pause(&mut self, branch: &BranchPath, pause: Duration) {
        let millis = pause.as_millis() as u64;
        self.pool.pause_millis.record(millis);
        self.branch_mut(branch).pause_millis.record(millis);
    }

    /// Records the number of calls of a program that ended.
    pub(crate) fn record_turns(&mut self, branch: &BranchPath, turns: u32) {
        self.pool.turns.record(u64::from(turns));
        self.branch_mut(branch).turns.record(u64::from(turns));
    }

    /// Expected output length of a call, at most `limit`.
    pub(crate) fn expected_output(&self, branch: &BranchPath, limit: Tokens) -> Tokens {
        let histogram = self.select(branch, |estimates| &estimates.output_tokens);
        let mean = histogram.mean().unwrap_or(DEFAULT_OUTPUT_TOKENS);
        Tokens(mean as u64).min(limit).max(Tokens(1))
    }

    /// Probability that a program paused for `elapsed` makes its next call within `horizon`.
    pub(crate) fn resume_probability_within(
        &self,
        branch: &BranchPath,
        elapsed: Duration,
        horizon: Duration,
    ) -> Option<f64> {
        let histogram = self.select(branch, |estimates| &estimates.pause_millis);
        let elapsed = elapsed.as_millis() as f64;
        let probability = histogram.end_probability(elapsed, horizon.as_millis() as f64);
        let has_enough_samples = histogram.weight() >= MIN_SAMPLES;
        probability.or(has_enough_samples.then_some(0.0))
    }

    /// Probability that a pause followed by another call lasts longer than `elapsed`.
    pub(crate) fn pause_survival(&self, branch: &BranchPath, elapsed: Duration) -> Option<f64> {
        let histogram = self.select(branch, |estimates| &estimates.pause_millis);
        let all = histogram.weight();
        let longer = histogram.weight_above(elapsed.as_millis() as f64);
        (all >= MIN_SAMPLES).then(|| longer / all)
    }

    /// Probability that a program with `turns` completed calls makes another.
    pub(crate) fn continue_probability(&self, branch: &BranchPath, turns: u32) -> Option<f64> {
        let histogram = self.select(branch, |estimates| &estimates.turns);
        let reached = histogram.weight_above(f64::from(turns.saturating_sub(1)));
        if reached < 0.5 {
            return None;
        }
        Some(histogram.weight_above(f64::from(turns)) / reached)
    }

    fn branch_mut(&mut self, branch: &BranchPath) -> &mut BranchEstimates {
        if !self.branches.contains_key(branch) {
            self.branches
                .insert(branch.clone(), BranchEstimates::default());
        }
        self.branches.get_mut(branch).expect("just inserted")
    }

    fn select(
        &self,
        branch: &BranchPath,
        field: impl Fn(&BranchEstimates) -> &LogHistogram,
    ) -> &LogHistogram {
        match self.branches.get(branch).map(&field) {
            Some(own) if own.weight() >= MIN_SAMPLES => own,
            _ => field(&self.pool),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pause_longer_than_all_samples_is_not_expected_to_end() {
        let branch = BranchPath::root();
        let mut workload = WorkloadEstimates::default();
        let (short, long) = (Duration::from_secs(4), Duration::from_secs(60));
        let probability =
            |workload: &WorkloadEstimates| workload.resume_probability_within(&branch, long, short);
        assert_eq!(probability(&workload), None, "no samples");
        (0..40).for_each(|_| workload.record_pause(&branch, short));
        assert_eq!(probability(&workload), Some(0.0));
        assert_eq!(workload.pause_survival(&branch, long), Some(0.0));
        assert_eq!(workload.pause_survival(&branch, Duration::ZERO), Some(1.0));
    }
}
