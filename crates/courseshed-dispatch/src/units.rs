//! Units of service and virtual time.
//!
//! Service is counted in whole units: one uncached prompt token by default, with generated tokens
//! weighted more. Virtual time is kept in integers so that accounts do not accumulate rounding
//! errors and runs replay exactly.

use std::ops::{Add, AddAssign, Sub};

use courseshed_types::{Tokens, Usage};

use crate::config::DispatcherConfig;

/// Virtual time per service unit at weight one.
const VIRTUAL_TIME_PER_UNIT: f64 = 65_536.0;

/// Service consumed by an attempt, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Service(pub u64);

impl Service {
    /// Weighted sum of uncached prompt tokens and generated tokens.
    pub fn weighted(config: &DispatcherConfig, uncached: Tokens, generated: Tokens) -> Service {
        let prefill = uncached.0.saturating_mul(config.prefill_weight);
        let decode = generated.0.saturating_mul(config.decode_weight);
        Service(prefill.saturating_add(decode).max(1))
    }

    /// Service of an attempt, from the token usage reported by its engine.
    pub fn from_usage(config: &DispatcherConfig, usage: &Usage) -> Service {
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        Service::weighted(config, uncached, usage.completion_tokens)
    }
}

/// Service that decays as the pool serves more.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct DecayedService {
    units: f64,
    /// Service of the whole pool when `units` was last updated.
    pool_served: u64,
}

impl DecayedService {
    /// Pool service over which a contribution decays to 1/e.
    const DECAY_CONSTANT: f64 = 20_000_000.0;

    pub(crate) fn add(&mut self, units: i128, pool_served: u64) {
        self.units = self.value_at(pool_served) + units as f64;
        self.pool_served = self.pool_served.max(pool_served);
    }

    /// The decayed value once the pool has served `pool_served` units.
    pub(crate) fn value_at(&self, pool_served: u64) -> f64 {
        let since = pool_served.saturating_sub(self.pool_served) as f64;
        self.units * (-since / DecayedService::DECAY_CONSTANT).exp()
    }
}

/// Virtual time at one node of the branch tree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(i128);

impl VirtualTime {
    /// Virtual time that `units` of service take at a weight between 0 and 1.
    pub(crate) fn from_service(units: i128, weight: f64) -> VirtualTime {
        VirtualTime((units as f64 * VIRTUAL_TIME_PER_UNIT / weight) as i128)
    }
}

impl Add for VirtualTime {
    type Output = VirtualTime;

    fn add(self, other: VirtualTime) -> VirtualTime {
        VirtualTime(self.0 + other.0)
    }
}

impl AddAssign for VirtualTime {
    fn add_assign(&mut self, other: VirtualTime) {
        self.0 += other.0;
    }
}

impl Sub for VirtualTime {
    type Output = VirtualTime;

    fn sub(self, other: VirtualTime) -> VirtualTime {
        VirtualTime(self.0 - other.0)
    }
}
