//! Weighted fair sharing between tenants while calls are queued.
//!
//! Each tenant's recent service is compared with its weighted share of the total. Calls of a tenant
//! above its share are delayed in the queue in proportion to the excess, so that a tenant's burst
//! mostly delays that tenant. While nothing is queued, shares have no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::NameHash;

/// Half-life of the service accounts. Short enough that a burst takes effect before it has delayed
/// other tenants' programs, which run for some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Multiple of its share that a tenant may use without delay: single programs make usage uneven.
const SHARE_TOLERANCE: f64 = 1.2;
/// Queue delay for each further share in use.
const DELAY_PER_SHARE_MS: f64 = 600.0;
/// Upper bound of the queue delay. Below the 3 s that a turn waits at most, so that a tenant above
/// its share is delayed but not shut out.
const MAX_DELAY_MS: f64 = 2_500.0;
/// Accounts below this are dropped, in milliseconds of engine slot time.
const MIN_SERVED_MS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Account {
    weight: f64,
    served_ms: f64,
}

/// Recent service by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantShares {
    accounts: BTreeMap<NameHash, Account>,
    decayed_at: Duration,
    total_served_ms: f64,
    total_weight: f64,
}

impl TenantShares {
    /// Charges a tenant for a call, in milliseconds of engine slot time.
    pub(crate) fn charge(&mut self, now: Duration, tenant: NameHash, weight: f64, cost_ms: f64) {
        self.decay(now);
        let account = self.accounts.entry(tenant).or_insert(Account {
            weight,
            served_ms: 0.0,
        });
        self.total_weight += if account.served_ms == 0.0 {
            weight
        } else {
            weight - account.weight
        };
        account.weight = weight;
        account.served_ms += cost_ms;
        self.total_served_ms += cost_ms;
    }

    /// Queue delay of a tenant's calls, in milliseconds.
    pub(crate) fn delay_ms(&self, tenant: NameHash) -> f64 {
        let excess = self.usage_ratio(tenant) - SHARE_TOLERANCE;
        (excess * DELAY_PER_SHARE_MS).clamp(0.0, MAX_DELAY_MS)
    }

    /// Recent service of a tenant relative to its share; 0 without any.
    pub(crate) fn usage_ratio(&self, tenant: NameHash) -> f64 {
        let Some(account) = self.accounts.get(&tenant) else {
            return 0.0;
        };
        let share =
            self.total_served_ms * account.weight / self.total_weight.max(f64::MIN_POSITIVE);
        account.served_ms / share.max(f64::MIN_POSITIVE)
    }

    /// Decays all accounts exponentially.
    pub(crate) fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at);
        if passed < HALF_LIFE / 20 {
            return;
        }
        let factor = 0.5f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.decayed_at = now;
        for account in self.accounts.values_mut() {
            account.served_ms *= factor;
        }
        self.accounts
            .retain(|_, account| account.served_ms >= MIN_SERVED_MS);
        self.total_served_ms = self
            .accounts
            .values()
            .map(|account| account.served_ms)
            .sum();
        self.total_weight = self.accounts.values().map(|account| account.weight).sum();
    }
}
