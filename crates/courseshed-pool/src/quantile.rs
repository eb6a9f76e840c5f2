//! A quantile of times that come one after another, followed without keeping them. Pure.

/// By how much of itself an estimate moves with one time, up and down together.
const STEP: f64 = 0.2;
/// No estimate falls below this, so that it can rise again.
const LEAST: f64 = 1e-5;

/// An estimate of one quantile. It moves by a part of itself, whatever the size of what was seen, so
/// single extremes don't shake it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    /// Follows the value that a share (0 to 1) of all times stays below, from a first guess on.
    #[must_use]
    pub fn new(share: f64, guess: f64) -> Self {
        Self {
            share,
            value: guess.max(LEAST),
        }
    }

    /// The estimate.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes in one time.
    pub fn note(&mut self, seen: f64) {
        let change = if seen < self.value {
            -STEP * (1.0 - self.share)
        } else {
            STEP * self.share
        };
        self.value = (self.value * (1.0 + change)).max(LEAST);
    }
}
