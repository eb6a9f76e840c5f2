//! Units of service and virtual time.
//!
//! Service is counted in whole units (one unit is one uncached prompt token; a generated token is worth several).
//! Virtual time is kept in integers so that accounts never drift by rounding and runs replay exactly.

use std::ops::{Add, AddAssign, Sub};

use courseshed_types::{Tokens, Usage};

use crate::config::DispatcherConfig;

/// Virtual time units per unit of service at weight one.
const RESOLUTION: f64 = 65_536.0;

/// Service an attempt takes from a pool, in units of one uncached prompt token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Service(pub u64);

impl Service {
    /// The service of so many uncached prompt tokens and generated tokens.
    pub fn weigh(config: &DispatcherConfig, uncached: Tokens, generated: Tokens) -> Service {
        let prefill = uncached.0.saturating_mul(config.prefill_weight);
        let decode = generated.0.saturating_mul(config.decode_weight);
        Service(prefill.saturating_add(decode).max(1))
    }

    /// The service an attempt took, as its engine counted the tokens.
    pub fn of_usage(config: &DispatcherConfig, usage: &Usage) -> Service {
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        Service::weigh(config, uncached, usage.completion_tokens)
    }
}

/// Service that counts less the more the pool has served since.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct RecentService {
    units: f64,
    /// Service of the whole pool when `units` was last brought up to date.
    pool_served: u64,
}

impl RecentService {
    /// Service of the pool after which a unit counts 1/e: a few minutes of a pool of twenty engines.
    const FADE: f64 = 20_000_000.0;

    /// Adds signed service.
    pub(crate) fn add(&mut self, units: i128, pool_served: u64) {
        self.units = self.at(pool_served) + units as f64;
        self.pool_served = self.pool_served.max(pool_served);
    }

    /// What is left of it when the pool has served so much.
    pub(crate) fn at(&self, pool_served: u64) -> f64 {
        let since = pool_served.saturating_sub(self.pool_served) as f64;
        self.units * (-since / RecentService::FADE).exp()
    }
}

/// A point in the virtual time of one node of the tree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(i128);

impl VirtualTime {
    /// The virtual time that signed service takes at a weight (0 to 1).
    pub(crate) fn of_service(units: i128, weight: f64) -> VirtualTime {
        VirtualTime((units as f64 * RESOLUTION / weight) as i128)
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
