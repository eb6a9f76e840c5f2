//! Points in time as the pure cores see them.
//!
//! The cores never read a clock: drivers pass a [`Timestamp`] in. Daemons use microseconds since the Unix
//! epoch, the simulator uses microseconds since its start.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time in microseconds since the driver's origin.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The driver's origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than any time a driver passes in.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// A point in time given in milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis * 1_000)
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// `self` minus `duration`, not below the origin.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(micros(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(micros(duration)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Timestamp) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{:06}s",
            self.0 / 1_000_000,
            self.0 % 1_000_000
        )
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
