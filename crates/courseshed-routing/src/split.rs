//! Keeping the calls of a route to the weights of its parts.

use std::collections::BTreeMap;

use crate::Target;

/// Smooth weighted turns: of any run of calls, each part gets its share to within one call.
///
/// Each call adds every part's weight to that part's credit, and the part with the largest credit
/// gets the call and pays the sum of all weights.
#[derive(Clone, Debug, Default)]
pub struct SplitCounter {
    credits: BTreeMap<String, f64>,
}

impl SplitCounter {
    /// Starts at a phase between 0 and 1, so that many gateways don't all begin with the same part.
    #[must_use]
    pub fn with_phase(targets: &[Target], phase: f64) -> Self {
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut counter = Self::default();
        let mut left = phase * total;
        for target in targets {
            let credit = if left >= 0.0 && left < target.weight {
                total / 2.0
            } else {
                0.0
            };
            counter.credits.insert(target.service.clone(), credit);
            left -= target.weight;
        }
        counter
    }

    /// The index of the part that the next call goes to; none without parts of any weight.
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
