//! Streaming estimate of a quantile in constant memory.

/// Relative step of the estimate per observation, upward and downward steps together.
const RELATIVE_STEP: f64 = 0.2;
/// Lower bound of the estimate; at zero, relative steps could not raise it again.
const MIN_ESTIMATE: f64 = 1e-5;

/// Streaming estimate of one quantile. Steps are relative to the estimate and independent of the
/// size of the observation, so outliers have little effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    /// Tracks the value that a fraction `share` (0 to 1) of the observations stays below, starting
    /// from `guess`.
    #[must_use]
    pub fn new(share: f64, guess: f64) -> Self {
        Self {
            share,
            value: guess.max(MIN_ESTIMATE),
        }
    }

    /// Current estimate.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Records one observation.
    pub fn note(&mut self, observed: f64) {
        let change = if observed < self.value {
            -RELATIVE_STEP * (1.0 - self.share)
        } else {
            RELATIVE_STEP * self.share
        };
        self.value = (self.value * (1.0 + change)).max(MIN_ESTIMATE);
    }
}
