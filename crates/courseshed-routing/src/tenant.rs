//! Tenants, their keys and request quotas.
//!
//! Only the digests of keys are stored, so that memory dumps and logs can't disclose a key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::RoutingTable;

/// SHA-256 digest of a tenant's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn eq_constant_time(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Rate limit for a tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Sustained rate, in requests per second.
    pub rate_per_s: f64,
    /// Burst: number of requests in excess of the sustained rate.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant; sent to servers.
    pub name: String,
    /// Digests of the tenant's keys.
    pub keys: Vec<KeyDigest>,
    /// Rank that overrides the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Request quota; none if unlimited.
    pub quota: Option<RequestQuota>,
    /// Regions in which calls may be served and their data stored; empty without a restriction.
    #[serde(default)]
    #[serde(rename = "home_regions")]
    pub allowed_regions: Vec<String>,
}

impl RoutingTable {
    /// Returns the tenant that has this key.
    ///
    /// Compares all keys, so that the time does not depend on which one matches.
    #[must_use]
    pub fn tenant_of(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let mut found = None;
        for tenant in self.tenants.iter().flatten() {
            for held in &tenant.keys {
                if held.eq_constant_time(key) {
                    found = Some(tenant);
                }
            }
        }
        found
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        let mut tenants = self.tenants.iter().flatten();
        tenants.find(|tenant| tenant.name == name)
    }
}
