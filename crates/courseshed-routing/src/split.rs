//! Weighted traffic splits.

use std::collections::BTreeMap;

use crate::Target;

/// Smooth weighted round robin: in any sequence of calls, each target receives its share to within
/// one call.
///
/// Each call adds every target's weight to its credit. The target with the largest credit receives
/// the call, and the sum of all weights is deducted from its credit.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: BTreeMap<String, f64>,
}

impl WeightedRoundRobin {
    /// Starts at a phase from 0 to 1, so that gateways don't all begin with the same target.
    #[must_use]
    pub fn with_phase(targets: &[Target], phase: f64) -> Self {
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut counter = Self::default();
        let mut remaining = phase * total;
        for target in targets {
            let credit = if remaining >= 0.0 && remaining < target.weight {
                total / 2.0
            } else {
                0.0
            };
            counter.credits.insert(target.service.clone(), credit);
            remaining -= target.weight;
        }
        counter
    }

    /// Index of the target for the next call; none if no target has a positive weight.
    pub fn next(&mut self, targets: &[Target]) -> Option<usize> {
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut best: Option<(usize, f64)> = None;
        for (index, target) in targets.iter().enumerate() {
            if target.weight <= 0.0 {
                continue;
            }
            let credit = self.credits.entry(target.service.clone()).or_default();
            *credit += target.weight;
            if best.is_none_or(|(_, largest)| *credit > largest) {
                best = Some((index, *credit));
            }
        }
        let (index, _) = best?;
        if let Some(credit) = self.credits.get_mut(&targets[index].service) {
            *credit -= total;
        }
        Some(index)
    }
}
